#include "membership/format_switch.h"

#include <algorithm>

namespace scheduler {

namespace {

std::string live_key(const std::string& controller) {
  return std::string(wire::kLivePrefix) + controller;
}

std::uint32_t announced_format(const Replica& replica, const std::string& controller) {
  const auto member = replica.view().live.find(controller);
  if (member == replica.view().live.end()) return wire::kFirstFormat;
  const auto live = replica.live().find(controller);
  // A live record of another incarnation says nothing about the process that serves now.
  if (live == replica.live().end() || live->second.incarnation != member->second)
    return wire::kFirstFormat;
  return live->second.format;
}

}  // namespace

std::vector<std::string> FormatSwitch::configured_controllers() const {
  std::vector<std::string> names{settings_.name};
  for (const Peer& peer : settings_.peers) names.push_back(peer.name);
  return names;
}

std::uint32_t FormatSwitch::supported(const Replica& replica) const {
  std::uint32_t format = settings_.record_format;
  for (const std::string& name : configured_controllers())
    format = std::min(format, announced_format(replica, name));
  return format;
}

std::optional<Transaction> FormatSwitch::propose(const Replica& replica,
                                                 const StateClient& state_client) const {
  const std::uint32_t format = supported(replica);
  if (format <= replica.format()) return std::nullopt;
  Transaction transaction;
  const std::string key(wire::kFormatKey);
  transaction.conditions = {state_client.unchanged(std::string(wire::kViewKey)),
                            state_client.unchanged(key)};
  for (const std::string& name : configured_controllers())
    transaction.conditions.push_back(state_client.unchanged(live_key(name)));
  transaction.writes = {{key, encode(wire::FormatRecord{format}), std::nullopt}};
  transaction.urgent = true;  // submissions of services wait for it
  return transaction;
}

}  // namespace scheduler
