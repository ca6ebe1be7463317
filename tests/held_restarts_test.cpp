// Seeded soak: messages that restart a task are held back while its job stops, among other faults
// that vary with the seed. CI runs a few seeds; SIM_SEEDS=N runs seeds 1 to N.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

// A fault that is injected at intervals.
struct PeriodicFault {
  Fault kind;
  Ms every;
  Ms duration_ms;
};

constexpr std::array kOtherFaults{
    PeriodicFault{Fault::preemption_notice, 9'000, 0},
    PeriodicFault{Fault::machine_unreachable, 9'000, 6'000},
    PeriodicFault{Fault::controller_crash, 14'000, 0},
    PeriodicFault{Fault::late_writes, 14'000, 9'000},
    PeriodicFault{Fault::heartbeats_delayed, 9'000, 6'000},
    PeriodicFault{Fault::duplicate_heartbeats, 9'000, 6'000},
    PeriodicFault{Fault::process_pause, 14'000, 6'000},
    PeriodicFault{Fault::slow_links, 14'000, 9'000},
    PeriodicFault{Fault::replies_lost, 9'000, 6'000},
    PeriodicFault{Fault::view_changes, 30'000, 25'000},
    PeriodicFault{Fault::machine_heartbeats_lost, 9'000, 9'000},
    PeriodicFault{Fault::quick_restart, 14'000, 0},
    PeriodicFault{Fault::controller_isolated, 20'000, 9'000},
    PeriodicFault{Fault::state_refuses_one, 14'000, 9'000},
    PeriodicFault{Fault::zone_cut, 20'000, 9'000},
    PeriodicFault{Fault::watch_lags, 9'000, 9'000},
};

// Few machines and many gangs, so that tasks often return to a machine that they have just left.
Options held_restarts(std::uint64_t seed) {
  Options o;
  o.seed = seed;
  o.faults = seed % 2 == 0;
  o.machines = 4 + static_cast<int>(seed % 7);
  o.gang_tenths = 3 + static_cast<int>(seed % 6);
  o.longest_task_s = seed % 3 == 0 ? 20 : 8;
  o.zone_bound_jobs = seed % 3 == 1 ? 0.4 : 0;
  o.duplicated_requests = seed % 3 == 2 ? 0.15 : 0.02;
  o.relays = seed % 4 == 0;
  o.recovery_ms = 700'000;
  o.until_finished = true;
  if (seed % 5 == 0) {
    o.services = 0.2;
    o.replica_exit_share = 0.2;
  } else {
    // With long leases a machine outlasts the hold, instead of being returned as unresponsive.
    o.heartbeat_interval_s = 3;
    o.lease_s = 20;
    o.cancel_s = 45;
  }
  o.planned_faults.push_back({5'000, Fault::restarts_held, 0, 85'000});
  add_periodic_faults(o, Fault::machine_hangs, 6'000, 2'500 + 500 * static_cast<Ms>(seed % 5),
                      2'500);
  const PeriodicFault& first = kOtherFaults[seed % kOtherFaults.size()];
  const PeriodicFault& second = kOtherFaults[seed / kOtherFaults.size() % kOtherFaults.size()];
  add_periodic_faults(o, first.kind, 8'000, first.every, first.duration_ms, seed % 3);
  add_periodic_faults(o, second.kind, 11'000, second.every, second.duration_ms, (seed + 1) % 3);
  o.trace = trace_from_environment();
  return o;
}

class HeldRestarts : public testing::TestWithParam<std::uint64_t> {};

TEST_P(HeldRestarts, InvariantsHoldAmongOtherFaults) {
  const Result result = SimulatedCluster(held_restarts(GetParam())).run();
  EXPECT_THAT(result, testing::AllOf(has_no_violations(), has_no_unfinished_jobs()));
  EXPECT_GT(result.done, 10);
  if (prints_fault_counts()) std::printf("met %d\n", result.restarts_held);
}

INSTANTIATE_TEST_SUITE_P(Seeds, HeldRestarts,
                         testing::Range<std::uint64_t>(1, seed_count_or(24) + 1),
                         [](const auto& seed) { return std::to_string(seed.param); });

}  // namespace
}  // namespace scheduler::sim
