// Concurrent faults of workers and users, planned. Each entry names the safeguard of the controller
// that keeps the invariant; without it, the test fails.
#include <gtest/gtest.h>

#include <cstdio>
#include <functional>
#include <ostream>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

struct FaultPair {
  const char* name;
  std::uint64_t seeds;
  std::function<void(Options&, std::uint64_t seed)> plan;
  // How often all runs together brought the situation about, and how often they must.
  std::function<int(const Result&)> met;
  int least;
};

void PrintTo(const FaultPair& m, std::ostream* out) { *out << m.name; }

const FaultPair kFaultPairs[] = {
    // Controller::zones_open: tasks that are still recorded in a zone count, lost or not.
    {"ZoneBoundJobsLoseMachines", 3,
     [](Options& o, std::uint64_t seed) {
       o.zone_bound_jobs = 0.7;
       o.machines = 18;
       o.cloud_capacity = 6;
       add_periodic_faults(o, Fault::machine_dies, 10'000, 5'000, 0);
       add_periodic_faults(o, Fault::machine_hangs, 12'000, 4'000, 5'000);
       if (seed % 2 == 0) add_periodic_faults(o, Fault::spot_wave, 20'000, 25'000, 0);
     },
     [](const Result& r) { return r.zone_bound_tasks_lost; }, 10},
    // Controller::reconcile: only a token above that of every start sent proves that a task which
    // is not listed cannot start any more.
    {"CommandsDelayedByAHang", 4,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.gang_tenths = 5;
       add_periodic_faults(o, Fault::machine_hangs, 8'000, 1'200,
                           1'000 + 700 * static_cast<Ms>(seed % 6));
       if (seed % 2 == 0) add_periodic_faults(o, Fault::slow_links, 20'000, 25'000, 15'000);
     },
     [](const Result& r) { return r.late_commands; }, 20},
    // apply_heartbeat: sequence numbers order the messages of a machine.
    {"StaleHeartbeatsAfterNewer", 4,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.gang_tenths = 5;
       o.duplicated_heartbeats = 1;
       add_periodic_faults(o, Fault::duplicate_heartbeats, 6'000, 8'000, 8'000);
       if (seed % 4 != 3) add_periodic_faults(o, Fault::machine_restarts, 10'000, 6'000, 0);
       add_periodic_faults(o, Fault::machine_hangs, 9'000, 1'500,
                           3'000 + 2'000 * static_cast<Ms>(seed % 3));
       if (seed % 2 == 0) add_periodic_faults(o, Fault::quick_restart, 15'000, 20'000, 0, seed % 3);
     },
     [](const Result& r) { return r.duplicate_heartbeats_arrived; }, 100},
    // Controller::finish and on_cancel: both compare the version of the job's record; either alone
    // is
    // not enough.
    {"RequestsAsTheLastTaskEnds", 4,
     [](Options& o, std::uint64_t) {
       o.job_every_ms = 500;
       o.longest_task_s = 4;
       o.largest_array = 12;
       o.machines = 18;
       o.limit_cpus = 80;
       o.failing_jobs = 0;
       add_periodic_faults(o, Fault::cancel_at_end, 1'000, 10'000, 10'000);
     },
     [](const Result& r) { return r.requests_at_end; }, 200},
    // Controller::reconcile: no task that a machine does not list counts as released before it has
    // shown a token of its present owner.
    {"HeartbeatsDelayedUntilANewOwnerActed", 7,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.gang_tenths = 6;
       o.failing_jobs = 0;
       // A gang loses a task, others of it hang, their owner crashes, and the next owner receives
       // heartbeats that they sent before the gang started.
       for (Ms at = 14'000; at < 80'000; at += 11'000) {
         o.planned_faults.push_back({at - 9'000, Fault::heartbeats_delayed, 0, 12'000});
         for (Ms k = 0; k < 2; ++k) o.planned_faults.push_back({at + k, Fault::machine_dies, 0, 0});
         for (Ms k = 0; k < 7; ++k)
           o.planned_faults.push_back({at + 200 + 150 * k, Fault::machine_hangs, 0, 7'300});
         const auto n = static_cast<std::size_t>(at / 11'000) + seed;
         o.planned_faults.push_back({at + 800, Fault::controller_crash, n % 3, 0});
       }
       if (seed % 2 == 0) o.planned_faults.push_back({20'000, Fault::slow_links, 0, 40'000});
     },
     [](const Result& r) { return r.delayed_heartbeats_arrived; }, 100},
    // within_grant (quota.cpp): a task counts against its controller's grant until it is recorded
    // as
    // gone, which slow links put off.
    {"MoreWorkThanCapacityOverSlowLinks", 2,
     [](Options& o, std::uint64_t) {
       o.longest_task_s = 12;
       o.free_team_tenths = 3;
       add_periodic_faults(o, Fault::slow_links, 5'000, 30'000, 30'000);
       add_periodic_faults(o, Fault::job_burst, 20'000, 25'000, 8'000);
     },
     [](const Result& r) { return r.checkpointed_stops; }, 1},
    // apply_heartbeat: a new incarnation's lease counts from the first contact, a reply to a
    // command included.
    {"MachinesWhoseHeartbeatsAreLost", 3,
     [](Options& o, std::uint64_t) {
       o.machines = 9;
       add_periodic_faults(o, Fault::machine_heartbeats_lost, 10'000, 6'000, 25'000);
     },
     [](const Result& r) { return r.starts_without_heartbeats; }, 10},
    // Controller::state_of: no cancellation is confirmed while a task is recorded on a machine.
    {"CancelledOnHangingMachines", 4,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.cancel_s = 12;
       o.limit_cpus = 80;
       add_periodic_faults(o, Fault::cancel_now, 15'000, 13'000,
                           2'000 + 700 * static_cast<Ms>(seed));
     },
     [](const Result& r) { return r.hangs_during_cancellation; }, 30},
    // wire::parse_job, Controller::verdict and lookup.
    {"InvalidRequests", 2,
     [](Options& o, std::uint64_t seed) {
       add_periodic_faults(o, Fault::invalid_requests, 5'000, 10'000, 10'000);
       o.planned_faults.push_back({30'000, Fault::all_controllers_crash, 0, 0});
       if (seed % 2 == 0) o.planned_faults.push_back({50'000, Fault::state_outage, 0, 10'000});
     },
     [](const Result& r) { return r.invalid_requests_answered; }, 1000},
};

class ConcurrentFaults : public testing::TestWithParam<FaultPair> {};

// One run, in which no invariant is violated and all jobs end.
Result run(const FaultPair& pair, std::uint64_t seed, double services) {
  Options o;
  o.seed = seed;
  o.faults = false;
  o.longest_task_s = 20;
  o.recovery_ms = 700'000;
  o.until_finished = true;
  o.services = services;
  pair.plan(o, seed);
  o.trace = trace_from_environment();
  Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, testing::AllOf(has_no_violations(), has_no_unfinished_jobs())) << "seed " << seed;
  EXPECT_GT(r.done, 10) << "seed " << seed;
  return r;
}

TEST_P(ConcurrentFaults, InvariantsHoldAndAllJobsEnd) {
  const FaultPair& pair = GetParam();
  int met = 0;
  for (std::uint64_t seed = 1; seed <= pair.seeds; ++seed) {
    if (!skips_seed(seed)) met += pair.met(run(pair, seed, 0));
  }
  RecordProperty("met", met);
  if (prints_counts()) std::printf("met %d\n", met);
  EXPECT_GE(met, pair.least) << "the runs do not bring about what they are for";
}

// The same while services are submitted among the arrays and gangs.
TEST_P(ConcurrentFaults, InvariantsHoldWithServices) {
  constexpr double kServices = 0.1;  // of the jobs
  int services = 0;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    if (!skips_seed(seed)) services += run(GetParam(), seed, kServices).services;
  }
  EXPECT_GT(services, 3);
}

INSTANTIATE_TEST_SUITE_P(Workers, ConcurrentFaults, testing::ValuesIn(kFaultPairs),
                         [](const auto& m) { return std::string(m.param.name); });

}  // namespace
}  // namespace scheduler::sim
