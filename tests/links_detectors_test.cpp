// Detection of broken links by messages (PhiDetector), requests (RequestLink) and heartbeats
// (ZoneLinks), and the damping of flapping links.
#include <gtest/gtest.h>

#include "links/constants.h"
#include "links/flap_damper.h"
#include "links/monitor.h"

namespace scheduler::links {
namespace {

constexpr Ms kGossipIntervalMs = 500;
constexpr Ms kHeartbeatIntervalMs = 1000;

TEST(PhiDetector, SuspectsSilenceButNotOneLostMessage) {
  PhiDetector detector(kGossipIntervalMs);
  EXPECT_EQ(detector.status(1000), Status::unknown);
  Ms now = 1000;
  for (int i = 0; i < 200; ++i, now += kGossipIntervalMs)
    if (i % 20 != 7) detector.on_message(now);
  EXPECT_EQ(detector.status(detector.last_message_at() + 2 * kGossipIntervalMs), Status::up);
  EXPECT_EQ(detector.status(detector.last_message_at() + 6 * kGossipIntervalMs), Status::down);
  double before = 0;
  for (Ms silent = kGossipIntervalMs; silent < 20 * kGossipIntervalMs; silent += 50) {
    const double suspicion = detector.suspicion(detector.last_message_at() + silent);
    EXPECT_GE(suspicion, before);
    before = suspicion;
  }
}

// A peer with a busy processor must not be suspected: the detector adapts to the usual variation of
// the intervals.
TEST(PhiDetector, LearnsMessageJitter) {
  PhiDetector even(kGossipIntervalMs);
  PhiDetector uneven(kGossipIntervalMs);
  Ms now = 1000;
  for (int i = 0; i < 100; ++i) {
    now += kGossipIntervalMs;
    even.on_message(now);
    uneven.on_message(now + (i % 2 == 0 ? 0 : 900));
  }
  EXPECT_LT(uneven.suspicion(uneven.last_message_at() + 2200),
            even.suspicion(even.last_message_at() + 2200));
  EXPECT_EQ(uneven.status(uneven.last_message_at() + 2200), Status::up);
}

TEST(PhiDetector, IgnoresOutagesAndProcessPauses) {
  PhiDetector detector(kGossipIntervalMs);
  for (Ms now = 1000; now < 20'000; now += kGossipIntervalMs) detector.on_message(now);
  detector.on_message(90'000);
  EXPECT_EQ(detector.status(90'000 + 6 * kGossipIntervalMs), Status::down);
  detector.on_pause(120'000);
  EXPECT_EQ(detector.status(120'000 + kGossipIntervalMs), Status::up);
}

TEST(RequestLink, RefusalIsContactButNoReply) {
  RequestLink link;
  EXPECT_EQ(link.status(1000), Status::unknown);
  link.answered(1000);
  EXPECT_EQ(link.status(1500), Status::up);
  link.refused(2000);
  EXPECT_FALSE(link.answering(2100));
  EXPECT_FALSE(link.silent(2000 + kServiceSilentMs - 1));
  EXPECT_TRUE(link.silent(2000 + kServiceSilentMs));
  link.answered(6000);
  EXPECT_FALSE(link.answering(6000 + kServiceSilentMs));  // no failure, but the reply is too old
}

TEST(FlapDamper, PenaltyGrowsWithFailuresAndDecays) {
  FlapDamper damper{1};
  EXPECT_EQ(damper.required_stable_ms(1000), 0);
  damper.on_failure(1000);
  EXPECT_EQ(damper.required_stable_ms(1000), 0);  // the first failure is free
  damper.on_failure(6000);
  const Ms second = damper.required_stable_ms(6000);
  EXPECT_GT(second, kMinStableMs / 2);
  FlapDamper strict{0};
  strict.on_failure(1000);
  EXPECT_EQ(strict.required_stable_ms(1000), kMinStableMs);
  damper.on_failure(11'000);
  EXPECT_GT(damper.required_stable_ms(11'000), 2 * second);
  for (Ms now = 10'000; now < 200'000; now += 5000) damper.on_failure(now);
  EXPECT_EQ(damper.required_stable_ms(200'000), kMaxStableMs);
  EXPECT_EQ(damper.required_stable_ms(200'000 + 600'000), 0);
}

TEST(ZoneLinks, SilenceOfManyIsDetectedSooner) {
  ZoneLinks many(kHeartbeatIntervalMs);
  ZoneLinks one(kHeartbeatIntervalMs);
  many.set_expected_workers(1000, 50);
  one.set_expected_workers(1000, 1);
  for (Ms now = 1000; now <= 10'000; now += 20) many.heartbeat_received(now);
  one.heartbeat_received(10'000);
  many.on_sample_unanswered();
  one.on_sample_unanswered();
  EXPECT_EQ(many.heartbeats(11'900), Status::down);
  EXPECT_EQ(one.heartbeats(11'900), Status::up);
  EXPECT_EQ(one.heartbeats(13'300), Status::down);
}

// While workers answer probes, late heartbeats are tolerated for longer: the workers may only be
// slow.
TEST(ZoneLinks, SilenceWithoutFailedProbeIsDetectedLater) {
  ZoneLinks links(kHeartbeatIntervalMs);
  links.set_expected_workers(1000, 50);
  links.heartbeat_received(10'000);
  EXPECT_TRUE(links.probe_due(11'000));
  links.probe_sent(11'000);
  links.answered(11'050);
  EXPECT_EQ(links.heartbeats(12'500), Status::up);
  EXPECT_EQ(links.heartbeats(13'300), Status::down);
  EXPECT_EQ(links.commands(13'300), Status::up);
}

TEST(ZoneLinks, CommandsAreDownAfterTwoUnansweredSamples) {
  ZoneLinks links(kHeartbeatIntervalMs);
  links.set_expected_workers(1000, 10);
  links.heartbeat_received(1000);
  EXPECT_FALSE(links.probe_due(1200));
  links.suspect_commands();
  EXPECT_TRUE(links.probe_due(1200));
  links.on_sample_unanswered();
  EXPECT_NE(links.commands(1300), Status::down);
  links.on_sample_unanswered();
  EXPECT_EQ(links.commands(1300), Status::down);
  EXPECT_FALSE(links.usable(1300));
  links.answered(1400);
  EXPECT_TRUE(links.usable(1400));
}

// Neither workers that are not expected to send heartbeats here nor a pause of this process count
// as silence.
TEST(ZoneLinks, OnlyExpectedWorkersCanBeSilent) {
  ZoneLinks links(kHeartbeatIntervalMs);
  links.heartbeat_received(1000);
  links.set_expected_workers(50'000, 0);
  EXPECT_EQ(links.heartbeats(50'000), Status::unknown);
  links.set_expected_workers(50'000, 20);
  EXPECT_NE(links.heartbeats(51'000), Status::down);
  EXPECT_EQ(links.heartbeats(54'000), Status::down);
  links.on_pause(60'000);
  EXPECT_NE(links.heartbeats(61'000), Status::down);
}

}  // namespace
}  // namespace scheduler::links
