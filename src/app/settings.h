// Reads the platform's settings file and the operators' options file. Some names in the settings
// file differ from those in the code: report_s is the heartbeat interval, ram_mb the memory and
// fd_limit the number of sockets that the process may use.
#pragma once

#include <set>
#include <string>

#include "base/types.h"

namespace scheduler::app {

// Settings of one controller, from the platform's file.
struct NodeSettings {
  Settings core;
  std::string listen;        // IP address and port for users, workers and health checks
  std::string peer_listen;   // IP address and port for other controllers
  std::string cloud, state;  // addresses of the cloud and the state service
  double cpu_share = 0;      // share of a CPU that the process may use
  std::set<std::string> unknown_objectives;  // kinds that this version doesn't support; ignored
};

// Reads and checks the platform's file. Throws std::runtime_error with one line that names the
// first setting that is missing or invalid.
NodeSettings load_settings(const std::string& path);

// Options from the operators' file.
struct Options {
  std::string log_level;    // empty: taken from the LOG_LEVEL variable
  int tick_ms = 100;        // maximum milliseconds between two ticks
  int max_connections = 0;  // 0: derived from the platform's limit on sockets
  bool relay = false;       // relay messages between workers and controllers that have no link
  int machines = 0;         // expected size of the fleet, for capacity checks; 0: not given
};
// Reads and checks the operators' file. Every option may be absent; an unknown option is an error.
// Throws std::runtime_error with one line that names the first invalid option.
Options load_options(const std::string& path);

}  // namespace scheduler::app
