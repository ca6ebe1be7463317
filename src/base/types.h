// Inputs and outputs of the scheduler core: settings, requests, replies, outbound calls, log lines.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "wire/records.h"

namespace scheduler {

// Seconds within which a job without a deadline or objective should complete.
constexpr double kDefaultHorizonS = 600.0;
// Seconds in the Retry-After header; kRetryAfterOutageS applies where the cause may last longer.
constexpr int kRetryAfterS = 1;
constexpr int kRetryAfterOutageS = 2;

using Ms = std::int64_t;  // milliseconds, of the steady clock unless the name says otherwise
constexpr Ms to_ms(double seconds) { return static_cast<Ms>(seconds * 1000.0); }

struct Team {
  std::string name;
  // CPUs and GPUs that are guaranteed to the team, and its limits (*_max). 0: none.
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

enum class ObjectiveKind : std::uint8_t {
  deadline,  // jobs complete within their deadline multiplied by `deadline_factor`
  finished,  // jobs complete within `within_s`
  wait,      // tasks start within `within_s`
  up         // replicas of services run; replica time counts from `within_s` on
};

// A service-level objective of a job class: the fraction `share` of its jobs, tasks or replica time
// meets the target.
struct Objective {
  ObjectiveKind kind = ObjectiveKind::deadline;
  std::string job_class;
  double share = 0, deadline_factor = 0, within_s = 0;
};

// Another controller.
struct Peer {
  std::string name, zone, address;
};

struct Settings {
  std::string name, zone;
  std::vector<Peer> peers;
  std::vector<std::string> zones;  // zones in which machines may be rented
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  int controllers = 1;  // number of configured controllers
  // Timing of workers, in seconds: the heartbeat interval, the lease, how long a gang's task waits
  // for the other tasks to start, how long it runs on after losing one of them, and how long a
  // cancelled task may run after the reply to the user.
  double heartbeat_interval_s = 0, lease_s = 0, gang_wait_s = 0, gang_peer_s = 0, cancel_s = 0;
  // Limits of the state service: requests and writes per second, KB per value, operations per
  // transaction. If the settings announce lower limits, these are the lower ones, because the
  // change takes effect without notice.
  double state_rps = 0, state_write_rps = 0, value_kb = 0;
  int txn_ops = 0;
  // The current limit on the size of a stored value, before an announced reduction. The production
  // version still writes values of up to this size.
  double current_value_kb = 0;
  // The newest record format that this controller reads and writes (wire/records.h).
  std::uint32_t record_format = wire::kServiceFormat;
  // Limit on requests per second to the cloud, and seconds by which its machine list may lag.
  double cloud_rps = 0, list_lag_s = 0;
  // Limits of this process (`machine_limits`): megabytes of memory and open sockets. 0: not set, as
  // in tests of single components.
  double memory_mb = 0;
  int sockets = 0;
  // Maximum number of machines that the operators expect; 0: not set. Only the checks of the
  // settings use it.
  int expected_machines = 0;
  // Whether this controller relays commands and heartbeats for other controllers, and sends its own
  // through them where it has no direct link (workers/relay.h).
  bool relays = false;
  // Whether to build debug log lines; building them takes processor time.
  bool log_debug = true;
};

enum class Target : std::uint8_t { state, cloud, worker };

// An outbound request of the core. Its result is returned to the core under the same id.
struct Call {
  std::uint64_t id = 0;
  Target target = Target::state;
  std::string address;  // set for workers only
  std::string method, path, body;
  Ms timeout = 0;
};

// Values of HttpResult::status besides HTTP statuses. kNoReply: no reply was received, and the
// request may have been executed or may still be executed. kReplyTooLarge: the reply exceeded
// Capacity::response_bytes.
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
  int retry_after_s = 0;  // 0: no Retry-After header
};

enum class LogLevel : std::uint8_t { debug, info, error };
struct LogLine {
  LogLevel level;
  std::string text;
};

}  // namespace scheduler
