// CBOR messages between controllers: gossip messages, and messages that are relayed to and from
// workers. A message may be lost, delayed or duplicated.
//
// Keys in the format and their meaning:
//
//   state    in a gossip message: whether the state service answers the sender; in a row of links:
//            the link to the state service
//   free     free CPUs in the sender's shard
//   sent     time of day at which the message was sent
//   at       time of day of a row of links
//   heard    links from peers, by peer
//   workers  links to and from workers, by zone
//   relay    kind of a relay request, or 255 for a relay reply; absent in a gossip message
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/decode_error.h"
#include "wire/link_row.h"

namespace scheduler::wire {

// A controller sends this to every other controller at a fixed interval. Older versions ignore the
// last two entries and send gossip messages without them.
struct GossipMessage {
  std::string from;
  std::string incarnation;
  std::uint64_t epoch = 0;             // epoch of the newest cluster view that the sender knows
  bool state_service_answers = false;  // whether the state service answers the sender
  double free_cpus = 0;                // free CPUs in the sender's shard
  std::uint64_t sent_ms = 0;           // time of day of sending, milliseconds
  std::vector<LinkRow> links;  // the sender's own row, then rows that it received from peers
  // Jobs whose cancellation is recorded in the state service, for controllers that can't reach it.
  std::vector<std::string> cancelled;
};

// Type of a relayed message.
enum class RelayKind : std::uint8_t {
  command = 1,   // from the controller that owns a worker, to the worker
  heartbeat = 2  // from a worker, to the receiver, which owns the worker
};
// Asks the receiver to deliver a message on behalf of a sender that has no link to the destination.
struct RelayRequest {
  std::string from;
  std::uint64_t id = 0;       // chosen by the sender; the reply repeats it
  std::uint64_t sent_ms = 0;  // time of day, milliseconds
  RelayKind kind = RelayKind::command;
  std::string address;  // address of the worker; commands only
  std::string body;     // body of the HTTP request
};
// The result of a relay request.
struct RelayReply {
  std::string from;
  std::uint64_t id = 0;
  std::uint64_t status = 0;  // HTTP status; 0: no reply
  std::string body;
};

using PeerMessage = std::variant<GossipMessage, RelayRequest, RelayReply>;

// Encodes a message. Returns an empty string if libcbor can't encode it.
std::string encode(const GossipMessage& gossip_message);
std::string encode(const RelayRequest& request);
std::string encode(const RelayReply& reply);

// Decodes a gossip message. All entries except `links` and `cancelled` are required, and the free
// CPUs must be finite. If any row of links is invalid, all rows are dropped. Cancelled jobs are
// kept up to the first invalid entry.
template <>
Decoded<GossipMessage> decode<GossipMessage>(std::string_view text);
// Decodes a message of any type. Every entry of a relay request or reply is required.
template <>
Decoded<PeerMessage> decode<PeerMessage>(std::string_view text);

// A frame on a peer link is a length of four bytes, most significant byte first, and the message.
// Versions without relaying accept frames of up to kMaxGossipBytes bytes only. A gossip message
// takes about 300 bytes.
constexpr std::size_t kMaxGossipBytes = 4096;
// Largest frame in bytes. Controllers relay bodies of up to 60 KiB.
constexpr std::size_t kMaxPeerFrameBytes = std::size_t{80} * 1024;

}  // namespace scheduler::wire
