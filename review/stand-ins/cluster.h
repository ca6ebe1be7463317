// Stand-ins for the state service, the cloud, workers and users, and the controllers as child
// processes, on loopback addresses and the real clock. One thread runs everything.
#pragma once

#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace review {

using Json = rapidjson::Value;
using Document = rapidjson::Document;
using scheduler::net::HttpClient;
using scheduler::net::HttpServer;
using Ms = std::int64_t;

inline Ms steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline std::string text_of(const Json& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return buffer.GetString();
}

inline std::string quoted(const std::string& text) { return "\"" + text + "\""; }

inline std::string number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// Lines with the time since the start of the run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path), began_(steady_ms()) {}
  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", static_cast<double>(steady_ms() - began_) / 1000.0);
    out_ << time << text << "\n" << std::flush;
  }
  Ms elapsed() const { return steady_ms() - began_; }

 private:
  std::ofstream out_;
  Ms began_;
};

// A free port on a loopback address of this run's own. Outgoing connections begin at 127.0.0.1, so
// that none of them takes a port that was found free here.
inline asio::ip::tcp::endpoint free_endpoint(asio::io_context& io) {
  static const auto address = [] {
    const auto id = static_cast<unsigned>(getpid());
    return asio::ip::address_v4((127U << 24) | (1 + (id >> 16) % 200) << 16 |
                                ((id >> 8) & 255U) << 8 | (1 + (id & 127U)));
  }();
  static unsigned short port = 20'000;
  for (;;) {
    const asio::ip::tcp::endpoint endpoint(address, port++);
    asio::ip::tcp::acceptor acceptor(io);
    std::error_code error;
    acceptor.open(endpoint.protocol());
    acceptor.bind(endpoint, error);
    if (!error) return endpoint;
  }
}

inline std::string address_of(const asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

using Respond = std::function<void(int status, const std::string& body)>;

// ---- state service ----

struct StateLimits {
  double rps = 0, write_rps = 0;
  std::size_t value_bytes = 16 * 1024;
  unsigned txn_ops = 24;
};

// Key-value store as in PROTOCOL, "Controller nodes -> state service". Each controller has an
// address of its own, so that it can be refused alone.
class StateService {
 public:
  enum class Mode { serves, refuses, silent };
  struct Item {
    std::string value;
    std::uint64_t stamp = 0, permit = 0;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key;
    std::optional<std::string> value;
  };

  StateLimits limits;
  std::vector<Mode> mode;  // by controller
  bool outage = false;
  std::function<void(const std::string& key, const std::optional<std::string>& value)> on_change;
  // Decides about each transaction: nothing, or the time after which it is carried out without an
  // answer.
  std::function<std::optional<Ms>(std::size_t controller, const std::string& body)> late;
  std::function<Ms()> latency = [] { return Ms{3}; };

  StateService(asio::io_context& io, std::size_t controllers)
      : mode(controllers, Mode::serves), io_(io) {
    for (std::size_t i = 0; i < controllers; ++i) {
      const auto endpoint = free_endpoint(io);
      addresses_.push_back(address_of(endpoint));
      servers_.push_back(std::make_unique<HttpServer>(
          io, endpoint, 5000, [this, i](std::uint64_t id, HttpServer::Request request) {
            after(latency(), [this, i, id, request = std::move(request)] {
              serve(i, request, [this, i, id](int status, const std::string& body) {
                servers_[i]->reply(id, status, body, 0);
              });
            });
          }));
    }
  }

  const std::string& address(std::size_t controller) const { return addresses_[controller]; }

  void set_outage(bool on) {
    if (outage && !on) renew_all();
    outage = on;
  }

  void tick() {
    expire();
    serve_watchers();
  }

  bool contains(const std::string& key) const { return items_.contains(key); }
  const std::map<std::string, Item>& items() const { return items_; }

 private:
  struct Watcher {
    std::uint64_t after;
    Ms until;
    std::size_t controller;
    Respond respond;
  };
  struct Lease {
    Ms ends, life;
  };
  struct Bucket {
    double tokens = -1;
    Ms at = 0;
    bool take(double rate, double amount, Ms now) {
      if (rate <= 0) return true;
      if (tokens < 0) tokens = rate;
      tokens = std::min(rate, tokens + rate * static_cast<double>(now - at) / 1000.0);
      at = now;
      if (tokens < amount) return false;
      tokens -= amount;
      return true;
    }
  };

  void after(Ms delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io_);
    timer->expires_after(std::chrono::milliseconds(delay));
    timer->async_wait([timer, action = std::move(action)](std::error_code error) {
      if (!error) action();
    });
  }

  static std::map<std::string, std::string> query(const std::string& path) {
    std::map<std::string, std::string> out;
    auto at = path.find('?');
    while (at != std::string::npos) {
      const auto next = path.find('&', at + 1);
      const std::string part =
          path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      const auto eq = part.find('=');
      out[part.substr(0, eq)] = eq == std::string::npos ? "" : part.substr(eq + 1);
      at = next;
    }
    return out;
  }

  std::string ledger() const { return "{\"ledger\":" + std::to_string(revision_) + "}"; }

  void serve(std::size_t controller, const HttpServer::Request& request, const Respond& respond) {
    if (mode[controller] == Mode::silent) return;
    if (outage || mode[controller] == Mode::refuses)
      return respond(503, "{\"error\":\"trouble\"}");
    expire();
    if (!requests_.take(limits.rps, 1, steady_ms())) return respond(429, "{}");
    const std::string& path = request.path;
    if (path.starts_with("/changes")) return watch(controller, path, respond);
    if (path == "/multi") {
      const auto delay = late ? late(controller, request.body) : std::nullopt;
      if (!delay) return transact(request.body, respond);
      after(*delay, [this, body = request.body] { transact(body, [](int, const std::string&) {}); });
      return;
    }
    if (path == "/holds") return grant(request.body, respond);
    if (path.starts_with("/holds/")) return lease(request, respond);
    if (path.starts_with("/store?")) return page(path, respond);
    read(path.substr(7), respond);
  }

  void transact(const std::string& body, const Respond& respond) {
    Document document;
    if (document.Parse(body.c_str()).HasParseError() || !document.IsObject())
      return respond(400, "{}");
    static const Json none(rapidjson::kArrayType);
    const Json& guards = document.HasMember("guards") ? document["guards"] : none;
    const Json& writes = document.HasMember("writes") ? document["writes"] : none;
    if (body.size() > 64 * 1024 || writes.Size() > limits.txn_ops ||
        guards.Size() > 4 * limits.txn_ops)
      return respond(400, "{\"error\":\"too large\"}");
    for (const auto& write : writes.GetArray())
      if (write.HasMember("v") && text_of(write["v"]).size() > limits.value_bytes)
        return respond(400, "{\"error\":\"too large\"}");
    if (!writes_.take(limits.write_rps, writes.Size(), steady_ms())) return respond(429, "{}");
    std::string failed;
    for (const auto& guard : guards.GetArray()) {
      const auto item = items_.find(guard["k"].GetString());
      const std::uint64_t stamp = item == items_.end() ? 0 : item->second.stamp;
      if (stamp != guard["stamp"].GetUint64())
        failed += (failed.empty() ? "" : ",") + quoted(guard["k"].GetString());
    }
    if (!failed.empty())
      return respond(409, "{\"failed\":[" + failed + "],\"ledger\":" + std::to_string(revision_) +
                              "}");
    for (const auto& write : writes.GetArray())
      if (write.HasMember("permit") && !leases_.contains(write["permit"].GetUint64()))
        return respond(400, "{\"error\":\"no such lease\"}");
    if (!writes.Empty()) ++revision_;
    for (const auto& write : writes.GetArray()) {
      if (write.HasMember("write")) {
        Item& item = items_[write["write"].GetString()];
        item.value = text_of(write["v"]);
        item.stamp = revision_;
        item.permit = write.HasMember("permit") ? write["permit"].GetUint64() : 0;
        change(write["write"].GetString(), item.value);
      } else if (items_.erase(write["remove"].GetString()) > 0) {
        change(write["remove"].GetString(), std::nullopt);
      }
    }
    respond(200, ledger());
    serve_watchers();
  }

  void change(const std::string& key, std::optional<std::string> value) {
    if (on_change) on_change(key, value);
    changes_.push_back({revision_, key, std::move(value)});
  }

  void expire() {
    if (outage) return;
    const Ms now = steady_ms();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (now <= lease->second.ends) {
        ++lease;
        continue;
      }
      end_lease(lease->first);
      lease = leases_.erase(lease);
    }
  }

  void end_lease(std::uint64_t permit) {
    for (auto item = items_.begin(); item != items_.end();) {
      if (item->second.permit == permit) {
        ++revision_;
        change(item->first, std::nullopt);
        item = items_.erase(item);
      } else {
        ++item;
      }
    }
  }

  void renew_all() {
    for (auto& [id, lease] : leases_) lease.ends = steady_ms() + lease.life;
  }

  void grant(const std::string& body, const Respond& respond) {
    Document document;
    document.Parse(body.c_str());
    const Ms life = document["lifeMs"].GetInt64();
    leases_[next_lease_] = {steady_ms() + life, life};
    respond(200, "{\"permit\":" + std::to_string(next_lease_++) + "}");
  }

  void lease(const HttpServer::Request& request, const Respond& respond) {
    const auto entry = leases_.find(std::stoull(request.path.substr(7)));
    if (entry == leases_.end()) return respond(404, "{}");
    if (request.method == "DELETE") {
      end_lease(entry->first);
      leases_.erase(entry);
    } else {
      entry->second.ends = steady_ms() + entry->second.life;
    }
    respond(200, "{}");
  }

  static std::string entry(const std::string& key, const Item& item) {
    return "{\"k\":" + quoted(key) + ",\"v\":" + item.value +
           ",\"stamp\":" + std::to_string(item.stamp) +
           (item.permit ? ",\"permit\":" + std::to_string(item.permit) : "") + "}";
  }

  void page(const std::string& path, const Respond& respond) const {
    auto parameters = query(path);
    const std::size_t most = parameters["most"].empty() ? 1000 : std::stoul(parameters["most"]);
    std::string list;
    std::size_t count = 0;
    bool more = false;
    for (auto item = items_.lower_bound(parameters["starts"]); item != items_.end(); ++item) {
      if (!item->first.starts_with(parameters["starts"])) break;
      if (!parameters["after"].empty() && item->first <= parameters["after"]) continue;
      if (count == std::min<std::size_t>(most, 1000) || list.size() > 500 * 1024) {
        more = true;
        break;
      }
      ++count;
      list += (list.empty() ? "" : ",") + entry(item->first, item->second);
    }
    respond(200, "{\"pairs\":[" + list + "],\"hasNext\":" + (more ? "true" : "false") +
                     ",\"ledger\":" + std::to_string(revision_) + "}");
  }

  void read(const std::string& key, const Respond& respond) const {
    const auto item = items_.find(key);
    item == items_.end() ? respond(404, ledger()) : respond(200, entry(key, item->second));
  }

  void watch(std::size_t controller, const std::string& path, const Respond& respond) {
    auto parameters = query(path);
    const std::uint64_t after = std::stoull(parameters["after"]);
    if (revision_ > after + 10'000) return respond(410, "{}");
    const Ms wait = parameters["blockMs"].empty() ? 0 : std::stoll(parameters["blockMs"]);
    watchers_.push_back({after, steady_ms() + wait, controller, respond});
    serve_watchers();
  }

  void serve_watchers() {
    if (outage) return;
    std::vector<Watcher> keep;
    std::vector<std::pair<Respond, std::string>> ready;
    for (auto& watcher : watchers_) {
      const bool due = revision_ > watcher.after || steady_ms() >= watcher.until;
      if (!due || mode[watcher.controller] != Mode::serves) {
        keep.push_back(std::move(watcher));
        continue;
      }
      std::string list;
      auto at = std::lower_bound(changes_.begin(), changes_.end(), watcher.after + 1,
                                 [](const Change& c, std::uint64_t r) { return c.stamp < r; });
      for (; at != changes_.end(); ++at)
        list += (list.empty() ? "" : ",") +
                (at->value ? "{\"write\":" + quoted(at->key) + ",\"v\":" + *at->value
                           : "{\"remove\":" + quoted(at->key)) +
                ",\"stamp\":" + std::to_string(at->stamp) + "}";
      ready.emplace_back(std::move(watcher.respond), "{\"ledger\":" + std::to_string(revision_) +
                                                         ",\"events\":[" + list + "]}");
    }
    watchers_ = std::move(keep);
    for (auto& [respond, body] : ready) {
      auto shared = std::make_shared<std::pair<Respond, std::string>>(std::move(respond),
                                                                      std::move(body));
      after(latency(), [shared] { shared->first(200, shared->second); });
    }
  }

  asio::io_context& io_;
  std::vector<std::string> addresses_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Watcher> watchers_;
  std::uint64_t revision_ = 0, next_lease_ = 1;
  Bucket requests_, writes_;
};

// ---- jobs, and the truth about them ----

struct JobSpec {
  std::string id, team = "team-a", shape = "batch", rank = "standard", zone, image = "img-1";
  std::string queue = "q";
  unsigned tasks = 1;
  double cpus = 2, memory = 4;
  bool together = false, scatter = false, spot = true;
  double run_s = 5, fetch_s = 0.3, tip_s = 0, stow_s = 0;
  std::string body() const {
    return "{\"id\":" + quoted(id) + ",\"queue\":" + quoted(queue) + ",\"crew\":" + quoted(team) +
           ",\"shape\":" + quoted(shape) + ",\"rank\":" + quoted(rank) +
           ",\"loads\":" + std::to_string(tasks) + ",\"cpus\":" + number(cpus) +
           ",\"gpus\":0.0,\"memGb\":" + number(memory) + ",\"kit\":" + quoted(image) +
           ",\"pullGb\":0.2,\"fleets\":null,\"yard\":" + (zone.empty() ? "null" : quoted(zone)) +
           ",\"together\":" + (together ? "true" : "false") +
           ",\"scatter\":" + (scatter ? "true" : "false") +
           ",\"standby\":" + (spot ? "true" : "false") +
           ",\"haulS\":" + (shape == "daemon" ? "0.0" : number(run_s)) +
           ",\"tipS\":" + number(tip_s) + ",\"stowS\":" + number(stow_s) + "}";
  }
};

struct Truth {
  JobSpec spec;
  std::set<unsigned> done;
  Ms asked_cancel = 0, accepted = 0, told_cancelled = 0, told_done = 0;
};

struct World;

// ---- workers ----

class Worker {
 public:
  struct Task {
    std::uint64_t attempt = 0;
    std::string status = "fetching", cause;
    bool saved = false, fails = false;
    Ms image_at = 0, gathers_at = 0, ends_at = 0, exits_at = 0, lost_peer_at = 0;
    bool on_machine() const {
      return status == "gathering" || status == "running" || status == "saving";
    }
  };

  Worker(World& world, std::string id, std::string zone, bool spot);
  void tick();
  void boot();   // the machine is up, its worker begins
  void die();    // the machine stops with all that is on it
  void hang(bool on);
  void hold_back(bool on);

  std::string id, zone, address;
  bool spot = false, up = false, dead = false, hung = false;
  bool mute = false;   // its reports reach no controller
  bool deaf = false;   // answers and direct commands to it are lost
  bool sick = false;       // every task that it starts fails
  bool held_back = false;  // as deaf, but direct commands are delivered in order afterwards
  std::optional<double> warning_s;
  std::map<std::string, Task> tasks;
  std::set<std::string> results;  // tasks whose result is kept
  std::set<std::string> images;   // fetched before
  std::uint64_t shift = 1, tally = 0, baton = 0;
  std::size_t node = 0;
  Ms last_answered_sent = 0;

  std::string report();
  void note_change() { changed_ = true; }
  // Whether its tasks as they are have been reported, and the report is answered.
  bool has_reported() const { return !in_flight_ && !changed_; }
  void exit_task(const std::string& name, const std::string& cause) {
    tasks[name].status = "exited";
    tasks[name].cause = cause;
    changed_ = true;
  }
  // Executes commands; returns false if token or session forbid it.
  bool execute(const Document& document, bool direct);
  void expire_if_due();

 private:
  void send_report();
  void start(const std::string& name, std::uint64_t attempt);
  void begin(const std::string& name);
  void on_orders(std::uint64_t request, const HttpServer::Request& r);
  void answer_orders(std::uint64_t request, const HttpServer::Request& r);

  World& world_;
  std::unique_ptr<HttpServer> server_;
  bool in_flight_ = false, changed_ = false;
  bool ticking_ = false;  // `tasks` is being walked through
  Ms next_report_ = 0, last_report_ = 0, not_before_ = 0, token_change_at_ = 0;
  std::uint64_t generation_ = 0;
  std::vector<std::pair<std::uint64_t, HttpServer::Request>> held_;
  std::function<void()> held_answer_;         // of the report that waits for it
  std::uint64_t reports_without_answer_ = 0;  // counts answers that were lost or held back
};

// ---- controllers ----

class Controller {
 public:
  Controller(World& world, std::size_t index, std::string zone);
  void write_settings();
  void start();
  void signal(int number) const { if (pid_ > 0) kill(pid_, number); }
  void end();  // SIGKILL
  // Whether the process has ended by itself.
  bool crashed();
  bool running() const { return pid_ > 0; }
  std::string name, zone, bind, peer_listen;

 private:
  World& world_;
  std::size_t index_;
  pid_t pid_ = 0;
};

// ---- the whole deployment ----

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0;
};

struct WorldSettings {
  // `binary`: the command of the deploy file, to which the path of the settings is added.
  std::string folder = "/tmp", binary, record = "record.txt";
  std::vector<std::string> controller_zones{"noor", "rabat", "noor"};
  std::vector<std::string> zones{"noor", "rabat"};
  std::vector<Team> teams{{"team-a", 0, 0}};
  double report_s = 1, lease_s = 10, gang_wait_s = 35, gang_peer_s = 4, cancel_s = 30;
  double rps = 120, write_rps = 40, value_kb = 16;
  unsigned txn_ops = 24;
  double cloud_rps = 5, list_lag_s = 3;
  double memory_mb = 56;
  int sockets = 600;
  std::string machine_type = "banc-16";
  double machine_cpus = 16, machine_gb = 128;
  std::string log_level = "info";
  std::uint64_t seed = 1;
};

struct World {
  explicit World(WorldSettings s)
      : settings(std::move(s)),
        record(settings.record),
        random(settings.seed),
        client(io, HttpClient::Limits{200}),
        state(io, settings.controller_zones.size()) {
    state.limits.rps = settings.rps;
    state.limits.write_rps = settings.write_rps;
    state.limits.value_bytes = static_cast<std::size_t>(settings.value_kb * 1024);
    state.limits.txn_ops = settings.txn_ops;
    serve_cloud();
    for (std::size_t i = 0; i < settings.controller_zones.size(); ++i)
      controllers.push_back(std::make_unique<Controller>(*this, i, settings.controller_zones[i]));
    for (auto& controller : controllers) controller->write_settings();
  }
  ~World() {
    for (auto& controller : controllers) controller->end();
  }

  WorldSettings settings;
  asio::io_context io;
  Record record;
  std::mt19937_64 random;
  HttpClient client;
  StateService state;
  std::vector<std::unique_ptr<Controller>> controllers;
  std::map<std::string, std::unique_ptr<Worker>> workers;
  std::map<std::string, Truth> jobs;
  std::vector<std::string> violations;
  int excess_starts = 0;
  // Share of direct commands that are held up, of reports that arrive again.
  double late_commands = 0, late_reports = 0;
  Ms late_commands_min = 2000, late_commands_max = 16000;
  int hosts_to_rent = 0;  // machines that the cloud still has
  int task_starts = 0;

  // Called when a direct command arrives at a machine, before anything is done with it.
  std::function<void(Worker&, const std::string& body)> before_orders;
  // Whether the worker's reports can reach the controller at the moment.
  std::function<bool(const Worker&, std::size_t)> reaches = [](const Worker&, std::size_t) {
    return true;
  };

  double uniform(double a, double b) {
    return std::uniform_real_distribution<double>(a, b)(random);
  }
  bool chance(double p) { return uniform(0, 1) < p; }
  std::size_t pick(std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(random);
  }

  // Exit code of a case: 1 if its rule was broken (violations that begin with `rule`), 2 if only
  // another one was, so that the case says nothing about its own, otherwise 0.
  int exit_code(const std::string& rule) const {
    const bool broken = std::any_of(violations.begin(), violations.end(), [&rule](const auto& v) {
      return v.starts_with(rule + ":");
    });
    if (broken) return 1;
    return violations.empty() ? 0 : 2;
  }

  void violation(const std::string& text) {
    violations.push_back(text);
    record.line("VIOLATION " + text);
  }

  void after(Ms delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io);
    timer->expires_after(std::chrono::milliseconds(delay));
    timer->async_wait([timer, action = std::move(action)](std::error_code error) {
      if (!error) action();
    });
  }

  Worker& add_worker(const std::string& zone, bool spot, bool booted = true) {
    char id[16];
    std::snprintf(id, sizeof id, "n-%06d", ++last_machine_);
    auto& worker = workers[id] = std::make_unique<Worker>(*this, id, zone, spot);
    listed_from_[id] = 0;
    rented_at_[id] = steady_ms();
    if (booted) worker->boot();
    return *worker;
  }

  void run_for(Ms duration) {
    const Ms end = steady_ms() + duration;
    while (steady_ms() < end) {
      io.run_for(std::chrono::milliseconds(10));
      if (io.stopped()) io.restart();
      state.tick();
      for (auto& [id, worker] : workers) worker->tick();
      tick_gangs();
      for (auto& controller : controllers)
        if (controller->crashed()) violation("crash: " + controller->name + " ended by itself");
      check_cancelled();
    }
  }

  // Gangs as in PROTOCOL, "Gangs": the tasks of an attempt start and complete together.
  void tick_gangs() {
    std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker*, std::string>>>
        attempts;
    for (auto& [id, worker] : workers) {
      if (!worker->up || worker->hung) continue;
      for (auto& [name, task] : worker->tasks) {
        const std::string job = name.substr(0, name.find('/'));
        if (jobs[job].spec.shape == "ensemble" && task.on_machine())
          attempts[{job, task.attempt}].emplace_back(worker.get(), name);
      }
    }
    const Ms now = steady_ms();
    for (auto& [key, members] : attempts) {
      const auto& spec = jobs[key.first].spec;
      const bool complete = members.size() == spec.tasks;
      for (auto& [worker, name] : members) {
        Worker::Task& task = worker->tasks[name];
        const bool gathering = task.status == "gathering";
        if (gathering && complete && all_gathering(members)) {
          for (auto& [other, other_name] : members) {
            other->tasks[other_name].status = "running";
            other->tasks[other_name].ends_at = now + static_cast<Ms>(spec.run_s * 1000);
            other->note_change();
            record.line("runs " + other_name + " try " + std::to_string(key.second) + " on " +
                        other->id);
          }
          break;
        }
        if (gathering && now - task.gathers_at > settings.gang_wait_s * 1000)
          worker->exit_task(name, "alone");
        if (gathering) continue;
        if (complete) task.lost_peer_at = 0;
        if (!complete && task.lost_peer_at == 0) task.lost_peer_at = now;
        if (!complete && now - task.lost_peer_at > settings.gang_peer_s * 500)
          worker->exit_task(name, "peers");
      }
    }
  }

  static bool all_gathering(const std::vector<std::pair<Worker*, std::string>>& members) {
    return std::all_of(members.begin(), members.end(), [](const auto& member) {
      return member.first->tasks[member.second].status == "gathering";
    });
  }

  void check_cancelled() {
    for (auto& [id, worker] : workers) {
      if (!worker->up) continue;
      for (auto& [name, task] : worker->tasks) {
        if (!task.on_machine()) continue;
        Truth& job = jobs[name.substr(0, name.find('/'))];
        if (job.told_cancelled == 0 || reported_late_.contains(name)) continue;
        if (steady_ms() - job.told_cancelled <= settings.cancel_s * 1000) continue;
        worker->expire_if_due();
        if (!worker->tasks.contains(name)) break;
        reported_late_.insert(name);
        violation("ran_cancelled: " + name + " is on " + id + " later than cancel_s");
        break;
      }
    }
  }

  // ---- requests of users ----
  struct Answer {
    int status = 0;
    std::string body, state;
    Ms sent = 0, at = 0;
  };
  void request(std::size_t node, const std::string& method, const std::string& path,
               const std::string& body, Ms timeout, std::function<void(const Answer&)> done) {
    const Ms sent = steady_ms();
    client.send({controllers[node]->bind, method, path, body, timeout},
                [this, sent, node, method, path, done = std::move(done)](int status,
                                                                         std::string answer) {
                  Answer a;
                  a.status = status;
                  a.body = std::move(answer);
                  a.sent = sent;
                  a.at = steady_ms();
                  Document document;
                  if (!document.Parse(a.body.c_str()).HasParseError() && document.IsObject() &&
                      document.HasMember("status") && document["status"].IsString())
                    a.state = document["status"].GetString();
                  record.line("user " + method + " " + path + " at " + controllers[node]->name +
                              " -> " + std::to_string(a.status) + " " + a.body);
                  done(a);
                });
  }

  // Judges an answer about a job by what was told before the request was sent.
  void judge(const std::string& id, const Answer& answer, const char* what) {
    Truth& job = jobs[id];
    const std::string told = std::string(what) + " of " + id + " answered " +
                             std::to_string(answer.status) + " " + answer.state;
    if (job.accepted != 0 && job.accepted <= answer.sent &&
        (answer.status == 404 || answer.status == 400 || answer.status == 422))
      violation("forgotten: " + told);
    if (answer.status != 200 && answer.status != 201) return;
    if (job.told_done != 0 && job.told_done <= answer.sent && answer.state != "done")
      violation("went_back: " + told + " after done");
    if (job.told_cancelled != 0 && job.told_cancelled <= answer.sent &&
        answer.state != "withdrawn")
      violation("went_back: " + told + " after withdrawn");
    if (answer.state == "done") {
      if (job.done.size() < job.spec.tasks) violation("not_done: " + told);
      if (job.told_done == 0) job.told_done = answer.at;
    }
    if (answer.state == "withdrawn") {
      if (job.asked_cancel == 0) violation("went_back: " + told + " but nobody cancelled it");
      if (job.told_cancelled == 0) job.told_cancelled = answer.at;
    }
  }

  void submit(const JobSpec& spec, std::function<void()> accepted = [] {}, int tries = 0) {
    if (tries == 0) jobs[spec.id].spec = spec;
    const std::size_t node = pick(controllers.size());
    request(node, "POST", "/v1/jobs", spec.body(), 5000,
            [this, spec, accepted = std::move(accepted), tries](const Answer& answer) {
              judge(spec.id, answer, "submission");
              if (answer.status == 200 || answer.status == 201) {
                if (jobs[spec.id].accepted == 0) jobs[spec.id].accepted = answer.at;
                accepted();
                return;
              }
              if (answer.status == 400 || answer.status == 422 || tries > 30) return;
              after(1000, [this, spec, accepted, tries] { submit(spec, accepted, tries + 1); });
            });
  }

  void poll(const std::string& id, std::size_t node,
            std::function<void(const Answer&)> done = [](const Answer&) {}) {
    request(node, "GET", "/v1/jobs/" + id, "", 2000,
            [this, id, done = std::move(done)](const Answer& answer) {
              judge(id, answer, "poll");
              done(answer);
            });
  }

  void cancel(const std::string& id, std::function<void()> told = [] {},
              std::optional<std::size_t> at_node = std::nullopt, int tries = 0) {
    if (jobs[id].asked_cancel == 0) jobs[id].asked_cancel = steady_ms();
    const std::size_t node = at_node ? *at_node : pick(controllers.size());
    request(node, "POST", "/v1/jobs/" + id + "/withdraw", "", 5000,
            [this, id, told = std::move(told), tries](const Answer& answer) {
              judge(id, answer, "cancellation");
              if (answer.status == 200) return told();
              if (tries > 60) return;
              after(1000, [this, id, told, tries] { cancel(id, told, std::nullopt, tries + 1); });
            });
  }

  double used(const std::string& team) {
    double sum = 0;
    for (auto& [id, worker] : workers) {
      if (!worker->up) continue;
      worker->expire_if_due();
      for (auto& [name, task] : worker->tasks) {
        const auto& spec = jobs[name.substr(0, name.find('/'))].spec;
        if (task.on_machine() && spec.team == team) sum += spec.cpus;
      }
    }
    return sum;
  }

  // A task has completed. If a task of a gang has, all have.
  void on_done(const std::string& name) {
    Truth& job = jobs[name.substr(0, name.find('/'))];
    job.done.insert(static_cast<unsigned>(std::stoul(name.substr(name.find('/') + 1))));
    for (unsigned task = 0; job.spec.shape == "ensemble" && task < job.spec.tasks; ++task)
      job.done.insert(task);
  }

  // Number of further tasks of the job that the machine has room for.
  unsigned room_for(const JobSpec& spec, const Worker& worker) const {
    if (!worker.up || worker.hung || worker.warning_s || worker.sick ||
        (!spec.zone.empty() && spec.zone != worker.zone) || (worker.spot && !spec.spot))
      return 0;
    double free = settings.machine_cpus, free_gb = settings.machine_gb;
    for (const auto& [name, task] : worker.tasks) {
      if (task.status == "exited") continue;
      const auto& other = jobs.at(name.substr(0, name.find('/'))).spec;
      free -= other.cpus;
      free_gb -= other.memory;
    }
    return static_cast<unsigned>(
        std::max(0.0, std::min((free + 1e-6) / spec.cpus, (free_gb + 1e-6) / spec.memory)));
  }

  // Updates since when each job has waited although machines that fit have room and its team is
  // under its limit. To be called about once a second.
  void watch_waiting() {
    std::map<std::string, std::set<std::string>> present;  // tasks on machines, or being fetched
    std::map<std::string, double> team_used;
    for (const auto& [id, worker] : workers) {
      if (!worker->up) continue;
      for (const auto& [name, task] : worker->tasks) {
        if (task.status == "exited") continue;
        const std::string job = name.substr(0, name.find('/'));
        present[job].insert(name);
        team_used[jobs[job].spec.team] += jobs[job].spec.cpus;
      }
    }
    for (auto& [id, job] : jobs) {
      const JobSpec& spec = job.spec;
      const bool gang = spec.shape == "ensemble";
      const bool waits = job.accepted != 0 && job.asked_cancel == 0 && job.told_done == 0 &&
                         (gang ? present[id].empty() && job.done.empty()
                               : present[id].size() + job.done.size() < spec.tasks);
      const double wanted = spec.cpus * (gang ? spec.tasks : 1);
      const auto team = std::find_if(settings.teams.begin(), settings.teams.end(),
                                     [&](const Team& t) { return t.name == spec.team; });
      const bool allowed = team == settings.teams.end() || team->cpus_max <= 0 ||
                           team_used[spec.team] + wanted <= team->cpus_max + 1e-6;
      std::map<std::string, unsigned> room;  // by zone; "": all
      for (const auto& [machine, worker] : workers) {
        const unsigned fit = room_for(spec, *worker);
        room[worker->zone] += fit;
        if (!spec.together) room[""] += fit;
      }
      const unsigned needed = gang ? spec.tasks : 1;
      const bool fits = std::any_of(room.begin(), room.end(),
                                    [&](const auto& zone) { return zone.second >= needed; });
      if (!waits || !allowed || !fits) {
        waiting_since[id] = 0;
      } else if (waiting_since[id] == 0) {
        waiting_since[id] = steady_ms();
      }
    }
  }
  std::map<std::string, Ms> waiting_since;  // 0: doesn't wait beside room

  // Called when a task has its image and begins to run.
  void on_started(Worker& on, const std::string& name) {
    ++task_starts;
    const std::string id = name.substr(0, name.find('/'));
    const Truth& job = jobs[id];
    unsigned in_zone = 0;
    for (auto& [machine, worker] : workers) {
      if (!worker->up) continue;
      worker->expire_if_due();
      for (auto& [other, task] : worker->tasks) {
        if (!task.on_machine()) continue;
        if (other == name && worker.get() != &on)
          violation("ran_twice: " + name + " starts on " + on.id + " while on " + machine +
                    " try " + std::to_string(task.attempt));
        if (other.substr(0, other.find('/')) != id || (other == name && worker.get() == &on))
          continue;
        if (job.spec.together && worker->zone != on.zone)
          violation("wrong_place: " + name + " starts in " + on.zone + " while " + other +
                    " is in " + worker->zone);
        if (worker->zone == on.zone) ++in_zone;
      }
    }
    if (job.spec.scatter && in_zone + 1 > (job.spec.tasks + 1) / 2)
      violation("wrong_place: " + name + " starts as number " + std::to_string(in_zone + 1) +
                " in " + on.zone);
    if ((!job.spec.zone.empty() && job.spec.zone != on.zone) || (on.spot && !job.spec.spot))
      violation("wrong_place: " + name + " starts on " + on.id);
    if (job.told_cancelled != 0 &&
        steady_ms() - job.told_cancelled > settings.cancel_s * 1000)
      violation("ran_cancelled: " + name + " starts on " + on.id + " later than cancel_s");
    for (const Team& team : settings.teams)
      if (team.name == job.spec.team && team.cpus_max > 0 && used(team.name) > team.cpus_max + 1e-6)
        violation("quota: " + team.name + " uses " + number(used(team.name)) + " with " + name);
  }

 private:
  // ---- cloud ----
  void serve_cloud() {
    const auto endpoint = free_endpoint(io);
    cloud_address = address_of(endpoint);
    cloud_ = std::make_unique<HttpServer>(
        io, endpoint, 1000, [this](std::uint64_t id, HttpServer::Request request) {
          after(50, [this, id, request = std::move(request)] {
            const auto [status, body] = answer_cloud(request);
            cloud_->reply(id, status, body, 0);
          });
        });
  }

  std::pair<int, std::string> answer_cloud(const HttpServer::Request& request) {
    if (request.path == "/catalog") {
      std::string yards;
      for (const auto& zone : settings.zones) yards += (yards.empty() ? "" : ",") + quoted(zone);
      return {200,
              "{\"fleets\":[{\"label\":" + quoted(settings.machine_type) +
                  ",\"cpus\":" + number(settings.machine_cpus) +
                  ",\"gpus\":0,\"memGb\":" + number(settings.machine_gb) + ","
              "\"localGb\":70,\"fetchGbPerS\":0.8,\"rate\":1.49,\"marketPrice\":0.47,"
              "\"readyS\":20,\"yards\":[" + yards + "]}]}"};
    }
    if (request.path.starts_with("/hosts?")) return {200, list(request.path)};
    Document document;
    document.Parse(request.body.c_str());
    if (request.path == "/hosts/return") {
      record.line("cloud return " + request.body);
      for (const auto& rig : document["rigs"].GetArray()) {
        const auto worker = workers.find(rig.GetString());
        if (worker == workers.end()) continue;
        worker->second->die();
        listed_from_.erase(rig.GetString());
        gone_.insert(rig.GetString());
      }
      return {200, "{}"};
    }
    record.line("cloud rent " + request.body);
    const std::string hire = document["hire"].GetString();
    if (const auto known = hires_.find(hire); known != hires_.end()) return {200, known->second};
    if (hosts_to_rent <= 0) return {503, "{\"error\":\"no capacity\"}"};
    std::string rigs;
    for (unsigned i = 0; i < document["number"].GetUint() && hosts_to_rent > 0; ++i) {
      --hosts_to_rent;
      Worker& worker = add_worker(document["yard"].GetString(), document["standby"].GetBool(), false);
      listed_from_[worker.id] = steady_ms() + static_cast<Ms>(settings.list_lag_s * 1000);
      rigs += (rigs.empty() ? "" : ",") + quoted(worker.id);
      after(static_cast<Ms>(uniform(1000, 6000)), [id = worker.id, this] {
        if (!workers[id]->dead) workers[id]->boot();
      });
    }
    hires_[hire] = "{\"rigs\":[" + rigs + "]}";
    return {200, hires_[hire]};
  }

  std::string list(const std::string& path) {
    const auto at = path.find("after=") + 6;
    const std::string after_id = path.substr(at, path.find('&', at) - at);
    std::string rigs;
    for (const auto& [id, from] : listed_from_) {
      if (id <= after_id || steady_ms() < from) continue;
      const Worker& worker = *workers[id];
      const bool failed = worker.dead && steady_ms() - died_at_[id] > 30'000;
      rigs += (rigs.empty() ? "" : ",") + ("{\"id\":" + quoted(id)) +
              ",\"endpoint\":" + quoted(worker.address) + ",\"fleet\":" + quoted(settings.machine_type) +
              ",\"yard\":" + quoted(worker.zone) + ",\"standby\":" + (worker.spot ? "true" : "false") +
              ",\"status\":\"" +
              (failed ? "failed" : (worker.up || worker.dead) ? "running" : "starting") +
              "\",\"heldS\":" +
              number(static_cast<double>(steady_ms() - rented_at_[id]) / 1000.0) + "}";
    }
    return "{\"rigs\":[" + rigs + "],\"hasNext\":false}";
  }

 public:
  std::string cloud_address;
  std::map<std::string, Ms> died_at_;

 private:
  std::unique_ptr<HttpServer> cloud_;
  std::map<std::string, Ms> listed_from_, rented_at_;
  std::set<std::string> gone_, reported_late_;
  std::map<std::string, std::string> hires_;
  int last_machine_ = 0;
};

// ---- implementation of the worker ----

inline Worker::Worker(World& world, std::string machine, std::string in_zone, bool is_spot)
    : id(std::move(machine)), zone(std::move(in_zone)), spot(is_spot), world_(world) {
  const auto endpoint = free_endpoint(world.io);
  address = address_of(endpoint);
  server_ = std::make_unique<HttpServer>(
      world.io, endpoint, 200,
      [this](std::uint64_t request, HttpServer::Request r) { on_orders(request, r); });
}

inline void Worker::boot() {
  up = true;
  node = world_.pick(world_.controllers.size());
  last_answered_sent = steady_ms();
  next_report_ = steady_ms() + static_cast<Ms>(world_.uniform(0, 500));
}

inline void Worker::die() {
  if (dead) return;
  for (const auto& [name, task] : tasks)
    if (task.status != "exited") world_.record.line("gone " + name + " with " + id);
  dead = true;
  up = false;
  tasks.clear();
  ++generation_;
  world_.died_at_[id] = steady_ms();
}

inline void Worker::hang(bool on) {
  if (!up) return;
  if (hung && !on) {
    hung = false;
    expire_if_due();
    for (auto& [request, r] : std::exchange(held_, {})) answer_orders(request, r);
    return;
  }
  hung = on;
}

inline void Worker::hold_back(bool on) {
  held_back = on;
  if (on || !up) return;
  for (auto& [request, r] : std::exchange(held_, {})) {
    world_.record.line("held message reaches " + id + ": " + r.path + " " + r.body);
    answer_orders(request, r);
  }
  if (!held_answer_) return;
  ++reports_without_answer_;
  std::exchange(held_answer_, nullptr)();
}

inline void Worker::expire_if_due() {
  const Ms lease = static_cast<Ms>(world_.settings.lease_s * 1000);
  const Ms now = steady_ms();
  if (ticking_ || now - last_answered_sent <= lease) return;
  for (const auto& [name, task] : tasks)
    if (task.status != "exited")
      world_.record.line("killed " + name + " on " + id + ": the lease has expired");
  tasks.clear();
  ++shift;
  ++generation_;
  last_answered_sent = now;
  changed_ = true;
}

inline std::string Worker::report() {
  ++tally;
  std::string loads;
  for (const auto& [name, task] : tasks) {
    loads += (loads.empty() ? "" : ",") + ("{\"load\":" + quoted(name)) +
             ",\"try\":" + std::to_string(task.attempt) + ",\"status\":" + quoted(task.status);
    if (task.status == "exited") loads += ",\"cause\":" + quoted(task.cause);
    if (task.saved) loads += ",\"saved\":true";
    loads += "}";
  }
  return "{\"rig\":" + quoted(id) + ",\"endpoint\":" + quoted(address) +
         ",\"fleet\":" + quoted(world_.settings.machine_type) + ",\"yard\":" + quoted(zone) +
         ",\"standby\":" + (spot ? "true" : "false") + ",\"shift\":" + std::to_string(shift) +
         ",\"tally\":" + std::to_string(tally) + ",\"baton\":" + std::to_string(baton) +
         ",\"warningS\":" + (warning_s ? number(*warning_s) : "null") + ",\"loads\":[" + loads +
         "]}";
}

// The task has its image.
inline void Worker::begin(const std::string& name) {
  Task& task = tasks[name];
  const Ms now = steady_ms();
  const auto& spec = world_.jobs[name.substr(0, name.find('/'))].spec;
  const std::string text = name + " try " + std::to_string(task.attempt) + " on " + id;
  images.insert(spec.image);
  changed_ = true;
  if (results.contains(name)) {
    task.status = "exited";
    task.cause = "done";
    return;
  }
  if (spec.shape == "ensemble") {
    task.status = "gathering";
    task.gathers_at = now;
    world_.record.line("gathers " + text);
  } else {
    task.status = "running";
    task.fails = sick;
    task.ends_at = sick                      ? now + 200
                   : spec.shape == "daemon" ? now + 1'000'000
                       : now + static_cast<Ms>(spec.run_s * 1000 * world_.uniform(0.9, 1.1));
    world_.record.line("runs " + text);
  }
  world_.on_started(*this, name);
}

inline void Worker::tick() {
  if (!up || hung) return;
  const Ms now = steady_ms();
  expire_if_due();
  ticking_ = true;
  for (auto& [name, task] : tasks) {
    if (task.status == "fetching" && now >= task.image_at) {
      begin(name);
    } else if (task.status == "running" && now >= task.ends_at && task.fails) {
      exit_task(name, "error");
      world_.record.line("error " + name + " try " + std::to_string(task.attempt) + " on " + id);
    } else if (task.status == "running" && now >= task.ends_at) {
      task.status = "exited";
      task.cause = "done";
      results.insert(name);
      world_.on_done(name);
      changed_ = true;
      world_.record.line("done " + name + " try " + std::to_string(task.attempt) + " on " + id);
    } else if (task.status == "saving" && now >= task.exits_at) {
      task.status = "exited";
      task.cause = "stopped";
      task.saved = true;
      changed_ = true;
    }
  }
  ticking_ = false;
  if (in_flight_ || now < not_before_) return;
  if (now >= next_report_ || (changed_ && now - last_report_ >= 500)) send_report();
}

inline void Worker::send_report() {
  in_flight_ = true;
  changed_ = false;
  const Ms sent = steady_ms();
  last_report_ = sent;
  next_report_ =
      sent + static_cast<Ms>(world_.settings.report_s * 1000 * world_.uniform(0.75, 1.25));
  const std::string body = report();
  const std::uint64_t generation = generation_;
  const auto next_node = [this] {
    node = (node + 1) % world_.controllers.size();
    not_before_ = steady_ms() + 1000;
    next_report_ = not_before_;
  };
  if (world_.chance(world_.late_reports)) {
    const std::size_t to = world_.pick(world_.controllers.size());
    world_.after(static_cast<Ms>(world_.uniform(2000, world_.settings.lease_s * 2500)),
                 [this, body, to] {
                   world_.client.send(
                       {world_.controllers[to]->bind, "POST", "/hello", body, 4000},
                       [](int, const std::string&) {});
                 });
  }
  if (mute || !world_.reaches(*this, node)) {
    world_.after(4000, [this, next_node] {
      in_flight_ = false;
      next_node();
    });
    return;
  }
  const auto on_answer = [this, sent, generation, next_node](int status,
                                                             const std::string& answer) {
    in_flight_ = false;
    if (!up || hung) return;
    Document document;
    const bool parsed = !document.Parse(answer.c_str()).HasParseError() && document.IsObject();
    if (status == 200 && parsed) {
      expire_if_due();
      if (generation != generation_) return;
      if (execute(document, false)) last_answered_sent = std::max(last_answered_sent, sent);
      return;
    }
    if (status == 421 && parsed && document.HasMember("dispatcher")) {
      for (std::size_t i = 0; i < world_.controllers.size(); ++i) {
        if (world_.controllers[i]->name != document["dispatcher"].GetString() || i == node)
          continue;
        node = i;
        not_before_ = steady_ms() + static_cast<Ms>(world_.uniform(0, 500));
        next_report_ = not_before_;
        return;
      }
    }
    next_node();
  };
  world_.client.send(
      {world_.controllers[node]->bind, "POST", "/hello", body, 4000},
      [this, sent, on_answer, next_node](int status, const std::string& answer) {
        if (!deaf && !held_back) return on_answer(status, answer);
        // The answer is lost or held back; after 4 s the worker drops it.
        held_answer_ = [on_answer, status, answer] { on_answer(status, answer); };
        if (deaf) held_answer_ = nullptr;
        const std::uint64_t report = ++reports_without_answer_;
        world_.after(std::max<Ms>(0, sent + 4000 - steady_ms()), [this, report, next_node] {
          if (report != reports_without_answer_) return;
          held_answer_ = nullptr;
          in_flight_ = false;
          next_node();
        });
      });
}

inline bool Worker::execute(const Document& document, bool direct) {
  if (!document.HasMember("baton") || document["baton"].GetUint64() < baton) return false;
  if (direct && (!document.HasMember("shift") || document["shift"].GetUint64() != shift))
    return false;
  if (document["baton"].GetUint64() > baton) {
    baton = document["baton"].GetUint64();
    if (steady_ms() - token_change_at_ >= world_.settings.lease_s * 500) {
      token_change_at_ = steady_ms();
      changed_ = true;
    }
  }
  if (!document.HasMember("orders")) return true;
  for (const auto& order : document["orders"].GetArray()) {
    const std::string verb = order["verb"].GetString();
    const std::string name = order["load"].GetString();
    const std::uint64_t attempt = order["try"].GetUint64();
    world_.record.line("order " + verb + " " + name + " try " + std::to_string(attempt) + " on " +
                       id + (direct ? " direct" : "") + " baton " + std::to_string(baton));
    const auto task = tasks.find(name);
    const bool same = task != tasks.end() && task->second.attempt == attempt;
    if (verb == "start" && !same) start(name, attempt);
    if (verb == "clear" && same && task->second.status == "exited") tasks.erase(task);
    if (verb == "halt" && same && task->second.status != "exited") {
      const auto& spec = world_.jobs[name.substr(0, name.find('/'))].spec;
      const double grace = order.HasMember("leewayS") ? order["leewayS"].GetDouble() : 0;
      changed_ = true;
      if (task->second.status == "running" && spec.tip_s > 0 && grace >= spec.stow_s) {
        task->second.status = "saving";
        task->second.exits_at = steady_ms() + static_cast<Ms>(spec.stow_s * 1000);
      } else if (task->second.status != "saving" || grace <= 0) {
        task->second.status = "exited";
        task->second.cause = "stopped";
        world_.record.line("halted " + name + " try " + std::to_string(attempt) + " on " + id);
      }
    }
  }
  return true;
}

inline void Worker::start(const std::string& name, std::uint64_t attempt) {
  const std::string job = name.substr(0, name.find('/'));
  const Truth& truth = world_.jobs[job];
  if (truth.spec.id.empty()) world_.violation("start of " + name + " that nobody submitted");
  if (truth.told_cancelled != 0)
    world_.violation("ran_cancelled: start of " + name + " on " + id + " after it was confirmed " +
                     std::to_string(steady_ms() - truth.told_cancelled) + " ms ago");
  Task task;
  task.attempt = attempt;
  double free = world_.settings.machine_cpus, free_gb = world_.settings.machine_gb;
  for (const auto& [other, running] : tasks) {
    if (running.status == "exited") continue;
    const auto& spec = world_.jobs[other.substr(0, other.find('/'))].spec;
    free -= spec.cpus;
    free_gb -= spec.memory;
  }
  const auto existing = tasks.find(name);
  changed_ = true;
  if (existing != tasks.end() && existing->second.status != "exited") return;  // busy
  if (free + 1e-6 < truth.spec.cpus || free_gb + 1e-6 < truth.spec.memory) {
    task.status = "exited";
    task.cause = "no_room";
  } else {
    const bool cached = images.contains(truth.spec.image);
    task.image_at = steady_ms() + (cached ? 0 : static_cast<Ms>(truth.spec.fetch_s * 1000));
  }
  tasks[name] = task;
  if (task.status == "fetching" && images.contains(truth.spec.image)) begin(name);
}

inline void Worker::on_orders(std::uint64_t request, const HttpServer::Request& r) {
  if (!up || deaf) return;
  if (world_.before_orders && r.path == "/orders") world_.before_orders(*this, r.body);
  if (hung || held_back) {
    held_.emplace_back(request, r);
    return;
  }
  if (r.path == "/orders" && world_.chance(world_.late_commands)) {
    world_.after(static_cast<Ms>(world_.uniform(static_cast<double>(world_.late_commands_min),
                                                static_cast<double>(world_.late_commands_max))),
                 [this, request, r] {
                   if (!up) return;
                   if (hung) {
                     held_.emplace_back(request, r);
                   } else {
                     world_.record.line("late command on " + id + " " + r.body);
                     answer_orders(request, r);
                   }
                 });
    return;
  }
  answer_orders(request, r);
}

inline void Worker::answer_orders(std::uint64_t request, const HttpServer::Request& r) {
  expire_if_due();
  if (r.path == "/status") return server_->reply(request, 200, report(), 0);
  Document document;
  if (document.Parse(r.body.c_str()).HasParseError() || !document.IsObject() ||
      !document.HasMember("baton") || !document.HasMember("shift"))
    return server_->reply(request, 400, "{}", 0);
  const bool executed = execute(document, true);
  server_->reply(request, executed ? 200 : 409, report(), 0);
}

// ---- implementation of the controller ----

inline Controller::Controller(World& world, std::size_t index, std::string in_zone)
    : name("puffin-" + std::to_string(index)),
      zone(std::move(in_zone)),
      bind(address_of(free_endpoint(world.io))),
      peer_listen(address_of(free_endpoint(world.io))),
      world_(world),
      index_(index) {}

inline void Controller::write_settings() {
  const WorldSettings& s = world_.settings;
  std::ofstream out(s.folder + "/" + name + ".toml");
  out << std::fixed;
  out << "host_name = \"" << name << "\"\nzone = \"" << zone << "\"\nbind = \"" << bind
      << "\"\npeer_listen = \"" << peer_listen << "\"\n";
  for (const auto& other : world_.controllers)
    if (other.get() != this)
      out << "[[known]]\nhost_name = \"" << other->name << "\"\nzone = \"" << other->zone
          << "\"\npeer_addr = \"" << other->peer_listen << "\"\n";
  out << "[external]\ncloud = \"" << world_.cloud_address << "\"\nstate = \""
      << world_.state.address(index_) << "\"\n[settings]\nsize = " << world_.controllers.size()
      << "\nclock_off_ms = 25.0\nzones = [";
  for (std::size_t i = 0; i < s.zones.size(); ++i) out << (i ? ", " : "") << quoted(s.zones[i]);
  out << "]\n";
  for (const Team& team : s.teams)
    out << "[[settings.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus
        << "\ncpus_max = " << team.cpus_max << "\ngpus = 0.0\ngpus_max = 0.0\n";
  out << "[settings.workers]\nreport_s = " << s.report_s << "\nlease_s = " << s.lease_s
      << "\ngang_wait_s = " << s.gang_wait_s << "\ngang_peer_s = " << s.gang_peer_s
      << "\ncancel_s = " << s.cancel_s << "\n[settings.state]\nrps = " << s.rps
      << "\nwrite_rps = " << s.write_rps << "\nvalue_kb = " << s.value_kb
      << "\ntxn_ops = " << s.txn_ops << "\n[settings.cloud]\nrps = " << s.cloud_rps
      << "\nlist_lag_s = " << s.list_lag_s << "\n[settings.machine_limits]\ncpu_share = 0.096\n"
      << "ram_mb = " << s.memory_mb << "\nfd_limit = " << s.sockets << "\n";
}

inline void Controller::start() {
  const std::string settings = world_.settings.folder + "/" + name + ".toml";
  const std::string log = world_.settings.folder + "/" + name + ".log";
  pid_ = fork();
  if (pid_ != 0) {
    world_.record.line("started " + name);
    return;
  }
  const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(file, 2);
  dup2(file, 1);
  close_range(3, ~0U, 0);
  setenv("LOG_LEVEL", world_.settings.log_level.c_str(), 1);
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // the controller ends with this program
  std::istringstream command(world_.settings.binary + " " + settings);
  std::vector<std::string> words;
  for (std::string word; command >> word;) words.push_back(word);
  std::vector<char*> arguments;
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  execv(arguments[0], arguments.data());
  _exit(127);
}

inline void Controller::end() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
  world_.record.line("ended " + name);
}

inline bool Controller::crashed() {
  if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) == 0) return false;
  pid_ = 0;
  return true;
}

}  // namespace review
