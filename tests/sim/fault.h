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
  state_refuses_one,  // the state service answers 503 to one controller
  cut_from_state,     // a partition between one controller and the state service
  cut_from_workers,   // a partition between one controller and all machines
  zones_partitioned,  // a partition between zones a and b
  machine_hangs,      // its agent is paused; commands wait for it
  machine_dies,
  preemption_notice,  // of a machine, two to five seconds before it is preempted
  machine_fails_tasks,
  cloud_outage,
  machine_unreachable,   // its heartbeats arrive; replies and commands do not reach it
  duplicate_heartbeats,  // copies, up to three leases old, to any controller
  controller_isolated,   // a controller reaches its workers, neither state service nor peers
  quick_restart,         // a controller restarts within a fraction of a second, twice
  machine_restarts,      // with all counters reset, within a fraction of a second
  process_pause,    // a controller is paused while its clocks go on; inputs are queued meanwhile
  zone_cut,         // a partition between one zone and everything else
  peers_refuse,     // controllers refuse each other's connections
  state_slow,       // the state service answers twenty times slower
  spot_wave,        // a third of the spot machines is preempted, some without notice
  rolling_restart,  // all controllers, one after the other
  job_burst,        // several submissions a second
  late_writes,      // transactions without a reply that are executed 2 to 12 s later
  all_controllers_down,  // all controllers, for the given time
  controller_down,       // one controller, for the given time
  view_changes,          // ten crashes of controllers by turns, within the given time
  failback,  // failover, failback, then all crash and one controller restarts within a second
  refused_then_outage,      // the state service refuses one, a second later all, for the given time
  machine_heartbeats_lost,  // no controller receives its heartbeats; commands reach it
  heartbeats_delayed,       // until the machine's next owner has acted, and then delivered to it
  slow_links,               // between controllers and workers, up to 1.5 s each way
  cancel_now,               // of many running jobs at once, while some of their machines hang
  cancel_at_end,     // of jobs whose last task has just ended; with reads and repeated submissions
  invalid_requests,  // malformed or unrunnable jobs, repeated requests, ids nobody submitted
  // Not among the random ones:
  state_reorders,    // replies of the state service overtake one another, up to 500 ms late
  watch_lags,        // only replies to watches are delayed, up to 500 ms
  answers_lost,      // one transaction in twenty is executed and its reply lost
  concurrent_reads,  // users read at all controllers within milliseconds of each reply, most cancel
  count
};

// A fault at a fixed time of the run.
struct PlannedFault {
  Ms at = 0;
  Fault kind = Fault::controller_crash;
  std::size_t node = 0;  // index of the controller concerned, for faults of a controller or zone
  Ms lasts = 0;
};

}  // namespace scheduler::sim
