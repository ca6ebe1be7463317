// Compatibility of the formats between the production version and this version during a rolling
// upgrade. The production version wrote the fixtures (fixtures/production/README.md).
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <limits>
#include <sstream>

#include "state/replica.h"
#include "wire/messages.h"
#include "wire/peer.h"
#include "wire/records.h"

namespace scheduler::wire {
namespace {

constexpr std::uint64_t kLargest = std::numeric_limits<std::uint64_t>::max();

std::string fixture(const std::string& name) {
  const std::filesystem::path path =
      std::filesystem::path(SCHEDULER_FIXTURES) / "production" / name;
  std::ifstream in(path, std::ios::binary);
  EXPECT_TRUE(in) << path;
  std::ostringstream text;
  text << in.rdbuf();
  std::string out = text.str();
  EXPECT_TRUE(out.ends_with('\n')) << path;
  if (out.ends_with('\n')) out.pop_back();
  return out;
}

std::string hex_fixture(const std::string& name) {
  const std::string digits = fixture(name);
  EXPECT_EQ(digits.size() % 2, 0U);
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2)
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  return bytes;
}

// Decodes a record of the production version and checks that encoding it restores the text.
template <typename Record>
Record read_fixture(const std::string& name) {
  const std::string text = fixture(name);
  const auto record = decode<Record>(text);
  EXPECT_TRUE(record) << name << ": " << record.error().message();
  if (!record) return {};
  EXPECT_EQ(encode(*record), text) << name;
  return *record;
}

std::vector<MachineType> read_catalog_fixture(const std::string& name) {
  const std::string text = fixture(name);
  const auto types = parse_catalog(text);
  EXPECT_TRUE(types) << name << ": " << types.error().message();
  if (!types) return {};
  EXPECT_EQ(catalog_body(*types), text) << name;
  return *types;
}

std::string machine_name(std::uint32_t number) {
  const std::string digits = std::to_string(number);
  return "n-" + std::string(6 - digits.size(), '0') + digits;
}

// Address of the machine at a position in the fixtures `fleet*` and `part*`.
std::string machine_address(std::uint32_t position) {
  if (position % 9 == 8) return "";
  return "10.1." + std::to_string(position / 200) + "." + std::to_string(position % 200 + 1) +
         ":9000";
}

MachineRecord machine_at(std::uint32_t position) {
  MachineRecord machine;
  machine.address = machine_address(position);
  machine.type = position % 4 == 0 ? "g8" : "c16";
  machine.zone = std::string(1, static_cast<char>('a' + position % 3));
  machine.spot = position % 5 == 0;
  machine.state = static_cast<MachineState>(position % 5);
  return machine;
}

// Returns two copies of the object with an unknown field: at its start and at its end.
std::vector<std::string> add_unknown_field(const std::string& text) {
  const std::string field = R"("futureField":{"formats":[1,2.5,null],"text":"\u00e9"})";
  return {"{" + field + "," + text.substr(1), text.substr(0, text.size() - 1) + "," + field + "}"};
}

template <typename Record>
void expect_unknown_field_ignored(const std::string& name) {
  const std::string text = fixture(name);
  for (const std::string& extended : add_unknown_field(text)) {
    const auto record = decode<Record>(extended);
    ASSERT_TRUE(record) << extended << ": " << record.error().message();
    EXPECT_EQ(encode(*record), text);
  }
}

// ---- values of every fixture ----

TEST(UpgradeFormat, View) {
  const auto first = read_fixture<ViewRecord>("view_first.json");
  EXPECT_EQ(first.epoch, 1U);
  EXPECT_EQ(first.live, (std::map<std::string, std::string>{{"puffin-0", "00000000000000a1"}}));
  EXPECT_TRUE(first.departing.empty());
  EXPECT_TRUE(first.unreachable.empty());
  const auto full = read_fixture<ViewRecord>("view_full.json");
  EXPECT_EQ(full.epoch, 417U);
  EXPECT_EQ(full.live, (std::map<std::string, std::string>{{"puffin-0", "00000000000000a1"},
                                                           {"puffin-1", "7f3a9c0000000001"},
                                                           {"puffin-2", "ffffffffffffffff"}}));
  EXPECT_EQ(full.departing, (std::map<std::string, std::string>{{"puffin-3", "0123456789abcdef"},
                                                                {"puffin-4", "fedcba9876543210"}}));
  EXPECT_EQ(full.unreachable, (std::set<std::string>{"puffin-1", "puffin-2"}));
}

TEST(UpgradeFormat, Live) {
  const auto live = read_fixture<LiveRecord>("live.json");
  EXPECT_EQ(live.incarnation, "7f3a9c0000000001");
  EXPECT_EQ(live.epoch, 417U);
}

TEST(UpgradeFormat, ArrayJobWithEveryField) {
  const auto job = read_fixture<JobRecord>("job_array.json");
  EXPECT_EQ(job.spec.id, "req-000412");
  EXPECT_EQ(job.spec.job_class, "render");
  EXPECT_EQ(job.spec.team, "vision");
  EXPECT_EQ(job.spec.shape, JobShape::array);
  EXPECT_EQ(job.spec.priority, Priority::production);
  EXPECT_EQ(job.spec.tasks, 1000U);
  EXPECT_EQ(job.spec.cpus, 1.5);
  EXPECT_EQ(job.spec.gpus, 0.0);
  EXPECT_EQ(job.spec.memory_gb, 3.25);
  EXPECT_EQ(job.spec.image, "img-07");
  EXPECT_DOUBLE_EQ(job.spec.image_gb, 6.2);
  EXPECT_EQ(job.spec.types, (std::vector<std::string>{"c16", "g8"}));
  EXPECT_EQ(job.spec.zone, "b");
  EXPECT_FALSE(job.spec.one_zone);
  EXPECT_TRUE(job.spec.spread);
  EXPECT_TRUE(job.spec.spot);
  EXPECT_EQ(job.spec.estimate_s, 240.0);
  EXPECT_EQ(job.spec.checkpoint_interval_s, 30.5);
  EXPECT_EQ(job.spec.checkpoint_write_s, 4.0);
  EXPECT_EQ(job.spec.deadline_s, 900.0);
  EXPECT_EQ(job.submitted_ms, 1764651436123);
  EXPECT_TRUE(job.cancelled);
  ASSERT_EQ(job.initial_ranges.size(), 3U);
  EXPECT_EQ(job.initial_ranges[0].number, 1U);
  EXPECT_EQ(job.initial_ranges[0].begin, 0U);
  EXPECT_EQ(job.initial_ranges[0].end, 640U);
  EXPECT_EQ(job.initial_ranges[0].owner, "puffin-0");
  EXPECT_EQ(job.initial_ranges[1].number, 2U);
  EXPECT_EQ(job.initial_ranges[1].begin, 640U);
  EXPECT_EQ(job.initial_ranges[1].end, 960U);
  EXPECT_EQ(job.initial_ranges[1].owner, "puffin-1");
  EXPECT_EQ(job.initial_ranges[2].number, 4'000'000'000U);
  EXPECT_EQ(job.initial_ranges[2].begin, 960U);
  EXPECT_EQ(job.initial_ranges[2].end, 1000U);
  EXPECT_EQ(job.initial_ranges[2].owner, "puffin-2");
}

TEST(UpgradeFormat, ArrayJobWithRequiredFieldsOnly) {
  const auto job = read_fixture<JobRecord>("job_array_least.json");
  EXPECT_EQ(job.spec.id, "req-000000000000000007");
  EXPECT_EQ(job.spec.job_class, "adhoc");
  EXPECT_EQ(job.spec.team, "ops");
  EXPECT_EQ(job.spec.shape, JobShape::array);
  EXPECT_EQ(job.spec.priority, Priority::low);
  EXPECT_EQ(job.spec.tasks, 1U);
  EXPECT_DOUBLE_EQ(job.spec.cpus, 0.1);
  EXPECT_EQ(job.spec.gpus, 0.0);
  EXPECT_EQ(job.spec.memory_gb, 0.0);
  EXPECT_EQ(job.spec.image, "base");
  EXPECT_EQ(job.spec.image_gb, 0.0);
  EXPECT_TRUE(job.spec.types.empty());
  EXPECT_TRUE(job.spec.zone.empty());
  EXPECT_FALSE(job.spec.one_zone);
  EXPECT_FALSE(job.spec.spread);
  EXPECT_FALSE(job.spec.spot);
  EXPECT_EQ(job.spec.estimate_s, 0.0);
  EXPECT_EQ(job.spec.checkpoint_interval_s, 0.0);
  EXPECT_EQ(job.spec.checkpoint_write_s, 0.0);
  EXPECT_FALSE(job.spec.deadline_s.has_value());
  EXPECT_EQ(job.submitted_ms, 0);
  EXPECT_FALSE(job.cancelled);
  EXPECT_TRUE(job.initial_ranges.empty());
}

TEST(UpgradeFormat, GangJob) {
  const auto job = read_fixture<JobRecord>("job_gang.json");
  EXPECT_EQ(job.spec.id, "req-123456");
  EXPECT_EQ(job.spec.job_class, "train");
  EXPECT_EQ(job.spec.team, "speech");
  EXPECT_EQ(job.spec.shape, JobShape::gang);
  EXPECT_EQ(job.spec.priority, Priority::high);
  EXPECT_EQ(job.spec.tasks, 16U);
  EXPECT_EQ(job.spec.cpus, 8.0);
  EXPECT_EQ(job.spec.gpus, 1.0);
  EXPECT_EQ(job.spec.memory_gb, 64.0);
  EXPECT_EQ(job.spec.image, "img-11");
  EXPECT_EQ(job.spec.image_gb, 0.5);
  EXPECT_EQ(job.spec.types, std::vector<std::string>{"g8"});
  EXPECT_TRUE(job.spec.zone.empty());
  EXPECT_TRUE(job.spec.one_zone);
  EXPECT_FALSE(job.spec.spread);
  EXPECT_FALSE(job.spec.spot);
  EXPECT_EQ(job.spec.estimate_s, 100'000.0);
  EXPECT_EQ(job.spec.checkpoint_interval_s, 60.0);
  EXPECT_EQ(job.spec.checkpoint_write_s, 5.0);
  EXPECT_EQ(job.spec.deadline_s, 0.0);
  EXPECT_EQ(job.submitted_ms, -5);
  EXPECT_FALSE(job.cancelled);
  ASSERT_EQ(job.initial_ranges.size(), 1U);
  EXPECT_EQ(job.initial_ranges[0].number, 1U);
  EXPECT_EQ(job.initial_ranges[0].begin, 0U);
  EXPECT_EQ(job.initial_ranges[0].end, 16U);
  EXPECT_EQ(job.initial_ranges[0].owner, "puffin-1");
}

TEST(UpgradeFormat, JobWithManyInitialRanges) {
  const auto job = read_fixture<JobRecord>("job_many_shares.json");
  EXPECT_EQ(job.spec.id, "req-999999");
  EXPECT_EQ(job.spec.job_class, "sweep");
  EXPECT_EQ(job.spec.team, "vision");
  EXPECT_EQ(job.spec.shape, JobShape::array);
  EXPECT_EQ(job.spec.priority, Priority::normal);
  EXPECT_EQ(job.spec.tasks, 100'000U);
  EXPECT_EQ(job.spec.cpus, 1.0);
  EXPECT_EQ(job.spec.memory_gb, 2.0);
  EXPECT_EQ(job.spec.image, "img-01");
  EXPECT_EQ(job.spec.estimate_s, 12.0);
  EXPECT_EQ(job.submitted_ms, 1764651436123);
  EXPECT_FALSE(job.cancelled);
  ASSERT_EQ(job.initial_ranges.size(), 48U);
  for (std::uint32_t i = 0; i < 48; ++i) {
    EXPECT_EQ(job.initial_ranges[i].number, i + 1);
    EXPECT_EQ(job.initial_ranges[i].begin, i * 2000);
    EXPECT_EQ(job.initial_ranges[i].end, i == 47 ? 100'000U : (i + 1) * 2000);
    EXPECT_EQ(job.initial_ranges[i].owner, "puffin-" + std::to_string(i % 3));
  }
}

TEST(UpgradeFormat, RangeWithoutPlacements) {
  const auto range = read_fixture<RangeRecord>("range_untouched.json");
  EXPECT_EQ(range.owner, "puffin-0");
  EXPECT_EQ(range.begin, 0U);
  EXPECT_EQ(range.end, 1U);
  EXPECT_EQ(range.done, std::vector<bool>{false});
  EXPECT_TRUE(range.placed.empty());
  EXPECT_EQ(range.next_attempt, 1U);
  EXPECT_FALSE(range.stopping);
}

TEST(UpgradeFormat, RangeWithPlacementsAndDoneTasks) {
  const auto range = read_fixture<RangeRecord>("range_placed.json");
  EXPECT_EQ(range.owner, "puffin-1");
  EXPECT_EQ(range.begin, 100U);
  EXPECT_EQ(range.end, 110U);
  EXPECT_EQ(range.done,
            (std::vector<bool>{true, false, true, false, false, false, false, false, true, true}));
  EXPECT_EQ(range.done_count(), 4U);
  const std::map<std::uint32_t, Placement> placed{{101, {3, "n-000001", 2, "puffin-1"}},
                                                  {103, {4, "n-000001", 2, "puffin-1"}},
                                                  {104, {4, "n-000001", 3, "puffin-1"}},
                                                  {105, {1, "n-000002", 1, "puffin-0"}}};
  EXPECT_EQ(range.placed, placed);
  EXPECT_EQ(range.next_attempt, 5U);
  EXPECT_FALSE(range.stopping);
}

TEST(UpgradeFormat, RangeOfAGangBeingStopped) {
  const auto range = read_fixture<RangeRecord>("range_gang_stopping.json");
  EXPECT_EQ(range.owner, "puffin-1");
  EXPECT_EQ(range.begin, 0U);
  EXPECT_EQ(range.end, 4U);
  EXPECT_EQ(range.done, std::vector<bool>(4, false));
  ASSERT_EQ(range.placed.size(), 4U);
  for (std::uint32_t task = 0; task < 4; ++task) {
    const Placement expected{7, machine_name(31 + task), kLargest, "puffin-1"};
    EXPECT_EQ(range.placed.at(task), expected);
  }
  EXPECT_EQ(range.next_attempt, 8U);
  EXPECT_TRUE(range.stopping);
}

TEST(UpgradeFormat, LargestRangeAllDone) {
  const auto range = read_fixture<RangeRecord>("range_done_8192.json");
  EXPECT_EQ(range.owner, "puffin-2");
  EXPECT_EQ(range.begin, 8192U);
  EXPECT_EQ(range.end, 16384U);
  EXPECT_EQ(range.done, std::vector<bool>(8192, true));
  EXPECT_TRUE(range.complete());
  EXPECT_TRUE(range.placed.empty());
  EXPECT_EQ(range.next_attempt, 2U);
  EXPECT_FALSE(range.stopping);
}

TEST(UpgradeFormat, RangeWithHundredsOfPlacements) {
  constexpr std::uint32_t kBegin = 64'000;
  constexpr std::uint32_t kFirstPlaced = 64'700;
  constexpr std::uint32_t kPlacedCount = 260;
  EXPECT_GT(fixture("range_260_placements.json").size(), 7U * 1024);
  const auto range = read_fixture<RangeRecord>("range_260_placements.json");
  EXPECT_EQ(range.owner, "puffin-1");
  EXPECT_EQ(range.begin, kBegin);
  EXPECT_EQ(range.end, kBegin + 1024);
  ASSERT_EQ(range.done.size(), 1024U);
  for (std::uint32_t i = 0; i < 1024; ++i) EXPECT_EQ(range.done[i], i < 700 && i % 3 == 0) << i;
  ASSERT_EQ(range.placed.size(), kPlacedCount);
  for (std::uint32_t i = 0; i < kPlacedCount; ++i) {
    const Placement expected{10 + i % 3, machine_name(200 + i), 1 + i % 2,
                             i % 10 == 0 ? "puffin-0" : "puffin-1"};
    EXPECT_EQ(range.placed.at(kFirstPlaced + i), expected) << i;
  }
  EXPECT_EQ(range.next_attempt, 13U);
  EXPECT_FALSE(range.stopping);
}

TEST(UpgradeFormat, Fleet) {
  const auto fleet = read_fixture<FleetRecord>("fleet.json");
  ASSERT_EQ(fleet.machines.size(), 5U);
  for (std::uint32_t i = 0; i < 5; ++i)
    EXPECT_EQ(fleet.machines.at(machine_name(i)), machine_at(i)) << i;
  EXPECT_EQ(fleet.machines.at("n-000000").state, MachineState::ready);
  EXPECT_EQ(fleet.machines.at("n-000001").state, MachineState::quarantined);
  EXPECT_EQ(fleet.machines.at("n-000002").state, MachineState::draining);
  EXPECT_EQ(fleet.machines.at("n-000003").state, MachineState::lost);
  EXPECT_EQ(fleet.machines.at("n-000004").state, MachineState::terminated);
  const auto full = read_fixture<FleetRecord>("fleet_70_machines.json");
  ASSERT_EQ(full.machines.size(), 70U);
  for (std::uint32_t i = 0; i < 70; ++i)
    EXPECT_EQ(full.machines.at(machine_name(1000 + i)), machine_at(i)) << i;
}

TEST(UpgradeFormat, Shard) {
  const auto shard = read_fixture<ShardRecord>("part.json");
  ASSERT_EQ(shard.machines.size(), 5U);
  for (std::uint32_t i = 0; i < 5; ++i) {
    const ShardRecord::Contact expected{machine_address(i), i == 4 ? kLargest : i,
                                        static_cast<MachineState>(i), 400 + i};
    EXPECT_EQ(shard.machines.at(machine_name(i)), expected) << i;
  }
  const auto full = read_fixture<ShardRecord>("part_70_machines.json");
  ASSERT_EQ(full.machines.size(), 70U);
  for (std::uint32_t i = 0; i < 70; ++i) {
    const ShardRecord::Contact expected{machine_address(i), 1 + i % 4,
                                        static_cast<MachineState>(i % 5), 410 + i % 8};
    EXPECT_EQ(full.machines.at(machine_name(1000 + i)), expected) << i;
  }
}

TEST(UpgradeFormat, ShardGuard) { EXPECT_EQ(shard_guard_body("puffin-2"), fixture("claim.json")); }

TEST(UpgradeFormat, ScaleOut) {
  const auto scale_out = read_fixture<ScaleOutRequest>("hire.json");
  EXPECT_EQ(scale_out.name, "");  // the key has the name
  EXPECT_EQ(scale_out.type, "c16");
  EXPECT_EQ(scale_out.zone, "c");
  EXPECT_TRUE(scale_out.spot);
  EXPECT_EQ(scale_out.count, 50U);
}

TEST(UpgradeFormat, Quota) {
  const auto quota = read_fixture<QuotaRecord>("quota.json");
  ASSERT_EQ(quota.leases.size(), 3U);
  EXPECT_EQ(quota.leases.at("puffin-0").cpus, 12.5);
  EXPECT_EQ(quota.leases.at("puffin-0").gpus, 2.0);
  EXPECT_DOUBLE_EQ(quota.leases.at("puffin-1").cpus, 0.1);
  EXPECT_EQ(quota.leases.at("puffin-1").gpus, 0.0);
  EXPECT_EQ(quota.leases.at("puffin-3").cpus, 0.0);
  EXPECT_EQ(quota.leases.at("puffin-3").gpus, 0.0);
  ASSERT_EQ(quota.demand.size(), 2U);
  EXPECT_EQ(quota.demand.at("puffin-1").cpus, 64.0);
  EXPECT_EQ(quota.demand.at("puffin-1").gpus, 8.0);
  EXPECT_EQ(quota.demand.at("puffin-2").cpus, 0.0);
  EXPECT_EQ(quota.demand.at("puffin-2").gpus, 0.5);
  const auto empty = read_fixture<QuotaRecord>("quota_empty.json");
  EXPECT_TRUE(empty.leases.empty());
  EXPECT_TRUE(empty.demand.empty());
}

// A sum of decimal fractions may have no short decimal text. The production version reads such a
// number with an error in the last digits and writes the result, so the text changes when the
// record is first rewritten, and not after that.
TEST(UpgradeFormat, QuotaOfSumsIsRewrittenAsTheProductionVersionDoes) {
  const auto decoded = decode<QuotaRecord>(fixture("quota_sums.json"));
  ASSERT_TRUE(decoded) << decoded.error().message();
  const QuotaRecord& quota = *decoded;
  EXPECT_DOUBLE_EQ(quota.leases.at("puffin-0").cpus, 0.1 + 0.2);
  EXPECT_DOUBLE_EQ(quota.demand.at("puffin-1").cpus, 1.1 * 3);
  EXPECT_EQ(encode(quota), fixture("quota_sums_rewritten.json"));
  const auto rewritten = read_fixture<QuotaRecord>("quota_sums_rewritten.json");
  EXPECT_DOUBLE_EQ(rewritten.leases.at("puffin-0").cpus, 0.1 + 0.2);
  EXPECT_DOUBLE_EQ(rewritten.demand.at("puffin-1").cpus, 1.1 * 3);
}

TEST(UpgradeFormat, FinalState) {
  const auto done = read_fixture<FinalStateRecord>("over_done.json");
  EXPECT_TRUE(done.done);
  EXPECT_EQ(done.tasks, 1000U);
  const auto cancelled = read_fixture<FinalStateRecord>("over_cancelled.json");
  EXPECT_FALSE(cancelled.done);
  EXPECT_EQ(cancelled.tasks, 16U);
}

TEST(UpgradeFormat, Catalog) {
  const auto types = read_catalog_fixture("catalog.json");
  ASSERT_EQ(types.size(), 2U);
  EXPECT_EQ(types[0].name, "c16");
  EXPECT_EQ(types[0].cpus, 16.0);
  EXPECT_EQ(types[0].gpus, 0.0);
  EXPECT_EQ(types[0].memory_gb, 64.0);
  EXPECT_EQ(types[0].cache_gb, 100.0);
  EXPECT_EQ(types[0].fetch_gb_per_s, 0.25);
  EXPECT_DOUBLE_EQ(types[0].price, 0.8);
  EXPECT_DOUBLE_EQ(types[0].spot_price, 0.3);
  EXPECT_EQ(types[0].boot_s, 40.0);
  EXPECT_EQ(types[0].zones, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_EQ(types[1].name, "g8");
  EXPECT_EQ(types[1].cpus, 8.0);
  EXPECT_EQ(types[1].gpus, 8.0);
  EXPECT_EQ(types[1].memory_gb, 480.0);
  EXPECT_EQ(types[1].cache_gb, 100.0);
  EXPECT_EQ(types[1].fetch_gb_per_s, 0.25);
  EXPECT_EQ(types[1].price, 21.5);
  EXPECT_EQ(types[1].spot_price, 0.0);
  EXPECT_EQ(types[1].boot_s, 95.5);
  EXPECT_EQ(types[1].zones, std::vector<std::string>{"b"});
}

TEST(UpgradeFormat, GossipMessage) {
  const std::string bytes = hex_fixture("peer_hint.hex");
  const auto message = decode<GossipMessage>(bytes);
  ASSERT_TRUE(message) << message.error().message();
  EXPECT_EQ(message->from, "puffin-0");
  EXPECT_EQ(message->incarnation, "00000000000000a1");
  EXPECT_EQ(message->epoch, 417U);
  EXPECT_TRUE(message->state_service_answers);
  EXPECT_EQ(message->free_cpus, 123.5);
  EXPECT_EQ(message->sent_ms, 1764651436123U);
  EXPECT_EQ(encode(*message), bytes);
  const std::string silent_bytes = hex_fixture("peer_hint_silent_state.hex");
  const auto silent = decode<GossipMessage>(silent_bytes);
  ASSERT_TRUE(silent) << silent.error().message();
  EXPECT_EQ(silent->from, "puffin-1");
  EXPECT_EQ(silent->incarnation, "7f3a9c0000000001");
  EXPECT_EQ(silent->epoch, 0U);
  EXPECT_FALSE(silent->state_service_answers);
  EXPECT_EQ(silent->free_cpus, 0.0);
  EXPECT_EQ(silent->sent_ms, 0U);
  EXPECT_EQ(encode(*silent), silent_bytes);
}

TEST(UpgradeFormat, FixtureDirectoryHasExactlyTheExpectedFiles) {
  std::set<std::string> found;
  for (const auto& entry : std::filesystem::directory_iterator(
           std::filesystem::path(SCHEDULER_FIXTURES) / "production"))
    found.insert(entry.path().filename().string());
  const std::set<std::string> expected{"README.md",
                                       "catalog.json",
                                       "claim.json",
                                       "fleet.json",
                                       "fleet_70_machines.json",
                                       "hire.json",
                                       "job_array.json",
                                       "job_array_least.json",
                                       "job_gang.json",
                                       "job_many_shares.json",
                                       "live.json",
                                       "over_cancelled.json",
                                       "over_done.json",
                                       "part.json",
                                       "part_70_machines.json",
                                       "peer_hint.hex",
                                       "peer_hint_silent_state.hex",
                                       "quota.json",
                                       "quota_empty.json",
                                       "quota_sums.json",
                                       "quota_sums_rewritten.json",
                                       "range_260_placements.json",
                                       "range_done_8192.json",
                                       "range_gang_stopping.json",
                                       "range_placed.json",
                                       "range_untouched.json",
                                       "view_first.json",
                                       "view_full.json"};
  EXPECT_EQ(found, expected);
}

// ---- additions of later versions ----

TEST(UpgradeFormat, UnknownFieldsAreIgnored) {
  expect_unknown_field_ignored<ViewRecord>("view_full.json");
  expect_unknown_field_ignored<LiveRecord>("live.json");
  expect_unknown_field_ignored<JobRecord>("job_array.json");
  expect_unknown_field_ignored<JobRecord>("job_gang.json");
  expect_unknown_field_ignored<RangeRecord>("range_placed.json");
  expect_unknown_field_ignored<FleetRecord>("fleet.json");
  expect_unknown_field_ignored<ShardRecord>("part.json");
  expect_unknown_field_ignored<ScaleOutRequest>("hire.json");
  expect_unknown_field_ignored<QuotaRecord>("quota.json");
  expect_unknown_field_ignored<FinalStateRecord>("over_done.json");
  for (const std::string& extended : add_unknown_field(fixture("catalog.json"))) {
    const auto types = parse_catalog(extended);
    ASSERT_TRUE(types) << types.error().message();
    EXPECT_EQ(catalog_body(*types), fixture("catalog.json"));
  }
}

TEST(UpgradeFormat, LiveRecordWithARecordFormatIsRead) {
  const auto live =
      decode<LiveRecord>(R"({"incarnation":"7f3a9c0000000001","epoch":418,"formats":2})");
  ASSERT_TRUE(live) << live.error().message();
  EXPECT_EQ(live->incarnation, "7f3a9c0000000001");
  EXPECT_EQ(live->epoch, 418U);
}

TEST(UpgradeFormat, GossipMessageWithAnAdditionalEntryIsRead) {
  const std::string bytes = hex_fixture("peer_hint.hex");
  constexpr char kMapOfSix = '\xa6';
  constexpr char kMapOfSeven = '\xa7';
  ASSERT_EQ(bytes[0], kMapOfSix);
  // The additional entries are "formats": 2 and "formats": {"a": [1]}.
  for (const std::string entry : {"\x67"
                                  "formats"
                                  "\x02",
                                  "\x67"
                                  "formats"
                                  "\xa1\x61"
                                  "a"
                                  "\x81\x01"}) {
    for (const std::string& extended :
         {kMapOfSeven + bytes.substr(1) + entry, kMapOfSeven + entry + bytes.substr(1)}) {
      const auto message = decode<GossipMessage>(extended);
      ASSERT_TRUE(message) << message.error().message();
      EXPECT_EQ(encode(*message), bytes);
    }
  }
}

TEST(UpgradeFormat, JobOfAnUnknownShapeIsRefused) {
  const std::string text = fixture("job_array.json");
  const std::string shape = R"("shape":"batch")";
  const auto at = text.find(shape);
  ASSERT_NE(at, std::string::npos);
  for (const std::string other : {R"("shape":"pile")", R"("shape":"")", R"("shape":2)",
                                  R"("shape":null)", R"("shape":["batch"])", R"("form":"batch")"}) {
    std::string changed = text;
    changed.replace(at, shape.size(), other);
    EXPECT_FALSE(decode<JobRecord>(changed)) << other;
    Replica replica;
    EXPECT_FALSE(replica.apply({"job/req-000412", changed, 1})) << other;
    EXPECT_EQ(replica.job("req-000412"), nullptr);
  }
}

// ---- unreadable records are ignored ----

// Returns the contents of a replica as text, as far as the records of filled_replica() affect them.
std::string contents(const Replica& replica) {
  std::string out = "view " + encode(replica.view());
  for (const auto& [name, live] : replica.live()) out += "\nlive " + name + encode(live);
  std::map<std::string, const Job*> jobs;
  for (const auto& [id, job] : replica.jobs()) jobs[id] = &job;
  for (const auto& [id, job] : jobs) {
    out += "\njob " + id + (job->known ? encode(job->record) : " unknown");
    out += " done " + std::to_string(job->done) + " placed " + std::to_string(job->placed);
    for (const auto& [number, range] : job->ranges) {
      out += "\nrange " + std::to_string(number) + encode(range);
      if (job->unrecorded_ranges.contains(number)) out += " unwritten";
    }
  }
  for (const auto& [group, fleet] : replica.fleet()) {
    out += "\nfleet " + std::to_string(group) + encode(fleet);
    if (const auto* shard = replica.shard("puffin-0", group)) out += " part " + encode(*shard);
  }
  wire::FleetRecord merged;
  merged.machines = replica.machines();
  out += "\nmachines " + encode(merged);
  for (const auto& [id, machine] : replica.machines())
    out += "\nmachine " + id + " session " + std::to_string(machine.incarnation) + " tasks " +
           std::to_string(replica.placed_on(id).size());
  for (const auto& id : replica.unrecorded_machines()) out += "\nunrecorded " + id;
  for (const auto& [name, scale_out] : replica.scale_out_requests())
    out += "\nhire " + name + encode(scale_out);
  for (const auto& [team, quota] : replica.quotas()) out += "\nquota " + team + encode(quota);
  for (const std::string team : {"vision", "speech", "ops", ""}) {
    const Usage usage = replica.usage(team);
    out += "\nusage " + team + " " + std::to_string(usage.cpus) + " " + std::to_string(usage.gpus);
  }
  out += "\ncatalog " + catalog_body(replica.catalog());
  if (const auto* final_state = replica.final_state("req-000001"))
    out += "\nover " + encode(*final_state);
  return out;
}

// One key of each record type, with the fixture that filled_replica() stores under it.
const std::pair<std::string, std::string> kRecordFixtures[] = {
    {"view", "view_full.json"},
    {"catalog", "catalog.json"},
    {"live/puffin-1", "live.json"},
    {"fleet/0", "fleet.json"},
    {"part/puffin-0/0", "part.json"},
    {"job/req-000412", "job_array.json"},
    {"range/req-000412/9", "range_placed.json"},
    {"hire/puffin-0-1", "hire.json"},
    {"quota/vision", "quota.json"},
    {"over/req-000001", "over_done.json"}};

Replica filled_replica() {
  Replica replica;
  std::uint64_t version = 0;
  for (const auto& [key, name] : kRecordFixtures)
    EXPECT_TRUE(replica.apply({key, fixture(name), ++version})) << key;
  EXPECT_TRUE(replica.apply({"claim/puffin-0", fixture("claim.json"), ++version}));
  return replica;
}

std::vector<std::string> undecodable_texts() {
  return {"",
          "{",
          "{}",
          "[]",
          "7",
          "null",
          "true",
          R"("text")",
          "\xff\xfe",
          std::string("\0{}", 3),
          R"({"futureField":1})",
          R"({"epoch":"1","live":{},"departed":{}})",
          R"({"epoch":1,"live":[],"departed":{}})",
          R"({"epoch":-1,"live":{},"departed":{}})",
          R"({"incarnation":7,"epoch":1})",
          R"({"m":7})",
          R"({"m":{"n-000001":{}}})",
          R"({"m":{"n-000001":["","t","z",1,5]}})",
          R"({"m":{"n-000001":["",1,5,1]}})",
          R"({"o":"x","b":3,"e":3,"d":"","n":1,"p":[]})",
          R"({"o":"x","b":0,"e":4,"d":"z","n":1,"p":[]})",
          R"({"o":"x","b":0,"e":4,"d":"0","n":1,"p":[["m",1,"g",9,1]]})",
          R"({"grants":{"a":[1]},"wanted":{}})",
          R"({"grants":{"a":[1,2,3]},"wanted":{}})",
          R"({"grants":{}})",
          R"({"type":"t","zone":"z","spot":1,"count":1})",
          R"({"done":1,"tasks":1})",
          R"({"fleets":{}})",
          R"({"fleets":[{"label":"t","cpus":1,"memGb":1}]})",
          std::string(60'000, '['),
          R"({"m":)" + std::string(60'000, '[')};
}

TEST(UpgradeFormat, UnreadableRecordsChangeNothing) {
  Replica replica = filled_replica();
  const std::string before = contents(replica);
  std::uint64_t version = 1000;
  for (const auto& [key, name] : kRecordFixtures) {
    for (const std::string& text : undecodable_texts()) {
      EXPECT_FALSE(replica.apply({key, text, ++version})) << key << " " << text.substr(0, 80);
      ASSERT_EQ(contents(replica), before) << key << " " << text.substr(0, 80);
    }
  }
}

TEST(UpgradeFormat, TruncatedRecordsChangeNothing) {
  Replica replica = filled_replica();
  const std::string before = contents(replica);
  std::uint64_t version = 1000;
  for (const auto& [key, name] : kRecordFixtures) {
    const std::string text = fixture(name);
    for (std::size_t n = 0; n < text.size(); ++n)
      EXPECT_FALSE(replica.apply({key, text.substr(0, n), ++version})) << key << " " << n;
    ASSERT_EQ(contents(replica), before) << key;
  }
}

// A record whose first value can't be decoded is not added to the replica.
TEST(UpgradeFormat, UnreadableRecordsAreNotAdded) {
  Replica replica;
  const std::string before = contents(replica);
  std::uint64_t version = 0;
  for (const auto& [key, name] : kRecordFixtures) {
    for (const std::string& text : undecodable_texts())
      EXPECT_FALSE(replica.apply({key, text, ++version})) << key << " " << text.substr(0, 80);
    ASSERT_EQ(contents(replica), before) << key;
  }
  EXPECT_FALSE(replica.has_catalog());
}

TEST(UpgradeFormat, UnknownKeysChangeNothing) {
  Replica replica = filled_replica();
  const std::string before = contents(replica);
  std::uint64_t version = 1000;
  for (const std::string key : {"",
                                "/",
                                "futureRecord",
                                "future/record",
                                "machine/n-000001",
                                "views",
                                "vie",
                                "catalogs",
                                "live",
                                "job",
                                "range/",
                                "range/x",
                                "range/req-000412",
                                "range/req-000412/",
                                "range/req-000412/x",
                                "range/req-000412/1x",
                                "range/req-000412/4294967296",
                                "range/req-1/1",
                                "fleet/",
                                "fleet/x",
                                "fleet/-1",
                                "fleet/1x",
                                "fleet/4294967296",
                                "part/",
                                "part/7",
                                "part/puffin-0/",
                                "part/puffin-0/x"}) {
    for (const auto& [known, name] : kRecordFixtures)
      EXPECT_FALSE(replica.apply({key, fixture(name), ++version})) << key << " " << name;
    EXPECT_FALSE(replica.apply({key, R"({"futureField":1})", ++version})) << key;
    EXPECT_FALSE(replica.apply({key, std::nullopt, ++version})) << key;
    ASSERT_EQ(contents(replica), before) << key;
  }
  for (const std::string& text : undecodable_texts())
    EXPECT_FALSE(replica.apply({"formats", text, ++version}));
  EXPECT_EQ(contents(replica), before);
}

// Controllers use only the version of a shard write guard, so any value is accepted.
TEST(UpgradeFormat, ShardGuardValuesAreNotDecoded) {
  Replica replica = filled_replica();
  const std::string before = contents(replica);
  std::uint64_t version = 1000;
  for (const std::string& text : undecodable_texts())
    EXPECT_TRUE(replica.apply({"claim/puffin-0", text, ++version}));
  EXPECT_EQ(contents(replica), before);
}

}  // namespace
}  // namespace scheduler::wire
