// The platform's settings file and the operators' own options. Both are formats of their own, whose
// names are mapped to the program's here: report_s is the interval of heartbeats, ram_mb the memory
// and fd_limit the sockets that the process may hold.
#pragma once

#include <set>
#include <string>

#include "base/types.h"

namespace scheduler::app {

// What the platform's file says.
struct NodeSettings {
  Settings core;
  std::string listen;        // IP address and port for users, workers and health checks
  std::string peer_listen;   // the same for other controllers
  std::string cloud, state;  // addresses of the cloud and the state service
  double cpu_share = 0;      // of a CPU, that the process may take
  std::set<std::string> unknown_objectives;  // kinds that this version does not know; ignored
};

// Reads and checks the platform's file. Throws std::runtime_error with one line that names the
// first setting that is missing or wrong.
NodeSettings load_settings(const std::string& path);

// What the operators set.
struct Options {
  std::string log_level;    // empty: LOG_LEVEL decides
  int tick_ms = 100;        // milliseconds between ticks at most
  int max_connections = 0;  // 0: from the platform's limit on sockets
  bool relay = false;       // relay messages between workers and controllers that have no link
  int machines = 0;         // that the fleet may have; 0: not stated. For checks of the settings.
};
// Reads and checks the operators' file, in which every option may be absent and none may be
// unknown. Throws as load_settings does.
Options load_options(const std::string& path);

}  // namespace scheduler::app
