#include "membership/format_switch.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {

std::string live_key(const std::string& controller) {
  return std::string(wire::kLivePrefix) + controller;
}

std::uint32_t announced_format(const Replica& replica, const std::string& controller) {
  const auto member = replica.view().live.find(controller);
  if (member == replica.view().live.end()) return wire::kFirstFormat;
  const auto live = replica.live().find(controller);
  // A live record of another incarnation does not describe the process that is in the view.
  if (live == replica.live().end() || live->second.incarnation != member->second)
    return wire::kFirstFormat;
  return live->second.format;
}

}  // namespace

std::vector<std::string> FormatSwitch::configured_controllers() const {
  std::vector<std::string> names{context_.settings.name};
  for (const Peer& peer : context_.settings.peers) names.push_back(peer.name);
  return names;
}

std::uint32_t FormatSwitch::supported_format() const {
  std::uint32_t format = context_.settings.record_format;
  for (const std::string& name : configured_controllers())
    format = std::min(format, announced_format(context_.replica, name));
  return format;
}

std::optional<Transaction> FormatSwitch::propose_switch() const {
  const std::uint32_t format = supported_format();
  if (format <= context_.replica.format()) return std::nullopt;
  Transaction transaction;
  const std::string key(wire::kFormatKey);
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  for (const std::string& name : configured_controllers())
    transaction.conditions.push_back(context_.state_client.unchanged(live_key(name)));
  transaction.writes = {{key, encode(wire::FormatRecord{format}), std::nullopt}};
  transaction.urgent = true;  // submissions of services wait for it
  return transaction;
}

void FormatSwitch::tick(Ms now) {
  if (write_in_flight_ || !context_.can_write(now)) return;
  std::optional<Transaction> transaction = propose_switch();
  if (!transaction) return;
  write_in_flight_ = true;
  transaction->done = [this](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      write_in_flight_ = false;
      context_.log(LogLevel::info, "all controllers read record format " +
                                       std::to_string(context_.replica.format()) +
                                       "; services are accepted");
      return;
    }
    context_.state_client.barrier_read_with_retries(at, [this](Ms) { write_in_flight_ = false; });
  };
  context_.state_client.submit(std::move(*transaction));
}

}  // namespace scheduler
