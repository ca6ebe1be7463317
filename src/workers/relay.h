// Messages that are passed on through another controller, where there is no link between a
// controller and a worker.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <utility>

#include "base/types.h"
#include "membership/context.h"
#include "wire/peer.h"

namespace scheduler {

// A command goes to its worker through a peer under the same token and incarnation, and a heartbeat
// to its owner, whose answer the worker takes since any controller may give it under an equal token
// (PROTOCOL, "Tokens"). So nothing that holds for a direct message is different for one that is
// passed on: it may be lost, late or carried out twice. Who passes on decides nothing and keeps
// nothing but the request that waits for its answer.
class Relay {
 public:
  using Send = std::function<void(const std::string& peer, std::string bytes)>;
  // Hands a heartbeat that a peer has passed on to the controller; its answer comes by
  // `answer_report` with the same number.
  using TakeHeartbeat = std::function<void(Ms now, std::uint64_t request, const std::string& body)>;

  Relay(const Context& context, Send send, TakeHeartbeat apply_heartbeat);

  // Sends a command to a worker through `peer`. `done` is called with the worker's answer, or with
  // kNoAnswer: then it may have been executed, or may still be. False if too many are under way.
  bool send_command(Ms now, Ms wall, const std::string& peer, const std::string& address,
                    std::string body, ResultHandler done);
  // Passes a worker's report on to its owner.
  bool send_heartbeat(Ms now, Ms wall, const std::string& owner, const std::string& worker,
                      std::string body, ResultHandler done);
  // One worker of a zone in a while is sent to its owner although that doesn't hear the zone, so
  // that it is found out when it does again. True if that is to be this one; never one whose last
  // heartbeat was not passed on here, since its lease may be about to end.
  bool direct_attempt_due(Ms now, const std::string& owner, const std::string& zone,
                          const std::string& worker);

  void on_request(Ms now, Ms wall, const wire::RelayRequest& request);
  void on_reply(Ms now, const wire::RelayReply& reply);
  void tick(Ms now);

  // Whether a request of the controller is a heartbeat that a peer has passed on.
  static bool is_relayed(std::uint64_t request) { return (request & kRelayedBit) != 0; }
  void reply_to_heartbeat(std::uint64_t request, int status, const std::string& body);

 private:
  static constexpr std::uint64_t kRelayedBit = std::uint64_t{1} << 63U;

  struct Pending {
    std::string peer;
    std::string bytes;  // sent again until it is answered
    Ms send_at = 0;
    Ms deadline = 0;
    ResultHandler done;
  };
  // A request of a peer.
  struct Asked {
    std::string peer;
    std::uint64_t id = 0;
    auto operator<=>(const Asked&) const = default;
  };
  // What became of it. Guards against carrying out a request twice that was sent again.
  struct Handled {
    Ms at = 0;
    std::string reply;  // empty: not answered yet
  };

  bool send(Ms now, Ms timeout, const std::string& peer, wire::RelayRequest request,
            ResultHandler done);
  void pass_command(const wire::RelayRequest& request);
  void reply_to_peer(const Asked& asked, int status, std::string body);
  void forget(Ms now);

  const Context& context_;
  Send send_;
  TakeHeartbeat take_heartbeat_;
  // Begins with the incarnation: an answer to a former one's request must not pass for one to ours.
  std::uint64_t next_id_;
  std::map<std::uint64_t, Pending> pending_;           // of ours, by id
  std::map<std::uint64_t, Asked> relayed_heartbeats_;  // of peers, by our number
  std::uint64_t next_relayed_heartbeat_ = 1;
  std::map<Asked, Handled> handled_;
  int commands_in_flight_ = 0;              // of peers, under way to workers
  std::map<std::string, Ms> passed_on_at_;  // by worker, whose report was passed on and answered
  std::map<std::pair<std::string, std::string>, Ms> direct_attempt_at_;  // by owner and zone
};

}  // namespace scheduler
