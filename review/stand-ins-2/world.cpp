#include "world.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <asio/write.hpp>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

namespace wire = scheduler::wire;
using asio::ip::tcp;

namespace {

const auto run_began = std::chrono::steady_clock::now();

constexpr int kCommandConnections = 200;

std::string in_quotes(const std::string& text) { return "\"" + text + "\""; }

std::string number(double value) {
  std::ostringstream out;
  out << value;
  std::string text = out.str();
  if (text.find('.') == std::string::npos && text.find('e') == std::string::npos) text += ".0";
  return text;
}

std::map<std::string, std::string> query_of(const std::string& path) {
  std::map<std::string, std::string> out;
  auto at = path.find('?');
  while (at != std::string::npos) {
    const auto next = path.find('&', at + 1);
    const std::string part = path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const auto eq = part.find('=');
    if (eq != std::string::npos) out[part.substr(0, eq)] = part.substr(eq + 1);
    at = next;
  }
  return out;
}

tcp::endpoint endpoint_of(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

}  // namespace

Ms now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               run_began)
      .count();
}

std::string Job::body() const {
  return wire::object([&](wire::Writer& w) {
    wire::put(w, "id", id);
    wire::put(w, "queue", job_class);
    wire::put(w, "crew", team);
    wire::put(w, "shape", shape);
    wire::put(w, "rank", rank);
    wire::put(w, "loads", std::uint64_t{tasks});
    wire::put(w, "cpus", cpus);
    wire::put(w, "gpus", gpus);
    wire::put(w, "memGb", memory_gb);
    wire::put(w, "kit", image);
    wire::put(w, "pullGb", image_gb);
    if (!types.empty()) {
      w.Key("fleets");
      w.StartArray();
      for (const auto& type : types) wire::put_text(w, type);
      w.EndArray();
    }
    if (!zone.empty()) wire::put(w, "yard", zone);
    wire::put_bool(w, "together", together);
    wire::put_bool(w, "scatter", scatter);
    wire::put_bool(w, "standby", standby);
    wire::put(w, "haulS", service() ? 0.0 : estimate_s);
    wire::put(w, "tipS", checkpoint_s);
    wire::put(w, "stowS", save_s);
    if (due_s) wire::put(w, "dueS", *due_s);
  });
}

// ---- the state service ----

bool StateService::Bucket::take(double rate, double wanted) {
  const Ms now = now_ms();
  tokens = at == 0 ? rate : std::min(rate, tokens + rate * static_cast<double>(now - at) / 1000.0);
  at = now;
  if (tokens < wanted) return false;
  tokens -= wanted;
  return true;
}

void StateService::change(const std::string& key, std::optional<std::string> value) {
  changes_.push_back({ledger_, key, std::move(value)});
  if (changes_.size() > 10'000) changes_.erase(changes_.begin());
}

void StateService::end_outage() {
  outage_ = false;
  for (auto& [id, lease] : leases_) lease.expires_at = now_ms() + lease.life;
}

void StateService::end_cut(std::size_t node) {
  cut_nodes_.erase(node);
  for (const auto& request : std::exchange(held_[node], {})) {
    if (!request.path.starts_with("/changes")) serve(node, request, [](int, const std::string&) {});
  }
}

void StateService::tick() {
  const Ms now = now_ms();
  if (!outage_) {
    for (auto lease = leases_.begin(); lease != leases_.end();) {
      if (now <= lease->second.expires_at) {
        ++lease;
        continue;
      }
      for (auto item = items_.begin(); item != items_.end();) {
        if (item->second.lease != lease->first) {
          ++item;
          continue;
        }
        ++ledger_;
        change(item->first, std::nullopt);
        item = items_.erase(item);
      }
      lease = leases_.erase(lease);
    }
  }
  std::vector<Watch> keep;
  std::vector<std::pair<std::function<void(int, std::string)>, std::string>> ready;
  for (auto& watch : watches_) {
    bool any = false;
    if (ledger_ > watch.after)
      for (auto c = changes_.rbegin(); c != changes_.rend() && c->stamp > watch.after; ++c)
        any = any || c->key.starts_with(watch.prefix);
    if (refuses(watch.node) || cut_nodes_.contains(watch.node) || (!any && now < watch.until)) {
      keep.push_back(std::move(watch));
      continue;
    }
    std::string events;
    for (const auto& c : changes_) {
      if (c.stamp <= watch.after || !c.key.starts_with(watch.prefix)) continue;
      std::string event = c.value ? "{\"write\":" + in_quotes(c.key) + ",\"v\":" + *c.value
                                  : "{\"remove\":" + in_quotes(c.key);
      event += ",\"stamp\":" + std::to_string(c.stamp) + "}";
      if (newest_first)
        events = event + (events.empty() ? "" : ",") + events;
      else
        events += (events.empty() ? "" : ",") + event;
    }
    ready.emplace_back(std::move(watch.respond),
                       "{\"ledger\":" + std::to_string(ledger_) + ",\"events\":[" + events + "]}");
  }
  watches_ = std::move(keep);
  for (auto& [respond, body] : ready) respond(200, body);
}

void StateService::page(const std::map<std::string, std::string>& query,
                        const std::function<void(int, std::string)>& respond) {
  const auto text = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  const std::string prefix = text("starts");
  const std::string start = text("after");
  std::size_t most = text("most").empty() ? 1000 : std::stoul(text("most"));
  most = std::min<std::size_t>(most, 1000);
  std::string pairs;
  std::size_t count = 0;
  bool more = false;
  for (auto item = items_.lower_bound(prefix);
       item != items_.end() && item->first.starts_with(prefix); ++item) {
    if (!start.empty() && item->first <= start) continue;
    if (count == most || pairs.size() + item->second.value.size() > 512 * 1024 - 300) {
      more = true;
      break;
    }
    ++count;
    pairs += pairs.empty() ? "" : ",";
    pairs += "{\"k\":" + in_quotes(item->first) + ",\"v\":" + item->second.value +
             ",\"stamp\":" + std::to_string(item->second.stamp) + "}";
  }
  respond(200, "{\"pairs\":[" + pairs + "],\"hasNext\":" + (more ? "true" : "false") +
                   ",\"ledger\":" + std::to_string(ledger_) + "}");
}

void StateService::transact(const std::string& body,
                            const std::function<void(int, std::string)>& respond) {
  rapidjson::Document doc;
  if (!wire::parse_object(body, doc) || body.size() > 64 * 1024)
    return respond(400, R"({"error":"malformed"})");
  const auto* guards = wire::member(doc, "guards");
  const auto* writes = wire::member(doc, "writes");
  const std::size_t write_count = writes ? writes->Size() : 0;
  const auto ops = static_cast<std::size_t>(world_.deployment.txn_ops);
  if (write_count > ops || (guards && guards->Size() > 4 * ops))
    return respond(400, R"({"error":"too large"})");
  if (writes)
    for (const auto& w : writes->GetArray())
      if (w.HasMember("v") &&
          static_cast<double>(wire::text_of(w["v"]).size()) > world_.deployment.value_kb * 1024)
        return respond(400, R"({"error":"too large"})");
  if (write_count > 0 &&
      !writes_.take(world_.deployment.state_write_rps, static_cast<double>(write_count)))
    return respond(429, "{}");
  std::string failed;
  if (guards)
    for (const auto& g : guards->GetArray()) {
      const auto item = items_.find(g["k"].GetString());
      const std::uint64_t stamp = item == items_.end() ? 0 : item->second.stamp;
      if (stamp != g["stamp"].GetUint64())
        failed += (failed.empty() ? "" : ",") + in_quotes(g["k"].GetString());
    }
  if (writes)
    for (const auto& w : writes->GetArray())
      if (w.HasMember("write") && w.HasMember("permit") && !w["permit"].IsNull() &&
          !leases_.contains(w["permit"].GetUint64()))
        return respond(400, R"({"error":"no such lease"})");
  if (!failed.empty())
    return respond(409, "{\"failed\":[" + failed + "],\"ledger\":" + std::to_string(ledger_) + "}");
  if (write_count > 0) {
    ++ledger_;
    for (const auto& w : writes->GetArray()) {
      if (w.HasMember("write")) {
        Item& item = items_[w["write"].GetString()];
        item.value = wire::text_of(w["v"]);
        item.stamp = ledger_;
        item.lease = w.HasMember("permit") && !w["permit"].IsNull() ? w["permit"].GetUint64() : 0;
        change(w["write"].GetString(), item.value);
      } else if (items_.erase(w["remove"].GetString()) > 0) {
        change(w["remove"].GetString(), std::nullopt);
      }
    }
  }
  respond(200, "{\"ledger\":" + std::to_string(ledger_) + "}");
}

void StateService::serve(std::size_t node, const HttpServer::Request& request,
                         std::function<void(int, std::string)> respond) {
  if (cut_nodes_.contains(node)) {
    held_[node].push_back(request);
    return;
  }
  if (refuses(node)) return respond(503, R"({"error":"unavailable"})");
  if (!requests_.take(world_.deployment.state_rps, 1)) return respond(429, "{}");
  const std::string path = request.path.substr(0, request.path.find('?'));
  if (path == "/multi") {
    const double draw = world_.random(0, 1);
    if (draw < late_share) {
      world_.after(world_.random(2, 12), [this, body = request.body] {
        transact(body, [](int, const std::string&) {});
        tick();
      });
      return;
    }
    const bool lost = draw < late_share + lost_share;
    transact(request.body, lost ? [](int, const std::string&) {} : respond);
    tick();
  } else if (path == "/changes") {
    auto query = query_of(request.path);
    const std::uint64_t after = query["after"].empty() ? 0 : std::stoull(query["after"]);
    if (!changes_.empty() && changes_.size() >= 10'000 && after + 1 < changes_.front().stamp)
      return respond(410, "{}");
    const Ms block = query["blockMs"].empty() ? 0 : std::stoll(query["blockMs"]);
    watches_.push_back(
        {node, query["starts"], after, now_ms() + std::min<Ms>(block, 60'000), std::move(respond)});
    tick();
  } else if (path == "/store") {
    page(query_of(request.path), respond);
  } else if (path.starts_with("/store/")) {
    const std::string key = path.substr(7);
    const auto item = items_.find(key);
    if (item == items_.end()) return respond(404, "{\"ledger\":" + std::to_string(ledger_) + "}");
    respond(200, "{\"k\":" + in_quotes(key) + ",\"v\":" + item->second.value +
                     ",\"stamp\":" + std::to_string(item->second.stamp) + "}");
  } else if (path == "/holds") {
    rapidjson::Document doc;
    std::uint64_t life = 0;
    if (!wire::parse_object(request.body, doc) || !wire::read(doc, "lifeMs", life))
      return respond(400, R"({"error":"malformed"})");
    leases_[next_lease_] = {now_ms() + static_cast<Ms>(life), static_cast<Ms>(life)};
    respond(200, "{\"permit\":" + std::to_string(next_lease_++) + "}");
  } else if (path.starts_with("/holds/")) {
    const auto lease = leases_.find(std::stoull(path.substr(7)));
    if (lease == leases_.end()) return respond(404, "{}");
    lease->second.expires_at =
        request.method == "DELETE" ? now_ms() - 1 : now_ms() + lease->second.life;
    respond(200, "{}");
  } else {
    respond(400, "{}");
  }
}

// ---- the network ----

struct Proxy::Pair {
  explicit Pair(asio::io_context& io) : from(io), to(io) {}
  tcp::socket from, to;
  std::array<char, 16384> forth{}, back{};
};

Proxy::Proxy(asio::io_context& io, const std::string& listen, const std::string& target)
    : io_(io), acceptor_(io, endpoint_of(listen)), target_(endpoint_of(target)) {
  accept();
}

void Proxy::accept() {
  auto pair = std::make_shared<Pair>(io_);
  acceptor_.async_accept(pair->from, [this, pair](std::error_code error) {
    if (error) return;
    if (!refusing_) {
      pair->to.async_connect(target_, [this, pair](std::error_code failed) {
        if (failed) {
          pair->from.close(failed);
          return;
        }
        pump(pair, true);
        pump(pair, false);
      });
    }
    accept();
  });
}

void Proxy::pump(const std::shared_ptr<Pair>& pair, bool forth) {
  tcp::socket& in = forth ? pair->from : pair->to;
  auto& buffer = forth ? pair->forth : pair->back;
  in.async_read_some(
      asio::buffer(buffer), [this, pair, forth](std::error_code error, std::size_t size) {
        const auto pass_on = [this, pair, forth, error, size] {
          tcp::socket& out = forth ? pair->to : pair->from;
          std::error_code ignored;
          if (error) {
            out.shutdown(tcp::socket::shutdown_send, ignored);
            return;
          }
          asio::async_write(out, asio::buffer((forth ? pair->forth : pair->back).data(), size),
                            [this, pair, forth](std::error_code failed, std::size_t) {
                              if (!failed) pump(pair, forth);
                            });
        };
        if (holding_)
          held_.push_back(pass_on);
        else
          pass_on();
      });
}

void Proxy::pass() {
  holding_ = false;
  for (const auto& action : std::exchange(held_, {})) action();
}

// ---- workers ----

Machine::Machine(World& world, std::string machine, const MachineType& machine_type,
                 std::string in_zone, bool is_spot)
    : id(std::move(machine)),
      zone(std::move(in_zone)),
      type(machine_type),
      spot(is_spot),
      world_(world) {
  endpoint = world.free_address();
}

void Machine::start(std::size_t first_node) {
  up = true;
  node_ = first_node;
  lease_base_ = now_ms();
  next_report_at_ = now_ms();
  server_ = std::make_unique<HttpServer>(
      world_.io, endpoint_of(endpoint), kCommandConnections,
      [this](std::uint64_t request, HttpServer::Request http) { on_orders(request, http); });
}

void Machine::stop() {
  if (!up) return;
  up = false;
  died_at = now_ms();
  for (auto& [key, task] : tasks)
    if (task.on_machine()) world_.on_task_left(*this, task, "its machine stopped");
  tasks.clear();
}

void Machine::hang() {
  hangs = true;
  hangs_since_ = now_ms();
  for (const auto& [key, task] : tasks) {
    if (task.state != "running" || !world_.jobs.at(task.job).job.gang()) continue;
    GangRun& gang = world_.gangs[{task.job, task.attempt}];
    if (gang.broken_at == 0) gang.broken_at = now_ms();
  }
}

void Machine::rejoin() {
  far_nodes.clear();
  hold_above = 0;
  for (auto& order : std::exchange(held_orders_, {})) {
    order.method = "LATE";
    on_orders(0, order);
  }
}

bool Machine::lost_lease() const {
  return hangs && now_ms() - lease_base_ > static_cast<Ms>(world_.deployment.lease_s * 1000);
}

void Machine::go_on() {
  if (!hangs) return;
  hangs = false;
  const Ms gap = now_ms() - hangs_since_;
  for (auto& [key, task] : tasks)
    if (task.ends_at != 0) task.ends_at += gap;
  auto held = std::move(held_);
  held_.clear();
  tick();  // the lease comes first
  for (auto& action : held) action();
}

std::string Machine::report_body() {
  ++tally;
  return wire::object([&](wire::Writer& w) {
    wire::put(w, "rig", id);
    wire::put(w, "endpoint", endpoint);
    wire::put(w, "fleet", type.name);
    wire::put(w, "yard", zone);
    wire::put_bool(w, "standby", spot);
    wire::put(w, "shift", shift);
    wire::put(w, "tally", tally);
    wire::put(w, "baton", baton);
    w.Key("warningS");
    if (taken_at != 0)
      w.Double(static_cast<double>(taken_at - now_ms()) / 1000.0);
    else
      w.Null();
    w.Key("loads");
    w.StartArray();
    for (const auto& [key, task] : tasks) {
      w.StartObject();
      wire::put(w, "load", task.job + "/" + std::to_string(task.index));
      wire::put(w, "try", task.attempt);
      wire::put(w, "status", task.state);
      if (task.state == "exited") {
        wire::put(w, "cause", task.cause);
        if (task.saved) wire::put_bool(w, "saved", true);
      }
      w.EndObject();
    }
    w.EndArray();
  });
}

void Machine::report() {
  in_flight_ = true;
  changed_ = false;
  const Ms sent_at = now_ms();
  last_report_at_ = sent_at;
  next_report_at_ =
      sent_at + static_cast<Ms>(world_.deployment.report_s * 1000 * world_.random(0.75, 1.25));
  std::string text = report_body();
  if (mute || far_nodes.contains(node_)) {
    world_.after(4, [this, sent_at, sent_shift = shift] { on_reply(sent_at, sent_shift, 0, ""); });
    return;
  }
  if (world_.random(0, 1) < world_.late_reports)
    world_.after(world_.random(2, world_.deployment.lease_s * 1.5), [this, text] {
      const auto node = static_cast<std::size_t>(
          world_.random(0, static_cast<double>(world_.controllers.size())));
      world_.client.send({world_.controllers[node].bind, "POST", "/hello", text, 4000},
                         [](int, const std::string&) {});
    });
  world_.client.send({world_.controllers[node_].bind, "POST", "/hello", std::move(text), 4000},
                     [this, sent_at, sent_shift = shift](int status, const std::string& body) {
                       on_reply(sent_at, sent_shift, deaf ? 0 : status, body);
                     });
}

void Machine::on_reply(Ms sent_at, std::uint64_t sent_shift, int status, const std::string& body) {
  if (!up) return;
  if (hangs) {
    held_.push_back([this, sent_at, sent_shift, status, body] {
      on_reply(sent_at, sent_shift, now_ms() - sent_at > 4000 ? 0 : status, body);
    });
    return;
  }
  in_flight_ = false;
  const Ms now = now_ms();
  rapidjson::Document doc;
  const bool object = wire::parse_object(body, doc);
  if (status == 200) {
    if (!object || sent_shift != shift) return;
    std::uint64_t token = 0;
    if (!wire::read(doc, "baton", token) || token < baton) return;
    if (token > baton) changed_ = true;
    baton = token;
    lease_base_ = std::max(lease_base_, sent_at);
    if (const auto* orders = wire::member(doc, "orders")) execute(*orders);
    return;
  }
  std::string dispatcher;
  if (status == 421 && object && wire::read(doc, "dispatcher", dispatcher)) {
    for (std::size_t i = 0; i < world_.controllers.size(); ++i) {
      if (world_.controllers[i].name != dispatcher || i == node_) continue;
      node_ = i;
      next_report_at_ = hold_until_ = now + static_cast<Ms>(world_.random(0, 500));
      return;
    }
  }
  node_ = (node_ + 1) % world_.controllers.size();
  next_report_at_ = hold_until_ = now + 1000;
}

void Machine::end_task(Task& task, const std::string& cause) {
  if (task.state == "exited") return;
  if (task.on_machine()) world_.on_task_left(*this, task, cause);
  task.state = "exited";
  task.cause = cause;
  changed();
}

void Machine::start_task(const std::string& job, unsigned index, std::uint64_t attempt) {
  if (tasks.contains({job, index, attempt})) return;
  Task task;
  task.job = job;
  task.index = index;
  task.attempt = attempt;
  changed();
  const auto refuse = [&](const char* cause) {
    task.state = "exited";
    task.cause = cause;
    world_.note("start of " + job + "/" + std::to_string(index) + " try " +
                std::to_string(attempt) + " refused by " + id + ": " + cause);
    tasks[{job, index, attempt}] = task;
  };
  const auto known = world_.jobs.find(job);
  if (known == world_.jobs.end() || !known->second.sent || index >= known->second.job.tasks)
    return refuse("no_such");
  const Job& spec = known->second.job;
  double cpus = type.cpus, gpus = type.gpus, memory = type.memory_gb;
  for (const auto& [key, other] : tasks) {
    if (other.state == "exited") continue;
    if (other.job == job && other.index == index) return refuse("busy");
    const Job& others = world_.jobs.at(other.job).job;
    cpus -= others.cpus;
    gpus -= others.gpus;
    memory -= others.memory_gb;
  }
  if (spec.cpus > cpus + 1e-6 || spec.gpus > gpus + 1e-6 || spec.memory_gb > memory + 1e-6)
    return refuse("no_room");
  const double fetch_s = images.contains(spec.image)
                             ? 0.0
                             : spec.image_gb / type.fetch_gb_per_s * world_.random(0.75, 1.33);
  task.image_at = now_ms() + static_cast<Ms>(fetch_s * 1000);
  tasks[{job, index, attempt}] = task;
}

void Machine::execute(const wire::Json& orders) {
  for (const auto& order : orders.GetArray()) {
    std::string verb, load;
    std::uint64_t attempt = 0;
    wire::read(order, "verb", verb);
    wire::read(order, "load", load);
    wire::read(order, "try", attempt);
    const auto slash = load.find('/');
    if (slash == std::string::npos) continue;
    const std::string job = load.substr(0, slash);
    const auto index = static_cast<unsigned>(std::stoul(load.substr(slash + 1)));
    const TaskKey key{job, index, attempt};
    if (verb == "start") {
      start_task(job, index, attempt);
    } else if (verb == "halt") {
      const auto task = tasks.find(key);
      if (task == tasks.end() || task->second.state == "exited") continue;
      double leeway = 0;
      wire::read(order, "leewayS", leeway);
      const Job& spec = world_.jobs.at(job).job;
      if (task->second.state == "running" && spec.checkpoint_s > 0 && leeway >= spec.save_s &&
          !spec.gang()) {
        task->second.state = "saving";
        task->second.ends_at = now_ms() + static_cast<Ms>(spec.save_s * 1000);
        changed();
      } else if (task->second.state != "saving" || leeway == 0) {
        end_task(task->second, "stopped");
      }
    } else if (verb == "clear") {
      const auto task = tasks.find(key);
      if (task != tasks.end() && task->second.state == "exited") tasks.erase(task);
    }
  }
}

void Machine::on_orders(std::uint64_t request, const HttpServer::Request& http) {
  if (!up || deaf) return;  // silent
  if (hangs) {
    held_.push_back([this, request, http] { on_orders(request, http); });
    return;
  }
  if (http.path == "/orders" && http.method == "POST" &&
      world_.random(0, 1) < world_.late_commands) {
    HttpServer::Request later = http;
    later.method = "LATE";
    world_.after(world_.random(2, 16), [this, later] { on_orders(0, later); });
    return;
  }
  if (http.path == "/status") {
    server_->reply(request, 200, report_body(), 0);
    return;
  }
  rapidjson::Document doc;
  std::uint64_t token = 0, for_shift = 0;
  if (!wire::parse_object(http.body, doc) || !wire::read(doc, "baton", token) ||
      !wire::read(doc, "shift", for_shift)) {
    server_->reply(request, 400, "{}", 0);
    return;
  }
  if (hold_above != 0 && token > hold_above) {
    held_orders_.push_back(http);
    return;
  }
  if (token < baton || for_shift != shift) {
    server_->reply(request, 409, report_body(), 0);
    return;
  }
  if (token > baton) changed();
  baton = token;
  if (const auto* orders = wire::member(doc, "orders")) execute(*orders);
  server_->reply(request, 200, report_body(), 0);
}

void Machine::tick() {
  if (up && taken_at != 0 && now_ms() >= taken_at) {
    world_.note("the cloud takes " + id + " back after its notice");
    stop();
    gone = true;
    gone_at = now_ms();
  }
  if (!up || hangs) return;
  const Ms now = now_ms();
  if (now - lease_base_ > static_cast<Ms>(world_.deployment.lease_s * 1000)) {
    for (auto& [key, task] : tasks)
      if (task.on_machine()) world_.on_task_left(*this, task, "the lease of " + id + " ended");
    tasks.clear();
    ++shift;
    lease_base_ = now;
    changed();
  }
  for (auto& [key, task] : tasks) {
    const Job& spec = world_.jobs.at(task.job).job;
    if (task.state == "fetching" && now >= task.image_at) {
      images.insert(spec.image);
      task.state = spec.gang() ? "gathering" : "running";
      task.waits_since = now;
      task.ends_at = spec.service() ? 0 : now + static_cast<Ms>(spec.run_s * 1000);
      changed();
      world_.on_task_started(*this, task);
      if (world_.done_tasks.contains({task.job, task.index}) && !spec.gang())
        end_task(task, "done");
      else if (fails_tasks)
        end_task(task, "error");
    } else if (task.state == "gathering") {
      if (now - task.waits_since > static_cast<Ms>(world_.deployment.gang_wait_s * 1000))
        end_task(task, "alone");
    } else if (task.state == "saving" && now >= task.ends_at) {
      task.saved = true;
      end_task(task, "stopped");
    } else if (task.state == "running" && spec.gang()) {
      const GangRun& gang = world_.gangs[{task.job, task.attempt}];
      if (gang.broken_at != 0 &&
          now - gang.broken_at > static_cast<Ms>(world_.deployment.gang_peer_s * 1000)) {
        end_task(task, "peers");
      } else if (gang.broken_at == 0 && now >= gang.ends_at) {
        world_.done_tasks.insert({task.job, task.index});
        end_task(task, "done");
      }
    } else if (task.state == "running" && task.ends_at != 0 && now >= task.ends_at) {
      world_.done_tasks.insert({task.job, task.index});
      end_task(task, "done");
    }
  }
  if (in_flight_) return;
  if (now >= next_report_at_ || (changed_ && now >= hold_until_ && now - last_report_at_ >= 500))
    report();
}

// ---- the cloud ----

Machine& Cloud::rent(const std::string& type, const std::string& zone, bool spot, bool up_at_once) {
  char name[32];
  std::snprintf(name, sizeof name, "n-%0*u", world_.deployment.name_digits, next_name_++);
  const MachineType* found = nullptr;
  for (const auto& t : world_.deployment.types)
    if (t.name == type) found = &t;
  auto machine = std::make_unique<Machine>(world_, name, *found, zone, spot);
  machine->rented_at = up_at_once ? now_ms() - 60'000 : now_ms();
  machine->boots_until =
      up_at_once ? now_ms()
                 : now_ms() + static_cast<Ms>(found->boot_s * 1000 * world_.random(0.6, 1.5));
  return *(machines[name] = std::move(machine));
}

void Cloud::tick() {
  for (auto& [id, machine] : machines)
    if (!machine->up && machine->died_at == 0 && !machine->gone && now_ms() >= machine->boots_until)
      machine->start(world_.pick_node());
  for (auto& [id, machine] : machines) machine->tick();
}

void Cloud::serve(const HttpServer::Request& request,
                  std::function<void(int, std::string)> respond) {
  const Ms now = now_ms();
  const double rps = world_.deployment.cloud_rps;
  tokens_ = tokens_at_ == 0
                ? 2 * rps
                : std::min(2 * rps, tokens_ + rps * static_cast<double>(now - tokens_at_) / 1000.0);
  tokens_at_ = now;
  if (tokens_ < 1) return respond(429, "{}");
  tokens_ -= 1;
  const std::string path = request.path.substr(0, request.path.find('?'));
  rapidjson::Document doc;
  if (path == "/catalog") {
    return respond(200, wire::object([&](wire::Writer& w) {
                     w.Key("fleets");
                     w.StartArray();
                     for (const auto& t : world_.deployment.types) {
                       w.StartObject();
                       wire::put(w, "label", t.name);
                       wire::put(w, "cpus", t.cpus);
                       wire::put(w, "gpus", t.gpus);
                       wire::put(w, "memGb", t.memory_gb);
                       wire::put(w, "localGb", 70.0);
                       wire::put(w, "fetchGbPerS", t.fetch_gb_per_s);
                       wire::put(w, "rate", t.price);
                       wire::put(w, "marketPrice", t.spot_price * world_.random(0.67, 1.33));
                       wire::put(w, "readyS", t.boot_s);
                       w.Key("yards");
                       w.StartArray();
                       for (const auto& zone : t.zones) wire::put_text(w, zone);
                       w.EndArray();
                       w.EndObject();
                     }
                     w.EndArray();
                   }));
  }
  if (path == "/hosts" && request.method == "GET") {
    auto query = query_of(request.path);
    const std::size_t most =
        std::min<std::size_t>(query["most"].empty() ? 500 : std::stoul(query["most"]), 500);
    const Ms at = now - static_cast<Ms>(world_.deployment.list_lag_s * 1000);
    std::size_t count = 0;
    bool more = false;
    const std::string body = wire::object([&](wire::Writer& w) {
      w.Key("rigs");
      w.StartArray();
      for (const auto& [id, m] : machines) {
        if (id <= query["after"] || m->rented_at > at || (m->gone && m->gone_at <= at)) continue;
        if (count++ == most) {
          more = true;
          break;
        }
        const bool failed = m->died_at != 0 && now - m->died_at > 30'000;
        w.StartObject();
        wire::put(w, "id", id);
        wire::put(w, "endpoint", m->endpoint);
        wire::put(w, "fleet", m->type.name);
        wire::put(w, "yard", m->zone);
        wire::put_bool(w, "standby", m->spot);
        wire::put(w, "status", failed ? "failed" : at < m->boots_until ? "starting" : "running");
        wire::put(w, "heldS", static_cast<double>(at - m->rented_at) / 1000.0);
        w.EndObject();
      }
      w.EndArray();
      wire::put_bool(w, "hasNext", more);
    });
    return respond(200, body);
  }
  if (!wire::parse_object(request.body, doc)) return respond(400, "{}");
  if (path == "/hosts/return") {
    for (const auto& rig : doc["rigs"].GetArray()) {
      const auto machine = machines.find(rig.GetString());
      if (machine == machines.end() || machine->second->gone) continue;
      world_.note("the cloud takes " + machine->first + " back, as asked");
      returned.push_back(machine->first);
      machine->second->stop();
      machine->second->died_at = std::max<Ms>(machine->second->died_at, 1);
      machine->second->gone = true;
      machine->second->gone_at = now;
    }
    return respond(200, "{}");
  }
  if (path == "/hosts" && request.method == "POST") {
    std::string hire, type, zone;
    bool spot = false;
    std::uint64_t count = 0;
    if (!wire::read(doc, "hire", hire) || !wire::read(doc, "fleet", type) ||
        !wire::read(doc, "yard", zone) || !wire::read(doc, "standby", spot) ||
        !wire::read(doc, "number", count) || count > 50)
      return respond(400, "{}");
    if (const auto answer = answers_.find(hire); answer != answers_.end())
      return respond(200, answer->second);
    const bool none = full.contains({type, ""}) || full.contains({type, zone});
    hires.push_back({now, type, zone, spot, static_cast<unsigned>(count),
                     none ? 0U : static_cast<unsigned>(count)});
    world_.note("asked to rent " + std::to_string(count) + " " + type + " in " + zone +
                (spot ? " (spot)" : "") + (none ? ": no capacity" : ": done"));
    if (none) return respond(503, R"({"error":"no capacity"})");
    std::string rigs;
    for (std::uint64_t i = 0; i < count; ++i)
      rigs += (rigs.empty() ? "" : ",") + in_quotes(rent(type, zone, spot, false).id);
    answers_[hire] = "{\"rigs\":[" + rigs + "]}";
    return respond(200, answers_[hire]);
  }
  respond(400, "{}");
}

// ---- the run ----

World::World(Deployment given, int argc, char** argv)
    : deployment(std::move(given)),
      client(io, {1000, std::size_t{8} * 1024 * 1024}),
      state(*this),
      cloud(*this) {
  if (argc < 3) {
    std::cerr << "usage: " << argv[0] << " CONTROLLER FOLDER\n";
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  binary_ = argv[1];
  folder_ = argv[2];
  const char* setting = std::getenv("TROUBLE");
  trouble = !(setting && std::string(setting) == "0");
  std::random_device device;
  generator.seed(device());
  record_.open(folder_ + "/record.txt");
  std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!mkdtemp(name.data())) std::exit(2);
  temporary_ = name;
  const std::string cloud_address = free_address();
  cloud_server_ = std::make_unique<HttpServer>(
      io, endpoint_of(cloud_address), 200, [this](std::uint64_t id, HttpServer::Request request) {
        after(deployment.cloud_latency_ms / 1000, [this, id, request] {
          cloud.serve(request, [this, id](int status, const std::string& body) {
            cloud_server_->reply(id, status, body, 0);
          });
        });
      });
  std::vector<std::string> state_addresses;
  for (std::size_t i = 0; i < deployment.controller_zones.size(); ++i) {
    Controller c;
    c.name = "puffin-" + std::to_string(i);
    c.zone = deployment.controller_zones[i];
    c.bind = free_address();
    c.peer = free_address();
    c.config = temporary_ + "/" + c.name + ".toml";
    c.log = temporary_ + "/" + c.name + ".log";
    controllers.push_back(c);
    // One address of the state service for each controller tells their requests apart.
    state_addresses.push_back(free_address());
    state_servers_.push_back(std::make_unique<HttpServer>(
        io, endpoint_of(state_addresses.back()), 200,
        [this, i](std::uint64_t id, HttpServer::Request request) {
          const double latency = deployment.state_latency_ms / 1000 * random(0.7, 1.3) +
                                 random(0, state.extra_latency_s);
          after(latency, [this, i, id, request] {
            state.serve(i, request, [this, i, id](int status, const std::string& body) {
              state_servers_[i]->reply(id, status, body, 0);
            });
          });
        }));
  }
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    std::ofstream out(controllers[i].config);
    std::map<std::size_t, std::string> peers;
    for (std::size_t j = 0; j < controllers.size(); ++j) {
      if (j == i) continue;
      peers[j] = free_address();
      peer_links[{i, j}] = std::make_unique<Proxy>(io, peers[j], controllers[j].peer);
    }
    out << "host_name = " << in_quotes(controllers[i].name)
        << "\nzone = " << in_quotes(controllers[i].zone)
        << "\nbind = " << in_quotes(controllers[i].bind)
        << "\npeer_listen = " << in_quotes(controllers[i].peer) << "\n";
    for (std::size_t j = 0; j < controllers.size(); ++j)
      if (j != i)
        out << "\n[[known]]\nhost_name = " << in_quotes(controllers[j].name)
            << "\nzone = " << in_quotes(controllers[j].zone)
            << "\npeer_addr = " << in_quotes(peers[j]) << "\n";
    out << "\n[external]\ncloud = " << in_quotes(cloud_address)
        << "\nstate = " << in_quotes(state_addresses[i])
        << "\n\n[settings]\nsize = " << controllers.size() << "\nzones = [";
    for (std::size_t z = 0; z < deployment.zones.size(); ++z)
      out << (z ? ", " : "") << in_quotes(deployment.zones[z]);
    out << "]\nclock_off_ms = " << number(deployment.clock_off_ms) << "\n";
    for (const auto& team : deployment.teams)
      out << "\n[[settings.teams]]\nname = " << in_quotes(team.name)
          << "\ncpus = " << number(team.cpus) << "\ncpus_max = " << number(team.cpus_max)
          << "\ngpus = " << number(team.gpus) << "\ngpus_max = " << number(team.gpus_max) << "\n";
    out << "\n"
        << deployment.objectives
        << "\n[settings.workers]\nreport_s = " << number(deployment.report_s)
        << "\nlease_s = " << number(deployment.lease_s)
        << "\ngang_wait_s = " << number(deployment.gang_wait_s)
        << "\ngang_peer_s = " << number(deployment.gang_peer_s)
        << "\ncancel_s = " << number(deployment.cancel_s)
        << "\n\n[settings.state]\nrps = " << number(deployment.state_rps)
        << "\nwrite_rps = " << number(deployment.state_write_rps)
        << "\nvalue_kb = " << number(deployment.value_kb) << "\ntxn_ops = " << deployment.txn_ops
        << (deployment.next_value_kb > 0
                ? "\n\n[settings.state.next]\nvalue_kb = " + number(deployment.next_value_kb) +
                      "\ntxn_ops = " + std::to_string(deployment.next_txn_ops) +
                      "\nwrite_rps = " + number(deployment.next_write_rps)
                : "")
        << "\n\n[settings.cloud]\nrps = " << number(deployment.cloud_rps)
        << "\nlist_lag_s = " << number(deployment.list_lag_s)
        << "\n\n[settings.machine_limits]\ncpu_share = " << number(deployment.cpu_share)
        << "\nram_mb = " << number(deployment.ram_mb) << "\nfd_limit = " << deployment.fd_limit
        << "\n";
  }
  every(0.05, [this] { tick(); });
  every(1.0, [this] {
    for (auto& c : controllers)
      client.send({c.bind, "GET", "/healthz", "", 1000},
                  [this, &c](int status, const std::string&) {
                    if (c.healthy != (status == 200))
                      note(c.name + (status == 200 ? " is healthy" : " is not healthy"));
                    c.healthy = status == 200;
                    c.served = c.served || c.healthy;
                  });
  });
  note(trouble ? "a run with the trouble" : "a run without the trouble");
}

World::~World() {
  for (std::size_t i = 0; i < controllers.size(); ++i) kill_controller(i);
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(temporary_, ignored);
  } else {
    std::cerr << "logs: " << temporary_ << "\n";
  }
}

void World::note(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.2f  ", static_cast<double>(now_ms()) / 1000.0);
  record_ << time << line << std::endl;
}

// An address of its own for each listener, with a port below those of outgoing connections.
std::string World::free_address() {
  constexpr unsigned short kPort = 7000;
  static std::uint32_t next = 0;
  if (next == 0) next = (127U << 24U) | (std::random_device{}() % 250 + 2) << 16U | 1U;
  for (;;) {
    const asio::ip::address_v4 address(next++);
    tcp::acceptor acceptor(io);
    std::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind({address, kPort}, error);
    if (!error) return address.to_string() + ":" + std::to_string(kPort);
  }
}

void World::after(double seconds, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(io);
  timer->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
  timer->async_wait([timer, action = std::move(action)](std::error_code error) {
    if (!error) action();
  });
}

void World::every(double seconds, std::function<void()> action) {
  after(seconds, [this, seconds, action] {
    action();
    every(seconds, action);
  });
}

double World::random(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(generator);
}

void World::start_controller(std::size_t index) {
  Controller& c = controllers[index];
  if (c.pid != 0) return;
  note("starting " + c.name);
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(c.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 2);
    for (int fd = 3; fd < 4096; ++fd) close(fd);
    execl(binary_.c_str(), binary_.c_str(), "--config", c.config.c_str(), nullptr);
    _exit(127);
  }
  c.pid = child;
}

void World::lower_limits() {
  note("the state service lowers its limits");
  deployment.value_kb = deployment.next_value_kb;
  deployment.txn_ops = deployment.next_txn_ops;
  deployment.state_write_rps = deployment.next_write_rps;
}

void World::kill_controller(std::size_t index) {
  Controller& c = controllers[index];
  if (c.pid == 0) return;
  kill(c.pid, SIGKILL);
  waitpid(c.pid, nullptr, 0);
  c.pid = 0;
  note("killed " + c.name);
}

void World::pause_controller(std::size_t index) {
  kill(controllers[index].pid, SIGSTOP);
  note("stopped " + controllers[index].name);
}

void World::resume_controller(std::size_t index) {
  kill(controllers[index].pid, SIGCONT);
  note("continued " + controllers[index].name);
}

void World::tick() {
  state.tick();
  cloud.tick();
  for (auto& c : controllers) {
    int status = 0;
    if (c.pid == 0 || waitpid(c.pid, &status, WNOHANG) != c.pid) continue;
    c.pid = 0;
    // A program that never served and says why is a run that could not begin.
    if (WIFEXITED(status) && !c.served)
      finish(2, c.name + " didn't start, exit code " + std::to_string(WEXITSTATUS(status)));
    else
      broken("crash", c.name + " ended by itself, status " + std::to_string(status));
  }
}

std::size_t World::pick_node() {
  for (std::size_t i = 0; i < controllers.size(); ++i) {
    const std::size_t node = next_node_++ % controllers.size();
    if (controllers[node].healthy && !far_from_users.contains(node)) return node;
  }
  return next_node_++ % controllers.size();
}

void World::submit(const Job& job) {
  JobView& view = jobs[job.id];
  view.job = job;
  view.sent = true;
  view.sent_at = now_ms();
  submit_to(job.id, pick_node());
}

void World::submit_to(const std::string& id, std::size_t node) {
  client.send({controllers[node].bind, "POST", "/v1/jobs", jobs[id].job.body(), 5000},
              [this, id, node](int status, const std::string& body) {
                JobView& view = jobs[id];
                note("submission of " + id + " to " + controllers[node].name + ": " +
                     std::to_string(status) + " " + body);
                if (status == 200 || status == 201) {
                  view.accepted = true;
                  view.accepted_at = now_ms();
                  after(5, [this, id] { poll(id); });
                } else if (status == 400 || status == 422) {
                  view.refused = std::to_string(status);
                } else if (now_ms() - view.sent_at < 58'000) {
                  after(2, [this, id] { submit_to(id, pick_node()); });
                }
              });
}

void World::poll(const std::string& id) {
  const std::size_t node = pick_node();
  client.send(
      {controllers[node].bind, "GET", "/v1/jobs/" + id, "", 2000},
      [this, id, node](int status, const std::string& body) {
        JobView& view = jobs[id];
        rapidjson::Document doc;
        std::string text;
        if (status == 200 && wire::parse_object(body, doc) && wire::read(doc, "status", text)) {
          if (text != view.last_status)
            note("poll of " + id + " at " + controllers[node].name + ": " + body);
          if (view.done_told && text != "done") broken("went_back", id + " done, then " + text);
          if (view.cancel_told && text != "withdrawn")
            broken("went_back", id + " withdrawn, then " + text);
          view.last_status = text;
          if (text == "done") view.done_told = true;
        } else {
          note("poll of " + id + " at " + controllers[node].name + ": " + std::to_string(status));
          if (status == 404) broken("forgotten", id + " accepted, then 404");
        }
        if (!view.done_told && !view.cancel_told) after(5, [this, id] { poll(id); });
      });
}

void World::cancel(const std::string& id) {
  jobs[id].cancel_asked = true;
  note("asking to cancel " + id);
  cancel_at(id, pick_node());
}

void World::cancel_at(const std::string& id, std::size_t node) {
  client.send({controllers[node].bind, "POST", "/v1/jobs/" + id + "/withdraw", "", 5000},
              [this, id, node](int status, const std::string& body) {
                JobView& view = jobs[id];
                note("cancellation of " + id + " at " + controllers[node].name + ": " +
                     std::to_string(status) + " " + body);
                if (status == 200 && body.find("withdrawn") != std::string::npos) {
                  view.cancel_told = true;
                  view.cancel_told_at = now_ms();
                } else if (status == 200) {
                  view.done_told = true;
                } else {
                  after(2, [this, id] { cancel_at(id, pick_node()); });
                }
              });
}

void World::on_task_started(Machine& machine, Task& task) {
  const std::string name = task.job + "/" + std::to_string(task.index);
  note("start " + name + " try " + std::to_string(task.attempt) + " on " + machine.id + " (" +
       machine.type.name + ", " + machine.zone + ")");
  starts[task.job].emplace_back(now_ms(), machine.id);
  for (const auto& [id, other] : cloud.machines)
    for (const auto& [key, t] : other->tasks)
      if (other.get() != &machine && t.on_machine() && !other->lost_lease() && t.job == task.job &&
          t.index == task.index)
        broken("ran_twice", name + " starts on " + machine.id + " while it is on " + id);
  const JobView& view = jobs[task.job];
  if (view.cancel_told) broken("ran_cancelled", name + " starts after its cancellation was told");
  check_place(machine, task, view.job);
  if (!view.job.gang()) return;
  GangRun& gang = gangs[{task.job, task.attempt}];
  gang.members[task.index] = &machine;
  if (gang.members.size() < view.job.tasks || gang.started_at != 0) return;
  gang.started_at = now_ms();
  gang.ends_at = now_ms() + static_cast<Ms>(view.job.run_s * 1000);
  note("gang " + task.job + " try " + std::to_string(task.attempt) + " runs");
  for (auto& [id, m] : cloud.machines)
    for (auto& [key, t] : m->tasks)
      if (t.job == task.job && t.attempt == task.attempt && t.state == "gathering") {
        t.state = "running";
        m->changed();
      }
  task.state = "running";
}

// The rule `wrong_place`.
void World::check_place(const Machine& machine, const Task& task, const Job& job) {
  const std::string name = task.job + "/" + std::to_string(task.index);
  if (machine.spot && !job.standby) broken("wrong_place", name + " on a spot machine");
  if (!job.zone.empty() && job.zone != machine.zone)
    broken("wrong_place", name + " in " + machine.zone);
  if (!job.types.empty() && !job.types.contains(machine.type.name))
    broken("wrong_place", name + " on a " + machine.type.name);
  std::map<std::string, unsigned> by_zone;
  for (const auto& [id, other] : cloud.machines)
    for (const auto& [key, t] : other->tasks)
      if (t.job == task.job && t.on_machine() && !other->lost_lease()) ++by_zone[other->zone];
  if (job.together && by_zone.size() > 1) broken("wrong_place", name + " in a second zone");
  if (job.scatter && by_zone[machine.zone] > (job.tasks + 1) / 2)
    broken("wrong_place", name + ": too many in " + machine.zone);
}

void World::on_task_left(Machine& machine, const Task& task, const std::string& how) {
  note("end of " + task.job + "/" + std::to_string(task.index) + " try " +
       std::to_string(task.attempt) + " on " + machine.id + ": " + how);
  if (!jobs[task.job].job.gang()) return;
  GangRun& gang = gangs[{task.job, task.attempt}];
  gang.members.erase(task.index);
  if (gang.started_at != 0 && how != "done" && gang.broken_at == 0) gang.broken_at = now_ms();
}

std::map<std::string, unsigned> World::running(const std::string& job) {
  std::map<std::string, unsigned> count;
  for (const auto& [id, machine] : cloud.machines)
    for (const auto& [key, task] : machine->tasks)
      if (task.job == job && task.state == "running") ++count[machine->zone];
  return count;
}

unsigned World::running_total(const std::string& job) {
  unsigned sum = 0;
  for (const auto& [zone, count] : running(job)) sum += count;
  return sum;
}

void World::broken(const std::string& rule, const std::string& what) {
  note("BROKEN " + rule + ": " + what);
  violations.push_back(rule + ": " + what);
}

void World::finish(int code, const std::string& why) {
  if (finished_) return;
  finished_ = true;
  code_ = code;
  note(why);
  note("exit " + std::to_string(code));
  std::cout << why << "\n";
  io.stop();
}

int World::run(double limit_s) {
  after(limit_s, [this] { finish(2, "the run took too long"); });
  io.run();
  for (std::size_t i = 0; i < controllers.size(); ++i) kill_controller(i);
  return code_;
}

}  // namespace review
