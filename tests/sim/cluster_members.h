// The members of a simulated cluster: controllers, the cloud, workers and users' jobs.
#pragma once

#include <algorithm>
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
constexpr double kFetchMs = 400;         // time to fetch an image
constexpr Ms kHeartbeatReplyMs = 4000;   // how long a worker waits for a reply (PROTOCOL)
constexpr double kMachineCpus = 8;       // of the only machine type
constexpr double kMachineMemoryGb = 32;  // of the only machine type
inline const char* const kZones[] = {"a", "b", "c"};  // no controller in c

inline std::string pad(int n) {
  std::string s = std::to_string(n);
  return std::string(s.size() < 6 ? 6 - s.size() : 0, '0') + s;
}

struct SimulatedCluster::SimulatedController {
  std::string name, zone;
  std::unique_ptr<Controller> controller;  // none while the process is down
  std::uint64_t generation = 0;            // of the process: counts starts and crashes
  bool upgraded = true;                    // else it starts as the production version
  bool refused_by_state = false, cut_from_workers = false, cut_from_state = false;
  bool cut_from_peers = false;
  Ms isolated_since = 0;
  Ms down_until = 0;  // not restarted before
  bool paused = false;
  std::vector<std::function<void(Controller&)>> delayed_inputs;  // received while paused
  std::map<std::uint64_t, Respond> pending_requests;             // by request id
};

struct SimulatedCluster::SimulatedCloud {
  struct Machine {
    std::string zone;
    bool spot = false, failed = false;
    Ms provided = 0;  // when it was requested
    Ms up = 0;        // when it starts to run
    Ms listed = 0;    // when the list of machines begins to show it
  };
  std::map<std::string, Machine> machines;
  std::map<std::string, std::vector<std::string>> scale_outs;  // machines, by the request's name
  bool outage = false;
  double requests_left = 0;  // of the rate, with a burst of two seconds' worth (PROTOCOL)
  Ms counted_at = 0;         // when `requests_left` was updated

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
    bool saved = false;      // exited after a checkpoint
    Ms since = 0;            // of the state
    double work_ms = 0;      // done so far
    bool present = false;    // has its image and has not exited: it runs, or waits for its gang
    Ms lost_peer_until = 0;  // of a gang that lost a task: it ends then; 0: the gang is whole
    Ms ends_at = 0;          // of a replica, by itself; 0: never
    ExitCause ends_with = ExitCause::none;
  };
  std::string id, zone, address;
  bool spot = false;
  bool up = false;
  bool dead = false;     // for good: failed, preempted or returned
  bool hanging = false;  // paused: commands wait for it, its lease runs on
  bool fails_tasks = false;
  Ms unreachable_since = 0, heartbeats_lost_since = 0;  // 0: neither
  Ms without_contact_since = 0;  // a cut began, and no controller has reached it since; 0: none
  std::uint64_t life = 1;        // of the agent's process, which a restart ends
  std::uint64_t incarnation = 1, sequence = 0, token = 0;
  Ms lease_from = 0;
  Ms next_heartbeat_at = 0;
  Ms no_heartbeat_before = 0;          // back-off after a failed heartbeat
  bool reporting = false;              // a heartbeat is on its way
  bool changed = false;                // since the last heartbeat
  std::uint64_t heartbeat_number = 0;  // of the last one sent
  std::size_t node = 0;                // index of the controller that it reports to
  Ms preempted_at = 0;                 // as its preemption notice says; 0: no notice
  std::map<wire::TaskId, Task> tasks;
  std::set<wire::TaskId> results_kept;  // replicas done here: any further attempt ends at once
};

// A job or service as its user knows it, and what has become of it.
struct SimulatedCluster::SubmittedJob {
  wire::JobSpec spec;
  double work_ms = 0;   // of each task
  bool uneven = false;  // each task has four times as much more to do as the first
  [[nodiscard]] double work_of(std::uint32_t task) const {
    return work_ms * (uneven ? 1 + 4 * task : 1);
  }
  bool fails_everywhere = false;
  bool accepted = false, told_done = false, told_cancelled = false, asked_cancel = false;
  Ms submitted_at = 0, accepted_at = 0;
  Ms begun_at = 0;  // start of the first task
  Ms cancel_asked_at = 0;
  Ms cancelled_at = 0;       // confirmed to the user
  Ms cancel_planned_at = 0;  // of a service, by its user
  Ms told_at = 0;            // that it has ended
  Ms answered_at = 0;        // last reply about it
  Ms waits_since = 0;        // beside free capacity, as the invariant checker sees it
  std::map<std::uint32_t, double> progress;  // by task, as of its last checkpoint
  double gang_progress = 0;                  // as of the gang's last checkpoint
  std::set<std::uint32_t> completed;
};

// A call of a controller on its way, whose reply is delivered once at most.
struct SimulatedCluster::CallInFlight {
  std::size_t from = 0;  // index of the controller
  std::uint64_t generation = 0;
  Call call;
  std::string far_end;  // as in LinkCut
  int slower = 1;       // factor of the network's delays, as of when it was sent
  bool finished = false;
};

}  // namespace scheduler::sim
