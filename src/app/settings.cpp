#include "app/settings.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <stdexcept>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "net/address.h"

namespace scheduler::app {

namespace {

[[noreturn]] void bad(const std::string& what) { throw std::runtime_error(what); }

const toml::table& table(const toml::table& in, const std::string& name) {
  const auto* t = in.get_as<toml::table>(name);
  if (!t) bad("[" + name + "] is missing");
  return *t;
}

std::string text(const toml::table& in, const std::string& name, const std::string& where) {
  const auto v = in[name].value_exact<std::string>();
  if (!v || v->empty()) bad(where + name + " is missing or not a string");
  return *v;
}

double number(const toml::table& in, const std::string& name, const std::string& where,
              double least) {
  const auto v = in[name].value<double>();
  if (!v || !std::isfinite(*v)) bad(where + name + " is missing or not a number");
  if (*v < least) bad(where + name + " is too small");
  return *v;
}

double optional_number(const toml::table& in, const std::string& name, const std::string& where) {
  return in.contains(name) ? number(in, name, where, 0.0) : 0.0;
}

std::string address(const toml::table& in, const std::string& name, const std::string& where) {
  std::string a = text(in, name, where);
  if (!net::parse_endpoint(a)) bad(where + name + " is not an address of the form 10.0.0.1:8080");
  return a;
}

template <typename F>
void each(const toml::table& in, const std::string& name, F&& take) {
  const auto* list = in.get_as<toml::array>(name);
  if (!list) {
    if (in.contains(name)) bad(name + " is not a list of tables");
    return;
  }
  for (const auto& node : *list) {
    const auto* t = node.as_table();
    if (!t) bad(name + " is not a list of tables");
    take(*t);
  }
}

toml::table parse(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    bad(path + ": " + std::string(e.description()) + " (line " +
        std::to_string(e.source().begin.line) + ")");
  }
}

struct ObjectiveName {
  std::string_view name;
  ObjectiveKind kind;
};
constexpr ObjectiveName kObjectiveNames[] = {{"deadline", ObjectiveKind::deadline},
                                             {"finished", ObjectiveKind::finished},
                                             {"wait", ObjectiveKind::wait},
                                             {"up", ObjectiveKind::up}};

// Kinds that this version does not know are left out; the service logs them.
void read_objective(const toml::table& t, NodeSettings& out) {
  const std::string where = "settings.objectives.";
  const std::string kind = text(t, "kind", where);
  const auto* known =
      std::find_if(std::begin(kObjectiveNames), std::end(kObjectiveNames),
                   [&](const ObjectiveName& candidate) { return candidate.name == kind; });
  if (known == std::end(kObjectiveNames)) {
    out.unknown_objectives.insert(kind);
    return;
  }
  Objective o;
  o.kind = known->kind;
  if (t.contains("class")) o.job_class = text(t, "class", where);
  o.share = optional_number(t, "share", where);
  o.times = optional_number(t, "times", where);
  // The time from which a replica counts is named differently from the time for a start.
  const bool up = o.kind == ObjectiveKind::up;
  o.within_s = optional_number(t, up ? "after_s" : "within_s", where);
  out.core.objectives.push_back(std::move(o));
}

// The state service's limits. Those announced for later (`next`) may come at any moment, so what
// is written fits both.
void read_state_limits(const toml::table& state, Settings& out) {
  constexpr double kLeastValueKb = 1;  // a record of one placement and a short job fit
  constexpr double kLeastTxnOps = 4;   // a placement on three parts and its range
  const std::string where = "settings.state.";
  out.state_rps = number(state, "rps", where, 1);
  out.state_write_rps = number(state, "write_rps", where, 1);
  out.value_kb = number(state, "value_kb", where, kLeastValueKb);
  out.txn_ops = static_cast<int>(number(state, "txn_ops", where, kLeastTxnOps));
  out.stored_value_kb = out.value_kb;
  if (!state.contains("next")) return;
  const toml::table& next = table(state, "next");
  const std::string next_where = where + "next.";
  auto lower = [&](const char* name, double now, double least) {
    return next.contains(name) ? std::min(now, number(next, name, next_where, least)) : now;
  };
  out.state_rps = lower("rps", out.state_rps, 1);
  out.state_write_rps = lower("write_rps", out.state_write_rps, 1);
  out.value_kb = lower("value_kb", out.value_kb, kLeastValueKb);
  out.txn_ops = static_cast<int>(lower("txn_ops", out.txn_ops, kLeastTxnOps));
}

}  // namespace

NodeSettings load_settings(const std::string& path) {
  const toml::table root = parse(path);
  NodeSettings out;
  Settings& c = out.core;
  c.name = text(root, "host_name", "");
  c.zone = text(root, "zone", "");
  out.listen = address(root, "bind", "");
  out.peer_listen = address(root, "peer_listen", "");
  std::set<std::string> names{c.name};
  each(root, "known", [&](const toml::table& t) {
    Peer p;
    p.name = text(t, "host_name", "known.");
    p.zone = text(t, "zone", "known.");
    p.address = address(t, "peer_addr", "known.");
    if (!names.insert(p.name).second) bad("known: " + p.name + " is named twice");
    c.peers.push_back(std::move(p));
  });
  const auto& external = table(root, "external");
  out.cloud = address(external, "cloud", "external.");
  out.state = address(external, "state", "external.");
  const auto& s = table(root, "settings");
  c.controllers = static_cast<int>(number(s, "size", "settings.", 1));
  if (const auto* zones = s.get_as<toml::array>("zones")) {
    for (const auto& node : *zones) {
      const auto zone = node.value_exact<std::string>();
      if (!zone || zone->empty()) bad("settings.zones is not a list of names");
      c.zones.push_back(*zone);
    }
  } else if (s.contains("zones")) {
    bad("settings.zones is not a list of names");
  }
  each(s, "teams", [&](const toml::table& t) {
    Team team;
    team.name = text(t, "name", "settings.teams.");
    team.cpus = optional_number(t, "cpus", "settings.teams.");
    team.cpus_max = optional_number(t, "cpus_max", "settings.teams.");
    team.gpus = optional_number(t, "gpus", "settings.teams.");
    team.gpus_max = optional_number(t, "gpus_max", "settings.teams.");
    c.teams.push_back(std::move(team));
  });
  each(s, "objectives", [&](const toml::table& t) { read_objective(t, out); });
  const auto& workers = table(s, "workers");
  c.heartbeat_interval_s = number(workers, "report_s", "settings.workers.", 0.01);
  c.lease_s = number(workers, "lease_s", "settings.workers.", 0.1);
  c.gang_wait_s = number(workers, "gang_wait_s", "settings.workers.", 0);
  c.gang_peer_s = number(workers, "gang_peer_s", "settings.workers.", 0);
  c.cancel_s = number(workers, "cancel_s", "settings.workers.", 0);
  read_state_limits(table(s, "state"), c);
  const auto& cloud = table(s, "cloud");
  c.cloud_rps = number(cloud, "rps", "settings.cloud.", 0.1);
  c.list_lag_s = number(cloud, "list_lag_s", "settings.cloud.", 0);
  const auto& limits = table(s, "machine_limits");
  out.cpu_share = number(limits, "cpu_share", "settings.machine_limits.", 0.001);
  c.memory_mb = number(limits, "ram_mb", "settings.machine_limits.", 1);
  c.sockets = static_cast<int>(number(limits, "fd_limit", "settings.machine_limits.", 64));
  return out;
}

Options load_options(const std::string& path) {
  constexpr double kMostMachines = 1e6;  // more is a slip of the pen
  const toml::table root = parse(path);
  Options out;
  if (root.contains("log_level")) {
    out.log_level = text(root, "log_level", "");
    if (out.log_level != "error" && out.log_level != "info" && out.log_level != "debug")
      bad("log_level must be error, info or debug");
  }
  if (root.contains("tick_ms")) {
    out.tick_ms = static_cast<int>(number(root, "tick_ms", "", 1));
    if (out.tick_ms > 1000) bad("tick_ms is too large");
  }
  if (root.contains("max_connections"))
    out.max_connections = static_cast<int>(number(root, "max_connections", "", 1));
  if (root.contains("machines")) {
    const double machines = number(root, "machines", "", 1);
    if (machines > kMostMachines) bad("machines is too large");
    out.machines = static_cast<int>(machines);
  }
  if (root.contains("relay")) {
    const auto relay = root["relay"].value_exact<bool>();
    if (!relay) bad("relay must be true or false");
    out.relay = *relay;
  }
  for (const auto& [key, value] : root) {
    if (key != "log_level" && key != "tick_ms" && key != "max_connections" && key != "machines" &&
        key != "relay")
      bad("unknown option " + std::string(key.str()));
  }
  return out;
}

}  // namespace scheduler::app
