// Detects unintended changes of behaviour: compares a hash of the ordered outputs of all
// controllers over whole runs with faults to a recorded value. A commit that changes behaviour on
// purpose records new values and says so.
#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

struct RecordedRun {
  std::string name;
  Options options;
  std::uint64_t fingerprint = 0;
};

Options default_options(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  options.until_finished = true;
  return options;
}

RecordedRun random_faults() { return {"RandomFaults", default_options(901), 0x46612e83e02a510f}; }

RecordedRun services_in_an_upgrade() {
  Options options = default_options(902);
  options.services = 0.3;
  options.replica_exit_share = 0.2;
  options.upgrade_from = 20'000;
  options.limits_drop_at = 60'000;
  return {"ServicesInAnUpgrade", options, 0x641fcca0c6282219};
}

RecordedRun cut_links_with_relays() {
  Options options = default_options(903);
  options.relays = true;
  options.machines = 24;
  options.cloud_capacity = 9;
  options.zone_bound_jobs = 0.3;
  options.cancels = {{30'000, 0.2}, {45'000, 0.2}};
  options.link_cuts = {{20'000, 30'000, "puffin-0", "workers/a", 0, 0},
                       {35'000, 30'000, "state", "puffin-1", 0, 0},
                       {25'000, 60'000, "workers", "puffin-2", 500, 4000}};
  return {"CutLinksWithRelays", options, 0xc3525f948eabad6c};
}

RecordedRun planned_faults_run() {
  Options options = default_options(904);
  options.faults = false;
  options.longest_task_s = 30;
  options.services = 0.2;
  options.planned_faults = {{10'000, Fault::controller_isolated, 0, 20'000},
                            {15'000, Fault::late_writes, 0, 30'000},
                            {20'000, Fault::machine_heartbeats_lost, 0, 30'000},
                            {30'000, Fault::failback, 1, 20'000},
                            {40'000, Fault::process_pause, 2, 6000},
                            {45'000, Fault::cancel_now, 0, 15'000},
                            {55'000, Fault::refused_then_outage, 1, 25'000}};
  return {"PlannedFaults", options, 0x18faf1ee70ac4002};
}

RecordedRun larger_fleet() {
  Options options = default_options(905);
  options.controllers = 5;
  options.machines = 120;
  options.cloud_capacity = 60;
  options.largest_array = 400;
  options.job_every_ms = 1000;
  options.tight_team_cpus = 300;
  options.large_gang = 60;
  options.spot_every = 3;
  options.enforces_rates = true;
  return {"LargerFleet", options, 0x696b1187daa917f7};
}

class RecordedRuns : public testing::TestWithParam<RecordedRun> {};

TEST_P(RecordedRuns, ReproduceRecordedBehaviour) {
  const Result result = SimulatedCluster(GetParam().options).run();
  EXPECT_THAT(result, has_no_violations());
  EXPECT_GT(result.accepted, 20);
  EXPECT_EQ(result.fingerprint, GetParam().fingerprint) << std::hex << "0x" << result.fingerprint;
}

INSTANTIATE_TEST_SUITE_P(Simulation, RecordedRuns,
                         testing::Values(random_faults(), services_in_an_upgrade(),
                                         cut_links_with_relays(), planned_faults_run(),
                                         larger_fleet()),
                         [](const auto& run) { return run.param.name; });

}  // namespace
}  // namespace scheduler::sim
