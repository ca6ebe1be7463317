// Detects unintended changes of behaviour: the outputs of all controllers, in order, over whole
// runs with faults. The values were recorded before such a change; a commit that means to change
// behaviour records new ones and says so.
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

Options base(std::uint64_t seed) {
  Options o;
  o.seed = seed;
  o.until_finished = true;
  return o;
}

RecordedRun random_faults() { return {"RandomFaults", base(901), 0x89ae31c209a793d3}; }

RecordedRun services_in_an_upgrade() {
  Options o = base(902);
  o.services = 0.3;
  o.replicas_ending = 0.2;
  o.upgrade_from = 20'000;
  o.limits_drop_at = 60'000;
  return {"ServicesInAnUpgrade", o, 0x286e1c0501c6a853};
}

RecordedRun cut_links_with_relays() {
  Options o = base(903);
  o.relays = true;
  o.machines = 24;
  o.cloud_capacity = 9;
  o.zone_bound_jobs = 0.3;
  o.cancels = {{30'000, 0.2}, {45'000, 0.2}};
  o.link_cuts = {{20'000, 30'000, "puffin-0", "workers/a", 0, 0},
                 {35'000, 30'000, "state", "puffin-1", 0, 0},
                 {25'000, 60'000, "workers", "puffin-2", 500, 4000}};
  return {"CutLinksWithRelays", o, 0x0ed5738050043426};
}

RecordedRun planned_faults_run() {
  Options o = base(904);
  o.faults = false;
  o.longest_task_s = 30;
  o.services = 0.2;
  o.planned_faults = {{10'000, Fault::controller_isolated, 0, 20'000},
                      {15'000, Fault::late_writes, 0, 30'000},
                      {20'000, Fault::machine_heartbeats_lost, 0, 30'000},
                      {30'000, Fault::failback, 1, 20'000},
                      {40'000, Fault::process_pause, 2, 6000},
                      {45'000, Fault::cancel_now, 0, 15'000},
                      {55'000, Fault::refused_then_outage, 1, 25'000}};
  return {"PlannedFaults", o, 0x51e16ae7f728db07};
}

RecordedRun larger_fleet() {
  Options o = base(905);
  o.controllers = 5;
  o.machines = 120;
  o.cloud_capacity = 60;
  o.largest_array = 400;
  o.job_every_ms = 1000;
  o.limit_cpus = 300;
  o.large_gang = 60;
  o.spot_every = 3;
  o.enforces_rates = true;
  return {"LargerFleet", o, 0x09687c4dc5c24ad8};
}

class RecordedRuns : public testing::TestWithParam<RecordedRun> {};

TEST_P(RecordedRuns, ReproduceRecordedBehaviour) {
  const Result r = SimulatedCluster(GetParam().options).run();
  EXPECT_THAT(r, has_no_violations());
  EXPECT_GT(r.accepted, 20);
  EXPECT_EQ(r.fingerprint, GetParam().fingerprint) << std::hex << "0x" << r.fingerprint;
}

INSTANTIATE_TEST_SUITE_P(Simulation, RecordedRuns,
                         testing::Values(random_faults(), services_in_an_upgrade(),
                                         cut_links_with_relays(), planned_faults_run(),
                                         larger_fleet()),
                         [](const auto& run) { return run.param.name; });

}  // namespace
}  // namespace scheduler::sim
