// The pure parts of the controller: placement, membership, quota leases, failures, pending order
// and fleet sizing.
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
  EXPECT_GT(predict_finish(kNow, machine("c", 2, 2), job), 1e6);  // never fits
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
  // One machine in four has the image; it is chosen whenever a sample sees one of them.
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
  int hits = 0;
  for (int n = 0; n < 4000; ++n) hits += pick_of_two(kNow, pool, spec(1), all, random) < 2;
  EXPECT_NEAR(hits / 4000.0, 1 - std::pow(0.75, kSampledMachines), 0.03);
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
  EXPECT_EQ(used.size(), 3U);  // zones without a controller are shared by all
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

// Found by the simulation: gangs of three shards, each with a quota lease too small for its own,
// waited for ever.
TEST(Quota, RemaindersAreCollectedInRotation) {
  const Team team{"t", 0, 40, 0, 0};
  const std::vector<std::string> live{"a", "b", "c"};
  wire::QuotaRecord record;
  record.leases = {{"a", {8, 0}}, {"b", {15, 0}}, {"c", {17, 0}}};
  record.demand = {{"a", {12, 0}}, {"b", {5, 0}}, {"c", {3, 0}}, {"gone", {9, 0}}};
  std::map<std::string, double> used;
  std::map<std::string, double> started;
  for (Ms wall = 0; wall < 20 * kQuotaTurnMs; wall += kQuotaCheckIntervalMs) {
    for (const auto& who : live) {
      QuotaLeaseInput in;
      in.team = &team;
      in.self = who;
      in.live = live;
      for (const auto& n : live) in.used[n] = {used[n], 0};
      in.need.cpus = 20;
      in.yield = used[who] == 0 && quota_collector(record, live, wall) != who;
      if (const auto next = next_quota_record(in, record)) record = *next;
      double granted = 0;
      for (const auto& [n, g] : record.leases) granted += g.cpus;
      ASSERT_LE(granted, 40 + 1e-6);
      if (used[who] == 0 && fits_in_lease(team, record, who, {0, 0}, 20, 0)) {
        used[who] = 20;
        ++started[who];
      } else if (wall % kQuotaTurnMs == 0) {
        used[who] = 0;
      }
    }
  }
  for (const auto& who : live) EXPECT_GT(started[who], 0) << who;
}

// Three controllers need quota for replicas, and the remainder is too small for those of two. The
// controller that releases it knows first that it is free, and must leave it to the collector.
TEST(Quota, RemainderReachesAServiceItSuffices) {
  struct Part {
    std::string name;
    double replica, lacking, used;  // CPUs
    YieldTracker memory;
    Ms stuck_since = 0;
  };
  const Team team{"t", 0, 40, 0, 0};
  std::vector<Part> parts{{"c", 13, 26, 23, {}}, {"b", 4, 16, 16, {}}, {"a", 1, 1, 0, {}}};
  wire::QuotaRecord record;
  record.leases = {{"a", {0, 0}}, {"b", {16, 0}}, {"c", {24, 0}}};
  record.service_demand = {{"a", {1, 0}}, {"b", {16, 0}}, {"c", {26, 0}}};
  Ms started_at = 0;
  const auto look = [&](Part& part, const wire::QuotaRecord& seen, Ms wall) {
    const double own = seen.leases.at(part.name).cpus;
    if (own <= part.used) part.stuck_since = wall;
    const std::string turn = quota_collector(seen, {"a", "b", "c"}, wall);
    QuotaLeaseInput in;
    in.team = &team;
    in.self = part.name;
    in.live = {"a", "b", "c"};
    for (const auto& p : parts) in.used[p.name] = {p.used, 0};
    in.need.cpus = part.lacking;
    in.yield = wall - part.stuck_since > kQuotaYieldDelayMs && turn != part.name;
    in.leave_to_collector = part.memory.leave_to_collector(in.yield, turn);
    if (!in.yield) {
      in.used[part.name].cpus += part.lacking;
      in.service_reserve.cpus = part.lacking;
      in.need.cpus = 0;
    }
    return next_quota_record(in, seen);
  };
  for (Ms wall = 0; wall < 20'000 && started_at == 0; wall += kQuotaCheckIntervalMs) {
    // Each knows the record as of the round before and its own write; of concurrent writes only the
    // first succeeds.
    const wire::QuotaRecord seen = record;
    bool written = false;
    for (auto& part : parts) {
      const auto next = look(part, seen, wall);
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
  // Three controllers acquire, release and crash in random order; the sum of their leases never
  // exceeds the limit.
  pcg32 random(3);
  const Team team{"t", 0, 100, 0, 0};
  std::map<std::string, double> used{{"a", 0}, {"b", 0}, {"c", 0}};
  std::vector<std::string> live{"a", "b", "c"};
  wire::QuotaRecord record;
  bool waited = false;
  bool got_after_wait = false;
  for (int step = 0; step < 5000; ++step) {
    if (step % 500 == 499)
      live = live.size() == 3 ? std::vector<std::string>{"a", "b"}
                              : std::vector<std::string>{"a", "b", "c"};
    const std::string who = live[random(static_cast<std::uint32_t>(live.size()))];
    QuotaLeaseInput in{&team, who, live, {}, {}, {}, false, false};
    for (const auto& [n, u] : used) in.used[n] = {u, 0};
    in.need.cpus = random(3) == 0 ? random(60) : 0;
    if (const auto next = next_quota_record(in, record)) record = *next;
    double granted = 0;
    for (const auto& [n, g] : record.leases) granted += g.cpus;
    ASSERT_LE(granted, 100 + 1e-6);
    const double task = 1 + random(8);
    if (fits_in_lease(team, record, who, {used[who], 0}, task, 0)) {
      used[who] += task;
      got_after_wait = got_after_wait || waited;
    } else {
      waited = true;
    }
    const std::string ends = std::string(1, static_cast<char>('a' + random(3)));
    if (random(3) == 0) used[ends] = std::max(0.0, used[ends] - random(20));
    double total = 0;
    for (const auto& [n, u] : used) total += u;
    ASSERT_LE(total, 100 + 1e-6);
  }
  EXPECT_TRUE(got_after_wait);
}

TEST(FailureTracker, FailuresOfSeveralJobsQuarantineAMachine) {
  FailureTracker h;
  EXPECT_FALSE(h.on_task_failed(1000, "m1", "req-000001"));
  EXPECT_FALSE(h.on_task_failed(1100, "m1", "req-000001"));
  EXPECT_TRUE(h.on_task_failed(1200, "m1", "req-000002"));
}

TEST(FailureTracker, FaultyJobBacksOffWithoutQuarantine) {
  FailureTracker h;
  for (int i = 0; i < 6; ++i)
    EXPECT_FALSE(h.on_task_failed(1000 + i, "m" + std::to_string(i), "req-000009"));
  EXPECT_TRUE(h.is_faulty_job("req-000009"));
  EXPECT_GT(h.next_attempt_at("req-000009"), 1005 + kInitialJobBackoffMs);
  EXPECT_FALSE(h.on_task_failed(2000, "m1", "req-000010"));  // the faulty job's errors do not count
}

PendingJob waits(double work, std::vector<double> latest_starts_s, int priority = 1,
                 double age_s = 0) {
  PendingJob w;
  w.work = work;
  w.latest_starts_s = std::move(latest_starts_s);
  w.priority = priority;
  w.age_s = age_s;
  return w;
}

// CPUs with which the forecast counts on one CPU second a second.
constexpr double kOneCpu = 1.0 / kForecastCpuShare;

TEST(DeadlineOrder, DefersTheLargestWhenDeadlinesConflict) {
  // Due after 10, 11 and 12 s; 4 + 9 + 4 s of work: without the one of 9 the others are in time.
  EXPECT_EQ(order_by_deadline({waits(4, {10}), waits(9, {11}), waits(4, {12})}, kOneCpu),
            (std::vector<std::size_t>{0, 2, 1}));
  // The one of 9 counts for more: its class is small.
  auto rare = waits(9, {11});
  rare.weight = 4;
  const auto p = order_by_deadline({waits(4, {10}), rare, waits(4, {12})}, kOneCpu);
  EXPECT_LT(p[1], p[2]);
}

TEST(DeadlineOrder, ServesTheSmallestFirstWhileAllMeetDeadlines) {
  EXPECT_EQ(order_by_deadline({waits(5, {100}), waits(2, {200}), waits(9, {300})}, kOneCpu),
            (std::vector<std::size_t>{1, 0, 2}));
  // Unless the larger one would then be late.
  EXPECT_EQ(order_by_deadline({waits(5, {5}), waits(2, {200})}, kOneCpu),
            (std::vector<std::size_t>{0, 1}));
}

TEST(DeadlineOrder, MeetsALaterObjectiveWhenTheFirstIsMissed) {
  // 8 s cannot be done by 5, but by 20.
  const auto p =
      order_by_deadline({waits(8, {5, 20}), waits(4, {}, 1, 50), waits(3, {4})}, kOneCpu);
  EXPECT_EQ(p, (std::vector<std::size_t>{1, 2, 0}));
}

TEST(DeadlineOrder, HighPriorityFirstAndMissedObjectivesByAge) {
  const auto p = order_by_deadline(
      {waits(1, {50}), waits(90, {1}, 2), waits(1, {}, 1, 10), waits(1, {}, 1, 20)}, kOneCpu);
  EXPECT_EQ(p, (std::vector<std::size_t>{1, 0, 3, 2}));
}

TEST(ClusterView, ZonesWithoutAControllerGoToTheLeastLoaded) {
  // One controller alone in its zone carries a third of the machines by that; the third zone is for
  // the two that share one.
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
  // Alone, everything is its own.
  view.live = {{"p1", "b"}};
  ++view.epoch;
  m.update(view);
  EXPECT_EQ(m.machine_owner("n-1", "z"), "p1");
}

TEST(FleetSizer, ScalesOutForDemandAndAvoidsRefusedKinds) {
  Settings s;
  s.objectives = {{ObjectiveKind::finished, "c", 0.9, 0, 120}};
  FleetSizer f(s);
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
  auto rent = f.next_scale_out(0, demand, {t}, {});
  int total = 0;
  for (const auto& r : rent) {
    total += static_cast<int>(r.count);
    EXPECT_FALSE(r.spot);
  }
  EXPECT_EQ(total, 17);  // 40 tasks side by side on 10 machines, half as many more, two to spare
  f.on_refused(0, {"t", "x", false});
  f.on_refused(0, {"t", "y", false});
  EXPECT_TRUE(
      f.next_scale_out(1, demand, {t}, {}).empty());  // the job does not allow spot machines
  job.spot = true;
  EXPECT_FALSE(f.next_scale_out(1, demand, {t}, {}).empty());
  EXPECT_FALSE(f.next_scale_out(kRefusedKindRetryDelayMs + 1, demand, {t}, {}).empty());
}

TEST(FleetSizer, SpotMachinesDoNotServeOnDemandWork) {
  // Found by the simulation: spot machines in a zone counted for work that may not use them, and
  // it waited for ever.
  Settings s;
  FleetSizer f(s);
  wire::MachineType t;
  t.name = "t";
  t.cpus = 4;
  t.memory_gb = 16;
  t.price = 1;
  t.zones = {"x", "y"};
  auto job = spec(4, 60);
  job.zone = "x";
  const auto rent =
      f.next_scale_out(0, {{&job, 1}}, {t}, {{{"t", "x", true}, 9}, {{"t", "y", false}, 9}});
  ASSERT_EQ(rent.size(), 1U);
  EXPECT_EQ(rent[0].zone, "x");
  EXPECT_FALSE(rent[0].spot);
}

}  // namespace
}  // namespace scheduler
