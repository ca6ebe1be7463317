// The link matrix that controllers gossip, and the decisions based on it.
#include <gtest/gtest.h>

#include <string>

#include "links/constants.h"
#include "links/monitor.h"
#include "support/link_rows.h"

namespace scheduler::links {
namespace {

constexpr Ms kGossipIntervalMs = 500;
constexpr Ms kHeartbeatIntervalMs = 1000;
constexpr Ms kWallOffset = 1'700'000'000'000;

TEST(Matrix, NewestRowWinsRegardlessOfPath) {
  Matrix matrix("a");
  matrix.merge(100, 10'000, row_of("b", 9'900, Status::up));
  matrix.merge(200, 10'100, row_of("b", 9'500, Status::down));
  EXPECT_EQ(matrix.find("b")->row.state, Status::up);
  EXPECT_EQ(matrix.find("b")->state_up_since, 100);
  matrix.merge(300, 10'200, row_of("b", 10'150, Status::down));
  EXPECT_EQ(matrix.find("b")->row.state, Status::down);
  EXPECT_EQ(matrix.find("b")->state_up_since, 0);
}

// Rows that are minutes old are not used as evidence and not merged.
TEST(Matrix, StaleRowsAreIgnored) {
  Matrix matrix("a");
  matrix.merge(100, 10'000, row_of("b", 9'900, Status::up));
  EXPECT_EQ(matrix.fresh(10'000, kRowMaxAgeMs).size(), 1U);
  EXPECT_TRUE(matrix.fresh(10'000 + 180'000, kRowMaxAgeMs).empty());
  matrix.merge(200, 300'000, row_of("c", 120'000, Status::up));
  EXPECT_EQ(matrix.find("c"), nullptr);
  matrix.merge(200, 300'000,
               row_of("a", 300'000, Status::up));  // its own row, received from another controller
  EXPECT_EQ(matrix.find("a"), nullptr);
}

TEST(Matrix, HoldsABoundedNumberOfRows) {
  Matrix matrix("a");
  for (int i = 0; i < 100; ++i)
    matrix.merge(100, 10'000, row_of("n" + std::to_string(i), 9'900, Status::up));
  EXPECT_EQ(matrix.size(), kMaxRows);
}

class MonitorTest : public testing::Test {
 protected:
  MonitorTest() {
    for (Ms t = 1000; t <= now_; t += kGossipIntervalMs) {
      monitor_.on_peer_message(t, "b");
      monitor_.on_peer_message(t, "c");
      monitor_.tick(t);
    }
    state_.answered(now_);
    monitor_.tick(now_);
  }

  static MonitorSettings settings() {
    return {"a", {"b", "c"}, kHeartbeatIntervalMs, kGossipIntervalMs, true};
  }
  [[nodiscard]] static Moment at(Ms now) { return {now, now + kWallOffset}; }

  [[nodiscard]] static wire::LinkRow row(const std::string& name, Status state, Ms as_of) {
    wire::LinkRow out = row_of(name, as_of + kWallOffset, state);
    out.from_peers = {{"a", Status::up}};
    out.relays = true;
    return out;
  }

  // Makes both zones of the shard send no heartbeats after `since` and leave a probe unanswered.
  void lose_workers(Ms since) {
    for (const char* zone : {"x", "y"}) {
      monitor_.zone(zone).set_expected_workers(1000, 20);
      monitor_.zone(zone).heartbeat_received(since);
      monitor_.zone(zone).on_sample_unanswered();
    }
  }

  Ms now_ = 20'000;
  RequestLink state_, cloud_;
  Monitor monitor_{settings(), state_, cloud_};
};

TEST_F(MonitorTest, UsersStayDuringASharedOutage) {
  EXPECT_TRUE(monitor_.may_serve_users(at(now_)).allowed);
  state_.refused(now_ + 100);
  monitor_.merge(at(now_ + 200), row("b", Status::down, now_ + 150));
  const Decision decision = monitor_.may_serve_users(at(now_ + 4000));
  EXPECT_TRUE(decision.allowed);
  EXPECT_EQ(decision.reason, Reason::outage);
}

// The row of c arrives through b; there is no link between a and c.
TEST_F(MonitorTest, UsersMoveOnIndirectEvidenceOfTheStateService) {
  state_.refused(now_ + 100);
  Decision decision;
  for (Ms t = now_ + 200; t < now_ + 3000; t += kGossipIntervalMs) {
    monitor_.merge(at(t), row("b", Status::down, t - 20));
    monitor_.merge(at(t), row("c", Status::up, t - 60));
    decision = monitor_.may_serve_users(at(t));
    // Users stay until c has reported this for a while: when an outage ends, one controller notices
    // first.
    EXPECT_EQ(decision.allowed, t - now_ <= 200 + kStateUpConfirmMs) << t;
  }
  EXPECT_EQ(decision.reason, Reason::peer_reaches);
  EXPECT_EQ(decision.through, "c");
}

TEST_F(MonitorTest, UsersLeaveIsolatedControllers) {
  EXPECT_TRUE(monitor_.may_serve_users(at(now_ + kServiceSilentMs - 100)).allowed);
  const Decision decision = monitor_.may_serve_users(at(now_ + kServiceSilentMs + 100));
  EXPECT_FALSE(decision.allowed);
  EXPECT_EQ(decision.reason, Reason::isolated);
}

TEST_F(MonitorTest, MachinesGoToReachableControllersOrStay) {
  lose_workers(now_);
  const Ms later = now_ + 5000;
  EXPECT_TRUE(monitor_.may_keep_machines(at(now_ + 500), {"b", "c"}).allowed);
  EXPECT_EQ(monitor_.may_keep_machines(at(later), {}).reason, Reason::nobody_else);
  // Peers without a row, such as older versions, are assumed to reach the machines.
  EXPECT_FALSE(monitor_.may_keep_machines(at(later), {"b", "c"}).allowed);
  wire::LinkRow b = row("b", Status::up, later - 100);
  wire::LinkRow c = row("c", Status::up, later - 100);
  for (auto* other : {&b, &c})
    for (const char* zone : {"x", "y"}) other->workers[zone] = {Status::down, Status::unknown, 0};
  monitor_.merge(at(later), b);
  monitor_.merge(at(later), c);
  const Decision kept = monitor_.may_keep_machines(at(later), {"b", "c"});
  EXPECT_TRUE(kept.allowed);
  EXPECT_EQ(kept.reason, Reason::nobody_reaches);
  c.as_of_ms += 50;
  c.workers["y"].heartbeats = Status::up;
  // The last contact of c with the zone is as old as a's: c has not detected the same failure yet.
  c.workers["y"].last_heartbeat_ms = static_cast<std::uint64_t>(now_ + 200 + kWallOffset);
  monitor_.merge(at(later), c);
  EXPECT_TRUE(monitor_.may_keep_machines(at(later), {"b", "c"}).allowed);
  c.as_of_ms += 10;
  c.workers["y"].last_heartbeat_ms = static_cast<std::uint64_t>(later - 100 + kWallOffset);
  monitor_.merge(at(later), c);
  EXPECT_TRUE(monitor_.may_keep_machines(at(later), {"b", "c"})
                  .allowed);  // c's link has not been up for long enough
  const Ms then = later + kRowStableMs;
  b.as_of_ms = c.as_of_ms = static_cast<std::uint64_t>(then + kWallOffset);
  monitor_.merge(at(then), b);
  monitor_.merge(at(then), c);
  const Decision handed_over = monitor_.may_keep_machines(at(then), {"b", "c"});
  EXPECT_FALSE(handed_over.allowed);
  EXPECT_EQ(handed_over.through, "c");
}

TEST_F(MonitorTest, OneReachableZoneKeepsTheShard) {
  lose_workers(now_);
  const Ms later = now_ + 5000;
  monitor_.zone("y").answered(later);
  monitor_.zone("y").heartbeat_received(later);
  EXPECT_TRUE(monitor_.may_keep_machines(at(later), {"b"}).allowed);
}

TEST_F(MonitorTest, ShardIsReclaimedOnceTheLinkIsStable) {
  monitor_.on_machines_given_up(now_);
  EXPECT_FALSE(monitor_.may_reclaim_machines(now_ + 500).allowed);
  monitor_.on_reclaim_probe(now_ + 500, true);
  EXPECT_FALSE(monitor_.may_reclaim_machines(now_ + 800).allowed);
  monitor_.on_reclaim_probe(now_ + 1000, true);
  EXPECT_FALSE(monitor_.may_reclaim_machines(now_ + 2000).allowed);
  EXPECT_TRUE(monitor_.may_reclaim_machines(now_ + 1000 + kMinStableMs).allowed);
  // The link flaps.
  for (Ms t = now_ + 4000; t < now_ + 60'000; t += 6000) {
    monitor_.on_reclaim_probe(t, false);
    monitor_.on_reclaim_probe(t + 2000, true);
    monitor_.on_reclaim_probe(t + 4000, true);
  }
  EXPECT_FALSE(monitor_.may_reclaim_machines(now_ + 62'000).allowed);
}

TEST_F(MonitorTest, ViewIsRejoinedAtOnceUnlessTheLinkFlaps) {
  EXPECT_TRUE(monitor_.may_join(now_, true).allowed);  // after a restart
  monitor_.on_removed_from_view(now_);
  EXPECT_TRUE(monitor_.may_join(now_, true).allowed);  // after a single cut
  monitor_.on_joined_view();
  monitor_.on_removed_from_view(now_);
  EXPECT_TRUE(monitor_.may_join(now_, false).allowed);  // no other controller serves
  state_.unanswered(now_ + 100);
  monitor_.tick(now_ + 100);
  EXPECT_FALSE(monitor_.may_join(now_ + 200, true).allowed);
  Ms t = now_ + 5000;
  state_.answered(t);
  monitor_.tick(t);
  EXPECT_FALSE(monitor_.may_join(t + 100, true).allowed);
  state_.answered(t + 8000);
  monitor_.tick(t + 8000);
  EXPECT_TRUE(monitor_.may_join(t + 8000, true).allowed);
}

TEST_F(MonitorTest, SilentZoneThatReachesAPeerIsNotDead) {
  Census census;
  for (int i = 0; i < 10; ++i) census.all.add(true);
  for (int i = 0; i < 5; ++i) census.zones["x"].add(i > 0);
  EXPECT_TRUE(monitor_.may_declare_dead(at(now_), "x", census, 5000).allowed);
  lose_workers(now_ - 10'000);
  wire::LinkRow b = row("b", Status::up, now_ - 100);
  b.workers["x"] = {Status::up, Status::up, 0};
  monitor_.merge(at(now_), b);
  const Decision decision = monitor_.may_declare_dead(at(now_), "x", census, 5000);
  EXPECT_FALSE(decision.allowed);
  EXPECT_EQ(decision.through, "b");
  EXPECT_TRUE(
      monitor_.may_declare_dead(at(now_), "x", census, kZonePartitionTimeoutMs + 1).allowed);
}

// When a partition heals, the heartbeats of some workers arrive before those of others.
TEST_F(MonitorTest, NoMachineIsDeclaredDeadRightAfterAPartition) {
  Census partitioned;
  Census recovering;
  for (int i = 0; i < 20; ++i) {
    partitioned.all.add(i < 12);
    recovering.all.add(i < 18);
  }
  for (int i = 0; i < 8; ++i) {
    partitioned.zones["x"].add(false);
    recovering.zones["x"].add(i < 6);
  }
  EXPECT_TRUE(monitor_.may_declare_dead(at(now_), "x", recovering, 60'000).allowed);
  monitor_.record_census(now_, partitioned);
  EXPECT_FALSE(monitor_.may_declare_dead(at(now_), "x", partitioned, 60'000).allowed);
  monitor_.record_census(now_ + 1000, recovering);
  EXPECT_FALSE(monitor_.may_declare_dead(at(now_ + 1000), "x", recovering, 60'000).allowed);
  const Ms later = now_ + kPartitionRecoveryMs;
  EXPECT_TRUE(monitor_.may_declare_dead(at(later), "x", recovering, 60'000).allowed);
}

TEST_F(MonitorTest, RelayIsChosenByReachabilityOfBothEnds) {
  EXPECT_FALSE(monitor_.relay_to(at(now_), "x").has_value());
  wire::LinkRow b = row("b", Status::up, now_ - 100);
  wire::LinkRow c = row("c", Status::up, now_ - 100);
  b.workers["x"] = {Status::down, Status::down, 0};
  monitor_.merge(at(now_), b);
  EXPECT_FALSE(monitor_.relay_to(at(now_), "x").has_value());
  c.workers["x"] = {Status::up, Status::up, 0};
  monitor_.merge(at(now_), c);
  EXPECT_EQ(monitor_.relay_to(at(now_), "x"), "c");
  c.as_of_ms += 10;
  c.from_peers["a"] = Status::down;  // c doesn't receive a's gossip
  monitor_.merge(at(now_), c);
  EXPECT_FALSE(monitor_.relay_to(at(now_), "x").has_value());
}

TEST_F(MonitorTest, HeartbeatsAreRelayedToAnOwnerThatMissesThem) {
  wire::LinkRow b = row("b", Status::up, now_ - 100);
  b.workers["x"] = {Status::up, Status::up, 0};
  monitor_.merge(at(now_), b);
  EXPECT_FALSE(monitor_.should_forward(at(now_), "b", "x"));
  b.as_of_ms += 10;
  b.workers["x"].heartbeats = Status::down;
  monitor_.merge(at(now_), b);
  EXPECT_TRUE(monitor_.should_forward(at(now_), "b", "x"));
  EXPECT_FALSE(monitor_.should_forward(at(now_), "b", "y"));
  EXPECT_FALSE(monitor_.should_forward(at(now_ + 10'000), "b", "x"));  // no newer row from b
}

}  // namespace
}  // namespace scheduler::links
