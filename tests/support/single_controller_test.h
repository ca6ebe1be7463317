// A fixture for tests of one controller by itself: the state stand-in, a cloud with one machine,
// and that machine, which does what the test lets it.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "controller/controller.h"
#include "sim/fake_state_service.h"

namespace scheduler {

class SingleControllerTest : public testing::Test {
 protected:
  SingleControllerTest() {
    Settings s;
    s.name = "puffin-0";
    s.zone = "a";
    s.teams = {{"t", 0, 0, 0, 0}};
    s.heartbeat_interval_s = 1;
    s.lease_s = 8;
    s.gang_wait_s = 6;
    s.gang_peer_s = 2;
    s.cancel_s = 20;
    s.state_rps = 400;
    s.state_write_rps = 150;
    s.value_kb = 8;
    s.txn_ops = 24;
    s.cloud_rps = 5;
    s.list_lag_s = 1;
    settings_ = s;
    controller_ = std::make_unique<Controller>(s, 7);
    controller_->start(now_, now_);
    run(3000);
    heartbeat(1);
    run(3000);
  }

  // The process has ended and another has taken its place: a new epoch.
  void restart() {
    timeouts_.clear();
    controller_ = std::make_unique<Controller>(settings_, 8);
    controller_->start(now_, now_);
    run(1000);
    ASSERT_TRUE(controller_->ready());
  }

  // What the core asks for is carried out, and time passes.
  void run(Ms lasts) {
    for (const Ms end = now_ + lasts; now_ < end; now_ += 20) {
      controller_->tick(now_, now_);
      state_.end_holds(now_);
      state_.serve_watchers(now_, [](std::size_t) { return true; });
      pump();
      std::erase_if(timeouts_, [this](const auto& l) {
        if (l.first > now_) return false;
        controller_->on_result(now_, l.second, {0, ""});
        return true;
      });
    }
  }

  void pump() {
    for (auto out = controller_->take_output();
         !out.calls.empty() || !out.replies.empty() || !out.logs.empty() || !out.peers.empty();
         out = controller_->take_output()) {
      for (const auto& a : out.replies) answers_[a.request] = a;
      for (const auto& c : out.calls) carry_out(c);
    }
  }

  void carry_out(const Call& c) {
    auto done = [this, id = c.id](int status, const std::string& body) {
      controller_->on_result(now_, id, {status, body});
    };
    if (replies_garbage_) {
      static const std::vector<std::string> bodies{"",
                                                   "{",
                                                   "[]",
                                                   "null",
                                                   R"({"ledger":-1})",
                                                   R"({"events":[7],"ledger":1})",
                                                   "\xff",
                                                   R"({"rigs":[{"id":5}],"hasNext":1})",
                                                   R"({"pairs":[{}],"hasNext":false,"ledger":3})"};
      done(200, bodies[c.id % bodies.size()]);
    } else if (c.target == Target::state && !lost_request_path_.empty() &&
               c.path.starts_with(lost_request_path_)) {
      state_.serve(now_, c, 0, [](int, const std::string&) {});
      timeouts_.emplace_back(now_ + c.timeout, c.id);
    } else if (c.target == Target::state && holds_reply_ && holds_reply_(c)) {
      state_.serve(now_, c, 0, [this, c](int status, const std::string& body) {
        held_replies_.emplace_back(c, HttpResult{status, body});
      });
    } else if (c.target == Target::state) {
      state_.serve(now_, c, 0, done);
    } else if (c.target == Target::worker) {
      ++direct_commands_;
      if (reachable_) {
        rapidjson::Document doc;
        if (wire::parse_object(c.body, doc)) {
          token_ = std::max(token_, doc["baton"].GetUint64());
          execute_commands_of(doc["orders"]);
        }
        const HttpResult http_result{200, body(session_, ++sequence_)};
        if (holds_reply_ && holds_reply_(c)) {
          held_replies_.emplace_back(c, http_result);
        } else {
          done(http_result.status, http_result.body);
        }
      } else {
        timeouts_.emplace_back(now_ + c.timeout, c.id);
      }
    } else if (c.path == "/catalog") {
      done(200,
           R"({"fleets":[{"label":"g","cpus":8,"gpus":0,"memGb":32,"localGb":50,"fetchGbPerS":1,)"
           R"("rate":1,"marketPrice":0.3,"readyS":3,"yards":["a"]}]})");
    } else if (c.path.starts_with("/hosts?")) {
      done(200, R"({"rigs":[{"id":"n-1","endpoint":"n-1:1","fleet":"g","yard":"a","standby":false,)"
                R"("status":"running","heldS":9}],"hasNext":false})");
    } else {
      done(503, R"({"error":"no capacity"})");
    }
  }

  // Answers that were given and that the test held back arrive now.
  void release_replies(const std::function<bool(const Call&)>& which) {
    std::vector<std::pair<Call, HttpResult>> arriving;
    for (auto it = held_replies_.begin(); it != held_replies_.end();) {
      if (!which(it->first)) {
        ++it;
        continue;
      }
      arriving.push_back(std::move(*it));
      it = held_replies_.erase(it);
    }
    for (const auto& [call, http_result] : arriving)
      controller_->on_result(now_, call.id, http_result);
    pump();
  }

  std::string body(std::uint64_t incarnation, std::uint64_t sequence,
                   const char* id = "n-1") const {
    sim::Put p;
    p.str("rig", id);
    p.str("endpoint", std::string(id) + ":1");
    p.str("fleet", "g");
    p.str("yard", "a");
    p.raw("standby", "false");
    p.num("shift", incarnation);
    p.num("tally", sequence);
    p.num("baton", token_);
    std::string loads;
    for (const auto& [task, exited] : tasks_) {
      sim::Put l;
      l.str("load", task.first);
      l.num("try", task.second);
      l.str("status", exited ? "exited" : "running");
      if (exited) l.str("cause", exit_cause_);
      loads += (loads.empty() ? "" : ",") + l.done();
    }
    p.raw("loads", "[" + loads + "]");
    return p.done();
  }

  // The machine carries out what it is told, if this test lets it.
  void execute_commands_of(const wire::Json& orders) {
    for (const auto& o : orders.GetArray()) {
      const std::string verb = o["verb"].GetString();
      const std::pair<std::string, std::uint64_t> task{o["load"].GetString(), o["try"].GetUint64()};
      if (verb == "start") ++starts_;
      if (!executes_commands_) continue;
      if (verb == "start") tasks_.try_emplace(task, false);
      if (verb == "halt" && tasks_.contains(task)) tasks_[task] = true;
      if (verb == "clear") tasks_.erase(task);
    }
  }

  HttpReply heartbeat(std::uint64_t sequence, const char* id = "n-1") {
    const std::uint64_t request = next_++;
    if (id == std::string("n-1")) sequence_ = std::max(sequence_, sequence);
    controller_->on_request(now_, request, {"POST", "/hello", body(session_, sequence, id)});
    pump();
    const HttpReply a = answers_[request];
    rapidjson::Document doc;
    if (receives_replies_ && a.status == 200 && wire::parse_object(a.body, doc)) {
      token_ = std::max(token_, doc["baton"].GetUint64());
      execute_commands_of(doc["orders"]);
    }
    return a;
  }

  // A report that was sent before the machine had any task arrives only now.
  void deliver_old_heartbeat(std::uint64_t incarnation, std::uint64_t sequence) {
    const auto tasks = std::exchange(tasks_, {});
    controller_->on_request(now_, next_++, {"POST", "/hello", body(incarnation, sequence)});
    tasks_ = tasks;
    pump();
  }

  // The answer's status, 0 as long as there is none.
  int status(std::uint64_t request) const {
    auto a = answers_.find(request);
    return a == answers_.end() ? 0 : a->second.status;
  }

  // A job of two tasks that run.
  void start_two() {
    executes_commands_ = true;
    EXPECT_EQ(heartbeat(50).status, 200);
    submit("req-000001");
    run(1000);
    ASSERT_EQ(tasks_.size(), 2U);
  }

  std::uint64_t cancel(const std::string& id) {
    const std::uint64_t request = next_++;
    controller_->on_request(now_, request, {"POST", "/v1/jobs/" + id + "/withdraw", ""});
    pump();
    return request;
  }

  static std::string job_body(const std::string& id) {
    return R"({"id":")" + id +
           R"(","queue":"c","crew":"t","shape":"batch","rank":"standard","loads":2,"cpus":1.0,)"
           R"("gpus":0.0,"memGb":1.0,"kit":"i","pullGb":0.1,"together":false,"scatter":false,)"
           R"("standby":true,"haulS":60.0,"tipS":0.0,"stowS":0.0})";
  }

  void submit(const std::string& id) {
    controller_->on_request(now_, next_++, {"POST", "/v1/jobs", job_body(id)});
  }

  Ms now_ = 1000;
  Settings settings_;
  std::unique_ptr<Controller> controller_;
  sim::FakeStateService state_;
  std::map<std::uint64_t, HttpReply> answers_;
  std::vector<std::pair<Ms, std::uint64_t>> timeouts_;  // calls that get no answer
  std::uint64_t next_ = 1, session_ = 1, sequence_ = 0, token_ = 0;
  bool reachable_ = true, receives_replies_ = true, executes_commands_ = false;
  std::string exit_cause_ = "stopped";  // of what has exited
  // What the machine has: task and attempt, and whether it has exited.
  std::map<std::pair<std::string, std::uint64_t>, bool> tasks_;
  int direct_commands_ = 0, starts_ = 0;
  // State service and machines: these requests are carried out, and their answers wait for
  // release_answers().
  std::function<bool(const Call&)> holds_reply_;
  std::vector<std::pair<Call, HttpResult>> held_replies_;
  bool replies_garbage_ = false;   // all that is asked for is answered with it
  std::string lost_request_path_;  // state service: requests whose path begins so are carried out,
                                   // unanswered
};

}  // namespace scheduler
