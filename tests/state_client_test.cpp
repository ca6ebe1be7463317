// Tests of the state client against a fake state service: session lease, watch, transactions and
// barrier reads.
#include "state/state_client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sim/fake_state_service.h"

namespace scheduler {
namespace {

constexpr Ms kStepMs = 20;

// Replies arrive one step after the request, like those of a network, and never during the call.
class StateClientTest : public testing::Test {
 protected:
  struct SentRequest {
    Ms at;
    Call call;
  };
  struct PendingReply {
    Ms due;
    ResultHandler done;
    HttpResult http_result;
  };

  static Settings client_settings() {
    Settings settings;
    settings.state_rps = 400;
    settings.state_write_rps = 150;
    settings.txn_ops = 24;
    return settings;
  }

  StateClientTest()
      : settings_(client_settings()),
        client_(
            settings_,
            [this](Target, std::string address, std::string method, std::string path,
                   std::string body, Ms timeout, ResultHandler done) {
              on_request({0, Target::state, std::move(address), std::move(method), std::move(path),
                          std::move(body), timeout},
                         std::move(done));
            },
            [this](Ms, const wire::StoredItem& item) { on_applied(item); },
            [](LogLevel, const std::string&) {}) {}

  // Advances the clock by `duration_ms`, with one tick of the client at each step.
  void run(Ms duration_ms) {
    if (!std::exchange(started_, true)) client_.start(now_);
    for (const Ms end = now_ + duration_ms; now_ < end; now_ += kStepMs) {
      client_.tick(now_);
      if (watches_are_served_ && !replies_are_lost_)
        state_.serve_watchers(now_, [](std::size_t) { return true; });
      deliver();
    }
  }

  // Writes or removes a key as another controller would.
  void put(const std::string& key, const std::string& value = "{}") {
    state_.items[key] = {value, ++state_.revision, 0};
    state_.change(key, value);
  }
  void remove(const std::string& key) {
    ++state_.revision;
    state_.items.erase(key);
    state_.change(key, std::nullopt);
  }

  // A transaction of one write; its result is recorded in results_ under the key.
  Transaction write(const std::string& key, const std::string& value = "{}") {
    Transaction transaction;
    transaction.writes = {{key, value, std::nullopt}};
    transaction.done = [this, key](Ms, TxnResult result, const std::vector<std::string>&) {
      EXPECT_TRUE(results_.emplace(key, result).second) << key << " was reported twice";
    };
    return transaction;
  }
  std::optional<TxnResult> result(const std::string& key) const {
    auto it = results_.find(key);
    return it == results_.end() ? std::nullopt : std::optional(it->second);
  }

  // Requests sent so far whose path starts with `path`.
  std::vector<SentRequest> requests_to(const std::string& path) const {
    std::vector<SentRequest> matching;
    std::copy_if(sent_requests_.begin(), sent_requests_.end(), std::back_inserter(matching),
                 [&](const SentRequest& s) { return s.call.path.starts_with(path); });
    return matching;
  }
  // Number of writes in each transaction request, in the order of sending.
  std::vector<unsigned> write_counts_of_requests() const {
    std::vector<unsigned> write_counts;
    for (const auto& s : requests_to(wire::kTransactionPath)) {
      rapidjson::Document doc;
      EXPECT_TRUE(wire::parse_object(s.call.body, doc));
      write_counts.push_back(doc["writes"].Size());
    }
    return write_counts;
  }

  Ms now_ = 1000;
  Settings settings_;
  sim::FakeStateService state_;
  bool replies_are_lost_ = false;   // every reply is lost; requests fail at their timeout
  bool watches_are_served_ = true;  // if false, watches stay open
  Ms transaction_reply_delay_ms_ = kStepMs;
  std::map<std::string, std::string> replica_items_;  // items applied by the client, by key
  std::vector<std::string> applied_keys_;             // keys in the order of application
  StateClient client_;

 private:
  void on_request(const Call& call, ResultHandler done) {
    sent_requests_.push_back({now_, call});
    const Ms delay_ms = call.path == wire::kTransactionPath ? transaction_reply_delay_ms_ : kStepMs;
    if (replies_are_lost_) {
      replies_.push_back({now_ + call.timeout, std::move(done), {kNoReply, ""}});
      return;
    }
    state_.serve(now_, call, 0,
                 [this, delay_ms, done = std::move(done)](int status, const std::string& body) {
                   replies_.push_back({now_ + delay_ms, done, {status, body}});
                 });
  }

  void deliver() {
    std::vector<PendingReply> due;
    for (std::size_t i = 0; i < replies_.size();) {
      if (replies_[i].due <= now_) {
        due.push_back(std::move(replies_[i]));
        replies_.erase(replies_.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
    for (auto& reply : due) reply.done(now_, reply.http_result);
  }

  void on_applied(const wire::StoredItem& item) {
    applied_keys_.push_back(item.key);
    if (item.value) {
      replica_items_[item.key] = *item.value;
    } else {
      replica_items_.erase(item.key);
    }
  }

  bool started_ = false;
  std::vector<SentRequest> sent_requests_;
  std::vector<PendingReply> replies_;
  std::map<std::string, TxnResult> results_;
};

// ---- session lease ----

TEST_F(StateClientTest, SessionLeaseIsRenewedBeforeItEnds) {
  run(500);
  const std::uint64_t first = client_.lease_id();
  ASSERT_NE(first, 0U);
  run(20'000);
  EXPECT_EQ(client_.lease_id(), first);
  EXPECT_TRUE(state_.session_leases.contains(first));
}

TEST_F(StateClientTest, LostSessionLeaseIsReplaced) {
  run(500);
  const std::uint64_t first = client_.lease_id();
  state_.session_leases.clear();
  run(2000);
  EXPECT_TRUE(client_.lease_valid());
  EXPECT_NE(client_.lease_id(), first);
  EXPECT_TRUE(state_.session_leases.contains(client_.lease_id()));
}

TEST_F(StateClientTest, WriteUnderALostLeaseIsRefusedAndTheLeaseReplacedAtOnce) {
  run(500);
  const std::uint64_t first = client_.lease_id();
  state_.session_leases.clear();
  Transaction announce = write("live/a");
  announce.writes.front().lease_id = first;
  client_.submit(std::move(announce));
  run(5 * kStepMs);
  EXPECT_EQ(result("live/a"), TxnResult::refused);
  EXPECT_EQ(client_.rejections(), 0U);
  EXPECT_NE(client_.lease_id(), first);
}

TEST_F(StateClientTest, SessionLeaseIsNotRenewedWhileNoRepliesCome) {
  run(3000);
  replies_are_lost_ = true;
  run(10'000);
  const std::size_t renewals = requests_to("/holds/").size();
  run(10'000);
  EXPECT_EQ(requests_to("/holds/").size(), renewals);
  EXPECT_FALSE(client_.answering(now_));
}

// ---- full load and watch ----

TEST_F(StateClientTest, IsLoadedOnceTheWatchHasPassedEveryPage) {
  for (int i = 0; i < 300; ++i) put("job/" + std::to_string(i));
  watches_are_served_ = false;
  run(6 * kStepMs);
  put("quota/t");  // between the first page and the last
  run(1000);
  EXPECT_TRUE(replica_items_.contains("quota/t"));
  EXPECT_FALSE(client_.loaded());
  watches_are_served_ = true;
  run(2 * kStepMs);
  EXPECT_TRUE(client_.loaded());
  EXPECT_EQ(client_.applied_revision(), state_.revision);
  EXPECT_EQ(replica_items_.size(), 301U);
}

TEST_F(StateClientTest, WatchThatFallsBehindIsReopened) {
  run(1000);
  state_.watchers.clear();  // its reply is lost
  put("job/a");
  std::optional<bool> succeeded;
  client_.barrier_read(now_, 0, [&](Ms, bool ok) { succeeded = ok; });
  run(400);
  EXPECT_EQ(succeeded, std::nullopt);
  run(1000);
  EXPECT_EQ(succeeded, true);
  EXPECT_TRUE(replica_items_.contains("job/a"));
}

TEST_F(StateClientTest, WatchFromACompactedRevisionIsFollowedByAFullRead) {
  put("job/a");
  put("job/b");
  run(1000);
  ASSERT_EQ(replica_items_.size(), 2U);
  state_.watchers.clear();
  state_.changes_kept = 1;
  remove("job/a");
  put("job/c");
  put("job/d");
  client_.barrier_read(now_, 0, [](Ms, bool) {});
  run(3000);
  EXPECT_EQ(state_.compacted_watches, 1);
  EXPECT_TRUE(client_.loaded());
  EXPECT_EQ(client_.applied_revision(), state_.revision);
  EXPECT_FALSE(replica_items_.contains("job/a"));
  EXPECT_EQ(client_.version("job/a"), 0U);
  EXPECT_EQ(replica_items_.size(), 3U);
}

// Guards against a controller that never learns of its own live record: the record was missing in a
// full read, and rejoining wrote it with the first change after that read.
TEST_F(StateClientTest, KeyMissingInAFullReadMayExistFromTheNextRevisionOn) {
  put("live/a");
  run(1000);
  ASSERT_EQ(client_.version("live/a"), 1U);
  state_.watchers.clear();
  state_.changes_kept = 1;
  remove("live/a");
  put("job/b");
  put("job/c");
  client_.barrier_read(now_, 0, [](Ms, bool) {});
  run(3000);
  ASSERT_EQ(state_.compacted_watches, 1);
  ASSERT_EQ(client_.version("live/a"), 0U);
  ASSERT_EQ(client_.applied_revision(), 4U);
  put("live/a");
  run(200);
  EXPECT_EQ(client_.version("live/a"), 5U);
  EXPECT_TRUE(replica_items_.contains("live/a"));
}

TEST_F(StateClientTest, LateReplyToAnOwnWriteDoesNotRecreateARemovedKey) {
  run(1000);
  transaction_reply_delay_ms_ = 1500;
  client_.submit(write("job/a"));
  run(200);
  ASSERT_TRUE(replica_items_.contains("job/a"));  // applied by the watch
  remove("job/a");
  run(200);
  ASSERT_FALSE(replica_items_.contains("job/a"));
  ASSERT_EQ(result("job/a"), std::nullopt);
  run(1500);
  EXPECT_EQ(result("job/a"), TxnResult::committed);
  EXPECT_FALSE(replica_items_.contains("job/a"));
  EXPECT_EQ(client_.version("job/a"), 0U);
}

TEST_F(StateClientTest, LateWatchEventDoesNotRecreateAKeyRemovedByAnOwnWrite) {
  run(1000);
  watches_are_served_ = false;
  put("job/a");
  Transaction removal = write("job/a");
  removal.writes.front().value.reset();
  client_.submit(std::move(removal));
  run(200);
  ASSERT_EQ(result("job/a"), TxnResult::committed);
  ASSERT_EQ(client_.applied_revision(), 0U);
  watches_are_served_ = true;
  run(200);
  EXPECT_EQ(client_.applied_revision(), state_.revision);
  // Only the removal is applied.
  EXPECT_EQ(std::count(applied_keys_.begin(), applied_keys_.end(), "job/a"), 1);
}

TEST_F(StateClientTest, OwnWriteIsAppliedBeforeTheWatchDeliversIt) {
  run(1000);
  watches_are_served_ = false;
  client_.submit(write("job/a", R"({"x":1})"));
  run(200);
  EXPECT_EQ(replica_items_["job/a"], R"({"x":1})");
  EXPECT_FALSE(client_.has_applied("job/a"));
  watches_are_served_ = true;
  run(200);
  EXPECT_TRUE(client_.has_applied("job/a"));
  EXPECT_EQ(std::count(applied_keys_.begin(), applied_keys_.end(), "job/a"), 1);
}

// ---- barrier reads ----

TEST_F(StateClientTest, BarrierReadSucceedsOnlyOnceTheWatchHasReachedItsRevision) {
  run(1000);
  watches_are_served_ = false;
  put("job/a");
  std::optional<bool> succeeded;
  client_.barrier_read(now_, 0, [&](Ms, bool ok) {
    succeeded = ok;
    EXPECT_TRUE(replica_items_.contains("job/a"));
  });
  run(400);
  EXPECT_EQ(succeeded, std::nullopt);
  watches_are_served_ = true;
  run(3 * kStepMs);
  EXPECT_EQ(succeeded, true);
}

TEST_F(StateClientTest, BarrierReadsShareARequest) {
  run(1000);
  const std::size_t before = requests_to("/store/barrier").size();
  int succeeded = 0;
  for (int i = 0; i < 50; ++i) client_.barrier_read(now_, 0, [&](Ms, bool ok) { succeeded += ok; });
  run(200);
  EXPECT_EQ(succeeded, 50);
  EXPECT_LE(requests_to("/store/barrier").size(), before + 2);
}

TEST_F(StateClientTest, BarrierReadFailsAtItsDeadline) {
  run(1000);
  watches_are_served_ = false;
  put("job/a");
  std::optional<bool> succeeded;
  client_.barrier_read(now_, now_ + 300, [&](Ms, bool ok) { succeeded = ok; });
  run(280);
  EXPECT_EQ(succeeded, std::nullopt);
  run(3 * kStepMs);
  EXPECT_EQ(succeeded, false);
}

TEST_F(StateClientTest, ProcessPauseFailsBarrierReadsAndIgnoresRepliesToEarlierRequests) {
  run(1000);
  watches_are_served_ = false;
  put("job/a");
  std::optional<bool> waiting_result;
  std::optional<bool> in_flight_result;
  client_.barrier_read(now_, 0, [&](Ms, bool ok) { waiting_result = ok; });
  run(200);
  client_.barrier_read(now_, 0, [&](Ms, bool ok) { in_flight_result = ok; });
  now_ += 8000;
  client_.on_pause(now_);
  EXPECT_EQ(waiting_result, false);
  EXPECT_FALSE(client_.answering(now_));
  run(kStepMs);  // delivers the reply to the request sent before the pause
  EXPECT_EQ(in_flight_result, false);
  EXPECT_FALSE(client_.answering(now_));
  run(1000);
  EXPECT_TRUE(client_.answering(now_));
}

TEST_F(StateClientTest, BarrierReadIsRepeatedUntilItSucceedsAfterAFailedWrite) {
  run(1000);
  replies_are_lost_ = true;
  bool settled = false;
  client_.barrier_read_with_retries(now_, [&](Ms) { settled = true; });
  run(5000);
  EXPECT_FALSE(settled);
  replies_are_lost_ = false;
  run(3000);
  EXPECT_TRUE(settled);
}

// ---- transactions ----

TEST_F(StateClientTest, IndependentTransactionsShareARequestWithinTheLimitOnWrites) {
  settings_.txn_ops = 4;
  run(1000);
  for (int i = 0; i < 6; ++i) client_.submit(write("job/" + std::to_string(i)));
  run(200);
  EXPECT_EQ(write_counts_of_requests(), (std::vector<unsigned>{4, 2}));
  for (int i = 0; i < 6; ++i)
    EXPECT_EQ(result("job/" + std::to_string(i)), TxnResult::committed) << i;
}

TEST_F(StateClientTest, GroupStaysWithinTheLimitOnBytes) {
  run(1000);
  const std::string value = R"({"x":")" + std::string(7000, 'x') + R"("})";
  for (int i = 0; i < 10; ++i) client_.submit(write("job/" + std::to_string(i), value));
  run(200);
  EXPECT_EQ(write_counts_of_requests(), (std::vector<unsigned>{8, 2}));
  for (const auto& s : requests_to(wire::kTransactionPath))
    EXPECT_LE(s.call.body.size(), wire::kMaxTransactionBytes);
}

TEST_F(StateClientTest, GroupStaysWithinTheLimitOnConditions) {
  settings_.txn_ops = 2;
  run(1000);
  for (int i = 0; i < 2; ++i) {
    Transaction transaction = write("job/" + std::to_string(i));
    for (int n = 0; n < 5; ++n)
      transaction.conditions.push_back({"none/" + std::to_string(i) + std::to_string(n), 0});
    client_.submit(std::move(transaction));
  }
  run(200);
  EXPECT_EQ(write_counts_of_requests(), (std::vector<unsigned>{1, 1}));
}

TEST_F(StateClientTest, TransactionThatDependsOnAnotherIsSentLater) {
  run(1000);
  client_.submit(write("job/a"));
  Transaction dependent = write("job/b");
  dependent.conditions = {{"job/a", 1}};
  client_.submit(std::move(dependent));
  client_.submit(write("job/c"));
  run(200);
  EXPECT_EQ(write_counts_of_requests(), (std::vector<unsigned>{2, 1}));
  EXPECT_EQ(result("job/b"), TxnResult::committed);
}

TEST_F(StateClientTest, ConflictFailsOnlyTheTransactionsWhoseConditionFailed) {
  run(1000);
  Transaction stale = write("job/a");
  stale.conditions = {{"job/a", 7}};
  client_.submit(std::move(stale));
  Transaction valid = write("job/b");
  valid.conditions = {client_.unchanged("job/b")};
  client_.submit(std::move(valid));
  run(200);
  EXPECT_EQ(write_counts_of_requests(), (std::vector<unsigned>{2, 1}));
  EXPECT_EQ(result("job/a"), TxnResult::conflict);
  EXPECT_EQ(result("job/b"), TxnResult::committed);
  EXPECT_FALSE(state_.items.contains("job/a"));
}

TEST_F(StateClientTest, OversizedTransactionIsRejectedAfterADelayWithoutHoldingUpOthers) {
  settings_.txn_ops = 4;
  run(1000);
  Transaction large = write("job/large");
  for (int i = 0; i < 4; ++i)
    large.writes.push_back({"range/large/" + std::to_string(i), "{}", std::nullopt});
  client_.submit(std::move(large));
  client_.submit(write("job/a"));
  run(100);
  EXPECT_EQ(result("job/a"), TxnResult::committed);
  run(kRejectedRetryDelayMs - 300);
  EXPECT_EQ(result("job/large"), std::nullopt);
  run(600);
  EXPECT_EQ(result("job/large"), TxnResult::rejected);
  EXPECT_EQ(write_counts_of_requests(), (std::vector<unsigned>{1}));
}

TEST_F(StateClientTest, OversizedTransactionThatAUserWaitsForIsRejectedAtOnce) {
  run(1000);
  Transaction large = write("job/large", R"({"x":")" + std::string(60'000, 'x') + R"("})");
  large.deadline = now_ + 10'000;
  client_.submit(std::move(large));
  run(100);
  EXPECT_EQ(result("job/large"), TxnResult::rejected);
}

TEST_F(StateClientTest, TransactionThatTheServiceRejectsDoesNotFailThoseSentWithIt) {
  run(1000);
  client_.submit(write("job/large", R"({"x":")" + std::string(9000, 'x') + R"("})"));
  client_.submit(write("job/a"));
  run(300);
  EXPECT_EQ(result("job/a"), TxnResult::committed);
  EXPECT_EQ(result("job/large"), std::nullopt);
  EXPECT_EQ(client_.rejections(), 2U);  // once for the group, once for the transaction alone
  run(kRejectedRetryDelayMs);
  EXPECT_EQ(result("job/large"), TxnResult::rejected);
}

TEST_F(StateClientTest, WritesStayWithinTheRateOfTheService) {
  state_.set_limits(now_, {24, 8192, settings_.state_write_rps});
  run(1000);
  for (int i = 0; i < 600; ++i) client_.submit(write("job/" + std::to_string(i)));
  run(2000);
  EXPECT_EQ(client_.throttles(), 0U);
  EXPECT_LE(state_.writes, 450U);
  EXPECT_GE(state_.writes, 350U);
  EXPECT_FALSE(client_.has_write_headroom(now_));
  run(3000);
  EXPECT_EQ(state_.writes, 600U);
  EXPECT_EQ(client_.throttles(), 0U);
  EXPECT_TRUE(client_.has_write_headroom(now_));
}

TEST_F(StateClientTest, BackgroundWritesLeaveRateForUrgentWrites) {
  run(1000);
  for (int i = 0; i < 600; ++i) client_.submit(write("job/" + std::to_string(i)));
  run(500);
  ASSERT_GT(client_.queued(), 100U);
  Transaction urgent = write("job/urgent");
  urgent.urgent = true;
  for (int i = 0; i < 19; ++i)
    urgent.writes.push_back({"range/urgent/" + std::to_string(i), "{}", std::nullopt});
  client_.submit(std::move(urgent));
  run(4 * kStepMs);
  EXPECT_EQ(result("job/urgent"), TxnResult::committed);
}

TEST_F(StateClientTest, ThrottledTransactionsAreSentAgain) {
  state_.set_limits(now_, {24, 8192, 10});
  run(1000);
  for (int i = 0; i < 20; ++i) client_.submit(write("job/" + std::to_string(i)));
  settings_.txn_ops = 10;
  run(200);
  ASSERT_GT(client_.throttles(), 0U);
  run(4000);
  EXPECT_EQ(client_.queued(), 0U);
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(result("job/" + std::to_string(i)), TxnResult::committed) << i;
}

TEST_F(StateClientTest, TransactionsAreRefusedAtOnceWhileTheServiceDoesNotAnswer) {
  run(1000);
  replies_are_lost_ = true;
  run(10'000);
  client_.submit(write("job/a"));
  run(kStepMs);
  EXPECT_EQ(result("job/a"), TxnResult::refused);
}

TEST_F(StateClientTest, LostReplyLeavesTheResultUnknown) {
  run(1000);
  replies_are_lost_ = true;
  client_.submit(write("job/a"));
  run(3000);
  EXPECT_EQ(result("job/a"), TxnResult::unknown);
}

}  // namespace
}  // namespace scheduler
