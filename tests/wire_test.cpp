// Wire formats: encoded values decode to equal values, and invalid input is refused with a reason.
#include <gtest/gtest.h>

#include "wire/messages.h"
#include "wire/peer.h"
#include "wire/records.h"
#include "wire/state_service.h"

namespace scheduler::wire {
namespace {

std::string job_text(const std::string& replace = "", const std::string& with = "") {
  std::string text =
      R"({"id":"req-000412","queue":"train","crew":"vision","shape":"ensemble","rank":"high",)"
      R"("loads":16,"cpus":8.0,"gpus":1.0,"memGb":64.0,"kit":"img-07","pullGb":6.2,)"
      R"("fleets":["g8"],"yard":null,"together":true,"scatter":false,"standby":true,)"
      R"("haulS":240.0,"tipS":30.0,"stowS":4.0,"dueS":900.0,"unknown":[1,{"x":2}]})";
  if (!replace.empty()) {
    const auto at = text.find(replace);
    EXPECT_NE(at, std::string::npos) << replace;
    text.replace(at, replace.size(), with);
  }
  return text;
}

TEST(Wire, JobIsReadWithUnknownFieldsIgnored) {
  const auto parsed = parse_job(job_text());
  ASSERT_TRUE(parsed) << parsed.error().text();
  const JobSpec& job = *parsed;
  EXPECT_EQ(job.id, "req-000412");
  EXPECT_TRUE(job.is_gang());
  EXPECT_EQ(job.priority, Priority::high);
  EXPECT_EQ(job.tasks, 16U);
  EXPECT_EQ(job.types, std::vector<std::string>{"g8"});
  EXPECT_EQ(job.zone, "");
  EXPECT_EQ(job.deadline_s, 900.0);
}

TEST(Wire, BadJobsAreRefusedWithAReason) {
  struct Case {
    const char *from, *to, *reason;
  };
  constexpr const char* kBadId = "id is missing or invalid";
  constexpr const char* kBadLoads = "loads is missing or invalid";
  constexpr const char* kBadCpus = "cpus is missing or invalid";
  const Case cases[] = {{R"("req-000412")", R"("job-000412")", kBadId},
                        {R"("req-000412")", R"("req-12")", kBadId},
                        {R"("req-000412")", R"("req-0004x2")", kBadId},
                        {R"("ensemble")", R"("pile")", "shape is missing or invalid"},
                        {R"("high")", R"("highest")", "rank is missing or invalid"},
                        {R"("loads":16)", R"("loads":0)", kBadLoads},
                        {R"("loads":16)", R"("loads":100001)", kBadLoads},
                        {R"("loads":16)", R"("loads":1.5)", kBadLoads},
                        {R"("cpus":8.0)", R"("cpus":-1)", kBadCpus},
                        {R"("cpus":8.0)", R"("cpus":1e999)", "body is not a JSON object"},
                        {R"("cpus":8.0)", R"("cpus":"8")", kBadCpus},
                        {R"("memGb":64.0,)", "", "memGb is missing or invalid"},
                        {R"("pullGb":6.2,)", "", "pullGb is missing or invalid"},
                        {R"("queue":"train",)", "", "queue is missing or invalid"},
                        {R"("vision")", "null", "crew is missing or invalid"},
                        {R"("gpus":1.0)", R"("gpus":true)", "gpus is missing or invalid"},
                        {R"("scatter":false)", R"("scatter":0)", "scatter is missing or invalid"},
                        {R"("standby":true,)", "", "standby is missing or invalid"},
                        {R"("haulS":240.0)", R"("haulS":-1)", "haulS is missing or invalid"},
                        {R"("ensemble")", R"("daemon")", "haulS of a daemon must be 0"},
                        {R"("tipS":30.0,)", "", "tipS is missing or invalid"},
                        {R"("stowS":4.0,)", "", "stowS is missing or invalid"},
                        {R"(["g8"])", R"([])", "fleets is invalid"},
                        {R"(["g8"])", R"([7])", "fleets is invalid"},
                        {R"("yard":null)", R"("yard":7)", "yard is invalid"},
                        {R"("together":true,)", "", "together is missing or invalid"},
                        {R"("dueS":900.0)", R"("dueS":-1)", "dueS is invalid"},
                        {R"("kit":"img-07")", R"("kit":"")", "kit is missing or invalid"}};
  for (const auto& [from, to, reason] : cases) {
    const auto job = parse_job(job_text(from, to));
    ASSERT_FALSE(job) << to;
    EXPECT_EQ(job.error().text(), reason) << to;
  }
  for (const char* text : {"", "[]", "null", "{", "\xff\xfe", "7"}) {
    const auto job = parse_job(text);
    ASSERT_FALSE(job) << text;
    EXPECT_EQ(job.error().text(), "body is not a JSON object") << text;
  }
  const auto empty = parse_job("{}");
  ASSERT_FALSE(empty);
  EXPECT_EQ(empty.error().text(), kBadId);
  EXPECT_FALSE(parse_job(std::string(60000, '[')));  // nesting must not overflow the stack
}

TEST(Wire, JobRecordRoundTrip) {
  const auto spec = parse_job(job_text());
  ASSERT_TRUE(spec) << spec.error().text();
  JobRecord written;
  written.spec = *spec;
  written.submitted_ms = 1234567890123;
  written.cancelled = true;
  const auto read = decode<JobRecord>(encode(written));
  ASSERT_TRUE(read) << read.error().message();
  EXPECT_EQ(encode(written), encode(*read));
  EXPECT_TRUE(read->cancelled);
}

TEST(Wire, HeartbeatWithAnInvalidFieldIsRefused) {
  const std::string good =
      R"({"rig":"n-000231","endpoint":"10.1.0.232:9000","fleet":"g8","yard":"a","standby":true,)"
      R"("shift":1,"tally":88,"baton":41,"warningS":null,"loads":[)"
      R"({"load":"req-000412/3","try":2,"status":"running"},)"
      R"({"load":"req-000398/0","try":1,"status":"exited","cause":"stopped","saved":true}]})";
  const auto heartbeat = parse_heartbeat(good);
  ASSERT_TRUE(heartbeat) << heartbeat.error().message();
  ASSERT_EQ(heartbeat->tasks.size(), 2U);
  EXPECT_EQ(heartbeat->tasks[0].task.index, 3U);
  EXPECT_TRUE(heartbeat->tasks[1].checkpointed);
  EXPECT_EQ(heartbeat->tasks[1].cause, ExitCause::stopped);
  for (const char* field_name : {"rig", "shift", "tally", "baton", "try", "load\"", "cause"}) {
    std::string bad = good;
    bad.replace(bad.rfind(field_name), 1, "X");
    EXPECT_FALSE(parse_heartbeat(bad)) << bad;
  }
}

TEST(Wire, RangeRecordRoundTripAndSize) {
  RangeRecord written;
  written.owner = "puffin-0";
  written.begin = 100;
  written.end = 107;
  written.done = {true, false, true, false, false, false, true};
  written.placed[101] = {3, "n-000001", 2, "puffin-0"};
  written.placed[103] = {4, "n-000001", 2, "puffin-0"};
  written.placed[104] = {4, "n-000002", 1, "puffin-1"};
  written.next_attempt = 5;
  written.stopping = true;
  const auto read = decode<RangeRecord>(encode(written));
  ASSERT_TRUE(read) << read.error().message();
  EXPECT_EQ(encode(written), encode(*read));
  EXPECT_EQ(read->done, written.done);
  EXPECT_EQ(read->placed.at(104).quota_holder, "puffin-1");
  EXPECT_FALSE(decode<RangeRecord>(R"({"o":"x","b":3,"e":3,"d":"","n":1,"p":[]})"));
  EXPECT_FALSE(decode<RangeRecord>(R"({"o":"x","b":0,"e":4,"d":"z","n":1,"p":[]})"));
  EXPECT_FALSE(decode<RangeRecord>(R"({"o":"x","b":0,"e":4,"d":"0","n":1,"p":[["m",1,"g",9,1]]})"));
}

TEST(Wire, StateServiceMessages) {
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
  const ViewRecord view{7, {{"a", "1"}, {"b", "2"}}, {{"c", "3"}}, {"b"}};
  const auto view_read = decode<ViewRecord>(encode(view));
  ASSERT_TRUE(view_read) << view_read.error().message();
  EXPECT_EQ(encode(view), encode(*view_read));
  QuotaRecord quota;
  quota.leases["a"] = {1.5, 2};
  quota.demand["b"] = {0, 1};
  const auto quota_read = decode<QuotaRecord>(encode(quota));
  ASSERT_TRUE(quota_read) << quota_read.error().message();
  EXPECT_EQ(encode(quota), encode(*quota_read));
  FleetRecord fleet;
  fleet.machines["n-1"] = {"1.2.3.4:5", "t", "z", true, MachineState::quarantined, 0};
  fleet.machines["n-2"] = {"", "t", "y", false, MachineState::terminated, 0};
  const auto fleet_read = decode<FleetRecord>(encode(fleet));
  ASSERT_TRUE(fleet_read) << fleet_read.error().message();
  EXPECT_EQ(fleet.machines, fleet_read->machines);
  EXPECT_FALSE(decode<FleetRecord>(R"({"m":{"n-1":["","t","z",1,5]}})"));
  EXPECT_FALSE(decode<FleetRecord>(R"({"m":{"n-1":["","t"]}})"));
  ShardRecord shard;
  shard.machines["n-1"] = {"1.2.3.4:5", 9, MachineState::lost, 4};
  const auto shard_read = decode<ShardRecord>(encode(shard));
  ASSERT_TRUE(shard_read) << shard_read.error().message();
  EXPECT_EQ(shard.machines, shard_read->machines);
  EXPECT_FALSE(decode<ShardRecord>(R"({"m":{"n-1":["",-1,0,1]}})"));
  const auto key = parse_shard_key(shard_key("puffin-0", 7));
  ASSERT_TRUE(key) << key.error().message();
  EXPECT_EQ(key->controller, "puffin-0");
  EXPECT_EQ(key->group, 7U);
  EXPECT_FALSE(parse_shard_key("part/7"));
  EXPECT_FALSE(parse_fleet_key("fleet/x"));
}

TEST(Wire, GossipMessageRoundTripAndTruncation) {
  const std::string bytes = encode(GossipMessage{"puffin-0", "abc", 12, true, 3.5, 9, {}, {}});
  const auto read = decode<GossipMessage>(bytes);
  ASSERT_TRUE(read) << read.error().message();
  EXPECT_EQ(read->epoch, 12U);
  EXPECT_EQ(read->free_cpus, 3.5);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(decode<GossipMessage>(bytes.substr(0, n)));
  EXPECT_FALSE(decode<GossipMessage>("garbage"));
}

// ---- errors name the invalid field ----

// Checks that decoding failed and returns the error, "field: expected ...".
template <typename Value>
std::string error_of(const Decoded<Value>& decoded) {
  EXPECT_FALSE(decoded);
  return decoded ? "" : decoded.error().message();
}

TEST(Wire, HeartbeatErrorsNameTheField) {
  const auto heartbeat = [](const std::string& machine, const std::string& task) {
    return R"({"rig":)" + machine +
           R"(,"endpoint":"e:1","fleet":"g8","yard":"a","standby":true,"shift":1,"tally":8,)"
           R"("baton":4,"loads":[{"load":"req-000412/3","try":2,"status":"running"},)" +
           task + "]}";
  };
  const std::string machine = R"("n-1")";
  const std::string good = R"({"load":"req-000412/4","try":1,"status":"exited","cause":"done"})";
  ASSERT_TRUE(parse_heartbeat(heartbeat(machine, good)));
  EXPECT_EQ(error_of(parse_heartbeat("[]")), "expected a JSON object");
  EXPECT_EQ(error_of(parse_heartbeat(heartbeat("7", good))),
            "rig: expected a text of 1 to 128 bytes");
  const std::pair<const char*, const char*> tasks[] = {
      {R"({"load":"req-000412/4","try":1,"status":"asleep"})",
       "loads[1].status: expected one of fetching, gathering, running, saving, exited"},
      {R"({"load":"req-000412/4","try":1,"status":"exited"})",
       "loads[1].cause: expected one of done, stopped, peers, alone, error, no_room, busy, "
       "no_such"},
      {R"({"load":"req-000412/4","try":-1,"status":"running"})",
       "loads[1].try: expected a whole number that is not negative"},
      {R"({"load":"req-000412","try":1,"status":"running"})",
       "loads[1].load: expected a task's name, JOB/INDEX"},
      {R"({"load":"req-000412/4","try":1,"status":"running","saved":1})",
       "loads[1].saved: expected true or false"},
      {"7", "loads[1].load: expected a text"}};
  for (const auto& [task, error] : tasks)
    EXPECT_EQ(error_of(parse_heartbeat(heartbeat(machine, task))), error) << task;
}

TEST(Wire, CloudMessageErrorsNameTheField) {
  EXPECT_EQ(error_of(parse_catalog("{}")), "fleets: expected a list of machine types");
  EXPECT_EQ(error_of(parse_catalog(R"({"fleets":[{"label":"c16","cpus":-16,"memGb":64}]})")),
            "fleets[0].cpus: expected a number that is not negative");
  EXPECT_EQ(error_of(parse_catalog(
                R"({"fleets":[{"label":"c16","cpus":16,"memGb":64,"yards":["a",2]}]})")),
            "fleets[0].yards[1]: expected a text");
  EXPECT_EQ(error_of(parse_scale_out_reply(R"({"rigs":["n-1",2]})")), "rigs[1]: expected a text");
  EXPECT_EQ(error_of(parse_machine_list(R"({"rigs":[]})")), "hasNext: expected true or false");
}

// The machines before an invalid entry are usable, and reading continues after the last of them.
TEST(Wire, MachineListIsReadUpToTheFirstInvalidEntry) {
  const auto page = parse_machine_list(
      R"({"hasNext":true,"rigs":[{"id":"n-1","fleet":"g8","yard":"a","standby":false,)"
      R"("status":"starting"},{"id":"n-2","fleet":"g8","yard":"a","standby":false,)"
      R"("status":"unheard-of"},{"id":"n-3","fleet":"g8","yard":"a","standby":false,)"
      R"("status":"running"}]})");
  ASSERT_TRUE(page) << page.error().message();
  EXPECT_TRUE(page->more);
  ASSERT_EQ(page->machines.size(), 1U);
  EXPECT_EQ(page->machines[0].id, "n-1");
  ASSERT_TRUE(page->unreadable);
  EXPECT_EQ(page->unreadable->message(),
            "rigs[1].status: expected one of starting, running, failed");
}

TEST(Wire, RecordErrorsNameTheField) {
  EXPECT_EQ(error_of(decode<ViewRecord>(R"({"epoch":1,"live":{"a":1},"departed":{}})")),
            "live.a: expected a text");
  EXPECT_EQ(error_of(decode<LiveRecord>(R"({"incarnation":"a"})")),
            "epoch: expected a whole number that is not negative");
  EXPECT_EQ(error_of(decode<FormatRecord>(R"({"formats":-1})")),
            "formats: expected a whole number of at most 32 bits");
  EXPECT_EQ(error_of(decode<RangeRecord>(R"({"o":"x","b":3,"e":3,"d":"","n":1,"p":[]})")),
            "e: expected a number above that of the first task");
  EXPECT_EQ(error_of(decode<RangeRecord>(R"({"o":"x","b":0,"e":4,"d":"z","n":1,"p":[]})")),
            "d: expected a hexadecimal digit for each four tasks");
  EXPECT_EQ(error_of(decode<RangeRecord>(R"({"o":"x","b":0,"e":4,"d":"00","n":1,"p":[]})")),
            "d: expected a hexadecimal digit for each four tasks");
  EXPECT_EQ(
      error_of(decode<RangeRecord>(
                   R"({"o":"x","b":0,"e":4,"d":"0","n":1,"p":[["m",1,"",2,1],["m",1,"g",9,1]]})"))
          .substr(0, 5),
      "p[1]:");
  EXPECT_EQ(error_of(decode<FleetRecord>(R"({"m":{"n-1":["","t","z",1,5]}})")),
            "m.n-1: expected [address, type, zone, spot, state]");
  EXPECT_EQ(error_of(decode<ShardRecord>(R"({"m":{"n-1":["",-1,0,1]}})")),
            "m.n-1: expected [address, incarnation, state, epoch]");
  EXPECT_EQ(error_of(decode<QuotaRecord>(R"({"grants":{"a":[1,2]},"wanted":{"b":[1,"2"]}})")),
            "wanted.b: expected [cpus, gpus]");
  EXPECT_EQ(error_of(decode<QuotaRecord>(R"({"grants":{},"wanted":{},"services":[]})")),
            "services: expected an object of amounts");
  EXPECT_EQ(error_of(decode<ScaleOutRequest>(R"({"type":"g8","zone":"a","spot":1,"count":2})")),
            "spot: expected true or false");
  EXPECT_EQ(error_of(decode<FinalStateRecord>("null")), "expected a JSON object");
}

TEST(Wire, JobRecordErrorsNameTheField) {
  JobRecord record;
  const auto spec = parse_job(job_text());
  ASSERT_TRUE(spec) << spec.error().text();
  record.spec = *spec;
  record.initial_ranges = {{0, 0, 8, "a"}, {1, 8, 17, "b"}};  // of a job of 16 tasks
  EXPECT_EQ(error_of(decode<JobRecord>(encode(record))),
            "shares[1]: expected [number, begin, end, owner] of tasks of the job");
  EXPECT_EQ(error_of(decode<JobRecord>(job_text())), "submittedMs: expected a whole number");
  EXPECT_EQ(error_of(decode<JobRecord>(job_text(R"("loads":16)", R"("loads":0)"))),
            "loads: expected a valid field of a job specification");
}

TEST(Wire, KeyErrorsNameTheForm) {
  EXPECT_EQ(error_of(parse_fleet_key("fleet/x")), "key: expected fleet/GROUP");
  EXPECT_EQ(error_of(parse_shard_key("part/7")), "key: expected part/CONTROLLER/GROUP");
  EXPECT_EQ(error_of(parse_range_key("range/req-000412")), "key: expected range/JOB/NUMBER");
}

TEST(Wire, PeerMessageErrorsNameTheField) {
  EXPECT_EQ(error_of(decode<GossipMessage>("garbage")), "expected a CBOR map");
  EXPECT_EQ(error_of(decode<PeerMessage>("garbage")), "expected a CBOR map");
  EXPECT_EQ(error_of(decode<PeerMessage>("\xa0")), "from: expected a text");
  EXPECT_EQ(error_of(decode<GossipMessage>(encode(RelayReply{"b", 7, 200, "{}"}))),
            "incarnation: expected a text");
  // {"relay": 9}
  EXPECT_EQ(error_of(decode<PeerMessage>("\xa1\x65relay\x09")),
            "relay: expected a kind of relayed message");
  // {"relay": 255, "from": 1}
  EXPECT_EQ(error_of(decode<PeerMessage>("\xa2\x65relay\x18\xff\x64"
                                         "from\x01")),
            "from: expected a text");
}

}  // namespace
}  // namespace scheduler::wire
