// The state of the parts of a simulated cluster: controllers, the cloud, workers and jobs.
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
constexpr double kImageFetchMs = 400;    // time a worker takes to fetch an image
constexpr Ms kReplyTimeoutMs = 4000;     // timeout of heartbeats and of user requests (PROTOCOL)
constexpr double kMachineCpus = 8;       // CPUs of the only machine type
constexpr double kMachineMemoryGb = 32;  // memory of the only machine type
inline const char* const kZones[] = {"a", "b", "c"};  // zone c has no controller

inline std::string six_digits(int n) {
  std::string s = std::to_string(n);
  return std::string(s.size() < 6 ? 6 - s.size() : 0, '0') + s;
}

struct SimulatedCluster::SimulatedController {
  std::string name, zone;
  std::unique_ptr<Controller> controller;  // null while the process is down
  std::uint64_t generation = 0;            // incremented at each start and crash of the process
  bool upgraded = true;                    // false: the process starts with the production version
  bool refused_by_state = false, cut_from_workers = false, cut_from_state = false;
  bool cut_from_peers = false;
  Ms isolated_since = 0;  // 0: not isolated
  Ms down_until = 0;      // the process is not restarted before this time
  bool paused = false;
  std::vector<std::function<void(Controller&)>> delayed_inputs;  // inputs received while paused
  std::map<std::uint64_t, Respond> pending_requests;             // reply callbacks by request id
};

struct SimulatedCluster::SimulatedCloud {
  struct Machine {
    std::string zone;
    bool spot = false, failed = false;
    Ms requested_at = 0;  // time of the scale-out request
    Ms running_from = 0;  // time at which it starts to run
    Ms listed_from = 0;   // time from which the cloud's machine list includes it
  };
  std::map<std::string, Machine> machines;
  // Machine ids by name of the scale-out request.
  std::map<std::string, std::vector<std::string>> scale_outs;
  bool outage = false;
  double requests_left = 0;  // token bucket that holds two seconds of the rate (PROTOCOL)
  Ms refilled_at = 0;        // time of the last update of `requests_left`

  bool allows(Ms now, double rate) {
    requests_left =
        std::min(2 * rate, requests_left + rate * static_cast<double>(now - refilled_at) / 1000.0);
    refilled_at = now;
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
    bool saved = false;  // the task wrote a checkpoint before it exited
    Ms state_since = 0;  // time of the last state change
    double work_ms = 0;  // work done so far
    // The image is fetched and the task has not exited: it runs or waits for its gang.
    bool active = false;
    // Time at which the task exits because its gang lost a task; 0: the gang is complete.
    Ms exit_without_peers_at = 0;
    Ms exits_at = 0;  // time at which a service replica exits by itself; 0: never
    ExitCause exits_with = ExitCause::none;
  };
  std::string id, zone, address;
  bool spot = false;
  bool up = false;
  bool dead = false;  // permanently: the machine failed, was preempted or was returned to the cloud
  bool hanging = false;  // the agent is paused: commands are delayed, but its lease still expires
  bool fails_tasks = false;
  Ms unreachable_since = 0, heartbeats_lost_since = 0;  // 0: no such fault
  // Start of a link cut, until the next contact with a controller; 0: none.
  Ms no_contact_since = 0;
  std::uint64_t agent_generation = 1;  // incremented when the agent's process restarts
  std::uint64_t incarnation = 1, sequence = 0, token = 0;
  Ms lease_start = 0;
  Ms next_heartbeat_at = 0;
  Ms backoff_until = 0;                  // end of the back-off after a failed heartbeat
  bool heartbeat_in_flight = false;      // a heartbeat awaits its reply
  bool changed_since_heartbeat = false;  // tasks or incarnation changed since the last heartbeat
  std::uint64_t heartbeat_number = 0;    // number of the last heartbeat sent
  std::size_t controller_index = 0;      // the controller to which the worker sends its heartbeats
  Ms preempted_at = 0;  // preemption time given by the preemption notice; 0: no notice
  // Messages from controllers are held back and delivered in order when this ends.
  bool incoming_held = false;
  std::vector<std::function<void()>> held_commands;
  std::map<wire::TaskId, Task> tasks;  // the newest accepted attempt of each task
  // Exited attempts of tasks that have another attempt in `tasks`. They are listed until a command
  // clears them.
  std::map<std::pair<wire::TaskId, std::uint64_t>, Task> other_attempts;
  std::set<wire::TaskId> completed_replicas;  // replicas that exited as done on this worker: a
                                              // further attempt exits as done immediately
};

// A job or service as its user submitted it, the replies that the user received, and its progress.
struct SimulatedCluster::SubmittedJob {
  wire::JobSpec spec;
  double work_ms = 0;  // work of each task
  // The work grows with the task index: the work of task i is (1 + 4 * i) times work_ms.
  bool uneven = false;
  [[nodiscard]] double work_of(std::uint32_t task) const {
    return work_ms * (uneven ? 1 + 4 * task : 1);
  }
  bool fails_everywhere = false;
  bool accepted = false, reported_done = false, reported_cancelled = false,
       cancel_requested = false;
  Ms submitted_at = 0, accepted_at = 0;
  Ms first_start_at = 0;  // start of the first task; 0: not started
  Ms cancel_requested_at = 0;
  Ms cancel_confirmed_at = 0;  // time of the first reply that confirmed the cancellation
  Ms cancel_planned_at = 0;    // time at which the user cancels a service; 0: not planned
  Ms end_reported_at = 0;      // time of the first reply that reported the end of the job
  Ms last_reply_at = 0;        // time of the last reply about the job
  Ms waiting_since = 0;        // the job waits despite free capacity since this time; 0: no
  std::map<std::uint32_t, double> progress;  // work saved by the last checkpoint, by task
  double gang_progress = 0;                  // work saved by the gang's last checkpoint
  std::set<std::uint32_t> completed;
};

// A call of a controller that awaits its reply. Only the first reply or timeout is delivered.
struct SimulatedCluster::PendingCall {
  std::size_t from = 0;  // index of the calling controller
  std::uint64_t generation = 0;
  Call call;
  std::string remote_end;  // name of the called end, as in LinkCut
  int delay_factor = 1;    // factor of the network delays at the time of sending
  bool finished = false;
};

}  // namespace scheduler::sim
