// The platform's settings file and the operators' own options.
#pragma once

#include <set>
#include <string>

#include "base/types.h"

namespace scheduler::app {

struct NodeSettings {
  Settings core;
  std::string listen, peer_listen, cloud, state;
  double cpu_share = 0;
  std::set<std::string> unknown_objectives;  // kinds that this version does not know; ignored
};

// Throws std::runtime_error with one clear line.
NodeSettings load_settings(const std::string& path);

struct Options {
  std::string log_level;  // empty: LOG_LEVEL decides
  int tick_ms = 100;
  int max_connections = 0;  // 0: from the platform's limit on sockets
  bool relay = false;       // pass messages on between workers and controllers that have no link
  int machines = 0;         // that the fleet may have; 0: not stated. For checks of the settings.
};
Options load_options(const std::string& path);

}  // namespace scheduler::app
