// Seeded simulations with planned concurrent faults of workers and users. The comment at each
// scenario names the code in the controller that preserves the invariant; without that code,
// the test fails.
#include <gtest/gtest.h>

#include <cstdio>
#include <functional>
#include <ostream>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

struct FaultScenario {
  const char* name;
  std::uint64_t seed_count;
  std::function<void(Options&, std::uint64_t seed)> plan;
  // Counts in one run how often the intended situation occurred; all runs of the scenario together
  // must reach `min_occurrences`.
  std::function<int(const Result&)> occurrences;
  int min_occurrences;
};

void PrintTo(const FaultScenario& scenario, std::ostream* out) { *out << scenario.name; }

const FaultScenario kScenarios[] = {
    // TaskAssigner::open_zones: a task counts for its zone until it is proven gone, even if its
    // machine is lost.
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
    // Reconciler::reconcile: a task that the machine does not list may still start until the
    // machine reports a token higher than that of every start command sent for the task.
    {"CommandsDelayedByAHang", 4,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.gang_tenths = 5;
       add_periodic_faults(o, Fault::machine_hangs, 8'000, 1'200,
                           1'000 + 700 * static_cast<Ms>(seed % 6));
       if (seed % 2 == 0) add_periodic_faults(o, Fault::slow_links, 20'000, 25'000, 15'000);
     },
     [](const Result& r) { return r.late_commands; }, 20},
    // HeartbeatApplier::apply_tasks: a start stays unconfirmed until its own attempt is listed. The
    // machine still lists the attempt before it, which has exited.
    {"RestartsHeldWhileTheirJobStops", 4,
     [](Options& o, std::uint64_t seed) {
       o.machines = 6;
       o.heartbeat_interval_s = 3;
       o.lease_s = 20;
       o.cancel_s = 40;
       o.gang_tenths = 8;
       o.failing_jobs = 0;
       o.planned_faults.push_back({5'000, Fault::restarts_held, 0, 85'000});
       add_periodic_faults(o, Fault::machine_hangs, 6'000, 2'500, 2'500);
       if (seed % 2 == 0) add_periodic_faults(o, Fault::preemption_notice, 9'000, 12'000, 0);
     },
     [](const Result& r) { return r.restarts_held; }, 10},
    // HeartbeatApplier::apply: rejects heartbeats that are older than the last one by incarnation
    // and sequence number.
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
    // JobCompletion::write_final_state and JobCancellation::write_cancelled: both writes are
    // conditional on the version of the job's record; one conditional write alone is not enough.
    {"RequestsAsTheLastTaskEnds", 4,
     [](Options& o, std::uint64_t) {
       o.job_every_ms = 500;
       o.longest_task_s = 4;
       o.largest_array = 12;
       o.machines = 18;
       o.tight_team_cpus = 80;
       o.failing_jobs = 0;
       add_periodic_faults(o, Fault::cancel_at_end, 1'000, 10'000, 10'000);
     },
     [](const Result& r) { return r.requests_at_end; }, 200},
    // Reconciler::reconcile: a task that the machine does not list is not released before the
    // machine has reported a token of its current owner.
    {"HeartbeatsDelayedUntilANewOwnerActed", 7,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.gang_tenths = 6;
       o.failing_jobs = 0;
       // A gang loses a task, machines of its other tasks hang, their owner crashes, and the next
       // owner receives heartbeats that these machines sent before the gang started.
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
    // QuotaManager::allows: a task counts against its controller's quota lease until its release is
    // recorded, which slow links delay.
    {"MoreWorkThanCapacityOverSlowLinks", 2,
     [](Options& o, std::uint64_t) {
       o.longest_task_s = 12;
       o.free_team_tenths = 3;
       add_periodic_faults(o, Fault::slow_links, 5'000, 30'000, 30'000);
       add_periodic_faults(o, Fault::job_burst, 20'000, 25'000, 8'000);
     },
     [](const Result& r) { return r.checkpointed_stops; }, 1},
    // HeartbeatApplier::begin_incarnation: the lease of a new incarnation starts at the first
    // contact, which may be a reply to a command.
    {"MachinesWhoseHeartbeatsAreLost", 3,
     [](Options& o, std::uint64_t) {
       o.machines = 9;
       add_periodic_faults(o, Fault::machine_heartbeats_lost, 10'000, 6'000, 25'000);
     },
     [](const Result& r) { return r.starts_without_heartbeats; }, 10},
    // JobReader::state_of: a job is not reported as cancelled while a task of it is recorded on a
    // machine.
    {"CancelledOnHangingMachines", 4,
     [](Options& o, std::uint64_t seed) {
       o.machines = 12;
       o.cancel_s = 12;
       o.tight_team_cpus = 80;
       add_periodic_faults(o, Fault::cancel_now, 15'000, 13'000,
                           2'000 + 700 * static_cast<Ms>(seed));
     },
     [](const Result& r) { return r.hangs_during_cancellation; }, 30},
    // wire::parse_job, JobSubmission::admission_error and JobReader::read_job reject these
    // requests.
    {"InvalidRequests", 2,
     [](Options& o, std::uint64_t seed) {
       add_periodic_faults(o, Fault::invalid_requests, 5'000, 10'000, 10'000);
       o.planned_faults.push_back({30'000, Fault::all_controllers_crash, 0, 0});
       if (seed % 2 == 0) o.planned_faults.push_back({50'000, Fault::state_outage, 0, 10'000});
     },
     [](const Result& r) { return r.invalid_requests_answered; }, 1000},
};

class ConcurrentFaults : public testing::TestWithParam<FaultScenario> {};

// Runs the scenario with one seed and expects that no invariant is violated and that all jobs end.
Result run(const FaultScenario& scenario, std::uint64_t seed, double services) {
  Options o;
  o.seed = seed;
  o.faults = false;
  o.longest_task_s = 20;
  o.recovery_ms = 700'000;
  o.until_finished = true;
  o.services = services;
  scenario.plan(o, seed);
  o.trace = trace_from_environment();
  Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, testing::AllOf(has_no_violations(), has_no_unfinished_jobs())) << "seed " << seed;
  EXPECT_GT(r.done, 10) << "seed " << seed;
  return r;
}

TEST_P(ConcurrentFaults, InvariantsHoldAndAllJobsEnd) {
  const FaultScenario& scenario = GetParam();
  int occurrences = 0;
  for (std::uint64_t seed = 1; seed <= scenario.seed_count; ++seed) {
    if (!skips_seed(seed)) occurrences += scenario.occurrences(run(scenario, seed, 0));
  }
  RecordProperty("met", occurrences);
  if (prints_fault_counts()) std::printf("met %d\n", occurrences);
  EXPECT_GE(occurrences, scenario.min_occurrences)
      << "the planned faults did not cause the intended situation often enough";
}

// Runs each scenario with two seeds and with services submitted among the arrays and gangs.
TEST_P(ConcurrentFaults, InvariantsHoldWithServices) {
  constexpr double kServiceShare = 0.1;  // share of the jobs
  int services = 0;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    if (!skips_seed(seed)) services += run(GetParam(), seed, kServiceShare).services;
  }
  EXPECT_GT(services, 3);
}

INSTANTIATE_TEST_SUITE_P(Workers, ConcurrentFaults, testing::ValuesIn(kScenarios),
                         [](const auto& m) { return std::string(m.param.name); });

}  // namespace
}  // namespace scheduler::sim
