// Tests services on a single controller: validation and acceptance of submissions, restarts and
// back-off of replicas.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "membership/format_switch.h"
#include "support/single_controller_jobs.h"
#include "workers/failure_tracker.h"
#include "workers/timing.h"

namespace scheduler {
namespace {

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const auto at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

std::string service_body(const std::string& id, int replicas = 2) {
  return R"({"id":")" + id + R"(","queue":"c","crew":"t","shape":"daemon","rank":"production",)" +
         R"("loads":)" + std::to_string(replicas) +
         R"(,"cpus":1.0,"gpus":0.0,"memGb":1.0,"kit":"i","pullGb":0.1,"together":false,)"
         R"("scatter":false,"standby":false,"haulS":0.0,"tipS":0.0,"stowS":0.0})";
}

// ---- submissions ----

TEST_F(SingleControllerJobs, InvalidServicesAreRefused) {
  const std::string good = service_body("req-000001");
  const auto spec = wire::parse_job(good);
  ASSERT_TRUE(spec) << spec.error().text();
  EXPECT_TRUE(spec->is_service());
  const std::uint64_t with_estimate = post(replaced(good, R"("haulS":0.0)", R"("haulS":60.0)"));
  const std::uint64_t without_estimate = post(replaced(good, R"("haulS":0.0,)", ""));
  const std::uint64_t other_shape = post(replaced(good, "daemon", "service"));
  const std::uint64_t no_replicas = post(service_body("req-000001", 0));
  run(200);
  EXPECT_EQ(status(with_estimate), 400);
  EXPECT_EQ(status(without_estimate), 400);
  EXPECT_EQ(status(other_shape), 400);
  EXPECT_EQ(status(no_replicas), 400);
}

TEST_F(SingleControllerJobs, AllReplicasMustFitTheirQuota) {
  Settings limited = settings_;
  limited.teams = {{"t", 0, 3, 0, 0}};
  start_with_empty_state(limited);
  const std::uint64_t over_quota = post(service_body("req-000001", 4));
  const std::uint64_t within_quota = post(service_body("req-000002", 3));
  const std::uint64_t spread = post(replaced(service_body("req-000003", 2), R"("scatter":false)",
                                             R"("scatter":true)"));  // there is one zone
  run(500);
  EXPECT_EQ(status(over_quota), 422);
  EXPECT_EQ(status(within_quota), 201);
  EXPECT_EQ(status(spread), 422);
}

// Until every configured controller announces the record format, submissions of services are
// refused with a Retry-After time.
TEST_F(SingleControllerJobs, ServicesAreUnavailableUntilAllControllersAnnounceTheFormat) {
  Settings with_peer = settings_;
  with_peer.peers = {{"puffin-1", "a", "puffin-1:1"}};
  start_with_empty_state(with_peer);
  const std::uint64_t before_announcement = post(service_body("req-000001"));
  EXPECT_EQ(status(before_announcement), 503);
  EXPECT_GT(replies_[before_announcement].retry_after_s, 0);
  const std::uint64_t array = post(job_body("req-000002"));
  run(500);
  EXPECT_EQ(status(array), 201);

  // puffin-1 joins, first as an earlier version that announces no format.
  auto join = [this](const std::string& live) {
    const auto& view = state_.items.at("view").value;
    const std::string members = R"("live":{)";
    std::string next = view;
    if (view.find("puffin-1") == std::string::npos)
      next = replaced(view, members, members + R"("puffin-1":"i1",)");
    state_.transact(now_,
                    R"({"guards":[],"writes":[{"write":"view","v":)" + next +
                        R"(},{"write":"live/puffin-1","v":)" + live + "}]}",
                    [](int status, const std::string&) { EXPECT_EQ(status, 200); });
    run(300);
  };
  join(R"({"incarnation":"i1","epoch":1})");
  EXPECT_EQ(status(post(service_body("req-000003"))), 503);
  // A live record of another incarnation of puffin-1 does not count for the incarnation in the
  // view.
  join(R"({"incarnation":"i0","epoch":1,"formats":2})");
  EXPECT_EQ(status(post(service_body("req-000003"))), 503);
  EXPECT_FALSE(state_.items.contains("formats"));
  join(R"({"incarnation":"i1","epoch":1,"formats":2})");
  EXPECT_TRUE(state_.items.contains("formats"));
  const std::uint64_t after_announcement = post(service_body("req-000003"));
  run(500);
  EXPECT_EQ(status(after_announcement), 201);
  // The format stays in use even if a controller restarts with an earlier version.
  join(R"({"incarnation":"i1","epoch":1})");
  const std::uint64_t after_restart = post(service_body("req-000004"));
  run(500);
  EXPECT_EQ(status(after_restart), 201);
}

TEST_F(SingleControllerJobs, ControllerWithTheFirstRecordFormatRejectsServices) {
  Settings first_format = settings_;
  first_format.record_format = wire::kFirstFormat;
  start_with_empty_state(first_format);
  EXPECT_EQ(status(post(service_body("req-000001"))), 400);
  EXPECT_FALSE(state_.items.contains("formats"));
  EXPECT_EQ(state_.items.at("live/puffin-0").value.find("formats"), std::string::npos);
}

// ---- restarts ----

TEST_F(SingleControllerJobs, CompletedReplicaRunsAgainAndServiceIsNeverDone) {
  start_with_empty_state(settings_);
  const std::uint64_t accepted = post(service_body("req-000001"));
  run(1000);
  EXPECT_EQ(status(accepted), 201);
  EXPECT_EQ(tasks_.size(), 2U);
  run(kReplicaStableMs);
  heartbeat(100);
  exit_cause_ = "done";
  const int before = starts_;
  tasks_.begin()->second = true;
  heartbeat(200);
  run(1000);
  EXPECT_GT(starts_, before);
  const std::string answer = read_job_body("req-000001");
  EXPECT_EQ(answer.find(R"("status":"done")"), std::string::npos) << answer;
  EXPECT_NE(answer.find(R"("done":0)"), std::string::npos) << answer;
}

// The worker of the only machine keeps the result of the replica and ends every further attempt
// immediately.
TEST_F(SingleControllerJobs, InstantExitsAreBackedOff) {
  start_with_empty_state(settings_);
  post(service_body("req-000001", 1));
  run(1000);
  ASSERT_EQ(tasks_.size(), 1U);
  exit_cause_ = "done";
  for (int second = 0; second < 60; ++second) {
    for (auto& [task, exited] : tasks_) exited = true;
    heartbeat(1000 + static_cast<std::uint64_t>(second) * 10);
    run(1000);
  }
  EXPECT_LE(starts_, 12);
}

TEST_F(SingleControllerJobs, CancelledServiceIsConfirmedOnceReplicasAreGone) {
  start_with_empty_state(settings_);
  post(service_body("req-000001"));
  run(1000);
  ASSERT_EQ(tasks_.size(), 2U);
  const std::uint64_t request = cancel("req-000001");
  EXPECT_EQ(status(request), 0);
  run(1000);
  EXPECT_EQ(status(request), 200);
  EXPECT_TRUE(tasks_.empty() || std::all_of(tasks_.begin(), tasks_.end(),
                                            [](const auto& task) { return task.second; }));
  const int before = starts_;
  run(5000);
  EXPECT_EQ(starts_, before);
}

TEST(FailureTracker, KeptResultIsAvoidedWithoutQuarantine) {
  FailureTracker tracker;
  const wire::TaskId replica{"req-000001", 3};
  tracker.on_result_kept(1000, "m", replica);
  EXPECT_TRUE(tracker.has_kept_result(1000 + 2 * kFailureMemoryMs, "m", replica));
  EXPECT_FALSE(tracker.has_kept_result(1000, "m", {"req-000001", 4}));  // another replica
  EXPECT_FALSE(tracker.has_kept_result(1000, "m", {"req-000002", 3}));
  EXPECT_FALSE(tracker.has_kept_result(1000, "n", replica));
  tracker.on_early_exit(1000, "m", "req-000001");
  tracker.on_early_exit(2000, "n", "req-000001");
  EXPECT_GT(tracker.next_attempt_at("req-000001"), 2000);
  tracker.on_replica_stable("req-000001");
  EXPECT_EQ(tracker.next_attempt_at("req-000001"), 0);
  tracker.forget_job("req-000001");
  EXPECT_FALSE(tracker.has_failed_on(3000, "m", "req-000001"));
  EXPECT_FALSE(tracker.has_kept_result(3000, "m", replica));
}

}  // namespace
}  // namespace scheduler
