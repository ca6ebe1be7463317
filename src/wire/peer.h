// What controllers tell one another (CBOR). Hints only: any of them may be lost, late or repeated.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace puffinhaven::wire {

struct PeerHint {
  std::string from;
  std::string incarnation;
  std::uint64_t epoch = 0;     // of the newest view the sender knows
  bool state_answers = false;  // the state service answers the sender
  double free_cpus = 0;        // free room of its part
  std::uint64_t sent_ms = 0;   // time of day at which it was sent, milliseconds
};

std::string encode(const PeerHint& hint);
bool decode(std::string_view bytes, PeerHint& hint);

// A frame on a peer link: four bytes of length, most significant first, then the hint.
constexpr std::size_t kPeerFrameMost = 4096;  // bytes; a hint takes about 150

}  // namespace puffinhaven::wire
