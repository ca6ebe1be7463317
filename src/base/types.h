// What goes into the core and what comes out of it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "wire/records.h"

namespace scheduler {

// Seconds in which a job without any objective should be through.
constexpr double kDefaultHorizonS = 600.0;
// Seconds named in Retry-After.
constexpr int kRetryAfterS = 1;
constexpr int kRetryAfterOutageS = 2;

using Ms = std::int64_t;  // milliseconds of the steady clock, unless named otherwise
constexpr Ms to_ms(double seconds) { return static_cast<Ms>(seconds * 1000.0); }

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  // 0: none
};

enum class ObjectiveKind : std::uint8_t {
  deadline,  // jobs done by their deadline, times a factor
  finished,  // jobs done within a time
  wait,      // tasks started within a time
  up         // replica time served from a time on
};

// What is expected of a class of jobs.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::deadline;
  std::string job_class;
  double share = 0, times = 0, within_s = 0;
};

struct Peer {
  std::string name, zone, address;
};

struct Settings {
  std::string name, zone;
  std::vector<Peer> peers;
  std::vector<std::string> zones;  // that machines may be in
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  int controllers = 1;
  double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  // Limits of the state service. Where the settings announce lower ones for later, these are the
  // lower ones, since the change comes without notice.
  double state_rps = 0, state_write_rps = 0, value_kb = 0;
  int txn_ops = 0;
  // What a stored value may take today; the production version still writes that much.
  double stored_value_kb = 0;
  // The newest format of records that this controller reads and writes (wire/records.h).
  std::uint32_t record_format = wire::kServiceFormat;
  double cloud_rps = 0, list_lag_s = 0;
  // What this process may hold (`machine_limits`): megabytes of memory and open sockets. 0: not
  // stated, as in tests of single components.
  double memory_mb = 0;
  int sockets = 0;
  // Machines that the operators expect at most; 0: not stated. Only checks of the settings use it.
  int expected_machines = 0;
  // Whether this controller passes commands and heartbeats on for others, and has its own passed on
  // (workers/relay.h).
  bool relays = false;
  // Whether lines of level debug are wanted; building them costs time.
  bool log_debug = true;
};

enum class Target : std::uint8_t { state, cloud, worker };

// A request that the core wants sent. Its outcome comes back with the same number.
struct Call {
  std::uint64_t id = 0;
  Target target = Target::state;
  std::string address;  // workers only
  std::string method, path, body;
  Ms timeout = 0;
};

// Statuses of an Outcome besides those of HTTP. No answer: the request may have been executed or
// may still be. Too large: it was answered, by more than is taken in (base/capacity.h).
constexpr int kNoReply = 0;
constexpr int kReplyTooLarge = -1;

struct HttpResult {
  int status = kNoReply;
  std::string body;
};
using ResultHandler = std::function<void(Ms now, const HttpResult&)>;

struct Request {
  std::string method, path, body;
};

struct HttpReply {
  std::uint64_t request = 0;
  int status = 0;
  std::string body;
  int retry_after_s = 0;  // 0: none
};

enum class LogLevel : std::uint8_t { debug, info, error };
struct LogLine {
  LogLevel level;
  std::string text;
};

}  // namespace scheduler
