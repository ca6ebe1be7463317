// The state of one controller's links, as controllers exchange it by gossip.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace scheduler::wire {

// Whether messages get through on a link.
enum class LinkStatus : std::uint8_t { unknown, up, down };

// State of the links between a controller and the workers of one zone, for each direction.
struct ZoneLinkStatus {
  LinkStatus heartbeats = LinkStatus::unknown;  // workers to controller: heartbeats
  LinkStatus commands = LinkStatus::unknown;    // controller to workers
  // Time of day at which the controller received the last heartbeat from the zone, in milliseconds;
  // 0 if none.
  std::uint64_t last_heartbeat_ms = 0;
};

// One controller's row of the link matrix: the state of its links at one point in time.
struct LinkRow {
  std::string controller;
  std::uint64_t as_of_ms = 0;              // time of day by that controller's clock, milliseconds
  LinkStatus state = LinkStatus::unknown;  // link to the state service
  LinkStatus cloud = LinkStatus::unknown;  // link to the cloud
  std::map<std::string, LinkStatus> from_peers;   // by peer: link from the peer to the controller
  std::map<std::string, ZoneLinkStatus> workers;  // by zone
  bool relays = false;  // relays commands and heartbeats for other controllers (workers/relay.h)
};

}  // namespace scheduler::wire
