// What a simulated run found and measured.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"

namespace scheduler::sim {

struct Result {
  std::vector<std::string> violations;  // invariant violations: name, time, what happened; 20 most
  std::vector<std::string> unfinished;  // accepted jobs that had not ended by the end of the run
  std::uint64_t fingerprint = 0;        // of all outputs of controllers (sim/fingerprint.h)

  // ---- jobs ----

  int accepted = 0, done = 0, cancelled = 0;  // as users were told
  int starts = 0;                             // start commands that workers executed
  int gangs_done = 0;
  int spread_done = 0;           // jobs spread over zones that completed
  bool large_gang_done = false;  // the one of Options::large_gang
  int checkpointed_stops = 0;    // tasks stopped after a checkpoint
  // Jobs old enough to have completed, and those that did: by "class NAME", "team NAME", and
  // "largest NAME" for the largest tenth of each class; "services" counts those cancelled in time.
  std::map<std::string, std::pair<int, int>> served;
  int large_jobs = 0;                       // jobs in the largest tenth of their class
  int large_jobs_late = 0;                  // of these, not started within four minutes
  std::map<std::string, double> most_used;  // peak of the CPUs in use, by team
  // Confirmed cancellations: when first requested, and when confirmed to the user.
  std::vector<std::pair<Ms, Ms>> cancellations;

  // ---- services ----

  int services = 0;          // accepted
  int replicas_ended = 0;    // exits of replicas by themselves
  int replica_restarts = 0;  // starts of replicas that had run before
  // Seconds of replicas in the second phase: that had capacity, and that ran.
  int replica_s_due = 0, replica_s_served = 0;
  int replicas_recovered = 0;  // replicas running again after their machine had died
  Ms replica_downtime_ms = 0;  // of these, in all

  // ---- the state service ----

  std::uint64_t writes = 0;
  int views = 0;                           // versions of the cluster view
  int oversized_txns = 0;                  // transactions refused for their size
  int throttled_txns = 0;                  // transactions refused for their rate
  int peak_requests = 0, peak_writes = 0;  // most in one second
  int compacted_watches = 0;               // watches answered 410: the controller reloads
  int late_txns_applied = 0;               // delayed transactions that succeeded
  int late_txns_failed = 0;                // delayed transactions that failed their conditions
  int oversized_replies = 0;               // replies larger than a controller takes in
  int oversized_at_upgrade = 0;            // values over Options::limits_after, when all
                                           // controllers had been upgraded
  int oversized_at_drop = 0;               // the same, when the limits dropped

  // ---- fleet ----

  int machines = 0, most_machines = 0;  // provided by the cloud at the end, and at most
  int machines_known = 0;               // running ones whose incarnation a controller knows
  int list_pages = 0;                   // pages of the cloud's list that were read
  int cloud_throttled = 0;              // requests to the cloud refused for their rate
  int healthy_scale_ins = 0;            // healthy machines that were returned in the first phase
  int running_tasks_returned = 0;       // tasks that ran on machines as these were returned

  // ---- how often planned faults brought about what they are for ----

  int lease_expiries = 0;                // tasks that ended because their lease expired
  int restarts_during_zone_cut = 0;      // of these, started elsewhere before the partition ended
  int zone_bound_tasks_lost = 0;         // tasks of zone-bound jobs whose machine died
  int delayed_heartbeats_arrived = 0;    // after another controller had acted
  int duplicate_heartbeats_arrived = 0;  // copies of old heartbeats
  int requests_at_end = 0;               // jobs cancelled or read as their last task ended
  int invalid_requests_answered = 0;
  int starts_without_heartbeats = 0;  // on machines whose heartbeats reach no controller
  int starts_on_unreachable = 0;      // on machines that were unreachable for longer than a lease
  int late_commands = 0;              // delivered to a machine that hung, executed afterwards
  int hangs_during_cancellation = 0;  // machines that hung while their jobs were cancelled
  int concurrent_reads = 0;           // replies after which users read at all controllers at once
  int reads_at_isolated = 0;          // users' requests that an isolated controller answered
  // Replies to /healthz: of controllers isolated for over 10 s, and in an outage that all share.
  int isolated_healthy = 0, isolated_unhealthy = 0, outage_healthy = 0, outage_unhealthy = 0;
  // Of runs with link cuts: for each worker that was up as a cut began, the time until the next
  // contact with a controller, or until the cut's end.
  std::vector<Ms> without_contact_ms;
  std::map<std::string, int> unhealthy;  // health checks that were not answered 200, by controller

  // Longest time for one input of a controller, in real time: differs from run to run.
  double longest_input_ms = 0;
};

}  // namespace scheduler::sim
