// Load tool, not part of the tests: runs one controller process on loopback with fakes of the state
// service, the cloud and thousands of machines. Prints the resource usage of the process and the
// latencies of its replies. All requests stay within 127.0.0.0/8, and the run ends by itself.
//
// Usage: fleet_load BINARY MACHINES SECONDS RAM_MB FD_LIMIT
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "sim/fake_state_service.h"
#include "wire/messages.h"

namespace scheduler {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr int kHeartbeatMs = 5000;
constexpr int kTaskDurationMs = 20'000;
constexpr int kSubmitIntervalMs = 500;
constexpr int kPollIntervalMs = 50;
constexpr int kTasksPerJob = 40;
constexpr int kMachinePort = 9000;

Ms steady_ms() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}

asio::ip::tcp::endpoint endpoint_of(const std::string& address, unsigned short port) {
  return {asio::ip::make_address(address), port};
}

// Calls an action periodically. The interval varies by a quarter, so that machines don't
// synchronise.
class Repeater {
 public:
  Repeater(asio::io_context& io, int interval_ms, std::function<void()> action)
      : timer_(io), interval_ms_(interval_ms), action_(std::move(action)) {}
  void start_after(int delay_ms) {
    timer_.expires_after(milliseconds(delay_ms));
    timer_.async_wait([this](std::error_code error) {
      if (error) return;
      action_();
      start_after(interval_ms_ * (75 + std::rand() % 50) / 100);  // NOLINT(concurrency-mt-unsafe)
    });
  }

 private:
  asio::steady_timer timer_;
  int interval_ms_;
  std::function<void()> action_;
};

class Machine {
 public:
  Machine(asio::io_context& io, int number, std::string controller)
      : id_("n-" + std::to_string(1'000'000 + number)),
        ip_("127.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1)),
        controller_(std::move(controller)),
        client_(io, {1}),
        heartbeats_(io, kHeartbeatMs, [this] { send_heartbeat(); }) {
    server_ = std::make_unique<net::HttpServer>(
        io, endpoint_of(ip_, kMachinePort), 8,
        [this](std::uint64_t request, const net::HttpServer::Request& r) {
          rapidjson::Document doc;
          if (wire::parse_object(r.body, doc)) execute_commands_of(doc);
          server_->reply(request, 200, heartbeat_body(), 0);
        });
    heartbeats_.start_after(std::rand() % kHeartbeatMs);  // NOLINT(concurrency-mt-unsafe)
  }

  const std::string& id() const { return id_; }
  std::string address() const { return ip_ + ":" + std::to_string(kMachinePort); }
  int answered_heartbeats() const { return answered_heartbeats_; }
  int completed_tasks() const { return completed_tasks_; }

 private:
  struct Task {
    std::uint64_t attempt = 0;
    Ms started_at = 0;
  };

  void send_heartbeat() {
    client_.send({controller_, "POST", "/hello", heartbeat_body(), 4000},
                 [this](int status, const std::string& answer) {
                   rapidjson::Document doc;
                   if (status != 200 || !wire::parse_object(answer, doc)) return;
                   ++answered_heartbeats_;
                   execute_commands_of(doc);
                 });
  }

  void execute_commands_of(const rapidjson::Document& doc) {
    if (!doc.HasMember("baton") || doc["baton"].GetUint64() < token_) return;
    token_ = doc["baton"].GetUint64();
    if (!doc.HasMember("orders")) return;
    for (const auto& order : doc["orders"].GetArray()) {
      const std::string verb = order["verb"].GetString();
      const std::string task = order["load"].GetString();
      if (verb == "start") tasks_.try_emplace(task, Task{order["try"].GetUint64(), steady_ms()});
      if (verb == "clear" && tasks_.erase(task) > 0) ++completed_tasks_;
    }
  }

  std::string heartbeat_body() {
    sim::JsonObjectBuilder report;
    report.str("rig", id_);
    report.str("endpoint", address());
    report.str("fleet", "t");
    report.str("yard", "a");
    report.raw("standby", "false");
    report.num("shift", 1);
    report.num("tally", ++sequence_);
    report.num("baton", token_);
    std::string loads;
    for (const auto& [name, task] : tasks_) {
      sim::JsonObjectBuilder load;
      load.str("load", name);
      load.num("try", task.attempt);
      const bool finished = steady_ms() - task.started_at > kTaskDurationMs;
      load.str("status", finished ? "exited" : "running");
      if (finished) load.str("cause", "done");
      loads += (loads.empty() ? "" : ",") + load.done();
    }
    report.raw("loads", "[" + loads + "]");
    return report.done();
  }

  std::string id_, ip_, controller_;
  net::HttpClient client_;
  std::unique_ptr<net::HttpServer> server_;
  Repeater heartbeats_;
  std::map<std::string, Task> tasks_;
  std::uint64_t token_ = 0, sequence_ = 0;
  int answered_heartbeats_ = 0, completed_tasks_ = 0;
};

// Resource usage of the controller process, from /proc.
struct Usage {
  double resident_mb = 0, cpu_s = 0;
  std::size_t sockets = 0;
};

Usage usage_of(pid_t process) {
  const std::string folder = "/proc/" + std::to_string(process);
  Usage out;
  std::ifstream memory(folder + "/statm");
  double pages = 0;
  memory >> pages >> pages;
  out.resident_mb = pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
  std::ifstream stat(folder + "/stat");
  std::string field;
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;  // field numbers of proc(5)
  for (int i = 1; i <= kSystemTime && stat >> field; ++i)
    if (i >= kUserTime) out.cpu_s += std::stod(field) / static_cast<double>(sysconf(_SC_CLK_TCK));
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(folder + "/fd"))
    ++out.sockets;
  return out;
}

void print_latencies(const char* name, std::vector<double> ms) {
  if (ms.empty()) return;
  std::sort(ms.begin(), ms.end());
  std::printf("%s: median %.1f ms, 95%% %.1f ms, worst %.1f ms of %zu\n", name, ms[ms.size() / 2],
              ms[ms.size() * 95 / 100], ms.back(), ms.size());
}

std::string settings_text(const std::string& ram_mb, const std::string& fd_limit) {
  return R"(host_name = "puffin-0"
zone = "a"
bind = "127.0.0.1:18080"
peer_listen = "127.0.0.1:18081"
[external]
cloud = "127.0.0.1:18082"
state = "127.0.0.1:18083"
[settings]
size = 1
zones = ["a"]
[[settings.teams]]
name = "team"
[settings.workers]
report_s = 5.0
lease_s = 29.0
gang_wait_s = 50.0
gang_peer_s = 8.0
cancel_s = 54.0
[settings.state]
rps = 150.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 16
[settings.cloud]
rps = 8.0
list_lag_s = 3.0
[settings.machine_limits]
cpu_share = 0.16
ram_mb = )" +
         ram_mb + ".0\nfd_limit = " + fd_limit + "\n";
}

std::string job_body(int number) {
  return R"({"id":"req-)" + std::to_string(number) +
         R"(","queue":"q","crew":"team","shape":"batch","rank":"standard","loads":)" +
         std::to_string(kTasksPerJob) +
         R"(,"cpus":4,"gpus":0,"memGb":1,"kit":"i","pullGb":1,"together":false,"scatter":false,)"
         R"("standby":false,"haulS":20,"tipS":0,"stowS":0})";
}

class LoadRun {
 public:
  LoadRun(int machines, std::string ram_mb, std::string fd_limit)
      : ram_mb_(std::move(ram_mb)), fd_limit_(std::move(fd_limit)), users_(io_, {32}) {
    serve_state();
    serve_cloud();
    for (int i = 0; i < machines; ++i)
      machines_.push_back(std::make_unique<Machine>(io_, i, "127.0.0.1:18080"));
  }

  void execute(const std::string& binary, int seconds) {
    const std::string path =
        (std::filesystem::temp_directory_path() / "cluster-scheduler-fleet-load.toml").string();
    std::ofstream(path) << settings_text(ram_mb_, fd_limit_);
    const pid_t process = fork();
    if (process == 0) {
      // The controller must not inherit the fakes' sockets.
      constexpr unsigned kFirstClosedDescriptor = 3;
      close_range(kFirstClosedDescriptor, ~0U, 0);
      execl(binary.c_str(), binary.c_str(), "--config", path.c_str(), nullptr);
      _exit(127);
    }
    Repeater watch_timer(io_, 5, [this] {
      state_.expire_session_leases(steady_ms());
      state_.serve_watchers(steady_ms(), [](std::size_t) { return true; });
    });
    Repeater submit_timer(io_, kSubmitIntervalMs, [this] { submit(); });
    Repeater poll_timer(io_, kPollIntervalMs, [this] { poll(); });
    watch_timer.start_after(5);
    submit_timer.start_after(kHeartbeatMs);
    poll_timer.start_after(kHeartbeatMs);
    Usage previous;
    std::size_t most_sockets = 0;
    for (int second = 1; second <= seconds; ++second) {
      io_.run_for(milliseconds(1000));
      const Usage now = usage_of(process);
      most_sockets = std::max(most_sockets, now.sockets);
      if (second % 10 == 0) print_progress(second, now, (now.cpu_s - previous.cpu_s) / 10.0);
      if (second % 10 == 0) previous = now;
    }
    std::printf("most sockets: %zu\n", most_sockets);
    print_latencies("submissions", submit_latencies_ms_);
    print_latencies("polls", poll_latencies_ms_);
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }

 private:
  void serve_state() {
    state_server_ = std::make_unique<net::HttpServer>(
        io_, endpoint_of("127.0.0.1", 18083), 100,
        [this](std::uint64_t id, const net::HttpServer::Request& r) {
          Call call;
          call.method = r.method;
          call.path = r.path;
          call.body = r.body;
          state_.serve(steady_ms(), call, 0, [this, id](int status, const std::string& body) {
            state_server_->reply(id, status, body, 0);
          });
        });
    state_.limits.txn_ops = 16;
    state_.limits.writes_per_s = 20;
  }

  void serve_cloud() {
    cloud_server_ = std::make_unique<net::HttpServer>(
        io_, endpoint_of("127.0.0.1", 18082), 100,
        [this](std::uint64_t id, const net::HttpServer::Request& r) {
          if (r.path == "/catalog") {
            cloud_server_->reply(
                id, 200,
                R"({"fleets":[{"label":"t","cpus":16,"memGb":64,"rate":1,"readyS":1,"yards":["a"]}]})",
                0);
          } else if (r.method == "GET") {
            cloud_server_->reply(id, 200, machine_page(r.path), 0);
          } else {
            cloud_server_->reply(id, 503, R"({"error":"no capacity"})", 0);
          }
        });
  }

  std::string machine_page(const std::string& path) {
    auto parameters = sim::query_parameters(path);
    const auto page_size = std::stoul(parameters["most"]);
    std::string list;
    std::size_t listed = 0;
    bool has_more = false;
    for (const auto& machine : machines_) {
      if (machine->id() <= parameters["after"]) continue;
      if (listed++ == page_size) {
        has_more = true;
        break;
      }
      sim::JsonObjectBuilder entry;
      entry.str("id", machine->id());
      entry.str("endpoint", machine->address());
      entry.str("fleet", "t");
      entry.str("yard", "a");
      entry.raw("standby", "false");
      entry.str("status", "running");
      entry.raw("heldS", "9");
      list += (list.empty() ? "" : ",") + entry.done();
    }
    return R"({"rigs":[)" + list + R"(],"hasNext":)" + (has_more ? "true}" : "false}");
  }

  void submit() {
    const int number = 100'000 + jobs_++;
    send_timed("POST", "/v1/jobs", job_body(number), 5000, submit_latencies_ms_);
  }

  void poll() {
    if (jobs_ == 0) return;
    const int number = 100'000 + std::rand() % jobs_;  // NOLINT(concurrency-mt-unsafe)
    send_timed("GET", "/v1/jobs/req-" + std::to_string(number), "", 2000, poll_latencies_ms_);
  }

  void send_timed(const char* method, const std::string& path, const std::string& body,
                  int timeout_ms, std::vector<double>& latencies_ms) {
    users_.send({"127.0.0.1:18080", method, path, body, timeout_ms},
                [this, &latencies_ms, sent_at = Clock::now()](int status, const std::string&) {
                  if (status == 200 || status == 201) {
                    latencies_ms.push_back(Milliseconds(Clock::now() - sent_at).count());
                  } else {
                    ++refused_;
                  }
                });
  }

  void print_progress(int second, const Usage& usage, double cpu) {
    int answered_machines = 0;
    int done = 0;
    for (const auto& machine : machines_) {
      answered_machines += machine->answered_heartbeats() > 0 ? 1 : 0;
      done += machine->completed_tasks();
    }
    std::printf(
        "%3d s: %.1f MB, %zu sockets, %.3f of a core, %d heard, %d tasks done, %d jobs, "
        "%d requests refused\n",
        second, usage.resident_mb, usage.sockets, cpu, answered_machines, done, jobs_, refused_);
    std::fflush(stdout);
  }

  asio::io_context io_;
  std::string ram_mb_, fd_limit_;
  sim::FakeStateService state_;
  net::HttpClient users_;
  std::unique_ptr<net::HttpServer> state_server_, cloud_server_;
  std::vector<std::unique_ptr<Machine>> machines_;
  int jobs_ = 0, refused_ = 0;
  std::vector<double> submit_latencies_ms_, poll_latencies_ms_;
};

}  // namespace
}  // namespace scheduler

int main(int argc, char** argv) {
  if (argc != 6) {
    std::cerr << "usage: fleet_load BINARY MACHINES SECONDS RAM_MB FD_LIMIT\n";
    return 2;
  }
  try {
    scheduler::LoadRun run(std::stoi(argv[2]), argv[4], argv[5]);
    run.execute(argv[1], std::stoi(argv[3]));
  } catch (const std::exception& error) {
    std::cerr << "fleet_load: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
