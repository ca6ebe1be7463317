// Tests the components of scheduling and quotas without a whole controller.
#include <gtest/gtest.h>

#include <string>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "membership/controller_status.h"
#include "quota/quota_manager.h"
#include "quota/service_reserve.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/range_planner.h"
#include "scheduling/start_deadlines.h"
#include "scheduling/task_assigner.h"
#include "support/component_test.h"
#include "wire/record_keys.h"
#include "workers/machine_table.h"

namespace scheduler {
namespace {

constexpr const char* kMachine = "n-1";
constexpr const char* kJob = "req-000001";
const RangeId kRange{kJob, 1};

wire::RangeRecord range_of(std::uint32_t tasks) {
  wire::RangeRecord range;
  range.owner = "puffin-0";
  range.end = tasks;
  range.done.assign(tasks, false);
  return range;
}

TEST(RangeState, ReleasedTaskCanBePlacedAgain) {
  wire::RangeRecord range = range_of(3);
  range.done[0] = true;
  range.placed[1] = {4, kMachine, 1, "puffin-0"};
  RangeState state;
  EXPECT_FALSE(state.is_unstarted(range, 0));
  EXPECT_FALSE(state.is_unstarted(range, 1));
  EXPECT_TRUE(state.is_unstarted(range, 2));
  EXPECT_EQ(state.open_tasks(range), 1U);
  state.released[1] = {3, false};  // of an earlier attempt
  EXPECT_FALSE(state.is_unstarted(range, 1));
  state.released[1] = {4, false};
  EXPECT_TRUE(state.is_unstarted(range, 1));
  EXPECT_EQ(state.open_tasks(range), 2U);
  state.released[1] = {4, true};  // completed
  EXPECT_FALSE(state.is_unstarted(range, 1));
  state.pending_placements[2] = {1, kMachine, 1, "puffin-0"};
  EXPECT_FALSE(state.is_unstarted(range, 2));
}

TEST(RangeState, TasksOfAStoppingGangAreNotPlacedBeforeItIsGone) {
  wire::RangeRecord range = range_of(1);
  range.placed[0] = {1, kMachine, 1, "puffin-0"};
  range.stopping = true;
  RangeState state;
  state.released[0] = {1, false};
  EXPECT_FALSE(state.is_unstarted(range, 0));
}

TEST(StartDeadlines, UrgencyFollowsTheNextObjectiveThatCanBeMet) {
  Settings settings;
  settings.objectives = {{ObjectiveKind::wait, "c", 0.9, 0, 10},
                         {ObjectiveKind::finished, "c", 0.9, 0, 100}};
  Job job;
  job.record.spec.job_class = "c";
  job.record.spec.tasks = 1;
  job.record.spec.estimate_s = 40;
  const auto& spec = job.record.spec;
  EXPECT_FALSE(is_urgent(settings, spec, 1));
  EXPECT_TRUE(is_urgent(settings, spec, 5));    // five seconds are left until the latest start
  EXPECT_FALSE(is_urgent(settings, spec, 20));  // first objective missed; the next is at 60 s
  EXPECT_TRUE(is_urgent(settings, spec, 55));
  EXPECT_FALSE(is_urgent(settings, spec, 70));  // no objective can be met any more
  EXPECT_EQ(pending_job(settings, job, 1).latest_starts_s, (std::vector<double>{9, 59}));
  EXPECT_EQ(pending_job(settings, job, 20).latest_starts_s, (std::vector<double>{40}));
  EXPECT_TRUE(pending_job(settings, job, 70).latest_starts_s.empty());
}

TEST(StartDeadlines, LowWorkIsRaisedOnlyWhileACompletionObjectiveIsOpen) {
  Settings settings;
  settings.objectives = {{ObjectiveKind::finished, "c", 0.9, 0, 100}};
  Job job;
  job.record.spec.job_class = "c";
  job.record.spec.tasks = 1;
  job.record.spec.priority = wire::Priority::low;
  EXPECT_EQ(pending_job(settings, job, 0).priority, static_cast<int>(wire::Priority::normal));
  EXPECT_EQ(pending_job(settings, job, 101).priority, static_cast<int>(wire::Priority::low));
}

class SchedulingTest : public ComponentTest {
 protected:
  SchedulingTest() {
    settings_.teams = {{"t", 0, 4, 0, 0}};
    wire::JobRecord job;
    job.spec = spec();
    job.initial_ranges = {{1, 0, 3, kControllerName}};
    put(wire::job_key(kJob), encode(job));
    wire::MachineType type;
    type.name = "g";
    type.cpus = 8;
    type.memory_gb = 32;
    type.zones = {"a"};
    put(std::string(wire::kCatalogKey), wire::catalog_body({type}));
    wire::FleetRecord fleet;
    fleet.machines[kMachine].type = "g";
    fleet.machines[kMachine].zone = "a";
    put(wire::fleet_key(0), encode(fleet));
    status_.start(now_, now_);
    run(1000, [](Ms) {});
  }

  static wire::JobSpec spec() {
    wire::JobSpec spec;
    spec.id = kJob;
    spec.job_class = "c";
    spec.team = "t";
    spec.tasks = 3;
    spec.cpus = 1.5;
    spec.memory_gb = 2;
    spec.image = "i";
    return spec;
  }

  PassTrigger pass_trigger_;
  ControllerStatus status_{context_};
  MachineTable machines_{context_};
  RangeTable ranges_{context_, pass_trigger_};
  CandidateCache candidates_{context_, machines_, ranges_};
  TaskAssigner assigner_{context_, ranges_, candidates_};
  ServiceReserve reserve_{context_};
  QuotaManager quota_{context_, status_, ranges_, reserve_, pass_trigger_};
};

TEST_F(SchedulingTest, DroppedPlacementsGiveTheirReservationsBack) {
  const Machine& m = machines_.add(now_, kMachine)->second;
  SchedulingPass pass;
  pass.now = now_;
  pass.candidates = {&candidates_.candidate(now_, m)};
  RangeState& range = ranges_[kRange];
  const wire::JobSpec job = spec();
  assigner_.assign(pass, {job, range, 0, 1}, 0, false);
  assigner_.assign(pass, {job, range, 1, 1}, 0, false);
  EXPECT_DOUBLE_EQ(pass.candidate(0).free.cpus, 5);
  EXPECT_DOUBLE_EQ(m.reserved.cpus, 3);
  EXPECT_DOUBLE_EQ(ranges_.usage_with_pending("t", {1, 0}).cpus, 4);
  candidates_.drop_pending_placements(range, 1);
  EXPECT_EQ(range.pending_placements.size(), 1U);
  EXPECT_DOUBLE_EQ(candidates_.candidate(now_, m).free.cpus, 6.5);
  candidates_.clear_pending_placements(range);
  EXPECT_DOUBLE_EQ(candidates_.candidate(now_, m).free.cpus, 8);
}

// Guards against a pass that reads freed memory: placements that don't fit into a record are taken
// back during the pass, and with them the candidates of other shards' machines were freed
// (review/4).
TEST_F(SchedulingTest, DroppedPlacementsKeepTheCandidatesThatAPassRefersTo) {
  const std::string remote = "n-000000000000000231";
  wire::FleetRecord fleet;
  fleet.machines[remote].type = "g";
  fleet.machines[remote].zone = "b";
  put(wire::fleet_key(1), encode(fleet));
  wire::ShardRecord shard;
  shard.machines[remote] = {remote + ":1", 1, wire::MachineState::ready, 1};
  put(wire::shard_key("puffin-1", 1), encode(shard));
  run(1000, [](Ms) {});
  candidates_.begin_pass();
  SchedulingPass pass;
  pass.now = now_;
  candidates_.add_remote_candidates(pass);
  ASSERT_EQ(pass.candidates.size(), 1U);
  RangeState& range = ranges_[kRange];
  const wire::JobSpec job = spec();
  assigner_.assign(pass, {job, range, 0, 1}, 0, false);
  assigner_.assign(pass, {job, range, 1, 1}, 0, false);
  candidates_.drop_pending_placements(range, 1);
  EXPECT_EQ(pass.candidate(0).id, remote);
  EXPECT_DOUBLE_EQ(pass.candidate(0).free.cpus, 5);  // booked until the pass ends
  candidates_.invalidate_all_remote_candidates();
  EXPECT_EQ(pass.candidate(0).id, remote);
  // The next pass sees what is free: one placement is still being written.
  candidates_.begin_pass();
  SchedulingPass next;
  next.now = now_;
  candidates_.add_remote_candidates(next);
  ASSERT_EQ(next.candidates.size(), 1U);
  EXPECT_DOUBLE_EQ(next.candidate(0).free.cpus, 6.5);
}

TEST_F(SchedulingTest, NothingIsPlacedWithoutAQuotaLeaseAndDemandCreatesOne) {
  std::map<std::string, wire::QuotaRecord::Amount> used;
  EXPECT_FALSE(quota_.allows(used, spec()));
  quota_.add_demand(spec(), 2);
  run(1000, [this](Ms now) { quota_.tick(now); });
  const auto record = replica_.quotas().find("t");
  ASSERT_NE(record, replica_.quotas().end());
  EXPECT_GE(record->second.leases.at(kControllerName).cpus, 3.0);
  EXPECT_LE(record->second.leases.at(kControllerName).cpus, 4.0);
  used.clear();
  EXPECT_TRUE(quota_.allows(used, spec()));
  used["t"].cpus = 4;
  EXPECT_FALSE(quota_.allows(used, spec()));
}

TEST_F(SchedulingTest, RangesOfAJobCoverEachTaskOnce) {
  RangePlanner planner(context_, status_);
  wire::JobSpec large = spec();
  large.tasks = 20'000;
  std::uint32_t next = 0;
  for (const auto& initial_range : planner.split_into_ranges(large)) {
    EXPECT_EQ(initial_range.begin, next);
    EXPECT_GT(initial_range.end, initial_range.begin);
    next = initial_range.end;
  }
  EXPECT_EQ(next, large.tasks);
}

}  // namespace
}  // namespace scheduler
