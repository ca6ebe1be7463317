// Seeded simulations with planned concurrent faults of the state service and of controllers. Random
// faults rarely produce these combinations. Invariants are checked at every step.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

Options concurrent_faults(std::uint64_t seed, std::vector<PlannedFault> faults) {
  Options o = planned_faults(seed, std::move(faults));
  o.until_finished = true;
  o.machines = 12;
  o.cloud_capacity = 6;
  o.job_every_ms = 2000;
  o.largest_array = 18;
  return o;
}

// Runs the simulation and expects that no invariant is violated and that all jobs end.
Result run_once(const Options& o) {
  Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, has_no_violations()) << "seed " << o.seed;
  EXPECT_THAT(r, has_no_unfinished_jobs()) << "seed " << o.seed;
  EXPECT_GT(r.done, 5) << "seed " << o.seed;
  EXPECT_EQ(r.oversized_txns, 0) << "seed " << o.seed;
  return r;
}

// Runs the simulation with a tenth of the submitted jobs being services.
void run_with_services(Options o) {
  o.services = 0.1;
  EXPECT_GT(run_once(o).services, 0);
}

// Runs the simulation; for seed 1, also a second time with services.
Result run(const Options& o) {
  if (o.seed == 1) run_with_services(o);
  return run_once(o);
}

// Guards against confirming a cancellation to the user before it is complete. While users cancel
// jobs, the state service is slow, then refuses one controller (for seeds 1 to 4 controller 1,
// which has the most machines), and then refuses all controllers for longer than cancel_s.
TEST(ConcurrentControlFaults, CancellationsWhileStateServiceRefusesOneThenAll) {
  int confirmed_before = 0;
  int confirmed_while_refused = 0;
  int confirmed_after = 0;
  Ms longest_delay = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const std::size_t node = seed <= 3 ? 1 : seed % 3;  // controller 1 is the only one of its zone
    std::vector<PlannedFault> plan{{12'000, Fault::state_slow, 0, 8'000},
                                   {30'000, Fault::refused_then_outage, node, 26'000}};
    if (seed % 2 == 0) plan.push_back({25'000, Fault::state_refuses_one, node, 6'000});
    Options o = concurrent_faults(seed, plan);
    o.cancels = {{15'000, 0.3}, {25'100, 0.3}, {30'000, 0.5},
                 {30'500, 0.5}, {45'000, 0.5}, {58'000, 0.3}};
    const Result r = run(o);
    for (const auto& [requested_at, confirmed_at] : r.cancellations) {
      ++(confirmed_at < 25'000   ? confirmed_before
         : confirmed_at < 57'000 ? confirmed_while_refused
                                 : confirmed_after);
      // If the outage lies between request and confirmation, the delay counts from its end.
      const Ms counted_from =
          requested_at < 57'000 && confirmed_at >= 57'000 ? 57'000 : requested_at;
      longest_delay = std::max(longest_delay, confirmed_at - counted_from);
    }
  }
  EXPECT_GT(confirmed_before, 0);
  EXPECT_GT(confirmed_while_refused, 0);
  EXPECT_GT(confirmed_after, 0);
  EXPECT_LT(longest_delay, 20'000);  // cancel_s
}

// Every shard changes its owner many times in two minutes. In half of the runs, the state service
// also has an outage longer than cancel_s. In the other half, the former owner keeps running: it is
// partitioned from the state service for slightly longer than its session lease, and then its shard
// fails back to it.
TEST(ConcurrentControlFaults, TenViewChangesInTwoMinutes) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::vector<PlannedFault> plan;
    if (seed % 2 == 0) {
      plan.push_back({15'000, Fault::view_changes, seed % 3, 120'000});
      plan.push_back({50'000, Fault::refused_then_outage, seed % 3, 24'000});
    } else {
      for (std::size_t i = 0; i < 10; ++i)
        plan.push_back({15'000 + static_cast<Ms>(i) * 12'000,
                        i % 3 == 0 ? Fault::controller_isolated : Fault::cut_from_state,
                        (seed + i) % 3, 7'000 + static_cast<Ms>(i % 4) * 700});
      for (Ms at = 20'000; at < 130'000; at += 10'000)
        plan.push_back(
            {at, at % 20'000 == 0 ? Fault::machine_unreachable : Fault::machine_hangs, 0, 7'500});
      plan.push_back({15'000, Fault::late_writes, 0, 120'000});
    }
    Options o = concurrent_faults(seed, plan);
    o.fault_ms = 140'000;
    o.tight_team_cpus = 24;
    o.cancels = {{40'000, 0.3}, {75'500, 0.3}, {100'000, 0.3}};
    const Result r = run(o);
    EXPECT_GE(r.views, 3 + 10) << "seed " << seed;
    EXPECT_FALSE(r.cancellations.empty()) << "seed " << seed;
  }
}

// Transactions whose reply is lost are executed late, after newer transactions of the same
// controller, while users submit and cancel jobs. In half of the runs controllers also crash or
// restart before delayed transactions are executed.
TEST(ConcurrentControlFaults, DelayedTransactionsAreHarmless) {
  int late_applied = 0;
  int late_failed = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::vector<PlannedFault> plan{{10'000, Fault::late_writes, 0, 50'000},
                                   {20'000, Fault::job_burst, 0, 16'000}};
    if (seed % 2 == 0) {
      plan.push_back({26'000, Fault::controller_crash, seed % 3, 0});
      plan.push_back({40'000, Fault::quick_restart, (seed + 1) % 3, 0});
    }
    Options o = concurrent_faults(seed, plan);
    o.free_team_tenths = 3;
    o.tight_team_cpus = 24;
    o.cancels = {{18'000, 0.3}, {27'000, 0.3}, {45'000, 0.3}};
    const Result r = run(o);
    EXPECT_FALSE(r.cancellations.empty()) << "seed " << seed;
    EXPECT_GT(r.peak_cpus_by_team.at("tight"), 18) << "seed " << seed;
    late_applied += r.late_txns_applied;
    late_failed += r.late_txns_failed;
  }
  EXPECT_GT(late_applied, 0);
  EXPECT_GT(late_failed, 0);
}

// A controller reaches its workers and its users, but neither the state service nor its peers.
// Users cancel jobs through this controller and through the others. In a third of the runs the
// other controllers cannot reach its workers, and it keeps replying to their heartbeats, so
// cancelled tasks keep running.
TEST(ConcurrentControlFaults, ControllerIsolatedWithItsWorkersAndUsers) {
  int isolated_replies = 0;
  int confirmed_while_isolated = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const std::size_t node = seed % 3;
    std::vector<PlannedFault> plan{{20'000, Fault::controller_isolated, node, 40'000}};
    if (seed % 3 == 1) plan.push_back({35'000, Fault::controller_down, (node + 1) % 3, 8'000});
    if (seed % 3 == 0) {
      plan.push_back({19'900, Fault::cut_from_workers, (node + 1) % 3, 40'000});
      plan.push_back({19'900, Fault::cut_from_workers, (node + 2) % 3, 40'000});
    }
    Options o = concurrent_faults(seed, plan);
    o.longest_task_s = 60;
    // A delayed copy of a session lease renewal can keep the isolated controller in the view for
    // longer than the leases of its machines (1 to 2 of 24 such runs). This test does not cover
    // that.
    if (seed % 3 == 1) o.duplicated_requests = 0;
    o.cancels = {{20'500, 0.3}, {28'000, 0.3}, {37'000, 0.3}};
    const Result r = run(o);
    // The former owner rejects heartbeats of a worker that has received a token of the next owner
    // (HeartbeatEndpoint::accepts), so the worker moves on before its lease expires.
    if (seed % 3 != 0) {
      EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    }
    isolated_replies += r.reads_at_isolated;
    for (const auto& [requested_at, confirmed_at] : r.cancellations)
      confirmed_while_isolated += confirmed_at > 28'000 && confirmed_at < 60'000;
  }
  EXPECT_GT(isolated_replies, 20);
  EXPECT_GT(confirmed_while_isolated, 0);
}

// A job of two or three tasks that complete far apart must be reported done only after its last
// task, even if another controller recorded the first completion.
TEST(ConcurrentControlFaults, TasksCompleteFarApartAcrossViewChanges) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    std::vector<PlannedFault> plan{{12'000, Fault::view_changes, seed % 3, 70'000}};
    if (seed % 2 == 0) plan.push_back({30'000, Fault::late_writes, 0, 20'000});
    if (seed % 2 == 1) plan.push_back({30'000, Fault::controller_isolated, seed % 3, 20'000});
    Options o = concurrent_faults(seed, plan);
    o.longest_task_s = 8;
    o.uneven_jobs = 0.8;
    o.job_every_ms = 4000;
    o.free_team_tenths = 5;
    o.tight_team_cpus = 8;  // some tasks start only after others have ended
    run(o);
  }
}

Options team_at_its_limit(std::uint64_t seed) {
  std::vector<PlannedFault> plan;
  for (Ms t = 20'000; t < 32'000; t += 2000)
    plan.push_back(
        {t, t % 4000 == 0 ? Fault::machine_hangs : Fault::machine_unreachable, 0, 25'000});
  if (seed % 3 == 0) plan.push_back({25'000, Fault::cut_from_workers, seed % 2, 20'000});
  plan.push_back({28'000, Fault::controller_down, seed % 3, 12'000});
  if (seed % 2 == 0) plan.push_back({36'000, Fault::quick_restart, (seed + 1) % 3, 0});
  Options o = concurrent_faults(seed, plan);
  o.free_team_tenths = 1;
  o.tight_team_cpus = 24;
  o.cancels = {{27'000, 0.4}, {30'000, 0.3}, {34'000, 0.3}};
  return o;
}

// Guards against exceeding a quota: a team is at its limit when the view changes, some machines
// with its tasks are unreachable, and users cancel jobs. Tasks that may still be running must count
// against the quota.
TEST(ConcurrentControlFaults, QuotaLimitHoldsWhileMachinesAreUnreachable) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const Result r = run_once(team_at_its_limit(seed));
    EXPECT_GT(r.peak_cpus_by_team.at("tight"), 20) << "seed " << seed;
    EXPECT_FALSE(r.cancellations.empty()) << "seed " << seed;
  }
}

// A team is at its quota during faults, and a tenth of the jobs are services, most of them of this
// team.
TEST(ConcurrentControlFaults, ServicesOfATeamAtItsLimit) {
  run_with_services(team_at_its_limit(1));
}

// A zone with workers and one or two controllers is partitioned for several lease durations, while
// other controllers crash and users cancel jobs.
TEST(ConcurrentControlFaults, ZoneWithControllersPartitioned) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const std::size_t zone = 1 + seed % 2;  // zone a has two controllers, zone b has one
    std::vector<PlannedFault> plan{{20'000, Fault::zone_cut, zone, 40'000}};
    if (seed > 2) plan.push_back({26'000, Fault::controller_down, zone == 1 ? 1U : 0U, 9'000});
    if (seed > 4) plan.push_back({59'000, Fault::quick_restart, zone == 1 ? 0U : 1U, 0});
    Options o = concurrent_faults(seed, plan);
    o.longest_task_s = 60;
    o.cancels = {{20'000, 0.2}, {35'000, 0.3}, {60'500, 0.3}};
    const Result r = run(o);
    EXPECT_FALSE(r.cancellations.empty()) << "seed " << seed;
  }
}

// The owner of machines with long tasks crashes while the machines hang, or while replies and
// commands do not reach them, so they get no replies from the next owner either.
TEST(ConcurrentControlFaults, OwnerCrashesWhileMachinesAreUnreachable) {
  int expired_leases = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::vector<PlannedFault> plan;
    const Fault kind = seed % 2 == 0 ? Fault::machine_unreachable : Fault::machine_hangs;
    const Ms duration = seed % 4 < 2 ? 7'000 : 20'000;
    for (Ms t = 24'000; t < 30'000; t += 1000) plan.push_back({t, kind, 0, duration});
    plan.push_back({25'500, Fault::controller_down, seed % 3, 10'000});
    plan.push_back({27'000, Fault::controller_crash, (seed + 1) % 3, 0});
    if (seed > 4) plan.push_back({31'500, Fault::controller_down, (seed + 2) % 3, 15'000});
    Options o = concurrent_faults(seed, plan);
    o.longest_task_s = 60;
    o.cancels = {{30'000, 0.2}};
    expired_leases += run(o).lease_expiries;
  }
  EXPECT_GT(expired_leases, 0);
}

// All controllers are down for longer than a worker lease, so tasks end with their lease while no
// controller observes it.
TEST(ConcurrentControlFaults, AllControllersDownBeyondALease) {
  int expired_leases = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::vector<PlannedFault> plan{
        {25'000, Fault::all_controllers_down, seed % 3, 7'700 + 1500 * (Ms)seed}};
    if (seed % 2 == 0) plan.push_back({24'000, Fault::late_writes, 0, 30'000});
    if (seed % 3 == 0) plan.push_back({26'000, Fault::refused_then_outage, 0, 21'000});
    Options o = concurrent_faults(seed, plan);
    o.longest_task_s = 60;
    o.cancels = {{24'900, 0.3}, {40'000, 0.2}};
    const Result r = run(o);
    expired_leases += r.lease_expiries;
  }
  EXPECT_GT(expired_leases, 10);
}

// A shard fails over and back; then all controllers crash, and one restarts within a second.
TEST(ConcurrentControlFaults, FailoverFailbackAndFullRestart) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::vector<PlannedFault> plan{{18'000, Fault::failback, seed % 3, 3'000 + 2000 * (Ms)seed},
                                   {45'000, Fault::failback, (seed + 1) % 3, 12'000}};
    if (seed % 2 == 0) plan.push_back({26'000, Fault::duplicate_heartbeats, 0, 30'000});
    if (seed % 3 == 0) plan.push_back({26'500, Fault::late_writes, 0, 10'000});
    Options o = concurrent_faults(seed, plan);
    o.longest_task_s = 60;
    o.cancels = {{27'200, 0.3}, {55'000, 0.3}};
    const Result r = run(o);
    EXPECT_GE(r.views, 3 + 6) << "seed " << seed;
    EXPECT_FALSE(r.cancellations.empty()) << "seed " << seed;
  }
}

}  // namespace
}  // namespace scheduler::sim
