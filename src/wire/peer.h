// What controllers tell one another (CBOR). Hints only: any of them may be lost, late or repeated.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/link_row.h"

namespace scheduler::wire {

// Sent to every other controller at a fixed interval. Versions that don't know the last two entries
// ignore them, and send hints without them.
struct GossipMessage {
  std::string from;
  std::string incarnation;
  std::uint64_t epoch = 0;     // of the newest view the sender knows
  bool state_answers = false;  // the state service answers the sender
  double free_cpus = 0;        // free room of its part
  std::uint64_t sent_ms = 0;   // time of day at which it was sent, milliseconds
  std::vector<LinkRow> links;  // the sender's own row first, then those it has heard of
  // Jobs whose cancellation is recorded, for who can't read the records.
  std::vector<std::string> cancelled;
};

// A message that the receiver is to pass on for a controller that has no link to its destination.
enum class RelayKind : std::uint8_t {
  command = 1,   // to a worker, from the controller that owns it
  heartbeat = 2  // from a worker, to the receiver, which owns it
};
struct RelayRequest {
  std::string from;
  std::uint64_t id = 0;       // of the sender's choice; the answer carries it
  std::uint64_t sent_ms = 0;  // time of day, milliseconds
  RelayKind kind = RelayKind::command;
  std::string address;  // of the worker, for commands
  std::string body;     // of the HTTP request
};
struct RelayReply {
  std::string from;
  std::uint64_t id = 0;
  std::uint64_t status = 0;  // of HTTP; 0: no answer
  std::string body;
};

// monostate: not a message of these.
using PeerMessage = std::variant<std::monostate, GossipMessage, RelayRequest, RelayReply>;

std::string encode(const GossipMessage& gossip_message);
std::string encode(const RelayRequest& request);
std::string encode(const RelayReply& answer);
bool decode(std::string_view bytes, GossipMessage& gossip_message);
PeerMessage decode_peer_message(std::string_view bytes);

// A frame on a peer link: four bytes of length, most significant first, then the message. Versions
// that don't relay take in no more than the size of a hint.
constexpr std::size_t kGossipBytesMost = 4096;     // bytes; a hint takes about 300
constexpr std::size_t kPeerFrameMost = 80 * 1024;  // bytes; a relayed body takes up to 64 KiB

}  // namespace scheduler::wire
