// What one controller knows of its own links, as controllers tell one another.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace scheduler::wire {

// Whether messages arrive.
enum class LinkStatus : std::uint8_t { unknown, up, down };

// Links between a controller and the workers of one zone, in both directions.
struct ZoneLinkStatus {
  LinkStatus reports = LinkStatus::unknown;   // heartbeats, from workers
  LinkStatus commands = LinkStatus::unknown;  // to workers
  std::uint64_t heard_ms = 0;  // time of day of the last heartbeat, milliseconds; 0: none
};

// The links of one controller, as of its own clock.
struct LinkRow {
  std::string controller;
  std::uint64_t as_of_ms = 0;              // time of day of that controller, milliseconds
  LinkStatus state = LinkStatus::unknown;  // to the state service
  LinkStatus cloud = LinkStatus::unknown;
  std::map<std::string, LinkStatus> heard;        // by peer: whether its messages arrive
  std::map<std::string, ZoneLinkStatus> workers;  // by zone
  bool relays = false;  // it relays commands and heartbeats for others (workers/relay.h)
};

}  // namespace scheduler::wire
