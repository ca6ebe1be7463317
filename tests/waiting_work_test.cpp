// Tests of renting machines for waiting jobs that the fleet can't run although it has enough
// machines in number.
#include "fleet/waiting_work.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/fleet_sizer.h"

namespace scheduler {
namespace {

class WaitingWorkTest : public testing::Test {
 protected:
  static wire::MachineType machine_type(const std::string& name, double price) {
    wire::MachineType type;
    type.name = name;
    type.cpus = 16;
    type.memory_gb = 32;
    type.price = price;
    type.zones = {"a", "b", "c", "d"};
    return type;
  }

  // A job whose tasks each take a whole machine.
  static wire::JobSpec job(wire::JobShape shape, std::uint32_t tasks) {
    wire::JobSpec spec;
    spec.id = "req-000501";
    spec.shape = shape;
    spec.tasks = tasks;
    spec.cpus = 15;
    spec.memory_gb = 26;
    spec.estimate_s = 30;
    return spec;
  }

  static wire::JobSpec one_zone_gang(std::uint32_t tasks) {
    wire::JobSpec spec = job(wire::JobShape::gang, tasks);
    spec.one_zone = true;
    return spec;
  }

  // The number of machines to request for these jobs now, by kind.
  [[nodiscard]] MachineCounts requested(const std::vector<Demand>& demand, Ms now = 0) const {
    MachineCounts out;
    for (const auto& request : sizer_.next_scale_out(now, demand, catalog_, held_, rooms_))
      out[{request.type, request.zone, request.spot}] += static_cast<int>(request.count);
    return out;
  }

  // Requests machines until no more are requested; returns their number. Every request is filled.
  int rent_until_satisfied(const std::vector<Demand>& demand) {
    constexpr int kMaxDecisions = 50;
    int rented = 0;
    for (int decision = 0; decision < kMaxDecisions; ++decision) {
      const MachineCounts machines = requested(demand);
      if (machines.empty()) return rented;
      for (const auto& [kind, count] : machines) {
        held_[kind] += count;
        rented += count;
      }
    }
    ADD_FAILURE() << "machines are rented without end";
    return rented;
  }

  // Marks every kind of the type in these zones as refused.
  void refuse(Ms now, const std::string& type, const std::vector<std::string>& zones) {
    for (const auto& zone : zones) {
      for (const bool spot : {false, true}) sizer_.on_refused(now, {type, zone, spot});
    }
  }

  [[nodiscard]] int held_of(const std::string& type) const {
    int count = 0;
    for (const auto& [kind, machines] : held_) count += kind.type == type ? machines : 0;
    return count;
  }

  [[nodiscard]] int held_in(const std::string& zone) const {
    int count = 0;
    for (const auto& [kind, machines] : held_) count += kind.zone == zone ? machines : 0;
    return count;
  }

  Settings settings_;
  FleetSizer sizer_{settings_};
  std::vector<wire::MachineType> catalog_{machine_type("box", 0.5)};
  MachineCounts held_;
  std::vector<MachineRoom> rooms_;  // what is free on the held machines
};

// Jobs that have waited so long that only what is free on the machines counts.
class CrowdedFleetTest : public WaitingWorkTest {
 protected:
  // Adds machines in a zone: some are full of other work, the others empty.
  void add_machines(const std::string& zone, int full, int empty) {
    const MachineKind kind{"box", zone, false};
    held_[kind] += full + empty;
    if (full > 0) rooms_.push_back({kind, {1, 0, 2}, full});
    if (empty > 0) rooms_.push_back({kind, {16, 0, 32}, empty});
  }

  static Demand waited(const wire::JobSpec& job, Ms waited_ms = kCrowdedWaitMs) {
    Demand demand{&job, job.tasks};
    demand.waited_ms = waited_ms;
    return demand;
  }
};

// Guards against a gang bound to one zone that waits forever because no zone alone has enough
// machines, although the fleet has enough in number (review/5).
TEST_F(WaitingWorkTest, GangBoundToOneZoneGetsTheMachineThatItsZoneLacks) {
  held_ = {{{"box", "a", false}, 5},
           {{"box", "b", false}, 2},
           {{"box", "c", false}, 2},
           {{"box", "d", false}, 2}};
  const wire::JobSpec gang = one_zone_gang(6);
  EXPECT_EQ(requested({{&gang, 6}}), (MachineCounts{{{"box", "a", false}, 1}}));
}

TEST_F(WaitingWorkTest, GangBoundToOneZoneFitsIntoANewFleet) {
  const wire::JobSpec gang = one_zone_gang(16);
  // 16 machines, 50% headroom and 2 spare machines, as for a gang without the condition.
  EXPECT_EQ(rent_until_satisfied({{&gang, 16}}), 26);
  EXPECT_GE(std::max({held_in("a"), held_in("b"), held_in("c"), held_in("d")}), 16);
}

// The zone that lacks the fewest machines has none left to rent.
TEST_F(WaitingWorkTest, GangGetsAnotherZoneIfItsZoneIsUsedUp) {
  held_ = {{{"box", "a", false}, 5}, {{"box", "b", false}, 3}, {{"box", "c", false}, 3}};
  sizer_.on_refused(0, {"box", "a", false});
  const wire::JobSpec gang = one_zone_gang(6);
  const MachineCounts machines = requested({{&gang, 6}});
  EXPECT_EQ(machines, (MachineCounts{{{"box", "b", false}, 3}}));
}

// Waiting gangs of one kind run one after another, so that they need one zone with enough machines.
TEST_F(WaitingWorkTest, WaitingGangsDoNotGrowEveryZone) {
  const wire::JobSpec gang = one_zone_gang(6);
  held_ = {{{"box", "a", false}, 6}, {{"box", "b", false}, 20}, {{"box", "c", false}, 20}};
  const std::vector<Demand> demand(10, {&gang, 6});
  EXPECT_LE(rent_until_satisfied(demand), 46);  // 60 machines, 50% headroom and 2, less those held
}

TEST_F(WaitingWorkTest, NothingIsRentedForAGangThatNoMachineCanTake) {
  wire::JobSpec too_large = one_zone_gang(6);
  too_large.cpus = 17;
  wire::JobSpec other_zone = one_zone_gang(6);
  other_zone.zone = "e";
  wire::JobSpec other_type = one_zone_gang(6);
  other_type.types = {"unknown"};
  EXPECT_TRUE(requested({{&too_large, 6}, {&other_zone, 6}, {&other_type, 6}}).empty());
}

TEST_F(WaitingWorkTest, NothingIsAddedForAGangThatWaitsForItsTeamsLimit) {
  held_ = {{{"box", "a", false}, 5}, {{"box", "b", false}, 5}, {{"box", "c", false}, 1}};
  const wire::JobSpec gang = one_zone_gang(6);
  Demand demand{&gang, 6};
  demand.waits_for_quota = true;
  EXPECT_TRUE(requested({demand}).empty());
  demand.waits_for_quota = false;
  EXPECT_FALSE(requested({demand}).empty());
}

// The other replicas of the service stay where they are, so that no other zone can be used.
TEST_F(WaitingWorkTest, ServiceInOneZoneGetsMachinesInTheZoneOfItsOtherReplicas) {
  held_ = {{{"box", "a", false}, 2}, {{"box", "b", false}, 9}};
  wire::JobSpec service = job(wire::JobShape::service, 4);
  service.one_zone = true;
  Demand demand{&service, 4};
  demand.placed = 2;
  demand.replicas_by_zone["a"] = 2;
  EXPECT_EQ(requested({demand}), (MachineCounts{{{"box", "a", false}, 2}}));
}

// Guards against a service that stays at half of its replicas because only one zone has machines,
// although that zone has enough in number (review/6).
TEST_F(WaitingWorkTest, ServiceSpreadOverZonesGetsMachinesInAnotherZone) {
  held_ = {{{"box", "b", false}, 8}};
  wire::JobSpec service = job(wire::JobShape::service, 4);
  service.spread = true;
  Demand demand{&service, 4};
  demand.placed = 2;
  EXPECT_EQ(requested({demand}), (MachineCounts{{{"box", "a", false}, 2}}));
}

TEST_F(WaitingWorkTest, SpreadServiceUsesTheZonesThatAreNotUsedUp) {
  held_ = {{{"box", "b", false}, 8}};
  sizer_.on_refused(0, {"box", "a", false});
  sizer_.on_refused(0, {"box", "c", false});
  wire::JobSpec service = job(wire::JobShape::service, 4);
  service.spread = true;
  EXPECT_EQ(requested({{&service, 4}}), (MachineCounts{{{"box", "d", false}, 2}}));
}

// Some replicas more are better than none; a gang could not use a part of its machines.
TEST_F(WaitingWorkTest, SpreadServiceWithoutASecondZoneGetsWhatTheFirstMayTake) {
  wire::JobSpec service = job(wire::JobShape::service, 5);
  service.spread = true;
  const Demand demand{&service, 5};
  const auto requirements = waiting_requirements({demand});
  ASSERT_EQ(requirements.size(), 1U);
  const PlacementModel model(catalog_);
  const auto only_in_a = [](const MachineKind& kind) { return kind.zone == "a"; };
  EXPECT_EQ(model.machines_to_add(requirements.front(), {}, only_in_a),
            (MachineCounts{{{"box", "a", false}, 3}}));
  wire::JobSpec gang = service;
  gang.shape = wire::JobShape::gang;
  EXPECT_TRUE(
      model.machines_to_add(waiting_requirements({{&gang, 5}}).front(), {}, only_in_a).empty());
}

TEST_F(WaitingWorkTest, SpreadGangGetsMachinesInTwoZones) {
  held_ = {{{"box", "b", false}, 14}};
  wire::JobSpec gang = job(wire::JobShape::gang, 5);
  gang.spread = true;
  EXPECT_EQ(requested({{&gang, 5}}), (MachineCounts{{{"box", "a", false}, 2}}));
}

// Half of the tasks of an array may run in one zone, and the others after them.
TEST_F(WaitingWorkTest, SpreadArrayNeedsNoSecondZone) {
  held_ = {{{"box", "b", false}, 30}};
  wire::JobSpec array = job(wire::JobShape::array, 9);
  array.spread = true;
  EXPECT_TRUE(requested({{&array, 9}}).empty());
}

// A condition that nothing can meet must not cause requests without end.
TEST_F(WaitingWorkTest, ServiceInOneZoneThatMustBeSpreadIsRentedForOnce) {
  wire::JobSpec service = job(wire::JobShape::service, 4);
  service.one_zone = service.spread = true;
  EXPECT_EQ(rent_until_satisfied({{&service, 4}}), 8);
}

// Guards against work that is never started because only the cheapest type is requested while the
// cloud has none left of it (review/7).
TEST_F(WaitingWorkTest, AnotherTypeIsRentedWhileTheCheapestIsUsedUp) {
  catalog_.push_back(machine_type("large-box", 4.7));
  wire::JobSpec array = job(wire::JobShape::array, 2);
  array.estimate_s = kDefaultHorizonS;  // so that both tasks must run at the same time
  const std::vector<Demand> demand{{&array, 2}};
  EXPECT_EQ(requested(demand).begin()->first.type, "box");
  refuse(0, "box", {"a", "b", "c", "d"});
  const MachineCounts machines = requested(demand, 1);
  ASSERT_FALSE(machines.empty());
  int count = 0;
  for (const auto& [kind, number] : machines) {
    EXPECT_EQ(kind.type, "large-box");
    count += number;
  }
  EXPECT_EQ(count, 2);  // one for each task, without headroom
}

// Only the tasks that the held machines can't take count for the more expensive type.
TEST_F(WaitingWorkTest, HeldMachinesOfAUsedUpTypeAreUsedFirst) {
  catalog_.push_back(machine_type("large-box", 4.7));
  held_ = {{{"box", "a", false}, 6}};
  const wire::JobSpec gang = job(wire::JobShape::gang, 10);
  refuse(0, "box", {"a", "b", "c", "d"});
  EXPECT_EQ(rent_until_satisfied({{&gang, 10}}), 4);
  EXPECT_EQ(held_of("large-box"), 4);
}

TEST_F(WaitingWorkTest, NothingIsReturnedThatReplacesAUsedUpType) {
  catalog_.push_back(machine_type("large-box", 4.7));
  held_ = {{{"box", "a", false}, 6}, {{"large-box", "a", false}, 5}};
  const wire::JobSpec gang = job(wire::JobShape::gang, 10);
  refuse(0, "box", {"a", "b", "c", "d"});
  const std::vector<Demand> demand{{&gang, 10}};
  EXPECT_EQ(sizer_.surplus(1, demand, catalog_, held_).at("large-box"), 1);
  // Once the cheaper type can be rented again, it is.
  for (const auto* zone : {"a", "b", "c", "d"}) sizer_.on_filled({"box", zone, false});
  EXPECT_EQ(sizer_.surplus(1, demand, catalog_, held_).at("large-box"), 3);  // two are spare
}

// Work bound to a zone in which the cheapest type is used up.
TEST_F(WaitingWorkTest, AnotherTypeIsRentedInTheZoneOfTheWork) {
  catalog_.push_back(machine_type("large-box", 4.7));
  held_ = {{{"box", "b", false}, 30}};
  wire::JobSpec array = job(wire::JobShape::array, 2);
  array.zone = "a";
  array.estimate_s = kDefaultHorizonS;  // so that both tasks must run at the same time
  refuse(0, "box", {"a"});
  EXPECT_EQ(requested({{&array, 2}}, 1), (MachineCounts{{{"large-box", "a", false}, 2}}));
}

// A gang in one zone prefers a zone in which the cheap type is left.
TEST_F(WaitingWorkTest, CheaperZoneIsPreferredToAnExpensiveType) {
  catalog_.push_back(machine_type("large-box", 4.7));
  held_ = {{{"box", "a", false}, 5}, {{"box", "b", false}, 4}, {{"box", "c", false}, 4}};
  const wire::JobSpec gang = one_zone_gang(6);
  refuse(0, "box", {"a"});
  EXPECT_EQ(requested({{&gang, 6}}, 1), (MachineCounts{{{"box", "b", false}, 2}}));
}

TEST_F(WaitingWorkTest, ASingleTypeIsRequestedAgainAfterARefusal) {
  held_ = {{{"box", "b", false}, 30}};
  wire::JobSpec array = job(wire::JobShape::array, 2);
  array.zone = "a";
  refuse(0, "box", {"a"});
  EXPECT_TRUE(requested({{&array, 2}}, 1).empty());
  refuse(kRefusedKindRetryDelayMs, "box", {"a"});
  EXPECT_TRUE(requested({{&array, 2}}, kRefusedKindRetryDelayMs + 1).empty());
  EXPECT_FALSE(requested({{&array, 2}}, 2 * kRefusedKindRetryDelayMs).empty());
}

TEST(KindAvailability, RefusedKindCountsAsUsedUpForAGrowingTime) {
  const MachineKind kind{"box", "a", false};
  KindAvailability availability;
  EXPECT_TRUE(availability.may_request(0, kind));
  EXPECT_FALSE(availability.is_used_up(0, kind));
  Ms now = 0;
  for (const Ms used_up_ms : {15'000, 30'000, 60'000, 120'000, 240'000, 240'000}) {
    availability.on_refused(now, kind);
    availability.on_refused(now + 1, kind);  // of another request under way
    EXPECT_FALSE(availability.may_request(now + kRefusedKindRetryDelayMs, kind));
    EXPECT_TRUE(availability.may_request(now + kRefusedKindRetryDelayMs + 1, kind));
    EXPECT_TRUE(availability.is_used_up(now + used_up_ms - 1, kind));
    EXPECT_FALSE(availability.is_used_up(now + used_up_ms, kind));
    now += used_up_ms;
    if (used_up_ms == kRefusedKindRetryDelayMs) ++now;  // the refusals before count as one
  }
  availability.on_filled(kind);
  EXPECT_FALSE(availability.is_used_up(now, kind));
  availability.on_refused(now, kind);
  EXPECT_FALSE(availability.is_used_up(now + kRefusedKindRetryDelayMs, kind));
}

// A machine that is returned although waiting work needs it would be rented again at once.
TEST_F(WaitingWorkTest, MachinesThatAWaitingGangNeedsAreKept) {
  held_ = {{{"box", "a", false}, 6}, {{"box", "b", false}, 5}};
  const wire::JobSpec gang = one_zone_gang(6);
  const MachineKind in_a{"box", "a", false};
  const MachineKind in_b{"box", "b", false};
  EXPECT_TRUE(FleetSizer::needed_by_waiting_work(in_a, {{&gang, 6}}, catalog_, held_));
  EXPECT_FALSE(FleetSizer::needed_by_waiting_work(in_b, {{&gang, 6}}, catalog_, held_));
  Demand running{&gang, 6};
  running.placed = 6;
  EXPECT_FALSE(FleetSizer::needed_by_waiting_work(in_a, {running}, catalog_, held_));
}

// Guards against a job that waits for good because all machines that it may use are full of work
// that doesn't end, such as replicas of services.
TEST_F(CrowdedFleetTest, JobBoundToAFullZoneGetsAMachineThere) {
  add_machines("a", 3, 0);
  add_machines("b", 0, 9);
  wire::JobSpec array = job(wire::JobShape::array, 2);
  array.zone = "a";
  EXPECT_TRUE(requested({waited(array, kCrowdedWaitMs - 1)}).empty());
  EXPECT_EQ(requested({waited(array)}), (MachineCounts{{{"box", "a", false}, 1}}));
  // The machine is booting: it is empty, so that no other one is requested.
  add_machines("a", 0, 1);
  EXPECT_TRUE(requested({waited(array)}).empty());
}

TEST_F(CrowdedFleetTest, GangGetsTheMachinesThatAreNotFree) {
  add_machines("a", 2, 4);
  add_machines("b", 9, 3);
  const wire::JobSpec gang = one_zone_gang(6);
  EXPECT_EQ(requested({waited(gang)}), (MachineCounts{{{"box", "a", false}, 2}}));
}

TEST_F(CrowdedFleetTest, PlacedReplicasOfASpreadServiceCount) {
  add_machines("a", 3, 0);
  add_machines("b", 2, 8);
  wire::JobSpec service = job(wire::JobShape::service, 4);
  service.spread = true;
  Demand demand = waited(service);
  demand.placed = 2;
  demand.replicas_by_zone["b"] = 2;
  EXPECT_EQ(requested({demand}), (MachineCounts{{{"box", "c", false}, 2}}));
  demand.placed = 3;
  demand.replicas_by_zone["a"] = 1;
  EXPECT_EQ(requested({demand}), (MachineCounts{{{"box", "c", false}, 1}}));
}

TEST_F(CrowdedFleetTest, FreeMachinesThatAGangNeedsAreKept) {
  add_machines("a", 3, 3);
  add_machines("b", 9, 2);
  const wire::JobSpec gang = one_zone_gang(6);
  const std::vector<Demand> demand{waited(gang)};
  EXPECT_TRUE(
      FleetSizer::needed_by_waiting_work({"box", "a", false}, demand, catalog_, held_, rooms_));
  EXPECT_FALSE(
      FleetSizer::needed_by_waiting_work({"box", "b", false}, demand, catalog_, held_, rooms_));
}

// The cost of a decision must not grow with jobs times machines.
TEST_F(CrowdedFleetTest, OnlyTheLongestWaitsAreTriedOnEachMachine) {
  std::vector<wire::JobSpec> jobs(40, job(wire::JobShape::array, 1));
  std::vector<Demand> demand;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    jobs[i].memory_gb = 1.0 + static_cast<double>(i) / 4;
    demand.push_back(waited(jobs[i], kCrowdedWaitMs + static_cast<Ms>(i)));
  }
  std::size_t crowded = 0;
  for (const auto& requirement : waiting_requirements(demand)) {
    if (!requirement.crowded) continue;
    ++crowded;
    EXPECT_GE(requirement.waited_ms, kCrowdedWaitMs + 24);
  }
  EXPECT_EQ(crowded, kMaxCrowdedRequirements);
}

}  // namespace
}  // namespace scheduler
