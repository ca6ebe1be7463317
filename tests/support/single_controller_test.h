// A test fixture for a single controller: a fake state service, a fake cloud with one machine, and
// that machine's worker, which executes commands if `executes_commands_` is set.
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
#include "support/controller_settings.h"
#include "support/fake_cloud.h"

namespace scheduler {

class SingleControllerTest : public testing::Test {
 protected:
  SingleControllerTest() {
    settings_ = single_controller_settings();
    controller_ = std::make_unique<Controller>(settings_, 7);
    controller_->start(now_, now_);
    run(3000);
    heartbeat(1);
    run(3000);
  }

  // Restarts the controller process, which gets a new incarnation.
  void restart() {
    timeouts_.clear();
    controller_ = std::make_unique<Controller>(settings_, 8);
    controller_->start(now_, now_);
    run(1000);
    ASSERT_TRUE(controller_->ready());
  }

  // Advances time in steps of 20 ms and executes all calls of the controller.
  void run(Ms duration_ms) {
    for (const Ms end = now_ + duration_ms; now_ < end; now_ += 20) {
      controller_->tick(now_, now_);
      state_.expire_session_leases(now_);
      state_.serve_watchers(now_, [](std::size_t) { return true; });
      process_outputs();
      std::erase_if(timeouts_, [this](const auto& timeout) {
        if (timeout.first > now_) return false;
        controller_->on_result(now_, timeout.second, {0, ""});
        return true;
      });
    }
  }

  // Records the controller's replies and executes its calls until it has no more outputs.
  void process_outputs() {
    for (auto out = controller_->take_output();
         !out.calls.empty() || !out.replies.empty() || !out.logs.empty() || !out.peers.empty();
         out = controller_->take_output()) {
      for (const auto& reply : out.replies) replies_[reply.request] = reply;
      for (const auto& call : out.calls) execute(call);
    }
  }

  void execute(const Call& call) {
    if (sends_invalid_replies_) {
      controller_->on_result(now_, call.id, {200, invalid_reply(call.id)});
      return;
    }
    switch (call.target) {
      case Target::state:
        return execute_state_call(call);
      case Target::worker:
        return execute_worker_call(call);
      case Target::cloud:
        return execute_cloud_call(call);
    }
  }

  static std::string invalid_reply(std::uint64_t number) {
    static const std::vector<std::string> kBodies{"",
                                                  "{",
                                                  "[]",
                                                  "null",
                                                  R"({"ledger":-1})",
                                                  R"({"events":[7],"ledger":1})",
                                                  "\xff",
                                                  R"({"rigs":[{"id":5}],"hasNext":1})",
                                                  R"({"pairs":[{}],"hasNext":false,"ledger":3})"};
    return kBodies[number % kBodies.size()];
  }

  void execute_state_call(const Call& call) {
    const bool lost = !lost_request_path_.empty() && call.path.starts_with(lost_request_path_);
    if (lost) timeouts_.emplace_back(now_ + call.timeout, call.id);
    state_.serve(now_, call, 0,
                 [this, call, lost, delayed = !lost && is_delayed(call)](int status,
                                                                         const std::string& body) {
                   if (lost) return;
                   if (delayed) {
                     delayed_replies_.emplace_back(call, HttpResult{status, body});
                   } else {
                     controller_->on_result(now_, call.id, {status, body});
                   }
                 });
  }

  void execute_worker_call(const Call& call) {
    ++direct_commands_;
    if (!reachable_) {
      timeouts_.emplace_back(now_ + call.timeout, call.id);
      return;
    }
    rapidjson::Document doc;
    if (wire::parse_object(call.body, doc)) {
      token_ = std::max(token_, doc["baton"].GetUint64());
      execute_commands_of(doc["orders"]);
    }
    const HttpResult reply{200, body(incarnation_, ++sequence_)};
    if (is_delayed(call)) {
      delayed_replies_.emplace_back(call, reply);
    } else {
      controller_->on_result(now_, call.id, reply);
    }
  }

  void execute_cloud_call(const Call& call) {
    const bool catalog = call.path == "/catalog";
    const bool list = call.path.starts_with("/hosts?");
    controller_->on_result(now_, call.id,
                           catalog ? HttpResult{200, cloud_.catalog()}
                           : list  ? HttpResult{200, cloud_.list()}
                                   : FakeCloud::no_capacity());
  }

  [[nodiscard]] bool is_delayed(const Call& call) const {
    return delays_reply_ && delays_reply_(call);
  }

  // Delivers the delayed replies of the calls for which `which` returns true.
  void release_replies(const std::function<bool(const Call&)>& which) {
    std::vector<std::pair<Call, HttpResult>> arriving;
    for (auto it = delayed_replies_.begin(); it != delayed_replies_.end();) {
      if (!which(it->first)) {
        ++it;
        continue;
      }
      arriving.push_back(std::move(*it));
      it = delayed_replies_.erase(it);
    }
    for (const auto& [call, reply] : arriving) controller_->on_result(now_, call.id, reply);
    process_outputs();
  }

  std::string body(std::uint64_t incarnation, std::uint64_t sequence,
                   const char* id = "n-1") const {
    sim::JsonObjectBuilder p;
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
      sim::JsonObjectBuilder task_json;
      task_json.str("load", task.first);
      task_json.num("try", task.second);
      task_json.str("status", exited ? "exited" : "running");
      if (exited) task_json.str("cause", exit_cause_);
      loads += (loads.empty() ? "" : ",") + task_json.done();
    }
    p.raw("loads", "[" + loads + "]");
    return p.done();
  }

  // Counts start commands; the worker executes commands only if `executes_commands_` is set.
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
    const std::uint64_t request = next_request_++;
    if (id == std::string("n-1")) sequence_ = std::max(sequence_, sequence);
    controller_->on_request(now_, request, {"POST", "/hello", body(incarnation_, sequence, id)});
    process_outputs();
    HttpReply reply = replies_[request];
    rapidjson::Document doc;
    if (receives_replies_ && reply.status == 200 && wire::parse_object(reply.body, doc)) {
      token_ = std::max(token_, doc["baton"].GetUint64());
      execute_commands_of(doc["orders"]);
    }
    return reply;
  }

  // Delivers a delayed heartbeat that the worker sent before it had any task.
  void deliver_old_heartbeat(std::uint64_t incarnation, std::uint64_t sequence) {
    const auto tasks = std::exchange(tasks_, {});
    controller_->on_request(now_, next_request_++, {"POST", "/hello", body(incarnation, sequence)});
    tasks_ = tasks;
    process_outputs();
  }

  // The status of the reply to a request; 0: no reply yet.
  [[nodiscard]] int status(std::uint64_t request) const {
    auto reply = replies_.find(request);
    return reply == replies_.end() ? 0 : reply->second.status;
  }

  // Starts a job of two tasks and waits until both run.
  void start_two_tasks() {
    executes_commands_ = true;
    EXPECT_EQ(heartbeat(50).status, 200);
    submit("req-000001");
    run(1000);
    ASSERT_EQ(tasks_.size(), 2U);
  }

  // Sends a user request and returns its number, under which answers_ holds the reply.
  std::uint64_t send_request(const std::string& method, const std::string& path,
                             const std::string& body = "") {
    const std::uint64_t request = next_request_++;
    controller_->on_request(now_, request, {method, path, body});
    return request;
  }

  std::uint64_t cancel(const std::string& id) {
    const std::uint64_t request = send_request("POST", "/v1/jobs/" + id + "/withdraw");
    process_outputs();
    return request;
  }

  std::uint64_t post(const std::string& body) {
    const std::uint64_t request = send_request("POST", "/v1/jobs", body);
    process_outputs();
    return request;
  }

  std::uint64_t poll(const std::string& id) {
    const std::uint64_t request = send_request("GET", "/v1/jobs/" + id);
    process_outputs();
    return request;
  }

  static std::string job_body(const std::string& id) {
    return R"({"id":")" + id +
           R"(","queue":"c","crew":"t","shape":"batch","rank":"standard","loads":2,"cpus":1.0,)"
           R"("gpus":0.0,"memGb":1.0,"kit":"i","pullGb":0.1,"together":false,"scatter":false,)"
           R"("standby":true,"haulS":60.0,"tipS":0.0,"stowS":0.0})";
  }

  void submit(const std::string& id) { send_request("POST", "/v1/jobs", job_body(id)); }

  Ms now_ = 1000;
  Settings settings_;
  std::unique_ptr<Controller> controller_;
  sim::FakeStateService state_;
  FakeCloud cloud_{.machines = {{"n-1", "running"}}};
  std::map<std::uint64_t, HttpReply> replies_;
  // Time of the timeout and call id, for calls that get no reply.
  std::vector<std::pair<Ms, std::uint64_t>> timeouts_;
  std::uint64_t next_request_ = 1, incarnation_ = 1, sequence_ = 0, token_ = 0;
  bool reachable_ = true, receives_replies_ = true, executes_commands_ = false;
  std::string exit_cause_ = "stopped";  // cause that the worker reports for exited tasks
  // The worker's tasks: whether the task has exited, by task name and attempt.
  std::map<std::pair<std::string, std::uint64_t>, bool> tasks_;
  int direct_commands_ = 0, starts_ = 0;
  // Selects the calls to the state service and to workers that are executed, but whose replies are
  // delayed until release_replies().
  std::function<bool(const Call&)> delays_reply_;
  std::vector<std::pair<Call, HttpResult>> delayed_replies_;
  bool sends_invalid_replies_ = false;  // all calls get invalid replies
  // Calls to the state service whose path starts with this text are executed, but their replies are
  // lost; "": none.
  std::string lost_request_path_;
};

}  // namespace scheduler
