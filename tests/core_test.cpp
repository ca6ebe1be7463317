// Unit tests of components that need no simulation: placement, cluster view, quota leases, failure
// tracking, the order of pending jobs, and fleet sizing.
#include <gtest/gtest.h>

#include <cmath>
#include <set>

#include "allocation/placement.h"
#include "fleet/fleet_sizer.h"
#include "membership/cluster_view.h"
#include "quota/quota_leases.h"
#include "scheduling/pending_order.h"
#include "workers/failure_tracker.h"

namespace scheduler {
namespace {

constexpr Ms kNow = 1'000'000;

wire::JobSpec spec(double cpus, double estimate_s = 60) {
  wire::JobSpec j;
  j.id = "req-000001";
  j.cpus = cpus;
  j.memory_gb = 1;
  j.image = "i";
  j.image_gb = 2;
  j.estimate_s = estimate_s;
  j.tasks = 4;
  return j;
}

Candidate machine(const std::string& id, double cpus, double free) {
  Candidate c;
  c.id = id;
  c.free.cpus = free;
  c.free.memory_gb = 64;
  c.fetch_gb_per_s = 1;
  if (cpus > free) c.booked.push_back({{cpus - free, 0, 0}, kNow + 30'000});
  return c;
}

TEST(Placement, PredictionIsWaitFetchAndEstimate) {
  const auto job = spec(4);
  Candidate free = machine("a", 8, 8);
  EXPECT_DOUBLE_EQ(predict_finish(kNow, free, job), 62);
  free.images.emplace_back("i");
  EXPECT_DOUBLE_EQ(predict_finish(kNow, free, job), 60);
  EXPECT_DOUBLE_EQ(predict_finish(kNow, machine("b", 8, 2), job), 92);
  EXPECT_GT(predict_finish(kNow, machine("c", 2, 2), job), 1e6);  // the job never fits
}

TEST(Placement, OverrunningTaskEndsWithinTheAllowance) {
  EXPECT_DOUBLE_EQ(remaining_s(kNow, kNow + 40'000), 40);
  EXPECT_DOUBLE_EQ(remaining_s(kNow, kNow - 140'000), kOverrunAllowanceS);
}

TEST(Placement, ScanFindsTheOnlyFreeMachine) {
  pcg32 random(1);
  std::vector<Candidate> machines;
  std::vector<Candidate*> pool;
  std::vector<int> all;
  for (int i = 0; i < 20; ++i) {
    machines.push_back(machine(std::to_string(i), 8, i == 13 ? 8 : 1));
    all.push_back(i);
  }
  pool.reserve(machines.size());
  for (auto& m : machines) pool.push_back(&m);
  for (int n = 0; n < 50; ++n) EXPECT_EQ(pick_of_two(kNow, pool, spec(4), all, random), 13);
  machines[13].free.cpus = 0;
  EXPECT_EQ(pick_of_two(kNow, pool, spec(4), all, random), -1);
  EXPECT_EQ(pick_of_two(kNow, pool, spec(4), {}, random), -1);
}

TEST(Placement, LowerPredictionOfTwoSamplesWins) {
  // One machine in four has the job's image; such a machine is chosen whenever the sample contains
  // one.
  pcg32 random(7);
  std::vector<Candidate> machines;
  std::vector<Candidate*> pool;
  std::vector<int> all;
  for (int i = 0; i < 8; ++i) {
    machines.push_back(machine(std::to_string(i), 8, 8));
    if (i < 2) machines.back().images.emplace_back("i");
    all.push_back(i);
  }
  pool.reserve(machines.size());
  for (auto& m : machines) pool.push_back(&m);
  int with_image = 0;
  for (int n = 0; n < 4000; ++n) with_image += pick_of_two(kNow, pool, spec(1), all, random) < 2;
  EXPECT_NEAR(with_image / 4000.0, 1 - std::pow(0.75, kSampledMachines), 0.03);
}

TEST(ClusterView, MachinesStayInTheirZoneAndMoveLittle) {
  Settings s;
  s.name = "a";
  s.zone = "x";
  s.peers = {{"b", "y", ""}, {"c", "x", ""}};
  ClusterView m(s);
  wire::ViewRecord v{1, {{"a", "1"}, {"b", "2"}, {"c", "3"}}, {}, {}};
  m.update(v);
  std::map<std::string, std::string> before;
  std::set<std::string> used;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "n-" + std::to_string(i);
    const std::string zone = i % 3 == 0 ? "y" : i % 3 == 1 ? "x" : "z";
    before[id] = m.machine_owner(id, zone);
    if (zone == "y") {
      EXPECT_EQ(before[id], "b");
    }
    if (zone == "x") {
      EXPECT_NE(before[id], "b");
    }
    if (zone == "z") used.insert(before[id]);
  }
  EXPECT_EQ(used.size(), 3U);  // machines of a zone without controllers are divided among all
  v.epoch = 2;
  v.live.erase("c");
  m.update(v);
  for (int i = 0; i < 200; ++i) {
    const std::string id = "n-" + std::to_string(i);
    const std::string zone = i % 3 == 0 ? "y" : i % 3 == 1 ? "x" : "z";
    if (before[id] != "c") {
      EXPECT_EQ(m.machine_owner(id, zone), before[id]);
    }
  }
  EXPECT_GT(ClusterView::token(2, 0), ClusterView::token(1, 1 << 20));
  EXPECT_EQ(ClusterView::epoch_of(ClusterView::token(9, 55)), 9U);
}

// Guards against a deadlock: three shards each have a waiting gang and a quota lease too small for
// it, and no gang ever starts.
TEST(Quota, RemaindersAreCollectedInRotation) {
  const Team team{"t", 0, 40, 0, 0};
  const std::vector<std::string> live{"a", "b", "c"};
  wire::QuotaRecord record;
  record.leases = {{"a", {8, 0}}, {"b", {15, 0}}, {"c", {17, 0}}};
  record.demand = {{"a", {12, 0}}, {"b", {5, 0}}, {"c", {3, 0}}, {"gone", {9, 0}}};
  std::map<std::string, double> used;
  std::map<std::string, double> started;
  for (Ms wall = 0; wall < 20 * kQuotaTurnMs; wall += kQuotaCheckIntervalMs) {
    for (const auto& controller : live) {
      QuotaLeaseInput in;
      in.team = &team;
      in.self = controller;
      in.live = live;
      for (const auto& n : live) in.used[n] = {used[n], 0};
      in.waiting_demand.cpus = 20;
      in.yield = used[controller] == 0 && quota_collector(record, live, wall) != controller;
      if (const auto next = next_quota_record(in, record)) record = *next;
      double granted = 0;
      for (const auto& [n, g] : record.leases) granted += g.cpus;
      ASSERT_LE(granted, 40 + 1e-6);
      if (used[controller] == 0 && fits_in_lease(team, record, controller, {0, 0}, 20, 0)) {
        used[controller] = 20;
        ++started[controller];
      } else if (wall % kQuotaTurnMs == 0) {
        used[controller] = 0;
      }
    }
  }
  for (const auto& controller : live) EXPECT_GT(started[controller], 0) << controller;
}

// Three controllers need quota for replicas, and the unused quota suffices only for the replica of
// one of them. The controller that releases it is the first to see it as free and must not take it
// back, but leave it to the controller whose turn it is to collect.
TEST(Quota, UnusedQuotaReachesTheServiceThatFits) {
  struct ControllerLease {
    std::string name;
    double replica, missing, used;  // CPUs
    YieldTracker yield_tracker;
    Ms stuck_since = 0;
  };
  const Team team{"t", 0, 40, 0, 0};
  std::vector<ControllerLease> controllers{
      {"c", 13, 26, 23, {}}, {"b", 4, 16, 16, {}}, {"a", 1, 1, 0, {}}};
  wire::QuotaRecord record;
  record.leases = {{"a", {0, 0}}, {"b", {16, 0}}, {"c", {24, 0}}};
  record.service_demand = {{"a", {1, 0}}, {"b", {16, 0}}, {"c", {26, 0}}};
  Ms started_at = 0;
  const auto check_lease = [&](ControllerLease& controller, const wire::QuotaRecord& seen,
                               Ms wall) {
    const double own = seen.leases.at(controller.name).cpus;
    if (own <= controller.used) controller.stuck_since = wall;
    const std::string turn = quota_collector(seen, {"a", "b", "c"}, wall);
    QuotaLeaseInput in;
    in.team = &team;
    in.self = controller.name;
    in.live = {"a", "b", "c"};
    for (const auto& p : controllers) in.used[p.name] = {p.used, 0};
    in.waiting_demand.cpus = controller.missing;
    in.yield = wall - controller.stuck_since > kQuotaYieldDelayMs && turn != controller.name;
    in.leave_to_collector = controller.yield_tracker.leave_to_collector(in.yield, turn);
    if (!in.yield) {
      in.used[controller.name].cpus += controller.missing;
      in.service_reserve.cpus = controller.missing;
      in.waiting_demand.cpus = 0;
    }
    return next_quota_record(in, seen);
  };
  for (Ms wall = 0; wall < 20'000 && started_at == 0; wall += kQuotaCheckIntervalMs) {
    // In each round all controllers read the record of the previous round; of their concurrent
    // writes only the first succeeds.
    const wire::QuotaRecord seen = record;
    bool written = false;
    for (auto& controller : controllers) {
      const auto next = check_lease(controller, seen, wall);
      if (next && !written) {
        record = *next;
        written = true;
      }
    }
    if (record.leases.at("a").cpus >= 1) started_at = wall;
  }
  EXPECT_GT(started_at, 0);
  EXPECT_LT(started_at, 12'000);
}

TEST(Quota, LeasesNeverExceedTheLimit) {
  // Three controllers acquire and release quota in random order, and one of them crashes and
  // returns repeatedly. The sum of their leases must never exceed the limit.
  pcg32 random(3);
  const Team team{"t", 0, 100, 0, 0};
  std::map<std::string, double> used{{"a", 0}, {"b", 0}, {"c", 0}};
  std::vector<std::string> live{"a", "b", "c"};
  wire::QuotaRecord record;
  bool lease_exhausted = false;
  bool started_after_wait = false;
  for (int step = 0; step < 5000; ++step) {
    if (step % 500 == 499)
      live = live.size() == 3 ? std::vector<std::string>{"a", "b"}
                              : std::vector<std::string>{"a", "b", "c"};
    const std::string controller = live[random(static_cast<std::uint32_t>(live.size()))];
    QuotaLeaseInput in{&team, controller, live, {}, {}, {}, false, false};
    for (const auto& [n, u] : used) in.used[n] = {u, 0};
    in.waiting_demand.cpus = random(3) == 0 ? random(60) : 0;
    if (const auto next = next_quota_record(in, record)) record = *next;
    double granted = 0;
    for (const auto& [n, g] : record.leases) granted += g.cpus;
    ASSERT_LE(granted, 100 + 1e-6);
    const double task = 1 + random(8);
    if (fits_in_lease(team, record, controller, {used[controller], 0}, task, 0)) {
      used[controller] += task;
      started_after_wait = started_after_wait || lease_exhausted;
    } else {
      lease_exhausted = true;
    }
    const std::string finishing = std::string(1, static_cast<char>('a' + random(3)));
    if (random(3) == 0) used[finishing] = std::max(0.0, used[finishing] - random(20));
    double total = 0;
    for (const auto& [n, u] : used) total += u;
    ASSERT_LE(total, 100 + 1e-6);
  }
  EXPECT_TRUE(started_after_wait);
}

TEST(FailureTracker, FailuresOfSeveralJobsQuarantineAMachine) {
  FailureTracker tracker;
  EXPECT_FALSE(tracker.on_task_failed(1000, "m1", "req-000001"));
  EXPECT_FALSE(tracker.on_task_failed(1100, "m1", "req-000001"));
  EXPECT_TRUE(tracker.on_task_failed(1200, "m1", "req-000002"));
}

TEST(FailureTracker, FaultyJobBacksOffWithoutQuarantine) {
  FailureTracker tracker;
  for (int i = 0; i < 6; ++i)
    EXPECT_FALSE(tracker.on_task_failed(1000 + i, "m" + std::to_string(i), "req-000009"));
  EXPECT_TRUE(tracker.is_faulty_job("req-000009"));
  EXPECT_GT(tracker.next_attempt_at("req-000009"), 1005 + kInitialJobBackoffMs);
  // Failures of a faulty job do not count against the machine.
  EXPECT_FALSE(tracker.on_task_failed(2000, "m1", "req-000010"));
}

PendingJob waiting(double work_cpu_s, std::vector<double> latest_starts_s, int priority = 1,
                   double age_s = 0) {
  PendingJob job;
  job.work_cpu_s = work_cpu_s;
  job.latest_starts_s = std::move(latest_starts_s);
  job.priority = priority;
  job.age_s = age_s;
  return job;
}

// Fleet size in CPUs for which the forecast assumes one CPU second of work per second.
constexpr double kOneCpuFleet = 1.0 / kForecastCpuShare;

TEST(DeadlineOrder, DefersTheLargestWhenDeadlinesConflict) {
  // Three jobs with 4, 9 and 4 s of work are due after 10, 11 and 12 s. If the job with 9 s is
  // deferred, the other two meet their deadlines.
  EXPECT_EQ(order_by_deadline({waiting(4, {10}), waiting(9, {11}), waiting(4, {12})}, kOneCpuFleet),
            (std::vector<std::size_t>{0, 2, 1}));
  // With weight 4, the job with 9 s is no longer the one to defer.
  auto weighted = waiting(9, {11});
  weighted.weight = 4;
  const auto p = order_by_deadline({waiting(4, {10}), weighted, waiting(4, {12})}, kOneCpuFleet);
  EXPECT_LT(p[1], p[2]);
}

TEST(DeadlineOrder, ServesTheSmallestFirstWhileAllMeetDeadlines) {
  EXPECT_EQ(
      order_by_deadline({waiting(5, {100}), waiting(2, {200}), waiting(9, {300})}, kOneCpuFleet),
      (std::vector<std::size_t>{1, 0, 2}));
  // The larger job goes first if it would be late otherwise.
  EXPECT_EQ(order_by_deadline({waiting(5, {5}), waiting(2, {200})}, kOneCpuFleet),
            (std::vector<std::size_t>{0, 1}));
}

TEST(DeadlineOrder, MeetsALaterObjectiveWhenTheFirstIsMissed) {
  // The job with 8 s of work cannot be completed by second 5, but it can by second 20.
  const auto p = order_by_deadline({waiting(8, {5, 20}), waiting(4, {}, 1, 50), waiting(3, {4})},
                                   kOneCpuFleet);
  EXPECT_EQ(p, (std::vector<std::size_t>{1, 2, 0}));
}

TEST(DeadlineOrder, HighPriorityFirstAndMissedObjectivesByAge) {
  const auto p = order_by_deadline(
      {waiting(1, {50}), waiting(90, {1}, 2), waiting(1, {}, 1, 10), waiting(1, {}, 1, 20)},
      kOneCpuFleet);
  EXPECT_EQ(p, (std::vector<std::size_t>{1, 0, 3, 2}));
}

TEST(ClusterView, ZonesWithoutAControllerGoToTheLeastLoaded) {
  // p1 is alone in zone y and owns its machines, a third of all. The machines of zone z, which has
  // no controller, go to p0 and p2, which share zone x.
  Settings s;
  s.name = "p0";
  s.zone = "x";
  s.zones = {"x", "y", "z"};
  s.peers = {{"p1", "y", ""}, {"p2", "x", ""}};
  ClusterView m(s);
  wire::ViewRecord view;
  view.epoch = 1;
  view.live = {{"p0", "a"}, {"p1", "b"}, {"p2", "c"}};
  m.update(view);
  std::map<std::string, int> owned;
  for (int i = 0; i < 900; ++i)
    ++owned[m.machine_owner("n-" + std::to_string(i), s.zones[static_cast<std::size_t>(i % 3)])];
  for (const auto& [name, n] : owned) EXPECT_NEAR(n, 300, 40) << name;
  // A single live controller owns all machines.
  view.live = {{"p1", "b"}};
  ++view.epoch;
  m.update(view);
  EXPECT_EQ(m.machine_owner("n-1", "z"), "p1");
}

TEST(FleetSizer, ScalesOutForDemandAndAvoidsRefusedKinds) {
  Settings s;
  s.objectives = {{ObjectiveKind::finished, "c", 0.9, 0, 120}};
  FleetSizer sizer(s);
  wire::MachineType t;
  t.name = "t";
  t.cpus = 4;
  t.memory_gb = 16;
  t.price = 1;
  t.zones = {"x", "y"};
  auto job = spec(1, 60);
  job.job_class = "c";
  job.tasks = 40;
  const std::vector<Demand> demand{{&job, 40}};
  auto rentals = sizer.next_scale_out(0, demand, {t}, {});
  int total = 0;
  for (const auto& r : rentals) {
    total += static_cast<int>(r.count);
    EXPECT_FALSE(r.spot);
  }
  EXPECT_EQ(total, 17);  // 10 machines for 40 parallel tasks, 50% headroom, 2 spare machines
  sizer.on_refused(0, {"t", "x", false});
  sizer.on_refused(0, {"t", "y", false});
  EXPECT_TRUE(
      sizer.next_scale_out(1, demand, {t}, {}).empty());  // the job does not allow spot machines
  job.spot = true;
  EXPECT_FALSE(sizer.next_scale_out(1, demand, {t}, {}).empty());
  EXPECT_FALSE(sizer.next_scale_out(kRefusedKindRetryDelayMs + 1, demand, {t}, {}).empty());
}

TEST(FleetSizer, SpotMachinesDoNotServeOnDemandWork) {
  // Guards against counting spot machines of a zone as capacity for work that may not use them: no
  // machine was rented, and the work waited forever.
  Settings s;
  FleetSizer sizer(s);
  wire::MachineType t;
  t.name = "t";
  t.cpus = 4;
  t.memory_gb = 16;
  t.price = 1;
  t.zones = {"x", "y"};
  auto job = spec(4, 60);
  job.zone = "x";
  const auto rentals =
      sizer.next_scale_out(0, {{&job, 1}}, {t}, {{{"t", "x", true}, 9}, {{"t", "y", false}, 9}});
  ASSERT_EQ(rentals.size(), 1U);
  EXPECT_EQ(rentals[0].zone, "x");
  EXPECT_FALSE(rentals[0].spot);
}

}  // namespace
}  // namespace scheduler
