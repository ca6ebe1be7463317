// Default settings for tests of one controller or of one of its components.
#pragma once

#include "base/types.h"

namespace scheduler {

// Settings of a controller in zone a without peers, with one team that has no quota.
inline Settings single_controller_settings() {
  Settings s;
  s.name = "puffin-0";
  s.zone = "a";
  s.teams = {{"t", 0, 0, 0, 0}};
  s.heartbeat_interval_s = 1;
  s.lease_s = 8;
  s.gang_wait_s = 6;
  s.gang_peer_s = 2;
  s.cancel_s = 20;
  s.state_rps = 400;
  s.state_write_rps = 150;
  s.value_kb = 8;
  s.txn_ops = 24;
  s.cloud_rps = 5;
  s.list_lag_s = 1;
  return s;
}

}  // namespace scheduler
