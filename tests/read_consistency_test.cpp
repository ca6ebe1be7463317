// Tests of monotonic reads while replies of the state service arrive out of order: once a user has
// been told that a job is accepted, done or cancelled, no controller may reply with an older state.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/simulation_runs.h"
#include "support/single_controller_test.h"

namespace scheduler {
namespace {

bool is_watch(const Call& call) { return call.path.starts_with("/changes"); }

bool writes_range(const Call& call) {
  return call.path == "/multi" && call.body.find(R"("write":"range/)") != std::string::npos;
}

class SingleControllerReads : public SingleControllerTest {
 protected:
  // Submits another job, whose changes complete the open watch. From then on, replies to watches
  // are delayed.
  void delay_watches() {
    executes_commands_ = true;
    ASSERT_EQ(heartbeat(50).status, 200);
    delays_reply_ = is_watch;
    submit("req-000009");
    for (int i = 0; i < 30; ++i) {
      run(100);
      release_replies(is_watch);
    }
    ASSERT_EQ(tasks_.size(), 2U);
  }

  // Makes the state service reply to the open watch.
  void reply_to_watch() {
    state_.serve_watchers(now_, [](std::size_t) { return true; });
  }

  // Advances the time, without replies to watches, until the write of a placement is sent. Returns
  // false if none was sent within 400 ms.
  bool run_until_placement_is_sent() {
    const auto sent = [this] {
      return std::any_of(delayed_replies_.begin(), delayed_replies_.end(),
                         [](const auto& reply) { return writes_range(reply.first); });
    };
    for (const Ms end = now_ + 400; now_ < end && !sent(); now_ += 20) {
      controller_->tick(now_, now_);
      process_outputs();
    }
    return sent();
  }

  [[nodiscard]] bool reply_contains(std::uint64_t request, const std::string& state) const {
    const auto answer = replies_.find(request);
    return answer != replies_.end() && answer->second.body.find(state) != std::string::npos;
  }
};

// The reply to the write of a placement is delayed, the reply to the later write of a cancellation
// is not, and a watch reply from before both writes arrives in between. The replica then holds the
// later write without the earlier one, a state that never existed.
TEST_F(SingleControllerReads, PollNeverShowsAStateThatNeverExisted) {
  delay_watches();
  delays_reply_ = [](const Call& call) { return is_watch(call) || writes_range(call); };
  submit("req-000001");
  process_outputs();
  const std::uint64_t first = poll("req-000001");
  EXPECT_EQ(status(first), 0);  // no reply until the watch has delivered the change that was read
  reply_to_watch();
  ASSERT_TRUE(run_until_placement_is_sent());
  const std::uint64_t cancelled = cancel("req-000001");
  release_replies(is_watch);
  EXPECT_FALSE(reply_contains(first, "withdrawn"));  // two tasks are placed
  release_replies(writes_range);
  const std::uint64_t second = poll("req-000001");
  delays_reply_ = nullptr;
  release_replies([](const Call&) { return true; });
  run(1000);
  ASSERT_EQ(status(first), 200);
  ASSERT_EQ(status(second), 200);
  EXPECT_FALSE(reply_contains(first, "withdrawn") && !reply_contains(second, "withdrawn"))
      << replies_[first].body << " then " << replies_[second].body;
  EXPECT_TRUE(reply_contains(cancelled, "withdrawn"));
}

// The reply to the write of a job arrives after the user has received the confirmation that the job
// is cancelled. The reply to the submission must contain the state "withdrawn".
TEST_F(SingleControllerReads, LateSubmissionReplyContainsTheCurrentState) {
  executes_commands_ = true;
  ASSERT_EQ(heartbeat(50).status, 200);
  delays_reply_ = [](const Call& call) {
    return call.body.find(R"("write":"job/)") != std::string::npos;
  };
  const std::uint64_t submitted = next_request_;
  submit("req-000001");
  run(400);  // the watch delivers the job, and it is placed
  ASSERT_EQ(status(submitted), 0);
  const std::vector<std::pair<Call, HttpResult>> late = std::exchange(delayed_replies_, {});
  delays_reply_ = nullptr;
  const std::uint64_t cancelled = cancel("req-000001");
  run(1000);
  ASSERT_TRUE(reply_contains(cancelled, "withdrawn"));
  delayed_replies_ = late;
  release_replies([](const Call&) { return true; });
  run(100);
  EXPECT_EQ(status(submitted), 201);
  EXPECT_TRUE(reply_contains(submitted, "withdrawn")) << replies_[submitted].body;
}

}  // namespace
}  // namespace scheduler

namespace scheduler::sim {
namespace {

// Small jobs that are placed at once. Users poll each one at all controllers within milliseconds
// and cancel most of them at once. The state service's rate limits are low, so that watches are
// reopened about ten times a second.
Options concurrent_reads(std::uint64_t seed, const std::vector<Fault>& faults) {
  Options o;
  o.seed = seed;
  o.faults = false;
  o.fault_ms = 40'000;
  o.recovery_ms = 200'000;
  o.until_finished = true;
  o.machines = 12;
  o.cloud_capacity = 6;
  o.job_every_ms = 250;
  o.largest_array = 12;
  o.gang_tenths = 1;
  o.state_rps = 120;
  o.planned_faults = {{3000, Fault::concurrent_reads, 0, 37'000}};
  for (const Fault fault : faults) o.planned_faults.push_back({3000, fault, 0, 37'000});
  o.trace = trace_from_environment();
  return o;
}

// Runs the simulation with each seed and returns the number of seeds that violate an invariant.
int seeds_with_violations(const std::vector<std::uint64_t>& default_seeds,
                          const std::vector<Fault>& faults, bool random_faults = false) {
  int violations = 0;
  for (const std::uint64_t seed : seed_list_or(default_seeds)) {
    Options options = concurrent_reads(seed, faults);
    options.faults = random_faults;
    const Result r = SimulatedCluster(options).run();
    EXPECT_THAT(r, has_no_violations()) << "seed " << seed;
    EXPECT_THAT(r, has_no_unfinished_jobs()) << "seed " << seed;
    EXPECT_GT(r.concurrent_reads, random_faults ? 10 : 100) << "seed " << seed;
    EXPECT_GT(r.cancelled, 20) << "seed " << seed;
    violations += r.violations.empty() ? 0 : 1;
  }
  return violations;
}

// The seeds 1 and 2, and seeds in which users once read "withdrawn" and then "running".
TEST(Answers, StayMonotonicWithDelayedWatches) {
  EXPECT_EQ(seeds_with_violations({1, 2, 10, 21, 39, 51}, {Fault::watch_lags}), 0);
  EXPECT_EQ(seeds_with_violations({1, 2, 17, 23, 33, 39}, {Fault::state_reorders}), 0);
}

TEST(Answers, StayMonotonicForConcurrentReaders) {
  EXPECT_EQ(seeds_with_violations({1, 2, 3, 4}, {}), 0);
}

TEST(Answers, StayMonotonicWhileRepliesAreLost) {
  EXPECT_EQ(seeds_with_violations({1, 2, 3, 4}, {Fault::replies_lost}), 0);
  EXPECT_EQ(seeds_with_violations({1, 2, 3, 4}, {Fault::state_reorders, Fault::replies_lost}), 0);
}

// The state service compacts changes that a delayed watch still needs. The controller reads all
// records again, page by page, while they change.
TEST(Answers, StayMonotonicDuringAFullReload) {
  int full_reloads = 0;
  for (const std::uint64_t seed : seed_list_or({1, 8, 12, 27, 48, 131})) {
    Options options = concurrent_reads(seed, {Fault::state_reorders});
    options.changes_kept = 5;
    const Result r = SimulatedCluster(options).run();
    EXPECT_THAT(r, has_no_violations()) << "seed " << seed;
    EXPECT_THAT(r, has_no_unfinished_jobs()) << "seed " << seed;
    full_reloads += r.compacted_watches;
  }
  EXPECT_GT(full_reloads, 10);
}

// Reads stay monotonic while machines, controllers and links fail at random.
TEST(Answers, StayMonotonicUnderRandomFaults) {
  EXPECT_EQ(seeds_with_violations({1, 2, 3, 4, 5, 6}, {Fault::state_reorders}, true), 0);
}

}  // namespace
}  // namespace scheduler::sim
