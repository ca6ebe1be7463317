// Relays messages through another controller when there is no link between a controller and a
// worker.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/types.h"
#include "membership/context.h"
#include "wire/peer.h"

namespace scheduler {

// A command is sent to its worker through a peer, with token and incarnation unchanged. A heartbeat
// is sent to the worker's owner; the worker accepts the owner's reply from the relaying controller,
// because any controller may deliver a reply under an equal token (PROTOCOL, "Tokens"). A relayed
// message has the guarantees of a direct one: it may be lost, late or executed twice. A relay makes
// no decisions and keeps no state except requests and their results.
class Relay {
 public:
  using SendToPeer = std::function<void(const std::string& peer, std::string bytes)>;
  // Handles a heartbeat relayed by a peer; the reply follows through `reply_to_heartbeat` with the
  // same request number.
  using HeartbeatHandler =
      std::function<void(Ms now, std::uint64_t request, const std::string& body)>;

  Relay(const Context& context, SendToPeer send, HeartbeatHandler handle_heartbeat);

  // Sends a command to a worker through `peer`. `done` is called with the worker's reply, or with
  // status kNoReply, in which case the command may have been executed or may still be. Returns
  // false if too many requests are pending or the body is too large.
  bool send_command(Ms now, Ms wall, const std::string& peer, const std::string& address,
                    std::string body, ResultHandler done);
  // Sends a worker's heartbeat to its owner.
  bool send_heartbeat(Ms now, Ms wall, const std::string& owner, const std::string& worker,
                      std::string body, ResultHandler done);
  // Whether to redirect this worker to its owner now although the owner receives no heartbeats from
  // the zone. One worker at a time tests in this way, at intervals, whether the link works again.
  // Never true for a worker whose last heartbeat was not relayed by this controller, since its
  // lease may be about to expire.
  bool direct_attempt_due(Ms now, const std::string& owner, const std::string& zone,
                          const std::string& worker);

  void on_request(Ms now, Ms wall, const wire::RelayRequest& request);
  void on_reply(Ms now, const wire::RelayReply& reply);
  void tick(Ms now);

  // Whether the request is a heartbeat relayed by a peer.
  static bool is_relayed(std::uint64_t request) { return (request & kRelayedBit) != 0; }
  void reply_to_heartbeat(std::uint64_t request, int status, const std::string& body);

 private:
  static constexpr std::uint64_t kRelayedBit = std::uint64_t{1} << 63U;

  struct Pending {
    std::string peer;
    std::string bytes;  // encoded request, sent again until it is answered
    Ms send_at = 0;
    Ms deadline = 0;
    ResultHandler done;
  };
  // Identifies a request of a peer.
  struct PeerRequest {
    std::string peer;
    std::uint64_t id = 0;
    auto operator<=>(const PeerRequest&) const = default;
  };
  // State of a peer's request. Guards against executing a request twice when the peer sends it
  // again.
  struct HandledRequest {
    Ms at = 0;
    std::string reply;  // empty: not answered yet
  };

  bool send(Ms now, Ms timeout, const std::string& peer, wire::RelayRequest request,
            ResultHandler done);
  void relay_command(const wire::RelayRequest& request);
  void reply_to_peer(const PeerRequest& peer_request, int status, std::string body);
  void remove_expired(Ms now);

  const Context& context_;
  SendToPeer send_to_peer_;
  HeartbeatHandler handle_heartbeat_;
  // Starts at the incarnation of this process, so that a reply to a request of a former incarnation
  // does not match a current one.
  std::uint64_t next_id_;
  std::map<std::uint64_t, Pending> pending_;                 // requests of this controller, by id
  std::map<std::uint64_t, PeerRequest> relayed_heartbeats_;  // of peers, by local request number
  std::uint64_t next_relayed_heartbeat_ = 1;
  std::map<PeerRequest, HandledRequest> handled_requests_;
  int commands_in_flight_ = 0;            // sent to workers for peers
  std::map<std::string, Ms> relayed_at_;  // by worker, last relayed heartbeat with a reply
  std::map<std::pair<std::string, std::string>, Ms> next_direct_attempt_at_;  // by owner and zone
};

}  // namespace scheduler
