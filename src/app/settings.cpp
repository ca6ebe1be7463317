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

// Ends the reading of a file with the one line that says why.
[[noreturn]] void bad(const std::string& what) { throw std::runtime_error(what); }

// The table `name` in another one, which must have it.
const toml::table& table(const toml::table& in, const std::string& name) {
  const auto* found = in.get_as<toml::table>(name);
  if (!found) bad("[" + name + "] is missing");
  return *found;
}

// Below, `where` is the path of the table `in` in messages: empty, or ending in a dot.

// A required text that is not empty.
std::string text(const toml::table& in, const std::string& name, const std::string& where) {
  const auto value = in[name].value_exact<std::string>();
  if (!value || value->empty()) bad(where + name + " is missing or not a string");
  return *value;
}

// A required finite number of `least` or more.
double number(const toml::table& in, const std::string& name, const std::string& where,
              double least) {
  const auto value = in[name].value<double>();
  if (!value || !std::isfinite(*value)) bad(where + name + " is missing or not a number");
  if (*value < least) bad(where + name + " is too small");
  return *value;
}

// A number that is not negative; 0 if it is absent.
double optional_number(const toml::table& in, const std::string& name, const std::string& where) {
  return in.contains(name) ? number(in, name, where, 0.0) : 0.0;
}

// A required IP address with a port.
std::string address(const toml::table& in, const std::string& name, const std::string& where) {
  std::string endpoint = text(in, name, where);
  if (!net::parse_endpoint(endpoint))
    bad(where + name + " is not an address of the form 10.0.0.1:8080");
  return endpoint;
}

// Calls `take(table)` for each table of a list; an absent list is an empty one.
template <typename Take>
void each(const toml::table& in, const std::string& name, Take&& take) {
  const auto* list = in.get_as<toml::array>(name);
  if (!list) {
    if (in.contains(name)) bad(name + " is not a list of tables");
    return;
  }
  for (const auto& node : *list) {
    const auto* entry = node.as_table();
    if (!entry) bad(name + " is not a list of tables");
    take(*entry);
  }
}

toml::table parse(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    bad(path + ": " + std::string(error.description()) + " (line " +
        std::to_string(error.source().begin.line) + ")");
  }
}

// ---- the platform's file, by section ----

// This controller and the others.
void read_node(const toml::table& root, NodeSettings& out) {
  out.core.name = text(root, "host_name", "");
  out.core.zone = text(root, "zone", "");
  out.listen = address(root, "bind", "");
  out.peer_listen = address(root, "peer_listen", "");
  std::set<std::string> names{out.core.name};
  each(root, "known", [&](const toml::table& entry) {
    Peer peer;
    peer.name = text(entry, "host_name", "known.");
    peer.zone = text(entry, "zone", "known.");
    peer.address = address(entry, "peer_addr", "known.");
    if (!names.insert(peer.name).second) bad("known: " + peer.name + " is named twice");
    out.core.peers.push_back(std::move(peer));
  });
}

// What the controllers call.
void read_external(const toml::table& external, NodeSettings& out) {
  out.cloud = address(external, "cloud", "external.");
  out.state = address(external, "state", "external.");
}

// The zones that machines may be in; absent: none is stated.
void read_zones(const toml::table& settings, Settings& out) {
  const auto* zones = settings.get_as<toml::array>("zones");
  if (!zones) {
    if (settings.contains("zones")) bad("settings.zones is not a list of names");
    return;
  }
  for (const auto& node : *zones) {
    const auto zone = node.value_exact<std::string>();
    if (!zone || zone->empty()) bad("settings.zones is not a list of names");
    out.zones.push_back(*zone);
  }
}

// A team, with what it is guaranteed and what it may use at most: CPUs and GPUs, 0 for none.
void read_team(const toml::table& entry, Settings& out) {
  const std::string where = "settings.teams.";
  Team team;
  team.name = text(entry, "name", where);
  team.cpus = optional_number(entry, "cpus", where);
  team.cpus_max = optional_number(entry, "cpus_max", where);
  team.gpus = optional_number(entry, "gpus", where);
  team.gpus_max = optional_number(entry, "gpus_max", where);
  out.teams.push_back(std::move(team));
}

struct ObjectiveName {
  std::string_view name;
  ObjectiveKind kind;
};
constexpr ObjectiveName kObjectiveNames[] = {{"deadline", ObjectiveKind::deadline},
                                             {"finished", ObjectiveKind::finished},
                                             {"wait", ObjectiveKind::wait},
                                             {"up", ObjectiveKind::up}};

// A service-level objective. Kinds that this version does not know are left out; the service logs
// them.
void read_objective(const toml::table& entry, NodeSettings& out) {
  const std::string where = "settings.objectives.";
  const std::string kind = text(entry, "kind", where);
  const auto* known =
      std::find_if(std::begin(kObjectiveNames), std::end(kObjectiveNames),
                   [&](const ObjectiveName& candidate) { return candidate.name == kind; });
  if (known == std::end(kObjectiveNames)) {
    out.unknown_objectives.insert(kind);
    return;
  }
  Objective objective;
  objective.kind = known->kind;
  if (entry.contains("class")) objective.job_class = text(entry, "class", where);
  objective.share = optional_number(entry, "share", where);
  objective.deadline_factor = optional_number(entry, "times", where);
  // The time from which a replica counts is named differently from the time for a start.
  const bool up = objective.kind == ObjectiveKind::up;
  objective.within_s = optional_number(entry, up ? "after_s" : "within_s", where);
  out.core.objectives.push_back(std::move(objective));
}

// What workers are told to keep to, in seconds.
void read_worker_times(const toml::table& workers, Settings& out) {
  const std::string where = "settings.workers.";
  out.heartbeat_interval_s = number(workers, "report_s", where, 0.01);
  out.lease_s = number(workers, "lease_s", where, 0.1);
  out.gang_wait_s = number(workers, "gang_wait_s", where, 0);
  out.gang_peer_s = number(workers, "gang_peer_s", where, 0);
  out.cancel_s = number(workers, "cancel_s", where, 0);
}

// The state service's limits: requests and writes a second, KB of a value, operations of a
// transaction. Those announced for later (`next`) may come at any moment, so what
// is written fits both.
void read_state_limits(const toml::table& state, Settings& out) {
  constexpr double kLeastValueKb = 1;  // a record of one placement and a short job fit
  constexpr double kLeastTxnOps = 4;   // a placement on three shards and its range
  const std::string where = "settings.state.";
  out.state_rps = number(state, "rps", where, 1);
  out.state_write_rps = number(state, "write_rps", where, 1);
  out.value_kb = number(state, "value_kb", where, kLeastValueKb);
  out.txn_ops = static_cast<int>(number(state, "txn_ops", where, kLeastTxnOps));
  out.current_value_kb = out.value_kb;
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

// The cloud's limits: requests a second, and seconds by which its list of machines may be late.
void read_cloud_limits(const toml::table& cloud, Settings& out) {
  out.cloud_rps = number(cloud, "rps", "settings.cloud.", 0.1);
  out.list_lag_s = number(cloud, "list_lag_s", "settings.cloud.", 0);
}

// What this process may take of its host: a share of a CPU, MB of memory, and open sockets.
void read_machine_limits(const toml::table& limits, NodeSettings& out) {
  const std::string where = "settings.machine_limits.";
  out.cpu_share = number(limits, "cpu_share", where, 0.001);
  out.core.memory_mb = number(limits, "ram_mb", where, 1);
  out.core.sockets = static_cast<int>(number(limits, "fd_limit", where, 64));
}

}  // namespace

NodeSettings load_settings(const std::string& path) {
  const toml::table root = parse(path);
  NodeSettings out;
  read_node(root, out);
  read_external(table(root, "external"), out);
  const toml::table& settings = table(root, "settings");
  out.core.controllers = static_cast<int>(number(settings, "size", "settings.", 1));
  read_zones(settings, out.core);
  each(settings, "teams", [&](const toml::table& entry) { read_team(entry, out.core); });
  each(settings, "objectives", [&](const toml::table& entry) { read_objective(entry, out); });
  read_worker_times(table(settings, "workers"), out.core);
  read_state_limits(table(settings, "state"), out.core);
  read_cloud_limits(table(settings, "cloud"), out.core);
  read_machine_limits(table(settings, "machine_limits"), out);
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
