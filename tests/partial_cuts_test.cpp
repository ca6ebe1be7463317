// Partial partitions: links between controllers, workers and the state service that are down in one
// direction, for one pair of ends, or flap. Invariants are checked at every step.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <pcg_random.hpp>

#include "support/simulation_runs.h"
#include "support/single_controller_test.h"
#include "wire/peer.h"

namespace scheduler::sim {
namespace {

constexpr const char* kState = "state";
constexpr const char* kWorkers = "workers";
constexpr Ms kCutAt = 25'000, kCutLasts = 40'000;
constexpr Ms kFiveMinutes = 300'000;
// Controllers of zone a, b and a; only the second is alone in its zone. Zone c has none, so that
// its machines belong to all three.
const std::string kFirst = "puffin-0", kSecond = "puffin-1", kThird = "puffin-2";

// Both directions of a link.
std::vector<LinkCut> both(const LinkCut& cut) {
  LinkCut back = cut;
  std::swap(back.from, back.to);
  return {cut, back};
}

std::vector<LinkCut> together(std::vector<LinkCut> some, const std::vector<LinkCut>& others) {
  some.insert(some.end(), others.begin(), others.end());
  return some;
}

Options with_cuts(std::uint64_t seed, std::vector<LinkCut> cuts) {
  Options o = planned_faults(seed, {});
  o.until_finished = true;
  o.machines = 24;
  o.cloud_capacity = 9;
  o.job_every_ms = 2000;
  o.largest_array = 18;
  o.cancels = {{30'000, 0.2}, {45'000, 0.2}};
  o.link_cuts = std::move(cuts);
  return o;
}

// No invariant is violated and all jobs end.
Result run(const Options& o) {
  Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, has_no_violations()) << "seed " << o.seed;
  EXPECT_THAT(r, has_no_unfinished_jobs()) << "seed " << o.seed;
  EXPECT_GT(r.done, 5) << "seed " << o.seed;
  return r;
}

// Of all runs together, sorted: for each worker the time until its next contact with a controller.
struct Failovers {
  std::vector<Ms> times;

  void add(const Result& r) {
    times.insert(times.end(), r.without_contact_ms.begin(), r.without_contact_ms.end());
    std::sort(times.begin(), times.end());
  }
  [[nodiscard]] Ms at_percent(std::size_t percent) const {
    return times.at(times.size() * percent / 100);
  }
};

// The shard of a controller that can't reach its workers fails over within two heartbeat intervals
// (1 s each) and a second.
TEST(PartialCuts, WorkersOfAnUnreachableControllerFailOverSoon) {
  Failovers failovers;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const auto& name = seed % 2 == 0 ? kFirst : kSecond;
    const Result r = run(with_cuts(seed, both({kCutAt, kCutLasts, name, kWorkers})));
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    EXPECT_EQ(r.views, 3 + 2) << "seed " << seed;  // one failover, one failback
    failovers.add(r);
  }
  EXPECT_LE(failovers.at_percent(95), 3000);
  EXPECT_LE(failovers.times.back(), 3500);
}

// The same while only heartbeats are lost: commands are answered, but no lease is renewed.
TEST(PartialCuts, HeartbeatsLostOneWay) {
  Failovers failovers;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const Result r = run(with_cuts(seed, {{kCutAt, kCutLasts, kWorkers, kSecond}}));
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    failovers.add(r);
  }
  EXPECT_LE(failovers.at_percent(95), 3000);
}

// The same while heartbeats arrive, but neither replies nor commands do.
TEST(PartialCuts, RepliesAndCommandsLostOneWay) {
  Failovers failovers;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const Result r = run(with_cuts(seed, {{kCutAt, kCutLasts, kSecond, kWorkers}}));
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    failovers.add(r);
  }
  EXPECT_LE(failovers.at_percent(95), 3500);
}

// A controller reaches some of its workers and not those of one zone: peers that do relay
// commands and heartbeats, so that neither the machines nor their tasks are lost.
TEST(PartialCuts, ZoneOfAShardIsServedThroughPeers) {
  const std::vector<std::vector<LinkCut>> cuts{
      both({kCutAt, kCutLasts, kFirst, "workers/c"}),
      {{kCutAt, kCutLasts, "workers/c", kFirst}},
      {{kCutAt, kCutLasts, kFirst, "workers/c"}},
  };
  Failovers failovers;
  int returned = 0;
  int lost = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (const auto& cut : cuts) {
      Options o = with_cuts(seed, cut);
      o.relays = true;
      o.lease_s = 10;  // a worker tries another controller after up to six seconds
      const Result r = run(o);
      failovers.add(r);
      returned += r.running_tasks_returned;
      lost += r.lease_expiries;
    }
  }
  EXPECT_LE(failovers.times.back(), 8000);
  EXPECT_EQ(returned, 0);
  EXPECT_EQ(lost, 0);
}

// The link to the workers flaps every few seconds: one failover a minute at most.
TEST(PartialCuts, FlappingLinkToWorkers) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Options o = with_cuts(seed, both({kCutAt, kFiveMinutes, kSecond, kWorkers, 2000, 5000}));
    o.fault_ms = kCutAt + kFiveMinutes;
    const Result r = run(o);
    EXPECT_LE(r.views, 3 + 2 * 5) << "seed " << seed;
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
  }
}

// The same of the link to the state service.
TEST(PartialCuts, FlappingLinkToTheStateService) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Options o = with_cuts(seed, both({kCutAt, kFiveMinutes, kSecond, kState, 2000, 5000}));
    o.fault_ms = kCutAt + kFiveMinutes;
    const Result r = run(o);
    EXPECT_LE(r.views, 3 + 2 * 5) << "seed " << seed;
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
  }
}

// The state service executes a controller's calls, and its replies are lost: the controller can
// neither read nor write, and must not stay in the view by renewals whose replies it never
// receives.
TEST(PartialCuts, ControllerWithoutRepliesLeavesTheView) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Result r = run(with_cuts(seed, {{kCutAt, kCutLasts, kState, kSecond}}));
    EXPECT_EQ(r.views, 3 + 2) << "seed " << seed;
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
  }
}

// Two controllers are partitioned from the state service. One of them doesn't receive gossip of the
// third, which reaches it, and learns of that through the other: users move to the third.
TEST(PartialCuts, UsersMoveToControllersWithTheStateService) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto cuts = together(both({kCutAt, kCutLasts, kFirst, kState}),
                         both({kCutAt, kCutLasts, kSecond, kState}));
    const Result r =
        run(with_cuts(seed, together(cuts, both({kCutAt, kCutLasts, kFirst, kThird}))));
    EXPECT_GT(r.unhealthy.at(kFirst), 30) << "seed " << seed;
    EXPECT_GT(r.unhealthy.at(kSecond), 30) << "seed " << seed;
    EXPECT_EQ(r.unhealthy.at(kThird), 0) << "seed " << seed;
  }
}

// Only links between controllers are down: all stay healthy and there is no failover.
TEST(PartialCuts, LinksBetweenControllersAloneChangeNothing) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const auto cuts = together(both({kCutAt, kCutLasts, kFirst, kThird}),
                               both({kCutAt, kCutLasts, kFirst, kSecond}));
    const Result r = run(with_cuts(seed, cuts));
    EXPECT_EQ(r.views, 3) << "seed " << seed;
    for (const auto& [name, count] : r.unhealthy) EXPECT_EQ(count, 0) << name << " seed " << seed;
  }
}

// All controllers are partitioned from their workers: a failover would not help. As the links are
// restored, some receive heartbeats a second or two before others do.
TEST(PartialCuts, NoFailoverOfUnreachableShards) {
  std::vector<LinkCut> cuts;
  for (const auto& name : {kFirst, kSecond, kThird})
    cuts = together(cuts, both({kCutAt, 20'000, name, kWorkers}));
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Result r = run(with_cuts(seed, cuts));
    EXPECT_LE(r.views, 3 + 2) << "seed " << seed;
  }
}

// Cuts of any links in any direction at any time, for any time, flapping or not; half of the runs
// have random faults besides, two thirds relay messages. More seeds by SIM_SEEDS=1000.
class AnyLinks : public testing::TestWithParam<std::uint64_t> {};

std::vector<LinkCut> any_cuts(std::uint64_t seed, Ms until) {
  pcg32 random(seed);
  const std::vector<std::string> controllers{kFirst, kSecond, kThird};
  const std::vector<std::string> others{kFirst,      kSecond,     kThird,      kState,  "cloud",
                                        "workers/a", "workers/b", "workers/c", kWorkers};
  std::vector<LinkCut> cuts;
  for (std::uint32_t i = 4 + random(8); i > 0; --i) {
    LinkCut cut;
    cut.at = 8000 + static_cast<Ms>(random(static_cast<std::uint32_t>(until - 8000)));
    cut.lasts = 1000 + static_cast<Ms>(random(random(3) == 0 ? 40'000 : 12'000));
    cut.from = controllers[random(3)];
    cut.to = others[random(static_cast<std::uint32_t>(others.size()))];
    if (cut.from == cut.to) continue;
    if (random(3) == 0) {
      cut.flap_least = 500;
      cut.flap_most = 5000;
    }
    if (random(2) == 0) {
      cuts = together(cuts, both(cut));
    } else {
      if (random(2) == 0) std::swap(cut.from, cut.to);
      cuts.push_back(cut);
    }
  }
  return cuts;
}

TEST_P(AnyLinks, InvariantsHoldAndAllJobsEnd) {
  const std::uint64_t seed = GetParam();
  Options o = with_cuts(seed, {});
  o.fault_ms = 80'000;
  o.link_cuts = any_cuts(seed, o.fault_ms);
  o.relays = seed % 3 != 0;
  o.faults = seed % 2 == 0;
  o.services = 0.1;
  if (seed % 5 == 0) o.limit_cpus = 24;
  if (seed % 7 == 0) o.upgrade_from = 20'000;
  const Result r = run(o);
  EXPECT_EQ(r.oversized_txns, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, AnyLinks, testing::Range<std::uint64_t>(1, seeds_or(24) + 1));

}  // namespace
}  // namespace scheduler::sim

namespace scheduler {
namespace {

class SingleControllerWithPeer : public SingleControllerTest {
 protected:
  SingleControllerWithPeer() {
    settings_.peers = {{"puffin-1", "b", ""}};
    restart();
    executes_commands_ = true;
    EXPECT_EQ(heartbeat(50).status, 200);
    submit("req-000001");
    run(1000);
    EXPECT_EQ(tasks_.size(), 2U);
  }

  // The state service replies neither to this controller's calls nor to its watch.
  void cut_from_state() {
    lost_request_path_ = "/";
    run(3500);
  }

  void receive_cancellation(const std::string& job) {
    wire::GossipMessage gossip;
    gossip.from = "puffin-1";
    gossip.incarnation = "b";
    gossip.epoch = 1;
    gossip.state_service_answers = true;
    gossip.sent_ms = static_cast<std::uint64_t>(now_);
    gossip.cancelled = {job};
    controller_->on_peer_message(now_, encode(gossip));
    pump();
  }

  [[nodiscard]] std::size_t running() const {
    return static_cast<std::size_t>(
        std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) { return !t.second; }));
  }
};

// A cancellation that this controller can't read arrives by gossip: the tasks are stopped.
TEST_F(SingleControllerWithPeer, GossipedCancellationStopsTasks) {
  cut_from_state();
  ASSERT_EQ(running(), 2U);
  receive_cancellation("req-000001");
  run(1500);
  EXPECT_EQ(running(), 0U);
}

// Gossip is ignored while the records can be read, and so is that of unknown jobs.
TEST_F(SingleControllerWithPeer, GossipCountsOnlyWithoutTheStateService) {
  receive_cancellation("req-000001");
  run(1500);
  EXPECT_EQ(running(), 2U);
  cut_from_state();
  receive_cancellation("req-000002");
  run(1500);
  EXPECT_EQ(running(), 2U);
}

}  // namespace
}  // namespace scheduler
