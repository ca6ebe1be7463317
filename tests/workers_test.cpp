// Tests of the components that manage machines, each without a whole controller.
#include <gtest/gtest.h>

#include <string>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "membership/controller_status.h"
#include "support/component_test.h"
#include "wire/record_keys.h"
#include "workers/failure_tracker.h"
#include "workers/gossiped_cancellations.h"
#include "workers/heartbeat_applier.h"
#include "workers/machine_table.h"
#include "workers/reconciler.h"
#include "workers/shard_record_writer.h"

namespace scheduler {
namespace {

constexpr const char* kMachine = "n-1";
constexpr const char* kJob = "req-000001";
constexpr Ms kLoadMs = 1000;  // enough time to read all records

// A job with one task, recorded as placed on the machine in incarnation 1 of its agent.
class WorkersTest : public ComponentTest {
 protected:
  WorkersTest() {
    wire::FleetRecord fleet;
    fleet.machines[kMachine].zone = "a";
    put(wire::fleet_key(0), encode(fleet));
    record_job(false);
    record_placement(1);
    run(kLoadMs, [](Ms) {});
    machine().incarnation = 1;
  }

  void record_job(bool cancelled) {
    wire::JobRecord job;
    job.spec.id = kJob;
    job.spec.job_class = "c";
    job.spec.team = "t";
    job.spec.tasks = 1;
    job.spec.cpus = 1;
    job.spec.image = "i";
    job.cancelled = cancelled;
    job.initial_ranges = {{1, 0, 1, kControllerName}};
    put(wire::job_key(kJob), encode(job));
  }

  void record_placement(std::uint64_t attempt) {
    wire::RangeRecord range;
    range.owner = kControllerName;
    range.end = 1;
    range.done.assign(1, false);
    range.placed[0] = {attempt, kMachine, 1, kControllerName};
    range.next_attempt = attempt + 1;
    put(wire::range_key(kJob, 1), encode(range));
  }

  Machine& machine() { return machines_.add(now_, kMachine)->second; }

  // A heartbeat of the agent that lists no tasks.
  wire::Heartbeat heartbeat(std::uint64_t incarnation, std::uint64_t sequence) const {
    wire::Heartbeat heartbeat;
    heartbeat.machine = kMachine;
    heartbeat.address = "n-1:1";
    heartbeat.type = "g";
    heartbeat.zone = "a";
    heartbeat.incarnation = incarnation;
    heartbeat.sequence = sequence;
    heartbeat.token = token_;
    return heartbeat;
  }

  bool is_released(std::uint64_t attempt = 1) const {
    return ranges_.is_released({{kJob, 1}, 0}, attempt);
  }

  std::uint64_t token_ = ClusterView::token(1, 0);  // reported by the agent
  PassTrigger pass_trigger_;
  MachineTable machines_{context_};
  RangeTable ranges_{context_, pass_trigger_};
  FailureTracker failures_;
  ShardRecordWriter shard_records_{context_, machines_};
  GossipedCancellations cancellations_{context_, machines_};
  Reconciler reconciler_{context_, ranges_, failures_, shard_records_, cancellations_};
  HeartbeatApplier applier_{context_, machines_, reconciler_, shard_records_, pass_trigger_};
};

TEST_F(WorkersTest, LaterIncarnationReleasesTasksOfTheFormer) {
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(1, 1)));
  EXPECT_FALSE(is_released());
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(2, 1)));
  EXPECT_TRUE(is_released());
}

TEST_F(WorkersTest, AbsentTaskIsReleasedOnlyUnderATokenAboveItsStart) {
  record_job(true);
  run(kLoadMs, [](Ms) {});
  machine().unconfirmed_starts[{{kJob, 0}, 1}] = token_;
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(1, 1)));
  EXPECT_FALSE(is_released()) << "the start may still be on its way";
  token_ = ClusterView::token(1, 1);
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(1, 2)));
  EXPECT_TRUE(is_released());
}

// Guards against running a task twice: a report that still lists the exit of the former attempt was
// sent before the start of the new one arrived, which it may do later.
TEST_F(WorkersTest, ExitOfTheFormerAttemptConfirmsNoStart) {
  record_job(true);
  record_placement(2);
  run(kLoadMs, [](Ms) {});
  machine().unconfirmed_starts[{{kJob, 0}, 2}] = token_;
  wire::Heartbeat former_exit = heartbeat(1, 1);
  former_exit.tasks.push_back(
      {{kJob, 0}, 1, wire::TaskState::exited, wire::ExitCause::stopped, false});
  EXPECT_TRUE(applier_.apply(now_, machine(), former_exit));
  EXPECT_FALSE(is_released(2)) << "the start of attempt 2 may still be on its way";
  token_ = ClusterView::token(1, 1);
  former_exit.sequence = 2;
  former_exit.token = token_;
  EXPECT_TRUE(applier_.apply(now_, machine(), former_exit));
  EXPECT_TRUE(is_released(2));
}

// Guards against a start that is never proven void, because what is known of a former attempt (its
// exit, or its release that has been recorded) is taken for the present one.
TEST_F(WorkersTest, FormerAttemptProvesNothingOfThePresentOne) {
  ranges_.release_task({{kJob, 1}, 0}, 1, false, {ReleaseProof::exit_listed});
  record_job(true);
  record_placement(2);
  run(kLoadMs, [](Ms) {});
  machine().unconfirmed_starts[{{kJob, 0}, 2}] = token_;
  EXPECT_TRUE(reconciler_.has_unproven_absence(machine()));
  wire::Heartbeat former_exit = heartbeat(1, 1);
  former_exit.tasks.push_back(
      {{kJob, 0}, 1, wire::TaskState::exited, wire::ExitCause::stopped, false});
  applier_.apply(now_, machine(), former_exit);
  EXPECT_TRUE(reconciler_.has_unproven_absence(machine()));
  ranges_.release_task({{kJob, 1}, 0}, 2, false, {ReleaseProof::lease_expired});
  EXPECT_FALSE(reconciler_.has_unproven_absence(machine()));
}

// Guards against an exit that goes unseen, so that the task is neither placed again nor completed:
// the machine lists the exit of the former attempt after that of the present one.
TEST_F(WorkersTest, ExitIsSeenBesideThatOfAnotherAttempt) {
  record_placement(2);
  run(kLoadMs, [](Ms) {});
  wire::Heartbeat exits = heartbeat(1, 1);
  for (const std::uint64_t attempt : {2, 1})
    exits.tasks.push_back(
        {{kJob, 0}, attempt, wire::TaskState::exited, wire::ExitCause::stopped, false});
  applier_.apply(now_, machine(), exits);
  EXPECT_TRUE(is_released(2));
}

TEST_F(WorkersTest, StartsBelowTheReportedTokenAreForgotten) {
  machine().unconfirmed_starts[{{kJob, 0}, 1}] = token_;
  applier_.apply(now_, machine(), heartbeat(1, 1));
  EXPECT_EQ(machine().unconfirmed_starts.size(), 1U);
  token_ = ClusterView::token(1, 1);
  applier_.apply(now_, machine(), heartbeat(1, 2));
  EXPECT_TRUE(machine().unconfirmed_starts.empty());
}

TEST_F(WorkersTest, AbsentTaskIsKeptUntilItsMachineHasShownATokenOfItsOwner) {
  record_job(true);
  run(kLoadMs, [](Ms) {});
  token_ = ClusterView::token(0, 7);  // issued by a former owner
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(1, 1)));
  EXPECT_FALSE(is_released());
}

TEST_F(WorkersTest, AbsentTaskThatIsToRunIsKept) {
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(1, 1)));
  EXPECT_FALSE(is_released());
}

TEST_F(WorkersTest, GossipedCancellationCountsOnlyWithoutTheStateService) {
  const Job& job = *replica_.job(kJob);
  cancellations_.apply(now_, {kJob});
  EXPECT_FALSE(cancellations_.is_cancelled(kJob, job));
  state_client_.on_pause(now_);  // the state service does not count as answering after a pause
  cancellations_.apply(now_, {kJob});
  EXPECT_TRUE(cancellations_.is_cancelled(kJob, job));
  EXPECT_TRUE(
      reconciler_.must_not_run(machine(), {{kJob, 1}, 0}, {1, kMachine, 1, kControllerName}));
}

TEST_F(WorkersTest, OutdatedHeartbeatsAreRejected) {
  EXPECT_TRUE(applier_.apply(now_, machine(), heartbeat(2, 5)));
  EXPECT_FALSE(applier_.apply(now_, machine(), heartbeat(2, 5)));
  EXPECT_FALSE(applier_.apply(now_, machine(), heartbeat(2, 4)));
  EXPECT_FALSE(applier_.apply(now_, machine(), heartbeat(1, 9)));
  EXPECT_EQ(machine().sequence, 5U);
}

TEST_F(WorkersTest, UnreachableMachineIsUsableAgainOnceItShowsTheNewToken) {
  applier_.apply(now_, machine(), heartbeat(1, 1));
  machine().last_heartbeat = now_;
  EXPECT_TRUE(machines_.usable(now_, machine()));
  applier_.mark_unreachable(now_, machine());
  applier_.apply(now_, machine(), heartbeat(1, 2));
  EXPECT_FALSE(machines_.usable(now_, machine()));
  token_ = machine().reachability_token;
  applier_.apply(now_, machine(), heartbeat(1, 3));
  EXPECT_TRUE(machines_.usable(now_, machine()));
}

TEST_F(WorkersTest, UnresponsiveMachineIsNotUsable) {
  applier_.apply(now_, machine(), heartbeat(1, 1));
  machine().last_heartbeat = now_;
  const Ms later = now_ + machines_.unresponsive_after();
  EXPECT_TRUE(machines_.usable(later - 1, machine()));
  EXPECT_FALSE(machines_.usable(later, machine()));
}

TEST_F(WorkersTest, FailuresOfSeveralJobsQuarantineTheMachineInItsRecord) {
  failures_.on_task_failed(now_, kMachine, "req-000002");
  wire::Heartbeat failure_report = heartbeat(1, 1);
  failure_report.tasks.push_back(
      {{kJob, 0}, 1, wire::TaskState::exited, wire::ExitCause::error, false});
  applier_.apply(now_, machine(), failure_report);
  EXPECT_TRUE(is_released());
  EXPECT_EQ(machine().state, wire::MachineState::quarantined);
  run(kLoadMs, [this](Ms now) { shard_records_.write(now); });
  EXPECT_EQ(replica_.machine(kMachine)->state, wire::MachineState::quarantined);
}

TEST_F(WorkersTest, RunTimeIsThatOfTheGivenAttempt) {
  wire::Heartbeat running = heartbeat(1, 1);
  running.tasks.push_back({{kJob, 0}, 1, wire::TaskState::running, wire::ExitCause::none, false});
  applier_.apply(now_, machine(), running);
  EXPECT_DOUBLE_EQ(machine().run_time_s(now_ + 3000, {{kJob, 0}, 1}), 3);
  EXPECT_DOUBLE_EQ(machine().run_time_s(now_ + 3000, {{kJob, 0}, 2}), 0);
}

}  // namespace
}  // namespace scheduler
