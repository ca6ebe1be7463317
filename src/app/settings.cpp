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

// Stops reading a file with a one-line error message.
[[noreturn]] void fail(const std::string& message) { throw std::runtime_error(message); }

// Returns the table `name` of the table `in`, which must have it.
const toml::table& table(const toml::table& in, const std::string& name) {
  const auto* found = in.get_as<toml::table>(name);
  if (!found) fail("[" + name + "] is missing");
  return *found;
}

// In the functions below, `prefix` is the path of the table `in` for error messages: empty, or with
// a dot at its end.

// Reads a required string, which must not be empty.
std::string required_text(const toml::table& in, const std::string& name,
                          const std::string& prefix) {
  const auto value = in[name].value_exact<std::string>();
  if (!value || value->empty()) fail(prefix + name + " is missing or not a string");
  return *value;
}

// Reads a required finite number, which must be `minimum` or more.
double required_number(const toml::table& in, const std::string& name, const std::string& prefix,
                       double minimum) {
  const auto value = in[name].value<double>();
  if (!value || !std::isfinite(*value)) fail(prefix + name + " is missing or not a number");
  if (*value < minimum) fail(prefix + name + " is too small");
  return *value;
}

// Reads a number, which must not be negative; returns 0 if it is absent.
double optional_number(const toml::table& in, const std::string& name, const std::string& prefix) {
  return in.contains(name) ? required_number(in, name, prefix, 0.0) : 0.0;
}

// Reads a required IP address with a port.
std::string required_address(const toml::table& in, const std::string& name,
                             const std::string& prefix) {
  std::string endpoint = required_text(in, name, prefix);
  if (!net::parse_endpoint(endpoint))
    fail(prefix + name + " is not an address of the form 10.0.0.1:8080");
  return endpoint;
}

// Calls `read_entry(table)` for each table of the list `name`. An absent list counts as empty.
template <typename ReadEntry>
void for_each_table(const toml::table& in, const std::string& name, ReadEntry&& read_entry) {
  const auto* list = in.get_as<toml::array>(name);
  if (!list) {
    if (in.contains(name)) fail(name + " is not a list of tables");
    return;
  }
  for (const auto& node : *list) {
    const auto* entry = node.as_table();
    if (!entry) fail(name + " is not a list of tables");
    read_entry(*entry);
  }
}

toml::table parse(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& error) {
    fail(path + ": " + std::string(error.description()) + " (line " +
         std::to_string(error.source().begin.line) + ")");
  }
}

// ---- sections of the platform's settings file ----

// Reads the name and addresses of this controller and of its peers.
void read_node(const toml::table& root, NodeSettings& out) {
  out.core.name = required_text(root, "host_name", "");
  out.core.zone = required_text(root, "zone", "");
  out.listen = required_address(root, "bind", "");
  out.peer_listen = required_address(root, "peer_listen", "");
  std::set<std::string> names{out.core.name};
  for_each_table(root, "known", [&](const toml::table& entry) {
    Peer peer;
    peer.name = required_text(entry, "host_name", "known.");
    peer.zone = required_text(entry, "zone", "known.");
    peer.address = required_address(entry, "peer_addr", "known.");
    if (!names.insert(peer.name).second) fail("known: " + peer.name + " is listed twice");
    out.core.peers.push_back(std::move(peer));
  });
}

// Reads the addresses of the cloud and the state service.
void read_external(const toml::table& external, NodeSettings& out) {
  out.cloud = required_address(external, "cloud", "external.");
  out.state = required_address(external, "state", "external.");
}

// Reads the zones that machines may be in. The list may be absent; `zones` is then empty.
void read_zones(const toml::table& settings, Settings& out) {
  const auto* zones = settings.get_as<toml::array>("zones");
  if (!zones) {
    if (settings.contains("zones")) fail("settings.zones is not a list of names");
    return;
  }
  for (const auto& node : *zones) {
    const auto zone = node.value_exact<std::string>();
    if (!zone || zone->empty()) fail("settings.zones is not a list of names");
    out.zones.push_back(*zone);
  }
}

// Reads a team with its guaranteed CPUs and GPUs and its limits on them. An absent number is read
// as 0.
void read_team(const toml::table& entry, Settings& out) {
  const std::string prefix = "settings.teams.";
  Team team;
  team.name = required_text(entry, "name", prefix);
  team.cpus = optional_number(entry, "cpus", prefix);
  team.cpus_max = optional_number(entry, "cpus_max", prefix);
  team.gpus = optional_number(entry, "gpus", prefix);
  team.gpus_max = optional_number(entry, "gpus_max", prefix);
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

// Reads a service-level objective. Objectives of a kind that this version doesn't support are
// skipped, and the service logs their kinds.
void read_objective(const toml::table& entry, NodeSettings& out) {
  const std::string prefix = "settings.objectives.";
  const std::string kind = required_text(entry, "kind", prefix);
  const auto* match =
      std::find_if(std::begin(kObjectiveNames), std::end(kObjectiveNames),
                   [&](const ObjectiveName& candidate) { return candidate.name == kind; });
  if (match == std::end(kObjectiveNames)) {
    out.unknown_objectives.insert(kind);
    return;
  }
  Objective objective;
  objective.kind = match->kind;
  if (entry.contains("class")) objective.job_class = required_text(entry, "class", prefix);
  objective.share = optional_number(entry, "share", prefix);
  objective.deadline_factor = optional_number(entry, "times", prefix);
  // Objectives of kind `up` name their time after_s (when a replica starts to count), all others
  // within_s.
  const bool is_up_objective = objective.kind == ObjectiveKind::up;
  objective.within_s = optional_number(entry, is_up_objective ? "after_s" : "within_s", prefix);
  out.core.objectives.push_back(std::move(objective));
}

// Reads the intervals and timeouts of workers, in seconds.
void read_worker_times(const toml::table& workers, Settings& out) {
  const std::string prefix = "settings.workers.";
  out.heartbeat_interval_s = required_number(workers, "report_s", prefix, 0.01);
  out.lease_s = required_number(workers, "lease_s", prefix, 0.1);
  out.gang_wait_s = required_number(workers, "gang_wait_s", prefix, 0);
  out.gang_peer_s = required_number(workers, "gang_peer_s", prefix, 0);
  out.cancel_s = required_number(workers, "cancel_s", prefix, 0);
}

// Reads the state service's limits: requests and writes per second, KB per value, operations per
// transaction. Limits announced in `next` may take effect at any moment, so the controller keeps to
// the lower of the current and the announced limit.
void read_state_limits(const toml::table& state, Settings& out) {
  constexpr double kMinValueKb = 1;  // fits a record with one placement, and a short job
  constexpr double kMinTxnOps = 4;   // fits a placement on three shards with its range
  const std::string prefix = "settings.state.";
  out.state_rps = required_number(state, "rps", prefix, 1);
  out.state_write_rps = required_number(state, "write_rps", prefix, 1);
  out.value_kb = required_number(state, "value_kb", prefix, kMinValueKb);
  out.txn_ops = static_cast<int>(required_number(state, "txn_ops", prefix, kMinTxnOps));
  out.current_value_kb = out.value_kb;
  if (!state.contains("next")) return;
  const toml::table& next = table(state, "next");
  const std::string next_prefix = prefix + "next.";
  auto lower_limit = [&](const char* name, double current, double minimum) {
    return next.contains(name)
               ? std::min(current, required_number(next, name, next_prefix, minimum))
               : current;
  };
  out.state_rps = lower_limit("rps", out.state_rps, 1);
  out.state_write_rps = lower_limit("write_rps", out.state_write_rps, 1);
  out.value_kb = lower_limit("value_kb", out.value_kb, kMinValueKb);
  out.txn_ops = static_cast<int>(lower_limit("txn_ops", out.txn_ops, kMinTxnOps));
}

// Reads the cloud's limits: requests per second, and the seconds by which its list of machines may
// lag.
void read_cloud_limits(const toml::table& cloud, Settings& out) {
  out.cloud_rps = required_number(cloud, "rps", "settings.cloud.", 0.1);
  out.list_lag_s = required_number(cloud, "list_lag_s", "settings.cloud.", 0);
}

// Reads how much of its host this process may use: the share of a CPU, MB of memory, and the number
// of open sockets.
void read_machine_limits(const toml::table& limits, NodeSettings& out) {
  const std::string prefix = "settings.machine_limits.";
  out.cpu_share = required_number(limits, "cpu_share", prefix, 0.001);
  out.core.memory_mb = required_number(limits, "ram_mb", prefix, 1);
  out.core.sockets = static_cast<int>(required_number(limits, "fd_limit", prefix, 64));
}

}  // namespace

NodeSettings load_settings(const std::string& path) {
  const toml::table root = parse(path);
  NodeSettings out;
  read_node(root, out);
  read_external(table(root, "external"), out);
  const toml::table& settings = table(root, "settings");
  out.core.controllers = static_cast<int>(required_number(settings, "size", "settings.", 1));
  read_zones(settings, out.core);
  for_each_table(settings, "teams", [&](const toml::table& entry) { read_team(entry, out.core); });
  for_each_table(settings, "objectives",
                 [&](const toml::table& entry) { read_objective(entry, out); });
  read_worker_times(table(settings, "workers"), out.core);
  read_state_limits(table(settings, "state"), out.core);
  read_cloud_limits(table(settings, "cloud"), out.core);
  read_machine_limits(table(settings, "machine_limits"), out);
  return out;
}

Options load_options(const std::string& path) {
  constexpr double kMaxMachines = 1e6;  // a larger number is taken for a typing error
  const toml::table root = parse(path);
  Options out;
  if (root.contains("log_level")) {
    out.log_level = required_text(root, "log_level", "");
    if (out.log_level != "error" && out.log_level != "info" && out.log_level != "debug")
      fail("log_level must be error, info or debug");
  }
  if (root.contains("tick_ms")) {
    out.tick_ms = static_cast<int>(required_number(root, "tick_ms", "", 1));
    if (out.tick_ms > 1000) fail("tick_ms must be at most 1000");
  }
  if (root.contains("max_connections"))
    out.max_connections = static_cast<int>(required_number(root, "max_connections", "", 1));
  if (root.contains("machines")) {
    const double machines = required_number(root, "machines", "", 1);
    if (machines > kMaxMachines) fail("machines must be at most 1000000");
    out.machines = static_cast<int>(machines);
  }
  if (root.contains("relay")) {
    const auto relay = root["relay"].value_exact<bool>();
    if (!relay) fail("relay must be true or false");
    out.relay = *relay;
  }
  for (const auto& [key, value] : root) {
    if (key != "log_level" && key != "tick_ms" && key != "max_connections" && key != "machines" &&
        key != "relay")
      fail("unknown option " + std::string(key.str()));
  }
  return out;
}

}  // namespace scheduler::app
