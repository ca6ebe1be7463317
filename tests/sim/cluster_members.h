// What the parts of the simulated world share: controllers, the cloud, workers and users' jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "workers/timing.h"

namespace scheduler::sim {

using wire::ExitCause;
using wire::TaskState;

constexpr Ms kTickMs = 25;
constexpr double kFetchMs = 400;
constexpr Ms kHeartbeatReplyMs = 4000;  // that a worker waits for the answer to a report (PROTOCOL)
inline const char* const kZones[] = {"a", "b", "c"};  // no controller in c

inline std::string pad(int n) {
  std::string s = std::to_string(n);
  return std::string(s.size() < 6 ? 6 - s.size() : 0, '0') + s;
}

struct SimulatedCluster::SimulatedController {
  std::string name, zone;
  std::unique_ptr<Controller> controller;
  std::uint64_t generation = 0;
  bool upgraded = true;  // else it starts as the production version
  bool refused_by_state = false, cut_from_workers = false, cut_from_state = false;
  bool cut_from_peers = false;
  Ms isolated_since = 0, away_until = 0;
  bool paused = false;
  std::vector<std::function<void(Controller&)>> delayed_inputs;    // what came while it stood still
  std::map<std::uint64_t, std::pair<std::string, Respond>> asked;  // request -> path, answer
};

struct SimulatedCluster::SimulatedCloud {
  struct Machine {
    std::string zone;
    bool spot = false, failed = false;
    Ms rented = 0, up = 0, listed = 0;
  };
  std::map<std::string, Machine> machines;
  std::map<std::string, std::vector<std::string>> scale_outs;
  bool outage = false;
  double requests_left = 0;  // of the rate, with a burst of two seconds' worth (PROTOCOL)
  Ms counted_at = 0;

  bool allows(Ms now, double rate) {
    requests_left =
        std::min(2 * rate, requests_left + rate * static_cast<double>(now - counted_at) / 1000.0);
    counted_at = now;
    if (requests_left < 1) return false;
    requests_left -= 1;
    return true;
  }
};

struct SimulatedCluster::SimulatedWorker {
  struct Task {
    std::uint64_t attempt = 0;
    TaskState state = TaskState::fetching;
    ExitCause cause = ExitCause::none;
    bool saved = false;
    Ms since = 0;  // of the state
    double work_ms = 0;
    bool present = false;  // has its image, has not exited: it is on the machine
    double grace_ms = 0;
    Ms alone_at = 0;
    Ms ends_at = 0;  // of a replica, by itself; 0: never
    ExitCause ends_with = ExitCause::none;
  };
  std::string id, zone, address;
  bool spot = false, up = false, dead = false, hanging = false, sick = false;
  Ms unreachable_since = 0, heartbeats_lost_since = 0;
  Ms unserved_since = 0;  // a cut began, and no controller's word has reached it since
  std::uint64_t life = 1;
  std::uint64_t incarnation = 1, sequence = 0, token = 0;
  Ms lease_from = 0, next_heartbeat_at = 0, waits_until = 0;
  bool reporting = false, changed = false;
  std::uint64_t heartbeat_number = 0;
  std::size_t node = 0;
  Ms notice_ends = 0;
  std::map<wire::TaskId, Task> tasks;
  std::set<wire::TaskId> results_kept;  // replicas that were done here end at once from then on
};

struct SimulatedCluster::SubmittedJob {
  wire::JobSpec spec;
  double work_ms = 0;
  bool uneven = false;  // each task has four times as much more to do as the first
  double work_of(std::uint32_t task) const { return work_ms * (uneven ? 1 + 4 * task : 1); }
  bool mistake = false;  // fails on every machine
  bool accepted = false, told_done = false, told_cancelled = false, asked_cancel = false;
  Ms cancelled_at = 0, told_at = 0, answered_at = 0, submitted_at = 0, begun_at = 0;
  Ms cancel_asked_at = 0;
  Ms cancel_planned_at = 0;  // of a service, by its user
  Ms accepted_at = 0, waits_since = 0;
  std::map<std::uint32_t, double> progress;  // saved, per task
  double gang_progress = 0;
  std::set<std::uint32_t> completed;
  std::map<std::uint64_t, Ms> gang_first_stop;  // by attempt
};

}  // namespace scheduler::sim
