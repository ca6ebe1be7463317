// What a simulated run is like.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/types.h"
#include "sim/fake_state_service.h"
#include "sim/fault.h"
#include "sim/link_cuts.h"

namespace scheduler::sim {

// Shares are probabilities, 0 to 1. Times named `..._ms`, or of type Ms, are simulated milliseconds
// since the start of the run.
struct Options {
  std::uint64_t seed = 1;  // everything that is random follows from it

  // ---- phases of the run ----

  Ms fault_ms = 90'000;         // length of the first phase: faults and submissions
  Ms recovery_ms = 240'000;     // length of the second: no faults, in which all jobs must end
  bool until_finished = false;  // end the run 40 s after all jobs have ended, if that is earlier

  // ---- faults ----

  bool faults = true;  // inject random faults every few seconds of the first phase
  Fault random_faults_before = Fault::state_reorders;  // random ones are drawn from those before it
  std::vector<PlannedFault> planned_faults;            // besides, or instead of, random ones
  std::vector<LinkCut> link_cuts;                      // partitions of single links
  double duplicated_requests = 0.02;   // share of controllers' POST calls that are executed twice
  double duplicated_heartbeats = 0.3;  // share of heartbeats copied by Fault::duplicate_heartbeats

  // ---- size of the cluster ----

  int controllers = 3;
  int machines = 6;        // machines at the start
  int cloud_capacity = 3;  // machines the cloud can provide of each zone and kind
  int spot_every = 0;      // every so many-th machine at the start is a spot instance; 0: none

  // ---- workload ----

  int job_every_ms = 1500;       // time between submissions, on average
  Ms jobs_until_ms = 0;          // submissions stop then; 0: at the end of the first phase
  int largest_array = 60;        // tasks of the largest job array
  int longest_task_s = 8;        // duration of the longest task
  int gang_tenths = 2;           // tenths of the jobs that are gangs
  int free_team_tenths = 6;      // tenths of the jobs that belong to "free", the team without quota
  double limit_cpus = 40;        // quota of the other team, "tight", in CPUs
  double uneven_jobs = 0;        // share of arrays of two or three tasks that end far apart
  double failing_jobs = 0.03;    // share of jobs that fail on every machine
  double zone_bound_jobs = 0;    // share of jobs bound to one zone (`together` or `yard`)
  bool one_large_array = false;  // the third job has `largest_array` tasks, all others few
  std::uint32_t large_gang = 0;  // tasks of one gang of whole machines, the tenth job; 0: none
  double services = 0;           // share of jobs that are services; half of them end early, when
                                 // their users cancel them 20 to 60 s after submission
  Ms services_calm_ms = 60'000;  // the others are cancelled so long into the second phase
  double replicas_ending = 0;    // share of replicas that exit by themselves
  Ms cancel_all_at = 0;          // users cancel all jobs then; 0: never
  std::vector<std::pair<Ms, double>> cancels;  // time, and share of the live jobs cancelled then

  // ---- settings of the controllers ----

  bool relays = false;     // controllers relay messages for peers
  double memory_mb = 0;    // memory a controller may use; 0: not stated
  int sockets = 0;         // sockets a controller may use; 0: not stated
  double gang_wait_s = 6;  // how long a task of a gang waits for the others to start
  double gang_peer_s = 2;  // how long it runs on after losing one
  double cancel_s = 20;    // a cancelled task may run that long after its user was told
  double state_rps = 400;  // requests a second to the state service
  double state_writes_per_s = 150;
  double cloud_rps = 5;         // requests a second to the cloud
  unsigned txn_ops = 24;        // writes of one transaction
  bool enforces_rates = false;  // whether the state service and the cloud throttle at these rates

  // ---- workers and the state service ----

  double heartbeat_interval_s = 1;
  double lease_s = 8;                   // of workers
  Ms dead_listed_ms = 5000;             // how long the cloud lists a dead machine as running
  std::uint64_t changes_kept = 10'000;  // of the state service, for watches

  // ---- upgrade ----

  // All controllers begin as the production version. Each is restarted once with the new version,
  // in an order drawn from the seed.
  Ms upgrade_from = 0;      // restart of the first; 0: all run the new version from the start
  Ms upgrade_every = 8000;  // time between the restarts
  Ms limits_drop_at = 0;    // the state service's limits become `limits_after`; 0: never
  StateLimits limits_after{8, std::size_t{2} * 1024, 28};

  // ---- granularity; coarser for large fleets ----

  Ms check_every_ms = 20;  // interval of invariant checks, gang steps and watches
  Ms worker_step_ms = 50;  // interval of workers' steps

  // Prints lines that contain this (a machine, a job; "*": all) to standard error.
  std::string trace;

  // ---- safeguards taken out, to show that the invariant checker detects what they prevent ----

  bool state_ignores_conditions = false;     // transactions are not compare-and-swap
  bool workers_ignore_tokens = false;        // workers accept stale fencing tokens
  bool workers_ignore_incarnations = false;  // workers accept commands to an earlier incarnation
  double believed_lease_share = 1.0;         // controllers' lease setting over workers' real lease
  Ms starts_ignored_from = 0;                // workers ignore start commands from then on; 0: never
  // Changes a controller's reply to a user, as a fault of the controller would.
  std::function<void(const Request&, Ms now, int& status, std::string& body)> forge_reply;
};

}  // namespace scheduler::sim
