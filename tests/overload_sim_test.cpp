// Seeded simulations of large fleets and of overload: more work than there is capacity for.
// Invariants are checked at every step.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

// Hundreds of machines, and array jobs that spread over all of them.
TEST(Simulation, LargeFleetAndLongArrays) {
  Options o;
  o.seed = 5;
  o.machines = 240;
  o.cloud_capacity = 120;
  o.largest_array = 900;
  o.job_every_ms = 1000;
  o.tight_team_cpus = 800;
  o.large_gang = 150;
  const Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, has_no_violations());
  EXPECT_THAT(r, has_no_unfinished_jobs());
  EXPECT_GT(r.done, 40);
  EXPECT_TRUE(r.large_gang_done);
  EXPECT_EQ(r.oversized_txns, 0);
}

// Guards against starvation: during a lasting overload large jobs are placed after smaller ones,
// but each must still start.
TEST(Simulation, OverloadStarvesNoJob) {
  int large_jobs = 0;
  std::map<std::string, std::pair<int, int>> served;  // over all seeds: jobs, and completed jobs
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    Options o;
    o.seed = seed;
    o.faults = false;
    o.fault_ms = 600'000;
    o.recovery_ms = 0;
    o.job_every_ms = 1200;
    o.largest_array = 90;
    o.tight_team_cpus = 60;
    const Result r = SimulatedCluster(o).run();
    EXPECT_THAT(r, has_no_violations());
    EXPECT_EQ(r.large_jobs_late, 0) << "seed " << seed << " of " << r.large_jobs;
    large_jobs += r.large_jobs;
    for (const auto& [group, n] : r.served) {
      served[group].first += n.first;
      served[group].second += n.second;
    }
    EXPECT_FALSE(r.unfinished.empty());  // otherwise the run was not overloaded
  }
  for (const auto& [group, n] : served)
    EXPECT_GE(10 * n.second, 6 * n.first) << group << ": " << n.second << " of " << n.first;
  EXPECT_GT(large_jobs, 20);
}

// The state service responds twenty times slower: controllers must stay within its rate limits and
// lose no job.
TEST(Simulation, SlowStateServiceIsNotOverloaded) {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    std::vector<PlannedFault> plan{{15'000, Fault::state_slow, 0, 40'000},
                                   {20'000, Fault::job_burst, 0, 10'000}};
    if (seed % 2 == 0) plan.push_back({25'000, Fault::all_controllers_crash, 0, 0});
    const Result r = SimulatedCluster(planned_faults(seed, plan)).run();
    EXPECT_THAT(r, has_no_violations()) << "seed " << seed;
    EXPECT_THAT(r, has_no_unfinished_jobs()) << "seed " << seed;
    EXPECT_LE(r.peak_requests, 400) << "seed " << seed;
    EXPECT_LE(r.peak_writes, 2 * 150) << "seed " << seed;  // the rate plus a burst of one second
  }
}

// More than a thousand machines: a wave of spot preemptions, a crash of all controllers, and a
// partitioned zone.
TEST(Simulation, AThousandMachines) {
  Options o = planned_faults(3, {{12'000, Fault::spot_wave, 0, 0},
                                 {16'000, Fault::all_controllers_crash, 0, 0},
                                 {24'000, Fault::zone_cut, 0, 14'000}});
  o.machines = 1050;
  o.cloud_capacity = 400;
  o.largest_array = 900;
  o.job_every_ms = 700;
  o.tight_team_cpus = 2000;
  o.longest_task_s = 12;
  o.fault_ms = 40'000;
  o.recovery_ms = 80'000;
  const Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, has_no_violations());
  EXPECT_THAT(r, has_no_unfinished_jobs());
  EXPECT_GT(r.done, 20);
  EXPECT_EQ(r.oversized_txns, 0);
  EXPECT_LE(r.peak_requests, 400);
}

}  // namespace
}  // namespace scheduler::sim
