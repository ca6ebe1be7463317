// The faults that a simulated run can inject.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/types.h"

namespace scheduler::sim {

enum class Fault : std::uint8_t {
  controller_crash,
  all_controllers_crash,
  state_outage,
  state_refuses_one,  // the state service replies 503 to one controller
  cut_from_state,     // a partition between one controller and the state service
  cut_from_workers,   // a partition between one controller and all machines
  zones_partitioned,  // a partition between zones a and b
  machine_hangs,      // the machine's agent is paused; commands are delayed until it resumes
  machine_dies,
  preemption_notice,  // a machine is preempted two to five seconds after the notice
  machine_fails_tasks,
  cloud_outage,
  machine_unreachable,   // a machine's heartbeats arrive, but replies and commands to it are lost
  duplicate_heartbeats,  // copies of old heartbeats (up to three leases) reach random controllers
  controller_isolated,   // a controller reaches its workers only, no state service or peers
  quick_restart,         // a controller restarts within a fraction of a second, twice
  machine_restarts,      // a machine's agent restarts within a fraction of a second, with counters
                         // reset
  process_pause,         // a controller is paused while its clocks advance; its inputs are queued
  zone_cut,              // a partition between one zone and everything else
  peers_refuse,          // controllers refuse each other's connections
  state_slow,            // the delays of the state service are twenty times longer
  spot_wave,             // a third of the spot machines is preempted, some without notice
  rolling_restart,       // all controllers restart, one after the other
  job_burst,             // several job submissions per second
  late_writes,           // some transactions get no reply and are executed 2 to 12 s later
  all_controllers_down,  // all controllers are down for the given time
  controller_down,       // one controller is down for the given time
  view_changes,          // ten crashes, each of the next controller, within the given time
  failback,  // failover and failback; then all crash, and one controller restarts within 1 s
  refused_then_outage,      // the state service refuses one controller and, 1 s later, all for the
                            // given time
  machine_heartbeats_lost,  // a machine's heartbeats are lost, but commands reach it
  heartbeats_delayed,       // heartbeats arrive late, once the machine's next owner has acted
  slow_links,               // delays between controllers and workers up to 1.5 s each way
  cancel_now,        // users cancel many running jobs at once while some of their machines hang
  cancel_at_end,     // users cancel, read and resubmit jobs whose last task has just ended
  invalid_requests,  // malformed or unrunnable jobs, repeated requests, unknown job ids
  // Faults from here on are not drawn at random by default (Options::random_faults_before):
  state_reorders,    // replies of the state service are up to 500 ms late and arrive out of order
  watch_lags,        // replies to watches are up to 500 ms late, other replies are not
  replies_lost,      // one transaction in twenty is executed, but its reply is lost
  concurrent_reads,  // users read jobs at all controllers at once, and cancel most new jobs
  // A machine that gets a new attempt of a task that it has had before receives nothing for some
  // seconds, then all of it in order. Meanwhile the job is cancelled, or another of its machines is
  // preempted.
  restarts_held,
  count
};

// A fault at a fixed time of the run.
struct PlannedFault {
  Ms at = 0;
  Fault kind = Fault::controller_crash;
  std::size_t controller_index = 0;  // the affected controller, for faults of a controller or zone
  Ms duration_ms = 0;
};

}  // namespace scheduler::sim
