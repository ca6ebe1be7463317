// What one controller knows of its own links, as controllers tell one another.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace scheduler::wire {

enum class LinkStatus : std::uint8_t { unknown, up, down };

// Links between a controller and the workers of one zone, in both directions.
struct ZoneLinkStatus {
  LinkStatus reports = LinkStatus::unknown;   // from workers
  LinkStatus commands = LinkStatus::unknown;  // to workers
  std::uint64_t heard_ms = 0;  // time of day of the last report, milliseconds; 0: none
};

struct LinkRow {
  std::string controller;
  std::uint64_t as_of_ms = 0;  // time of day of that controller, milliseconds
  LinkStatus state = LinkStatus::unknown;
  LinkStatus cloud = LinkStatus::unknown;
  std::map<std::string, LinkStatus> heard;        // by peer: whether its messages arrive
  std::map<std::string, ZoneLinkStatus> workers;  // by zone
  bool relays = false;  // it passes commands and reports on for others (wire/relay.h)
};

}  // namespace scheduler::wire
