// Tests which machine ServicePlacement chooses for a replica, without a whole controller.
#include "scheduling/service_placement.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/component_test.h"
#include "wire/record_keys.h"

namespace scheduler {
namespace {

constexpr const char* kService = "req-000001";
constexpr const char* kOther = "req-000002";  // an array of low priority
constexpr double kCpus = 4;                   // of each machine
constexpr Ms kLoadMs = 1000;                  // enough time to read all records

// A service of one replica and the machines n-1 and n-2, of which n-1 has more free capacity.
class ServicePlacementTest : public ComponentTest {
 protected:
  ServicePlacementTest() {
    spec_.id = kService;
    spec_.shape = wire::JobShape::service;
    spec_.priority = wire::Priority::production;
    spec_.job_class = "c";
    spec_.team = "t";
    spec_.tasks = 1;
    spec_.cpus = 2;
    spec_.memory_gb = 1;
    spec_.image = "i";
    put(std::string(wire::kCatalogKey),
        wire::catalog_body({{"g", kCpus, 0, 32, 50, 1, 1, 1, 3, {"a"}}}));
    wire::JobRecord job;
    job.spec = spec_;
    job.initial_ranges = {{1, 0, 1, kControllerName}};
    put(wire::job_key(kService), encode(job));
    wire::FleetRecord fleet;
    fleet.machines["n-1"].zone = "a";
    fleet.machines["n-1"].type = "g";
    put(wire::fleet_key(0), encode(fleet));
    first_.id = "n-1";
    second_.id = "n-2";
    for (Candidate* candidate : {&first_, &second_}) {
      candidate->zone = "a";
      candidate->type = "g";
      candidate->incarnation = 1;
    }
    first_.free = {kCpus, 0, 32};
    second_.free = {2, 0, 16};
  }

  // A task of another job, recorded on n-1 and running there, which leaves it no free CPUs.
  void fill_first_machine() {
    wire::JobRecord job;
    job.spec = spec_;
    job.spec.id = kOther;
    job.spec.shape = wire::JobShape::array;
    job.spec.priority = wire::Priority::low;
    job.spec.cpus = kCpus;
    job.initial_ranges = {{1, 0, 1, kControllerName}};
    put(wire::job_key(kOther), encode(job));
    wire::RangeRecord range;
    range.owner = kControllerName;
    range.end = 1;
    range.done.assign(1, false);
    range.placed[0] = {1, "n-1", 1, kControllerName};
    put(wire::range_key(kOther, 1), encode(range));
    machines_.add(now_, "n-1")->second.tasks[{{kOther, 0}, 1}].state = wire::TaskState::running;
    first_.free.cpus = 0;
  }

  // The machine that is chosen for the replica; "": none.
  std::string chosen() {
    run(kLoadMs, [](Ms) {});
    SchedulingPass pass;
    pass.now = now_;
    pass.candidates = {&first_, &second_};
    pass.local_machines = 2;
    pass.remaining_placements = 1;
    const RangeId id{kService, 1};
    wire::RangeRecord range;
    range.owner = kControllerName;
    range.end = 1;
    range.done.assign(1, false);
    services_.place(pass, id, *replica_.job(kService), range);
    const auto& placements = ranges_[id].pending_placements;
    return placements.empty() ? "" : placements.begin()->second.machine;
  }

  wire::JobSpec spec_;
  Candidate first_, second_;
  PassTrigger pass_trigger_;
  pcg32 random_;
  ControllerStatus status_{context_};
  MachineTable machines_{context_};
  RangeTable ranges_{context_, pass_trigger_};
  FailureTracker failures_;
  CandidateCache candidates_{context_, machines_, ranges_};
  TaskAssigner assigner_{context_, ranges_, candidates_};
  Preemption preemption_{context_, machines_, failures_, random_};
  RangePlanner planner_{context_, status_};
  ServiceReserve service_reserve_{context_};
  QuotaManager quota_{context_, status_, ranges_, service_reserve_, pass_trigger_};
  ServicePlacement services_{context_,    machines_, ranges_, candidates_, assigner_,
                             preemption_, planner_,  quota_,  failures_,   random_};
};

TEST_F(ServicePlacementTest, EarlierFinishIsPreferred) { EXPECT_EQ(chosen(), "n-1"); }

// Guards against a replica that is started over and over on a machine that keeps its result, beside
// one where it could run.
TEST_F(ServicePlacementTest, MachineThatKeepsTheResultComesAfterOneWithAFailure) {
  failures_.on_result_kept(now_, "n-1", {kService, 0});
  failures_.on_task_failed(now_, "n-2", kService);
  EXPECT_EQ(chosen(), "n-2");
}

TEST_F(ServicePlacementTest, MachineThatKeepsTheResultIsUsedIfAllDo) {
  failures_.on_result_kept(now_, "n-1", {kService, 0});
  failures_.on_result_kept(now_, "n-2", {kService, 0});
  EXPECT_EQ(chosen(), "n-1");
}

TEST_F(ServicePlacementTest, TaskOfLowPriorityIsPreempted) {
  fill_first_machine();
  second_.free.cpus = 0;
  EXPECT_EQ(chosen(), "n-1");
}

// Guards against the same by way of preemption, which also ends another job's task each time.
TEST_F(ServicePlacementTest, NothingIsPreemptedOnAMachineThatKeepsTheResult) {
  fill_first_machine();
  second_.free.cpus = 0;
  failures_.on_result_kept(now_, "n-1", {kService, 0});
  EXPECT_EQ(chosen(), "");
  EXPECT_TRUE(machines_.at("n-1").stop_requests.empty());
}

}  // namespace
}  // namespace scheduler
