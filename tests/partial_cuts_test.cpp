// Seeded simulations of partial partitions: links between controllers, workers and the state
// service that are down in one direction or between one pair of endpoints, or that flap. Invariants
// are checked at every step.
#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <pcg_random.hpp>

#include "support/simulation_runs.h"
#include "support/single_controller_test.h"
#include "wire/peer.h"

namespace scheduler::sim {
namespace {

constexpr const char* kStateService = "state";
constexpr const char* kWorkers = "workers";
constexpr Ms kCutStartMs = 25'000, kCutDurationMs = 40'000;
constexpr Ms kLongCutMs = 300'000;
// The controllers. puffin-0 and puffin-2 are in zone a, puffin-1 is the only one in zone b. Zone c
// has no controller, so its machines are divided among all three.
const std::string kController0 = "puffin-0", kController1 = "puffin-1", kController2 = "puffin-2";

// Returns cuts of both directions of a link.
std::vector<LinkCut> both_directions(const LinkCut& cut) {
  LinkCut reverse = cut;
  std::swap(reverse.from, reverse.to);
  return {cut, reverse};
}

std::vector<LinkCut> concatenate(std::vector<LinkCut> first, const std::vector<LinkCut>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
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

// Runs the simulation and expects that no invariant is violated and that all jobs end.
Result run(const Options& o) {
  Result r = SimulatedCluster(o).run();
  EXPECT_THAT(r, has_no_violations()) << "seed " << o.seed;
  EXPECT_THAT(r, has_no_unfinished_jobs()) << "seed " << o.seed;
  EXPECT_GT(r.done, 5) << "seed " << o.seed;
  return r;
}

// Times until workers had contact with a controller again, counted from the beginning of a cut, for
// all workers of several runs; sorted.
struct ContactGaps {
  std::vector<Ms> durations;

  void add(const Result& r) {
    durations.insert(durations.end(), r.without_contact_ms.begin(), r.without_contact_ms.end());
    std::sort(durations.begin(), durations.end());
  }
  [[nodiscard]] Ms percentile(std::size_t percent) const {
    return durations.at(durations.size() * percent / 100);
  }
};

// A controller can't reach its workers in either direction. Its shard must fail over within two
// heartbeat intervals (1 s each) plus one second.
TEST(PartialCuts, WorkersOfAnUnreachableControllerFailOverSoon) {
  ContactGaps contact_gaps;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const auto& name = seed % 2 == 0 ? kController0 : kController1;
    const Result r =
        run(with_cuts(seed, both_directions({kCutStartMs, kCutDurationMs, name, kWorkers})));
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    EXPECT_EQ(r.views, 3 + 2) << "seed " << seed;  // one failover, one failback
    contact_gaps.add(r);
  }
  EXPECT_LE(contact_gaps.percentile(95), 3000);
  EXPECT_LE(contact_gaps.durations.back(), 3500);
}

// Heartbeats to a controller are lost, but its workers answer its commands. Their leases are not
// renewed, so the shard must fail over.
TEST(PartialCuts, HeartbeatsLostOneWay) {
  ContactGaps contact_gaps;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const Result r = run(with_cuts(seed, {{kCutStartMs, kCutDurationMs, kWorkers, kController1}}));
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    contact_gaps.add(r);
  }
  EXPECT_LE(contact_gaps.percentile(95), 3000);
}

// Heartbeats reach a controller, but its replies and commands do not reach the workers. The shard
// must fail over.
TEST(PartialCuts, RepliesAndCommandsLostOneWay) {
  ContactGaps contact_gaps;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const Result r = run(with_cuts(seed, {{kCutStartMs, kCutDurationMs, kController1, kWorkers}}));
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
    contact_gaps.add(r);
  }
  EXPECT_LE(contact_gaps.percentile(95), 3500);
}

// A controller can't reach its workers of one zone, but peers can and relay commands and
// heartbeats. Neither the machines nor their tasks must be lost.
TEST(PartialCuts, ZoneOfAShardIsServedThroughPeers) {
  const std::vector<std::vector<LinkCut>> cuts{
      both_directions({kCutStartMs, kCutDurationMs, kController0, "workers/c"}),
      {{kCutStartMs, kCutDurationMs, "workers/c", kController0}},
      {{kCutStartMs, kCutDurationMs, kController0, "workers/c"}},
  };
  ContactGaps contact_gaps;
  int returned_tasks = 0;
  int expired_leases = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (const auto& cut : cuts) {
      Options o = with_cuts(seed, cut);
      o.relays = true;
      o.lease_s = 10;  // a worker switches controllers after up to 6 s
      const Result r = run(o);
      contact_gaps.add(r);
      returned_tasks += r.running_tasks_returned;
      expired_leases += r.lease_expiries;
    }
  }
  EXPECT_LE(contact_gaps.durations.back(), 8000);
  EXPECT_EQ(returned_tasks, 0);
  EXPECT_EQ(expired_leases, 0);
}

// Guards against frequent failovers: the link to the workers flaps every few seconds, and the shard
// may fail over no more than once per minute.
TEST(PartialCuts, FlappingLinkToWorkers) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Options o = with_cuts(
        seed, both_directions({kCutStartMs, kLongCutMs, kController1, kWorkers, 2000, 5000}));
    o.fault_ms = kCutStartMs + kLongCutMs;
    const Result r = run(o);
    EXPECT_LE(r.views, 3 + 2 * 5) << "seed " << seed;
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
  }
}

// The link to the state service flaps every few seconds, and the shard may fail over no more than
// once per minute.
TEST(PartialCuts, FlappingLinkToTheStateService) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Options o = with_cuts(
        seed, both_directions({kCutStartMs, kLongCutMs, kController1, kStateService, 2000, 5000}));
    o.fault_ms = kCutStartMs + kLongCutMs;
    const Result r = run(o);
    EXPECT_LE(r.views, 3 + 2 * 5) << "seed " << seed;
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
  }
}

// The state service executes a controller's calls, but its replies are lost. The controller can
// neither read nor write, so renewals of its session lease whose replies are lost must not keep it
// in the view.
TEST(PartialCuts, ControllerWithoutRepliesLeavesTheView) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Result r =
        run(with_cuts(seed, {{kCutStartMs, kCutDurationMs, kStateService, kController1}}));
    EXPECT_EQ(r.views, 3 + 2) << "seed " << seed;
    EXPECT_EQ(r.lease_expiries, 0) << "seed " << seed;
  }
}

// Two controllers are partitioned from the state service; the third reaches it. The first receives
// no gossip from the third and learns the third's state from the second. Both must report
// themselves unhealthy, so that users move to the third.
TEST(PartialCuts, UsersMoveToControllersWithTheStateService) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto cuts =
        concatenate(both_directions({kCutStartMs, kCutDurationMs, kController0, kStateService}),
                    both_directions({kCutStartMs, kCutDurationMs, kController1, kStateService}));
    const Result r =
        run(with_cuts(seed, concatenate(cuts, both_directions({kCutStartMs, kCutDurationMs,
                                                               kController0, kController2}))));
    EXPECT_GT(r.unhealthy.at(kController0), 30) << "seed " << seed;
    EXPECT_GT(r.unhealthy.at(kController1), 30) << "seed " << seed;
    EXPECT_EQ(r.unhealthy.at(kController2), 0) << "seed " << seed;
  }
}

// Only links between controllers are down. All controllers must stay healthy, without failover.
TEST(PartialCuts, CutsBetweenControllersCauseNoFailover) {
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const auto cuts =
        concatenate(both_directions({kCutStartMs, kCutDurationMs, kController0, kController2}),
                    both_directions({kCutStartMs, kCutDurationMs, kController0, kController1}));
    const Result r = run(with_cuts(seed, cuts));
    EXPECT_EQ(r.views, 3) << "seed " << seed;
    for (const auto& [name, count] : r.unhealthy) EXPECT_EQ(count, 0) << name << " seed " << seed;
  }
}

// All controllers are partitioned from their workers, so a failover would not help. When the links
// are restored, some controllers receive heartbeats one or two seconds before the others, which
// must not cause a series of failovers.
TEST(PartialCuts, NoFailoverOfUnreachableShards) {
  std::vector<LinkCut> cuts;
  for (const auto& name : {kController0, kController1, kController2})
    cuts = concatenate(cuts, both_directions({kCutStartMs, 20'000, name, kWorkers}));
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Result r = run(with_cuts(seed, cuts));
    EXPECT_LE(r.views, 3 + 2) << "seed " << seed;
  }
}

// Random cuts: any links and directions, at any time and for any duration, flapping or not. Half of
// the runs also have random faults, and in two thirds controllers relay messages.
// SIM_SEEDS=1000 runs more seeds.
class AnyLinks : public testing::TestWithParam<std::uint64_t> {};

std::vector<LinkCut> random_cuts(std::uint64_t seed, Ms until) {
  pcg32 random(seed);
  const std::vector<std::string> controllers{kController0, kController1, kController2};
  const std::vector<std::string> far_ends{kController0,  kController1, kController2,
                                          kStateService, "cloud",      "workers/a",
                                          "workers/b",   "workers/c",  kWorkers};
  std::vector<LinkCut> cuts;
  for (std::uint32_t i = 4 + random(8); i > 0; --i) {
    LinkCut cut;
    cut.at = 8000 + static_cast<Ms>(random(static_cast<std::uint32_t>(until - 8000)));
    cut.duration_ms = 1000 + static_cast<Ms>(random(random(3) == 0 ? 40'000 : 12'000));
    cut.from = controllers[random(3)];
    cut.to = far_ends[random(static_cast<std::uint32_t>(far_ends.size()))];
    if (cut.from == cut.to) continue;
    if (random(3) == 0) {
      cut.flap_min_ms = 500;
      cut.flap_max_ms = 5000;
    }
    if (random(2) == 0) {
      cuts = concatenate(cuts, both_directions(cut));
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
  o.link_cuts = random_cuts(seed, o.fault_ms);
  o.relays = seed % 3 != 0;
  o.faults = seed % 2 == 0;
  o.services = 0.1;
  if (seed % 5 == 0) o.tight_team_cpus = 24;
  if (seed % 7 == 0) o.upgrade_from = 20'000;
  const Result r = run(o);
  EXPECT_EQ(r.oversized_txns, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, AnyLinks, testing::Range<std::uint64_t>(1, seed_count_or(24) + 1));

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

  // Drops all replies of the state service to this controller, including those to its watch.
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
    process_outputs();
  }

  [[nodiscard]] std::size_t running_tasks() const {
    return static_cast<std::size_t>(
        std::count_if(tasks_.begin(), tasks_.end(), [](const auto& t) { return !t.second; }));
  }
};

// The controller can't read a cancellation from the state service but receives it by gossip, and
// must stop the tasks.
TEST_F(SingleControllerWithPeer, GossipedCancellationStopsTasks) {
  cut_from_state();
  ASSERT_EQ(running_tasks(), 2U);
  receive_cancellation("req-000001");
  run(1500);
  EXPECT_EQ(running_tasks(), 0U);
}

// Gossiped cancellations are ignored while the controller can read the records, and always for
// unknown jobs.
TEST_F(SingleControllerWithPeer, GossipCountsOnlyWithoutTheStateService) {
  receive_cancellation("req-000001");
  run(1500);
  EXPECT_EQ(running_tasks(), 2U);
  cut_from_state();
  receive_cancellation("req-000002");
  run(1500);
  EXPECT_EQ(running_tasks(), 2U);
}

}  // namespace
}  // namespace scheduler
