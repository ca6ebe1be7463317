// Tests the controller binary on loopback, with fakes of the state service, the cloud and a worker.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "net/http_client.h"
#include "net/http_server.h"
#include "sim/fake_state_service.h"
#include "wire/messages.h"

namespace scheduler {
namespace {

using asio::ip::tcp;
using namespace std::chrono_literals;

Ms steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

tcp::endpoint free_endpoint(asio::io_context& io) {
  tcp::acceptor a(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return a.local_endpoint();
}

std::string text(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

struct CommandResult {
  int code = 0;
  std::string output;
};

CommandResult run(const std::string& arguments) {
  CommandResult r;
  FILE* pipe = popen((std::string(SCHEDULER_BINARY) + " " + arguments + " 2>&1").c_str(), "r");
  std::array<char, 256> buffer{};
  while (fgets(buffer.data(), buffer.size(), pipe)) r.output += buffer.data();
  r.code = WEXITSTATUS(pclose(pipe));
  return r;
}

class EndToEnd : public testing::Test {
 protected:
  void SetUp() override {
    client_ = std::make_unique<net::HttpClient>(io_, net::HttpClient::Limits{16});
    const auto state = free_endpoint(io_);
    state_server_ = std::make_unique<net::HttpServer>(
        io_, state, 100, [this](std::uint64_t id, const net::HttpServer::Request& r) {
          Call call;
          call.method = r.method;
          call.path = r.path;
          call.body = r.body;
          state_.serve(steady_ms(), call, 0, [this, id](int status, const std::string& body) {
            state_server_->reply(id, status, body, 0);
          });
          state_.serve_watchers(steady_ms(), [](std::size_t) { return true; });
        });
    const auto cloud = free_endpoint(io_);
    worker_ = text(free_endpoint(io_));
    cloud_server_ = std::make_unique<
        net::
            HttpServer>(io_, cloud, 100, [this](std::uint64_t id, const net::HttpServer::Request& r) {
      if (r.path == "/catalog") {
        cloud_server_->reply(
            id, 200,
            R"({"fleets":[{"label":"t","cpus":4,"memGb":16,"rate":1,"readyS":1,"yards":["a"]}]})",
            0);
      } else if (r.method == "GET") {
        cloud_server_->reply(id, 200,
                             R"({"rigs":[{"id":"n-000001","endpoint":")" + worker_ +
                                 R"(","fleet":"t","yard":"a","standby":false,)"
                                 R"("status":"running","heldS":9}],"hasNext":false})",
                             0);
      } else {
        cloud_server_->reply(id, 503, R"({"error":"no capacity"})", 0);
      }
    });
    bind_ = text(free_endpoint(io_));
    char folder[] = "/tmp/cluster-scheduler-e2e-XXXXXX";
    ASSERT_NE(mkdtemp(folder), nullptr);
    folder_ = folder;
    std::ofstream(settings()) << "host_name = \"puffin-0\"\nzone = \"a\"\nbind = \"" << bind_
                              << "\"\npeer_listen = \"" << text(free_endpoint(io_))
                              << "\"\n[external]\ncloud = \"" << text(cloud) << "\"\nstate = \""
                              << text(state) << R"("
[settings]
size = 1
[[settings.teams]]
name = "team"
[settings.workers]
report_s = 0.2
lease_s = 5.0
gang_wait_s = 5.0
gang_peer_s = 2.0
cancel_s = 10.0
[settings.state]
rps = 500.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 24
[settings.cloud]
rps = 5.0
list_lag_s = 0.1
[settings.machine_limits]
cpu_share = 1.0
ram_mb = 100.0
fd_limit = 500
)";
  }

  void TearDown() override {
    stop();
    std::remove(settings().c_str());
    rmdir(folder_.c_str());
  }

  [[nodiscard]] std::string settings() const { return folder_ + "/settings.toml"; }

  void start() {
    child_ = fork();
    if (child_ == 0) {
      execl(SCHEDULER_BINARY, SCHEDULER_BINARY, "--config", settings().c_str(), nullptr);
      _exit(127);
    }
  }

  void stop() {
    if (child_ <= 0) return;
    kill(child_, SIGKILL);
    waitpid(child_, nullptr, 0);
    child_ = 0;
  }

  std::pair<int, std::string> send_request(const std::string& method, const std::string& path,
                                           const std::string& body = "") {
    std::pair<int, std::string> out{-1, ""};
    client_->send({bind_, method, path, body, 3000}, [&](int status, std::string reply_body) {
      out = {status, std::move(reply_body)};
    });
    while (out.first < 0) io_.run_one_for(50ms);
    return out;
  }

  template <typename F>
  bool eventually(F&& condition) {
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (std::chrono::steady_clock::now() < end) {
      if (condition()) return true;
      io_.run_for(50ms);
      send_heartbeat();
    }
    return false;
  }

  // Sends one heartbeat of the worker and executes the commands in the reply. A task is reported as
  // running in two heartbeats and as done from the third on.
  void send_heartbeat() {
    if (heartbeat_pending_) return;
    heartbeat_pending_ = true;
    std::string task_list;
    for (auto& [name, task] : tasks_) {
      if (task.heartbeats++ > 1) task.done = true;
      task_list +=
          (task_list.empty() ? "" : ",") + std::string(R"({"load":")") + name + R"(","try":)" +
          std::to_string(task.attempt) +
          (task.done ? R"(,"status":"exited","cause":"done"})" : R"(,"status":"running"})");
    }
    const std::string body = R"({"rig":"n-000001","endpoint":")" + worker_ +
                             R"(","fleet":"t","yard":"a","standby":false,"shift":1,"tally":)" +
                             std::to_string(++heartbeat_number_) +
                             ",\"baton\":" + std::to_string(token_) +
                             R"(,"warningS":null,"loads":[)" + task_list + "]}";
    client_->send({bind_, "POST", "/hello", body, 2000},
                  [this](int status, const std::string& reply_body) {
                    heartbeat_pending_ = false;
                    rapidjson::Document doc;
                    if (status != 200 || !wire::parse_object(reply_body, doc)) return;
                    if (doc["baton"].GetUint64() < token_) return;
                    token_ = doc["baton"].GetUint64();
                    for (const auto& order : doc["orders"].GetArray()) {
                      const std::string verb = order["verb"].GetString();
                      const std::string name = order["load"].GetString();
                      if (verb == "clear") tasks_.erase(name);
                      if (verb == "start" && !tasks_.contains(name)) {
                        tasks_[name].attempt = order["try"].GetUint64();
                        ++start_commands_;
                      }
                    }
                  });
  }

  struct Task {
    std::uint64_t attempt = 0;
    int heartbeats = 0;
    bool done = false;
  };
  asio::io_context io_;
  sim::FakeStateService state_;
  std::unique_ptr<net::HttpClient> client_;
  std::unique_ptr<net::HttpServer> state_server_, cloud_server_;
  std::string bind_, worker_, folder_;
  pid_t child_ = 0;
  bool heartbeat_pending_ = false;
  std::uint64_t heartbeat_number_ = 0, token_ = 0;
  std::map<std::string, Task> tasks_;
  int start_commands_ = 0;
};

TEST_F(EndToEnd, FinalStateOutlivesTheProcess) {
  start();
  ASSERT_TRUE(eventually([&] { return send_request("GET", "/healthz").first == 200; }));
  EXPECT_EQ(send_request("POST", "/v1/jobs", "{").first, 400);
  EXPECT_EQ(send_request("GET", "/nowhere").first, 404);
  EXPECT_EQ(send_request("DELETE", "/v1/jobs").first, 405);
  EXPECT_EQ(send_request("POST", "/v1/jobs", std::string(70'000, ' ')).first, 413);
  const std::string job =
      R"({"id":"req-000001","queue":"q","crew":"team","shape":"batch","rank":"standard","loads":3,)"
      R"("cpus":1,"gpus":0,"memGb":1,"kit":"i","pullGb":1,"together":false,"scatter":false,)"
      R"("standby":false,"haulS":1,"tipS":0,"stowS":0})";
  ASSERT_TRUE(eventually([&] { return send_request("POST", "/v1/jobs", job).first == 201; }));
  EXPECT_EQ(send_request("POST", "/v1/jobs", job).first, 200);
  std::string job_of_unknown_team = job;
  job_of_unknown_team.replace(job_of_unknown_team.find("team"), 4, "gang")
      .replace(job_of_unknown_team.find("000001"), 6, "000002");
  EXPECT_EQ(send_request("POST", "/v1/jobs", job_of_unknown_team).first, 422);
  EXPECT_EQ(send_request("GET", "/v1/jobs/req-000002").first, 404);
  const auto done = [&] {
    return send_request("GET", "/v1/jobs/req-000001").second.find(R"("status":"done")") !=
           std::string::npos;
  };
  EXPECT_TRUE(eventually(done));
  EXPECT_EQ(start_commands_, 3);
  stop();
  start();
  EXPECT_TRUE(eventually(done));
  EXPECT_NE(send_request("POST", "/v1/jobs/req-000001/withdraw").second.find("done"),
            std::string::npos);
  EXPECT_NE(send_request("POST", "/v1/jobs", job).second.find("done"), std::string::npos);
}

TEST_F(EndToEnd, CommandLineAndBadSettings) {
  EXPECT_EQ(run("--version").output.rfind("cluster-scheduler ", 0), 0U);
  EXPECT_NE(run("--help").output.find("--config"), std::string::npos);
  EXPECT_EQ(run("--check --config " + settings()).code, 0);
  const std::string options = folder_ + "/options.toml";
  std::ofstream(options) << "machines = 100000\n";
  const CommandResult too_small = run("--check --config " + settings() + " --options " + options);
  EXPECT_EQ(too_small.code, 1);
  EXPECT_NE(too_small.output.find("fd_limit"), std::string::npos) << too_small.output;
  const std::string bad = folder_ + "/bad.toml";
  for (const char* content :
       {"host_name = 7", "x = [", "", "host_name = \"a\"\nzone = \"z\"\nbind = \"nowhere\""}) {
    std::ofstream(bad) << content;
    const CommandResult r = run("--config " + bad);
    EXPECT_NE(r.code, 0) << content;
    EXPECT_EQ(std::count(r.output.begin(), r.output.end(), '\n'), 1) << r.output;
  }
  std::remove(bad.c_str());
  EXPECT_NE(run("--config " + bad).code, 0);
}

}  // namespace
}  // namespace scheduler
