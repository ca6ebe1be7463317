// The invariant violations and measurements of a simulated run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace scheduler::sim {

struct Result {
  std::vector<std::string> violations;  // the first 20 invariant violations: name, time and details
  std::vector<std::string> unfinished;  // accepted jobs not reported as ended by the end of the run
  std::uint64_t fingerprint = 0;        // hash of all outputs of controllers (sim/fingerprint.h)

  // ---- jobs ----

  int accepted = 0, done = 0, cancelled = 0;  // counted by replies to users
  int starts = 0;                             // start commands that workers received
  int gangs_done = 0;
  int spread_done = 0;           // completed jobs whose tasks are spread over zones
  bool large_gang_done = false;  // the gang of Options::large_gang completed
  int checkpointed_stops = 0;    // tasks stopped after a checkpoint
  // Jobs submitted at least four minutes before the end of the run, and how many of them completed.
  // Keys: "class NAME", "team NAME", and "largest NAME" for the largest tenth of each class.
  // "services": all accepted services, and how many of them were confirmed as cancelled.
  std::map<std::string, std::pair<int, int>> served;
  int large_jobs = 0;       // jobs in the largest tenth of their class
  int large_jobs_late = 0;  // large jobs that did not start within four minutes
  std::map<std::string, double> peak_cpus_by_team;  // peak of the CPUs in use by team
  // Confirmed cancellations: time of the first request, and time of the confirmation to the user.
  std::vector<std::pair<Ms, Ms>> cancellations;

  // ---- services ----

  int services = 0;          // accepted services
  int replicas_ended = 0;    // replicas that exited without a stop command
  int replica_restarts = 0;  // starts of replicas that had run before
  // Seconds in the second phase, summed over replicas: while the replica ran or there was capacity
  // for it, and while it ran.
  int replica_seconds_expected = 0, replica_seconds_running = 0;
  int replicas_recovered = 0;  // replicas that run again after the failure of their machine
  Ms replica_downtime_ms = 0;  // total downtime of the recovered replicas

  // ---- the state service ----

  std::uint64_t writes = 0;                // writes in executed transactions
  int views = 0;                           // versions of the cluster view
  int oversized_txns = 0;                  // transactions refused because of their size
  int throttled_txns = 0;                  // transactions refused because of the write rate limit
  int failed_txns = 0;                     // transactions of which a condition failed
  int peak_requests = 0, peak_writes = 0;  // most requests and writes in one second
  int compacted_watches = 0;  // watches that got the reply 410, so that the controller reloads
  int late_txns_applied = 0;  // delayed transactions that succeeded
  int late_txns_failed = 0;   // delayed transactions that were refused
  int oversized_replies = 0;  // replies larger than the limit of a controller
  // Values larger than Options::limits_after allows, once all controllers are upgraded.
  int oversized_at_upgrade = 0;
  // Values larger than Options::limits_after allows, when the limits are reduced.
  int oversized_at_drop = 0;

  // ---- fleet ----

  // Machines of the cloud at the end of the run, and their peak number.
  int machines = 0, peak_machines = 0;
  // Running machines whose current incarnation is in some controller's replica.
  int machines_known = 0;
  int list_pages = 0;              // pages read of the cloud's machine list
  int cloud_throttled = 0;         // requests to the cloud refused because of the rate limit
  int healthy_scale_ins = 0;       // healthy machines returned to the cloud in the first phase
  int running_tasks_returned = 0;  // tasks on machines when these were returned in the first phase

  // ---- how often the situations occurred that planned faults are meant to cause ----

  int lease_expiries = 0;              // tasks that ended because their worker's lease expired
  int restarts_during_zone_cut = 0;    // of these tasks, restarted while a zone was cut off
  int zone_bound_tasks_lost = 0;       // tasks of zone-bound jobs whose machine failed
  int delayed_heartbeats_arrived = 0;  // heartbeats that arrived after another controller had acted
  int duplicate_heartbeats_arrived = 0;  // copies of earlier heartbeats that arrived
  int requests_at_end = 0;  // jobs that users cancelled, read or resubmitted as the last task ended
  int invalid_requests_answered = 0;
  // Start commands on machines whose heartbeats reach no controller.
  int starts_without_heartbeats = 0;
  int starts_on_unreachable = 0;  // start commands on machines unreachable for more than 8 s
  // Attempts to deliver a command to a hanging machine; each is retried 500 ms later.
  int late_commands = 0;
  int restarts_held = 0;  // machines that received nothing while a task was to restart on them
  int hangs_during_cancellation = 0;  // machines that hang while their jobs are cancelled
  int concurrent_reads = 0;   // replies after which users read the job at all controllers at once
  int reads_at_isolated = 0;  // users' requests to which an isolated controller replied
  // Replies to /healthz: of controllers isolated for more than 10 s, and of other controllers
  // during an outage of the state service.
  int isolated_healthy = 0, isolated_unhealthy = 0, outage_healthy = 0, outage_unhealthy = 0;
  // In runs with link cuts: for each worker that was up at the start of a cut, the time until its
  // next contact with a controller or until the end of the cut.
  std::vector<Ms> without_contact_ms;
  // Health checks without a reply of status 200, by controller.
  std::map<std::string, int> unhealthy;

  // Longest time that a controller took to handle one input. This is real time, so it differs
  // between runs with the same seed.
  double longest_input_ms = 0;
};

}  // namespace scheduler::sim
