// Services: what is accepted and when, restarts, and cutting records to the state service's limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "fleet/machine_groups.h"
#include "membership/format_switch.h"
#include "scheduling/range_split.h"
#include "support/single_controller_test.h"
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

class SingleControllerJobs : public SingleControllerTest {
 protected:
  std::uint64_t post(const std::string& body) {
    const std::uint64_t request = next_++;
    controller_->on_request(now_, request, {"POST", "/v1/jobs", body});
    pump();
    return request;
  }
  std::string poll(const std::string& id) {
    const std::uint64_t request = next_++;
    controller_->on_request(now_, request, {"GET", "/v1/jobs/" + id, ""});
    run(200);
    return answers_[request].body;
  }
  void start_anew(const Settings& settings) {
    settings_ = settings;
    timeouts_.clear();
    state_ = sim::FakeStateService();
    controller_ = std::make_unique<Controller>(settings_, 9);
    controller_->start(now_, now_);
    run(3000);
    executes_commands_ = true;
    heartbeat(50);
    run(1000);
  }
};

TEST_F(SingleControllerJobs, AServiceIsReadAndBadOnesAreRefused) {
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
  start_anew(limited);
  const std::uint64_t more = post(service_body("req-000001", 4));
  const std::uint64_t just = post(service_body("req-000002", 3));
  const std::uint64_t partitioned =
      post(replaced(service_body("req-000003", 2), R"("scatter":false)",
                    R"("scatter":true)"));  // there is one zone
  run(500);
  EXPECT_EQ(status(more), 422);
  EXPECT_EQ(status(just), 201);
  EXPECT_EQ(status(partitioned), 422);
}

// Before every configured controller announces the format, at once and with a time to come back.
TEST_F(SingleControllerJobs, ServicesAreUnavailableUntilAllControllersReadThem) {
  Settings with_peer = settings_;
  with_peer.peers = {{"puffin-1", "a", "puffin-1:1"}};
  start_anew(with_peer);
  const std::uint64_t early = post(service_body("req-000001"));
  EXPECT_EQ(status(early), 503);
  EXPECT_GT(answers_[early].retry_after_s, 0);
  const std::uint64_t array = post(job_body("req-000002"));
  run(500);
  EXPECT_EQ(status(array), 201);

  // The other one joins: first as the production version, which announces nothing.
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
  // A live record of another process of that name says nothing about the one in the view.
  join(R"({"incarnation":"i0","epoch":1,"formats":2})");
  EXPECT_EQ(status(post(service_body("req-000003"))), 503);
  EXPECT_FALSE(state_.items.contains("formats"));
  join(R"({"incarnation":"i1","epoch":1,"formats":2})");
  EXPECT_TRUE(state_.items.contains("formats"));
  const std::uint64_t late = post(service_body("req-000003"));
  run(500);
  EXPECT_EQ(status(late), 201);
  // It stays on, whoever comes back.
  join(R"({"incarnation":"i1","epoch":1})");
  const std::uint64_t later = post(service_body("req-000004"));
  run(500);
  EXPECT_EQ(status(later), 201);
}

TEST_F(SingleControllerJobs, AControllerOfTheFirstFormatKnowsNoServices) {
  Settings former = settings_;
  former.record_format = wire::kFirstFormat;
  start_anew(former);
  EXPECT_EQ(status(post(service_body("req-000001"))), 400);
  EXPECT_FALSE(state_.items.contains("formats"));
  EXPECT_EQ(state_.items.at("live/puffin-0").value.find("formats"), std::string::npos);
}

// ---- restarts ----

TEST_F(SingleControllerJobs, CompletedReplicaRunsAgainAndServiceIsNeverDone) {
  start_anew(settings_);
  const std::uint64_t accepted = post(service_body("req-000001"));
  run(1000);
  EXPECT_EQ(status(accepted), 201);
  EXPECT_EQ(tasks_.size(), 2U);
  run(kServiceSettledMs);
  heartbeat(100);
  exit_cause_ = "done";
  const int before = starts_;
  tasks_.begin()->second = true;
  heartbeat(200);
  run(1000);
  EXPECT_GT(starts_, before);
  const std::string answer = poll("req-000001");
  EXPECT_EQ(answer.find(R"("status":"done")"), std::string::npos) << answer;
  EXPECT_NE(answer.find(R"("done":0)"), std::string::npos) << answer;
}

// The worker of the only machine keeps the result and ends every further attempt at once.
TEST_F(SingleControllerJobs, InstantExitsAreBackedOff) {
  start_anew(settings_);
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
  start_anew(settings_);
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
  FailureTracker health;
  const wire::TaskId replica{"req-000001", 3};
  health.on_result_kept(1000, "m", replica);
  EXPECT_TRUE(health.has_kept_result(1000 + 2 * kFailureMemoryMs, "m", replica));
  EXPECT_FALSE(health.has_kept_result(1000, "m", {"req-000001", 4}));  // it would run there
  EXPECT_FALSE(health.has_kept_result(1000, "m", {"req-000002", 3}));
  EXPECT_FALSE(health.has_kept_result(1000, "n", replica));
  health.on_early_exit(1000, "m", "req-000001");
  health.on_early_exit(2000, "n", "req-000001");
  EXPECT_GT(health.next_attempt_at("req-000001"), 2000);
  health.on_stable("req-000001");
  EXPECT_EQ(health.next_attempt_at("req-000001"), 0);
  health.forget_job("req-000001");
  EXPECT_FALSE(health.has_failed_on(3000, "m", "req-000001"));
  EXPECT_FALSE(health.has_kept_result(3000, "m", replica));
}

// ---- cutting records ----

wire::RangeRecord large_range(std::uint32_t tasks, std::uint32_t placed) {
  wire::RangeRecord range;
  range.owner = "puffin-0";
  range.begin = 100;
  range.end = 100 + tasks;
  range.done.assign(tasks, false);
  range.next_attempt = 7;
  for (std::uint32_t task = 0; task < tasks; ++task) {
    if (task < placed) {
      range.placed[100 + task] = {task % 5 + 1, "n-" + std::to_string(100'000 + task), 3,
                                  "puffin-1"};
    } else {
      range.done[task] = task % 3 == 0;
    }
  }
  return range;
}

TEST(RangeSplit, EveryTaskIsInJustOnePieceThatFits) {
  constexpr std::size_t kLimitBytes = 2048;
  for (const std::uint32_t placed : {0U, 1U, 60U, 260U, 400U}) {
    const wire::RangeRecord range = large_range(8192, placed);
    const auto pieces = split_to_fit(range, kLimitBytes);
    ASSERT_GT(pieces.size(), 1U);
    std::uint32_t next = range.begin;
    std::map<std::uint32_t, wire::Placement> all;
    for (const auto& piece : pieces) {
      EXPECT_LE(encode(piece).size(), kLimitBytes);
      EXPECT_EQ(piece.begin, next);
      EXPECT_EQ(piece.owner, range.owner);
      EXPECT_EQ(piece.next_attempt, range.next_attempt);
      for (std::uint32_t task = piece.begin; task < piece.end; ++task)
        EXPECT_EQ(piece.done[task - piece.begin], range.done[task - range.begin]);
      all.insert(piece.placed.begin(), piece.placed.end());
      next = piece.end;
    }
    EXPECT_EQ(next, range.end);
    EXPECT_EQ(all, range.placed);
  }
}

TEST(RangeSplit, FittingRangeIsUnchanged) {
  const wire::RangeRecord range = large_range(200, 20);
  const auto pieces = split_to_fit(range, 2048);
  ASSERT_EQ(pieces.size(), 1U);
  EXPECT_EQ(encode(pieces[0]), encode(range));
  EXPECT_EQ(split_to_fit(large_range(1, 1), 10).size(), 1U);  // nothing to cut
}

TEST(RangeSplit, TheLargestJobHasFewEnoughRanges) {
  for (const std::size_t kilobytes : {2, 4, 8, 16}) {
    const std::uint32_t tasks = tasks_per_range(kilobytes * 1024);
    EXPECT_LE((wire::kMaxTasks + tasks - 1) / tasks, 28U) << kilobytes;
    EXPECT_LE(encode(large_range(tasks, 0)).size(), kilobytes * 1024) << kilobytes;
  }
}

FleetRecords fleet_of(std::size_t machines) {
  FleetRecords fleet;
  for (std::size_t i = 0; i < machines; ++i) {
    const std::string id = "n-" + std::to_string(100'000 + i);
    fleet[3].machines[id] = {"10.1.0.17:9000", "yard-node", "centurion", true};
  }
  fleet[0];
  fleet[4];
  return fleet;
}

TEST(MachineGroups, EveryMachineIsInJustOneGroupThatFits) {
  GroupLimits limits;
  limits.machines = 18;
  limits.value_bytes = 2048;
  limits.records = 8;
  for (const std::size_t machines : {19U, 73U, 146U}) {
    const FleetRecords fleet = fleet_of(machines);
    const auto pieces = split_group(fleet, 3, limits);
    ASSERT_TRUE(pieces) << machines;
    EXPECT_LE(pieces->size(), limits.records);
    std::set<std::string> seen;
    for (const auto& [group, record] : *pieces) {
      EXPECT_TRUE(group == 3 || !fleet.contains(group)) << group;
      EXPECT_LE(encode(record).size(), limits.value_bytes);
      for (const auto& [id, machine] : record.machines) {
        EXPECT_TRUE(seen.insert(id).second) << id;
        EXPECT_EQ(machine, fleet.at(3).machines.at(id));
      }
    }
    EXPECT_EQ(seen.size(), machines);
  }
  EXPECT_FALSE(split_group(fleet_of(18), 3, limits));
  EXPECT_FALSE(split_group(fleet_of(18), 9, limits));
  // More than one transaction carries: left as it is, not half written.
  EXPECT_FALSE(split_group(fleet_of(400), 3, limits));
}

// While a group is cut, what was heard of its machines stands in records of the former group, and
// the two changes may be read in either order.
TEST(MachineGroups, ContactsFollowTheirMachinesInEitherOrder) {
  const wire::ShardRecord::Contact heard{"n-1:1", 5, wire::MachineState::quarantined, 9};
  wire::FleetRecord fleet;
  fleet.machines["n-1"] = {"n-1:1", "g", "a", false};
  wire::ShardRecord part;
  part.machines["n-1"] = heard;
  const wire::FleetRecord no_machines;
  const wire::ShardRecord nothing_heard;
  for (const bool removal_first : {true, false}) {
    Replica replica;
    replica.apply({wire::fleet_key(3), encode(fleet), 1});
    replica.apply({wire::shard_key("puffin-0", 3), encode(part), 2});
    auto change = [&](const std::string& from, const std::string& to, const std::string& left,
                      const std::string& moved, std::uint64_t version) {
      if (removal_first) replica.apply({from, left, version});
      replica.apply({to, moved, version});
      if (!removal_first) replica.apply({from, left, version});
    };
    auto check = [&] {
      const auto* machine = replica.machine("n-1");
      ASSERT_TRUE(machine);
      EXPECT_EQ(machine->incarnation, 5U);
      EXPECT_EQ(machine->state, wire::MachineState::quarantined);
    };
    change(wire::fleet_key(3), wire::fleet_key(7), encode(no_machines), encode(fleet), 3);
    EXPECT_EQ(replica.group_of("n-1"), 7U);
    check();
    change(wire::shard_key("puffin-0", 3), wire::shard_key("puffin-0", 7), encode(nothing_heard),
           encode(part), 4);
    check();
  }
}

// Large records that the former version has stored are cut once all controllers read the format,
// and the limits may fall at any moment after that.
TEST_F(SingleControllerJobs, OversizedRecordsAreSplitBeforeLimitsDrop) {
  Settings lower = settings_;
  lower.stored_value_kb = 8;
  lower.value_kb = 2;
  lower.txn_ops = 8;
  lower.state_write_rps = 28;
  Settings former = settings_;
  former.record_format = wire::kFirstFormat;
  start_anew(former);
  wire::FleetRecord fleet = fleet_of(70).at(3);
  fleet.machines["n-1"] = {"n-1:1", "g", "a", false};
  wire::ShardRecord part;
  for (const auto& [id, machine] : fleet.machines)
    part.machines[id] = {machine.address, 4, wire::MachineState::ready, 1};
  part.machines["n-100033"].state = wire::MachineState::quarantined;
  ASSERT_GT(encode(fleet).size(), 2048U);
  ASSERT_GT(encode(part).size(), 2048U);
  state_.transact(now_,
                  R"({"guards":[],"writes":[{"write":"fleet/0","v":)" + encode(fleet) +
                      R"(},{"write":"part/puffin-0/0","v":)" + encode(part) + "}]}",
                  [](int status, const std::string&) { ASSERT_EQ(status, 200); });
  run(500);
  settings_ = lower;
  restart();
  run(5000);
  std::set<std::string> machines;
  for (const auto& [key, item] : state_.items) {
    EXPECT_LE(item.value.size(), 2048U) << key;
    if (!key.starts_with(wire::kFleetPrefix)) continue;
    const auto record = wire::decode<wire::FleetRecord>(item.value);
    if (!record) continue;
    for (const auto& [id, machine] : record->machines) {
      EXPECT_TRUE(machines.insert(id).second) << id;
    }
  }
  EXPECT_EQ(machines.size(), 71U);
  const auto* machine = controller_->replica().machine("n-100033");
  ASSERT_TRUE(machine);
  EXPECT_EQ(machine->state, wire::MachineState::quarantined);
  EXPECT_EQ(machine->incarnation, 4U);
}

// More ranges than one transaction has conditions for: their job still ends, and all are removed.
TEST_F(SingleControllerJobs, AJobOfManyRangesEndsUnderLowLimits) {
  Settings low = settings_;
  low.value_kb = 2;
  low.txn_ops = 8;
  start_anew(low);
  constexpr std::uint32_t kRanges = 45;
  for (const bool cancelled : {false, true}) {
    const auto spec = wire::parse_job(job_body(cancelled ? "req-000002" : "req-000001"));
    ASSERT_TRUE(spec) << spec.error().text();
    wire::JobRecord job;
    job.spec = *spec;
    job.spec.tasks = kRanges;
    job.submitted_ms = now_;
    std::string writes;
    for (std::uint32_t number = 1; number <= kRanges; ++number) {
      wire::RangeRecord range;
      range.owner = "puffin-0";
      range.begin = number - 1;
      range.end = number;
      range.done.assign(1, !cancelled);
      writes += R"({"write":")" + wire::range_key(job.spec.id, number) + R"(","v":)" +
                encode(range) + "},";
    }
    job.cancelled = cancelled;
    writes += R"({"write":")" + wire::job_key(job.spec.id) + R"(","v":)" + encode(job) + "}";
    // As an earlier version left it, under higher limits.
    state_.revision++;
    rapidjson::Document doc;
    ASSERT_TRUE(wire::parse_object(R"({"writes":[)" + writes + "]}", doc));
    for (const auto& write : doc["writes"].GetArray()) {
      const std::string key = write["write"].GetString();
      state_.items[key] = {wire::text_of(write["v"]), state_.revision, 0};
      state_.change(key, state_.items[key].value);
    }
    run(5000);
    EXPECT_TRUE(state_.items.contains(wire::final_state_key(job.spec.id))) << cancelled;
    EXPECT_EQ(std::count_if(
                  state_.items.begin(), state_.items.end(),
                  [&](const auto& item) { return item.first.starts_with("range/" + job.spec.id); }),
              0)
        << cancelled;
  }
  EXPECT_EQ(state_.over_limits, 0);
}

}  // namespace
}  // namespace scheduler
