// What controllers tell one another (CBOR): gossip messages, and messages relayed to and from
// workers. Any of them may be lost, late or repeated.
//
// Keys of the format that differ from the names here: state and free: whether the state service
// answers, and free CPUs; sent: time of day; at: as_of_ms; heard: links from peers; workers: links
// to and from workers by zone; "relay" tells requests (their kind) and replies (255) from gossip.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wire/decode_error.h"
#include "wire/link_row.h"

namespace scheduler::wire {

// Sent to every other controller at a fixed interval. Versions that don't know the last two entries
// ignore them, and send gossip messages without them.
struct GossipMessage {
  std::string from;
  std::string incarnation;
  std::uint64_t epoch = 0;     // of the newest view the sender knows
  bool state_answers = false;  // the state service answers the sender
  double free_cpus = 0;        // in its shard
  std::uint64_t sent_ms = 0;   // time of day at which it was sent, milliseconds
  std::vector<LinkRow> links;  // the sender's own row first, then those it has heard of
  // Jobs whose cancellation is recorded, for controllers that can't read the records.
  std::vector<std::string> cancelled;
};

// What the receiver is to pass on.
enum class RelayKind : std::uint8_t {
  command = 1,   // to a worker, from the controller that owns it
  heartbeat = 2  // from a worker, to the receiver, which owns it
};
// A message that the receiver is to pass on for a controller that has no link to its destination.
struct RelayRequest {
  std::string from;
  std::uint64_t id = 0;       // of the sender's choice; the reply carries it
  std::uint64_t sent_ms = 0;  // time of day, milliseconds
  RelayKind kind = RelayKind::command;
  std::string address;  // of the worker, for commands
  std::string body;     // of the HTTP request
};
// What came back for a relayed message.
struct RelayReply {
  std::string from;
  std::uint64_t id = 0;
  std::uint64_t status = 0;  // of HTTP; 0: no reply
  std::string body;
};

using PeerMessage = std::variant<GossipMessage, RelayRequest, RelayReply>;

// The bytes of a message; empty if they can't be had.
std::string encode(const GossipMessage& gossip_message);
std::string encode(const RelayRequest& request);
std::string encode(const RelayReply& reply);

// Reads a gossip message. All but the last two entries are required, and free CPUs are finite.
// Links that can't be read are left out whole, and cancelled jobs from the first that can't.
template <>
Decoded<GossipMessage> decode<GossipMessage>(std::string_view text);
// Reads a message of any kind; of relayed ones every entry is required.
template <>
Decoded<PeerMessage> decode<PeerMessage>(std::string_view text);

// A frame on a peer link: four bytes of length, most significant first, then the message. Versions
// that don't relay take in no more than the size of a gossip message.
constexpr std::size_t kGossipBytesMost = 4096;  // bytes; a gossip message takes about 300
constexpr std::size_t kPeerFrameMost =
    std::size_t{80} * 1024;  // bytes; a relayed body takes up to 64 KiB

}  // namespace scheduler::wire
