#include "workers/shard_record_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "state/state_client.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Writes that only say which machines were heard may wait at once: placements go before them, and a
// fleet of thousands has more such records than a second has writes.
constexpr std::size_t kContactWritesQueued = 4;
// Milliseconds between checks for entries that stand in the record of another group.
constexpr std::int64_t kStrayCheckMs = 1000;

}  // namespace

void ShardRecordWriter::record_machine_state(Ms now, Machine& machine, wire::MachineState state,
                                             Ms within) {
  const auto group = context_.replica.group_of(machine.id);
  machine.state = std::max(machine.state, state);
  if (!group) return;  // the fleet leader records it first; then we are asked again
  ShardWrite& write = shard_writes_[*group];
  const wire::ShardRecord::Contact heard{machine.address, machine.incarnation, machine.state,
                                         machine.owned_since_epoch};
  auto [at, fresh] = write.pending.try_emplace(machine.id, heard);
  if (!fresh && at->second == heard && write.due <= now + within) return;
  at->second = heard;
  write.due = write.due == 0 ? now + within : std::min(write.due, now + within);
}

void ShardRecordWriter::regroup_pending() {
  std::vector<std::pair<std::string, wire::ShardRecord::Contact>> moved;
  for (auto& [group, write] : shard_writes_) {
    if (write.busy) continue;
    std::erase_if(write.pending, [&, from = group](const auto& entry) {
      const auto now_in = context_.replica.group_of(entry.first);
      if (!now_in || *now_in == from) return false;
      moved.push_back(entry);
      return true;
    });
  }
  for (const auto& [id, heard] : moved) {
    ShardWrite& target = shard_writes_[*context_.replica.group_of(id)];
    target.pending[id] = heard;
    target.due = 1;  // at once: it has waited already
  }
}

bool ShardRecordWriter::has_strays(const wire::ShardRecord& record, std::uint32_t group) const {
  return std::any_of(record.machines.begin(), record.machines.end(), [&](const auto& entry) {
    const auto now_in = context_.replica.group_of(entry.first);
    return now_in && *now_in != group;
  });
}

void ShardRecordWriter::move_strays(std::uint32_t group, const wire::ShardRecord& record) {
  std::map<std::uint32_t, wire::ShardRecord> next;
  next[group];
  const auto most = static_cast<std::size_t>(context_.settings.txn_ops);
  for (const auto& [id, heard] : record.machines) {
    const auto now_in = context_.replica.group_of(id);
    if (!now_in) continue;  // no longer recorded
    const bool carried = next.contains(*now_in) || next.size() < most;
    const std::uint32_t target = carried ? *now_in : group;
    if (shard_writes_[target].busy) return;
    auto [to, fresh] = next.try_emplace(target);
    if (fresh) {
      if (const auto* old = context_.replica.shard(context_.settings.name, target))
        to->second = *old;
    }
    // What our record of that group says already is newer.
    to->second.machines.try_emplace(id, heard);
  }
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged()};
  std::vector<std::uint32_t> groups;
  for (const auto& [target, shard] : next) {
    const std::string key = wire::shard_key(context_.settings.name, target);
    transaction.conditions.push_back(context_.state_client.unchanged(key));
    transaction.writes.push_back({key, encode(shard), std::nullopt});
    shard_writes_[target].busy = true;
    groups.push_back(target);
  }
  auto release = [this, groups](Ms) {
    for (const std::uint32_t target : groups) shard_writes_[target].busy = false;
  };
  transaction.done = [this, release](Ms at, TxnResult result, const auto&) {
    result == TxnResult::committed ? release(at)
                                   : context_.state_client.wait_until_settled(at, release);
  };
  context_.state_client.submit(std::move(transaction));
}

void ShardRecordWriter::move_all_strays(Ms now) {
  if (!context_.services_enabled() || now < next_stray_check_) return;
  next_stray_check_ = now + kStrayCheckMs;
  for (const auto& [group, record] : context_.replica.shards_of(context_.settings.name)) {
    if (!shard_writes_[group].busy && has_strays(*record, group)) move_strays(group, *record);
  }
}

void ShardRecordWriter::write(Ms now) {
  if (!context_.can_write(now)) return;
  regroup_pending();
  move_all_strays(now);
  for (auto& [group, write] : shard_writes_) {
    if (!write.busy && !write.pending.empty() && now >= write.due) write_group(group, write);
  }
}

wire::ShardRecord ShardRecordWriter::next_record(std::uint32_t group, const ShardWrite& write,
                                                 const wire::FleetRecord& fleet) const {
  wire::ShardRecord next;
  if (const auto* record = context_.replica.shard(context_.settings.name, group)) {
    // What we knew of machines that are another's now stays until they are forgotten: the new owner
    // may not have written it yet.
    for (const auto& [id, contact] : record->machines)
      if (fleet.machines.contains(id)) next.machines[id] = contact;
  }
  for (const auto& [id, contact] : write.pending)
    if (fleet.machines.contains(id)) next.machines[id] = contact;
  return next;
}

void ShardRecordWriter::write_group(std::uint32_t group, ShardWrite& write) {
  // Guards against dropping what we know of machines that have gone to another group.
  const auto* mine = context_.replica.shard(context_.settings.name, group);
  if (mine && has_strays(*mine, group)) return;
  // States of machines that went to another shard meanwhile are not ours to write.
  std::erase_if(write.pending,
                [this](const auto& entry) { return !machines_.contains(entry.first); });
  const auto fleet = context_.replica.fleet().find(group);
  if (write.pending.empty() || fleet == context_.replica.fleet().end()) {
    write.pending.clear();
    write.due = 0;
    return;
  }
  const auto any_state = [&write](auto&& predicate) {
    return std::any_of(write.pending.begin(), write.pending.end(),
                       [&](const auto& entry) { return predicate(entry.second.state); });
  };
  const bool changes_state =
      any_state([](wire::MachineState state) { return state != wire::MachineState::ready; });
  // Guards against a fleet of many groups that keeps placements waiting while it comes up.
  if (!changes_state && contact_writes_in_flight_ >= kContactWritesQueued) return;
  const std::string key = wire::shard_key(context_.settings.name, group);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  transaction.writes = {{key, encode(next_record(group, write, fleet->second)), std::nullopt}};
  // Guards against decisions that are lost with the controller that found them, again and again: on
  // them wait users whose cancelled jobs run on a machine that does not answer.
  transaction.urgent =
      any_state([](wire::MachineState state) { return state == wire::MachineState::lost; });
  if (!changes_state) ++contact_writes_in_flight_;
  write.busy = true;
  write.due = 0;
  transaction.done = [this, group, changes_state, sent = write.pending](Ms at, TxnResult result,
                                                                        const auto&) {
    if (!changes_state) --contact_writes_in_flight_;
    on_written(at, group, result, sent);
  };
  context_.state_client.submit(std::move(transaction));
}

void ShardRecordWriter::on_written(Ms now, std::uint32_t group, TxnResult result,
                                   const Contacts& sent) {
  ShardWrite& write = shard_writes_[group];
  if (result == TxnResult::committed) {
    write.busy = false;
    std::erase_if(write.pending, [&sent](const auto& entry) {
      const auto written = sent.find(entry.first);
      return written != sent.end() && written->second == entry.second;
    });
    if (!write.pending.empty() && write.due == 0) write.due = now + kContactWriteDelayMs;
    return;
  }
  context_.state_client.wait_until_settled(now, [this, group](Ms then) {
    ShardWrite& again = shard_writes_[group];
    again.busy = false;
    again.due = then + kRefusedRetryMs;
  });
}

}  // namespace scheduler
