// The options of a simulated run.
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

// Shares are probabilities from 0 to 1. Times named `..._ms` or of type Ms are simulated
// milliseconds; points in time count from the start of the run.
struct Options {
  std::uint64_t seed = 1;  // seed of all random decisions

  // ---- phases of the run ----

  Ms fault_ms = 90'000;         // length of the first phase: faults and submissions
  Ms recovery_ms = 240'000;     // length of the second phase: no faults, all jobs must end
  bool until_finished = false;  // end the run early, 40 s after all jobs have ended

  // ---- faults ----

  bool faults = true;  // inject random faults every few seconds of the first phase
  // Random faults are drawn from the kinds before this one.
  Fault random_faults_before = Fault::state_reorders;
  std::vector<PlannedFault> planned_faults;  // injected whether or not `faults` is set
  std::vector<LinkCut> link_cuts;            // cuts of single links
  double duplicated_requests = 0.02;   // share of controllers' POST calls that are executed twice
  double duplicated_heartbeats = 0.3;  // share of heartbeats copied by Fault::duplicate_heartbeats

  // ---- size of the cluster ----

  int controllers = 3;
  int machines = 6;                        // machines at the start
  std::string machine_name_prefix = "n-";  // followed by six digits
  // Most machines of each zone and kind (on demand, spot) that the cloud provides.
  int cloud_capacity = 3;
  int spot_every = 0;  // one in this many machines at the start is a spot instance; 0: none

  // ---- workload ----

  int job_every_ms = 1500;      // average time between submissions
  Ms jobs_until_ms = 0;         // end of submissions; 0: at the end of the first phase
  int largest_array = 60;       // number of tasks of the largest job array
  int longest_task_s = 8;       // duration of the longest task, in seconds
  int gang_tenths = 2;          // tenths of the jobs that are gangs
  int free_team_tenths = 6;     // tenths of the jobs that belong to "free", the team without quota
  double tight_team_cpus = 40;  // quota of the other team, "tight", in CPUs
  // Share of jobs that become arrays of two or three tasks of very different duration.
  double uneven_jobs = 0;
  double failing_jobs = 0.03;    // share of jobs that fail on every machine
  double zone_bound_jobs = 0;    // share of jobs bound to one zone (`together` or `yard`)
  double spread_arrays = 0;      // share of jobs that become arrays spread over zones
  bool one_large_array = false;  // the third job has `largest_array` tasks, all others at most 20
  // Number of tasks of the tenth job, a gang whose tasks each fill a machine; 0: none.
  std::uint32_t large_gang = 0;
  // Share of jobs that are services; users cancel half of them 20 to 60 s after submission.
  double services = 0;
  // Time into the second phase at which the other services are cancelled.
  Ms services_cancel_delay_ms = 60'000;
  double replica_exit_share = 0;  // share of replicas that exit by themselves
  Ms cancel_all_at = 0;           // users cancel all jobs at this time; 0: never
  // Time, and the share of live jobs that users cancel at that time.
  std::vector<std::pair<Ms, double>> cancels;

  // ---- settings of the controllers ----

  bool relays = false;     // controllers relay messages for peers
  double memory_mb = 0;    // memory a controller may use; 0: not stated
  int sockets = 0;         // sockets a controller may use; 0: not stated
  double gang_wait_s = 6;  // how long a task of a gang waits until all tasks have started
  double gang_peer_s = 2;  // how long a task of a gang continues after the gang lost a task
  double cancel_s = 20;    // how long a cancelled task may run after the cancellation was confirmed
  double state_rps = 400;  // requests per second to the state service
  double state_writes_per_s = 150;
  double cloud_rps = 5;         // requests per second to the cloud
  unsigned txn_ops = 24;        // most writes of one transaction
  bool enforces_rates = false;  // whether the state service and the cloud throttle at these rates

  // ---- workers and the state service ----

  double heartbeat_interval_s = 1;
  double lease_s = 8;                   // lease of workers
  Ms dead_listed_ms = 5000;             // how long the cloud lists a dead machine as running
  std::uint64_t changes_kept = 10'000;  // changes that the state service keeps for watches

  // ---- upgrade ----

  // All controllers start with the production version. Each is restarted once with the new version,
  // in random order.
  Ms upgrade_from = 0;      // first restart; 0: all controllers run the new version from the start
  Ms upgrade_every = 8000;  // interval between the restarts
  Ms limits_drop_at = 0;    // the limits of the state service become `limits_after`; 0: never
  StateLimits limits_after{8, std::size_t{2} * 1024, 28};

  // ---- step sizes; tests with large fleets use larger ones ----

  Ms check_every_ms = 20;  // interval of invariant checks, gang steps and watches
  Ms worker_step_ms = 50;  // interval of workers' steps

  // Prints trace lines that contain this text, such as a machine or job id, to standard error; "*":
  // all lines; "": none.
  std::string trace;

  // ---- disabled safeguards, to test that the invariant checker detects what they prevent ----

  bool state_ignores_conditions = false;     // transactions succeed even if their conditions fail
  bool workers_ignore_tokens = false;        // workers accept stale fencing tokens
  bool workers_ignore_incarnations = false;  // workers accept commands for another incarnation
  // The controllers' lease setting divided by the workers' lease.
  double controller_lease_factor = 1.0;
  Ms starts_ignored_from = 0;  // workers ignore start commands from this time on; 0: never
  // Alters a controller's reply to a user, to simulate a fault of the controller.
  std::function<void(const Request&, Ms now, int& status, std::string& body)> forge_reply;
};

}  // namespace scheduler::sim
