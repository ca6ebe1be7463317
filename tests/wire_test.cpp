// Wire formats: round trips, and bad input refused with a reason.
#include <gtest/gtest.h>

#include "wire/messages.h"
#include "wire/peer.h"
#include "wire/records.h"
#include "wire/state_service.h"

namespace scheduler::wire {
namespace {

std::string job_text(const std::string& replace = "", const std::string& with = "") {
  std::string t =
      R"({"id":"req-000412","queue":"train","crew":"vision","shape":"ensemble","rank":"high",)"
      R"("loads":16,"cpus":8.0,"gpus":1.0,"memGb":64.0,"kit":"img-07","pullGb":6.2,)"
      R"("fleets":["g8"],"yard":null,"together":true,"scatter":false,"standby":true,)"
      R"("haulS":240.0,"tipS":30.0,"stowS":4.0,"dueS":900.0,"unknown":[1,{"x":2}]})";
  if (!replace.empty()) {
    const auto at = t.find(replace);
    EXPECT_NE(at, std::string::npos) << replace;
    t.replace(at, replace.size(), with);
  }
  return t;
}

TEST(Wire, JobIsReadWithUnknownFieldsIgnored) {
  JobSpec job;
  ASSERT_EQ(parse_job(job_text(), job), "");
  EXPECT_EQ(job.id, "req-000412");
  EXPECT_TRUE(job.is_gang());
  EXPECT_EQ(job.priority, Priority::high);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.types, std::vector<std::string>{"g8"});
  EXPECT_EQ(job.zone, "");
  EXPECT_EQ(job.deadline_s, 900.0);
}

TEST(Wire, BadJobsAreRefusedWithAReason) {
  const std::pair<const char*, const char*> cases[] = {{R"("req-000412")", R"("job-000412")"},
                                                       {R"("req-000412")", R"("req-12")"},
                                                       {R"("req-000412")", R"("req-0004x2")"},
                                                       {R"("ensemble")", R"("pile")"},
                                                       {R"("high")", R"("highest")"},
                                                       {R"("loads":16)", R"("loads":0)"},
                                                       {R"("loads":16)", R"("loads":100001)"},
                                                       {R"("loads":16)", R"("loads":1.5)"},
                                                       {R"("cpus":8.0)", R"("cpus":-1)"},
                                                       {R"("cpus":8.0)", R"("cpus":1e999)"},
                                                       {R"("cpus":8.0)", R"("cpus":"8")"},
                                                       {R"("memGb":64.0,)", ""},
                                                       {R"(["g8"])", R"([])"},
                                                       {R"(["g8"])", R"([7])"},
                                                       {R"("yard":null)", R"("yard":7)"},
                                                       {R"("together":true,)", ""},
                                                       {R"("dueS":900.0)", R"("dueS":-1)"},
                                                       {R"("kit":"img-07")", R"("kit":"")"}};
  for (const auto& [from, to] : cases) {
    JobSpec job;
    EXPECT_NE(parse_job(job_text(from, to), job), "") << to;
  }
  JobSpec job;
  for (const char* text : {"", "[]", "null", "{", "\xff\xfe", "{}", "7"})
    EXPECT_NE(parse_job(text, job), "") << text;
  EXPECT_NE(parse_job(std::string(60000, '['), job), "");  // nesting must not overflow the stack
}

TEST(Wire, JobRecordRoundTrip) {
  JobRecord a, b;
  ASSERT_EQ(parse_job(job_text(), a.spec), "");
  a.submitted_ms = 1234567890123;
  a.cancelled = true;
  ASSERT_TRUE(decode(encode(a), b));
  EXPECT_EQ(encode(a), encode(b));
  EXPECT_TRUE(b.cancelled);
}

TEST(Wire, ReportIsCheckedThroughout) {
  const std::string good =
      R"({"rig":"n-000231","endpoint":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,)"
      R"("shift":1,"tally":88,"baton":41,"warningS":null,"loads":[)"
      R"({"load":"req-000412/3","try":2,"status":"running"},)"
      R"({"load":"req-000398/0","try":1,"status":"exited","cause":"stopped","saved":true}]})";
  Heartbeat r;
  ASSERT_TRUE(parse_heartbeat(good, r));
  ASSERT_EQ(r.tasks.size(), 2U);
  EXPECT_EQ(r.tasks[0].task.index, 3U);
  EXPECT_TRUE(r.tasks[1].checkpointed);
  EXPECT_EQ(r.tasks[1].cause, ExitCause::stopped);
  for (const char* word : {"rig", "shift", "tally", "baton", "try", "load\"", "cause"}) {
    std::string bad = good;
    bad.replace(bad.rfind(word), 1, "X");
    EXPECT_FALSE(parse_heartbeat(bad, r)) << bad;
  }
}

TEST(Wire, RangeRecordRoundTripAndSize) {
  RangeRecord a;
  a.owner = "puffin-0";
  a.begin = 100;
  a.end = 107;
  a.done = {true, false, true, false, false, false, true};
  a.placed[101] = {3, "n-000001", 2, "puffin-0"};
  a.placed[103] = {4, "n-000001", 2, "puffin-0"};
  a.placed[104] = {4, "n-000002", 1, "puffin-1"};
  a.next_attempt = 5;
  a.stopping = true;
  RangeRecord b;
  ASSERT_TRUE(decode(encode(a), b));
  EXPECT_EQ(encode(a), encode(b));
  EXPECT_EQ(b.done, a.done);
  EXPECT_EQ(b.placed.at(104).quota_holder, "puffin-1");
  EXPECT_FALSE(decode(R"({"o":"x","b":3,"e":3,"d":"","n":1,"p":[]})", b));
  EXPECT_FALSE(decode(R"({"o":"x","b":0,"e":4,"d":"z","n":1,"p":[]})", b));
  EXPECT_FALSE(decode(R"({"o":"x","b":0,"e":4,"d":"0","n":1,"p":[["m",1,"g",9,1]]})", b));
}

TEST(Wire, StateMessages) {
  const Decoded<WatchEvents> events = parse_events(
      R"({"ledger":433,"events":[{"write":"c/9","v":{"a":[1]},"stamp":433},{"remove":"c/d","stamp":432}]})");
  ASSERT_TRUE(events);
  EXPECT_EQ(events->revision, 433U);
  ASSERT_EQ(events->items.size(), 2U);
  EXPECT_EQ(events->items[0].value, R"({"a":[1]})");
  EXPECT_FALSE(events->items[1].value.has_value());
  const Decoded<Conflict> conflict = parse_conflict(R"({"failed":["a/b"],"ledger":431})");
  ASSERT_TRUE(conflict);
  EXPECT_EQ(conflict->failed_keys, std::vector<std::string>{"a/b"});
  for (const char* bad : {"", "{}", R"({"ledger":-1})", R"({"ledger":"x"})"})
    EXPECT_FALSE(parse_revision(bad)) << bad;
  EXPECT_EQ(parse_page(R"({"hasNext":false,"ledger":1,"pairs":[{"k":"a","v":{}}]})").error().field,
            "stamp");
  EXPECT_EQ(
      transaction_body({{"a/b", 0}}, {{"a/b", R"({"x":1})", 7}, {"c/d", std::nullopt, {}}}),
      R"({"guards":[{"k":"a/b","stamp":0}],"writes":[{"write":"a/b","v":{"x":1},"permit":7},{"remove":"c/d"}]})");
}

TEST(Wire, OtherRecordsRoundTrip) {
  ViewRecord view{7, {{"a", "1"}, {"b", "2"}}, {{"c", "3"}}, {"b"}}, view2;
  ASSERT_TRUE(decode(encode(view), view2));
  EXPECT_EQ(encode(view), encode(view2));
  QuotaRecord quota, quota2;
  quota.leases["a"] = {1.5, 2};
  quota.demand["b"] = {0, 1};
  ASSERT_TRUE(decode(encode(quota), quota2));
  EXPECT_EQ(encode(quota), encode(quota2));
  FleetRecord fleet, fleet2;
  fleet.machines["n-1"] = {"1.2.3.4:5", "t", "z", true, MachineState::quarantined, 0};
  fleet.machines["n-2"] = {"", "t", "y", false, MachineState::terminated, 0};
  ASSERT_TRUE(decode(encode(fleet), fleet2));
  EXPECT_EQ(fleet.machines, fleet2.machines);
  EXPECT_FALSE(decode(R"({"m":{"n-1":["","t","z",1,5]}})", fleet2));
  EXPECT_FALSE(decode(R"({"m":{"n-1":["","t"]}})", fleet2));
  ShardRecord part, part2;
  part.machines["n-1"] = {"1.2.3.4:5", 9, MachineState::lost, 4};
  ASSERT_TRUE(decode(encode(part), part2));
  EXPECT_EQ(part.machines, part2.machines);
  EXPECT_FALSE(decode(R"({"m":{"n-1":["",-1,0,1]}})", part2));
  std::string name;
  std::uint32_t group = 0;
  EXPECT_TRUE(parse_shard_key(shard_key("puffin-0", 7), name, group));
  EXPECT_EQ(name, "puffin-0");
  EXPECT_EQ(group, 7U);
  EXPECT_FALSE(parse_shard_key("part/7", name, group));
  EXPECT_FALSE(parse_fleet_key("fleet/x", group));
}

TEST(Wire, PeerHintRoundTripAndGarbage) {
  GossipMessage a{"puffin-0", "abc", 12, true, 3.5, 9, {}, {}}, b;
  const std::string bytes = encode(a);
  ASSERT_TRUE(decode(bytes, b));
  EXPECT_EQ(b.epoch, 12U);
  EXPECT_EQ(b.free_cpus, 3.5);
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(decode(bytes.substr(0, n), b));
  EXPECT_FALSE(decode("garbage", b));
}

}  // namespace
}  // namespace scheduler::wire
