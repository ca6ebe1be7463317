// Splitting of range records and machine groups that are larger than the state service's limits.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "fleet/machine_groups.h"
#include "membership/format_switch.h"
#include "scheduling/range_split.h"
#include "support/single_controller_jobs.h"

namespace scheduler {
namespace {

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

TEST(RangeSplit, EveryTaskIsInExactlyOnePieceThatFits) {
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
  EXPECT_EQ(split_to_fit(large_range(1, 1), 10).size(), 1U);  // a single task can't be split
}

TEST(RangeSplit, TheLargestJobHasAtMost28Ranges) {
  for (const std::size_t kilobytes : {2, 4, 8, 16}) {
    const std::uint32_t tasks = max_tasks_per_range(kilobytes * 1024);
    EXPECT_LE((wire::kMaxTasksPerJob + tasks - 1) / tasks, 28U) << kilobytes;
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

TEST(MachineGroups, EveryMachineIsInExactlyOneGroupThatFits) {
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
  // The pieces would not fit into one transaction: the group is not split, so that no part of a
  // split can be missing.
  EXPECT_FALSE(split_group(fleet_of(400), 3, limits));
}

// While a group is being split, the shard's record of a moved machine still belongs to the former
// group. A controller may read the removal from the former group and the addition to the new group
// in either order; the replica must keep the machine's incarnation and state in both cases.
TEST(MachineGroups, MovedMachineKeepsItsContactInEitherOrder) {
  const wire::ShardRecord::Contact contact{"n-1:1", 5, wire::MachineState::quarantined, 9};
  wire::FleetRecord fleet;
  fleet.machines["n-1"] = {"n-1:1", "g", "a", false};
  wire::ShardRecord shard;
  shard.machines["n-1"] = contact;
  const wire::FleetRecord no_machines;
  const wire::ShardRecord no_contacts;
  for (const bool removal_first : {true, false}) {
    Replica replica;
    replica.apply({wire::fleet_key(3), encode(fleet), 1});
    replica.apply({wire::shard_key("puffin-0", 3), encode(shard), 2});
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
    change(wire::shard_key("puffin-0", 3), wire::shard_key("puffin-0", 7), encode(no_contacts),
           encode(shard), 4);
    check();
  }
}

// Once all controllers read the new format, they split the large records that the former version
// stored, because the limits of the state service may drop at any time after that.
TEST_F(SingleControllerJobs, OversizedRecordsAreSplitBeforeLimitsDrop) {
  Settings lower = settings_;
  lower.current_value_kb = 8;
  lower.value_kb = 2;
  lower.txn_ops = 8;
  lower.state_write_rps = 28;
  Settings former = settings_;
  former.record_format = wire::kFirstFormat;
  start_with_empty_state(former);
  wire::FleetRecord fleet = fleet_of(70).at(3);
  fleet.machines["n-1"] = {"n-1:1", "g", "a", false};
  wire::ShardRecord shard;
  for (const auto& [id, machine] : fleet.machines)
    shard.machines[id] = {machine.address, 4, wire::MachineState::ready, 1};
  shard.machines["n-100033"].state = wire::MachineState::quarantined;
  ASSERT_GT(encode(fleet).size(), 2048U);
  ASSERT_GT(encode(shard).size(), 2048U);
  state_.transact(now_,
                  R"({"guards":[],"writes":[{"write":"fleet/0","v":)" + encode(fleet) +
                      R"(},{"write":"part/puffin-0/0","v":)" + encode(shard) + "}]}",
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

// A job with more ranges than one transaction allows conditions still reaches its final state, and
// all its range records are removed.
TEST_F(SingleControllerJobs, JobWithManyRangesEndsUnderLowLimits) {
  Settings low = settings_;
  low.value_kb = 2;
  low.txn_ops = 8;
  start_with_empty_state(low);
  constexpr std::uint32_t kRanges = 45;
  for (const bool cancelled : {false, true}) {
    wire::JobRecord job;
    const auto spec = wire::parse_job(job_body(cancelled ? "req-000002" : "req-000001"));
    ASSERT_TRUE(spec) << spec.error().text();
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
    // Stores the records directly, as an earlier version did under higher limits.
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
  EXPECT_EQ(state_.oversized_txns, 0);
}

}  // namespace
}  // namespace scheduler
