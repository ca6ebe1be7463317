#include "workers/shard_record_writer.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "state/state_client.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Maximum number of writes in flight that only record contact with machines. Placements take
// precedence, and a fleet of thousands of machines has more such records than the state service
// takes writes per second.
constexpr std::size_t kMaxContactWritesInFlight = 4;
// Milliseconds between checks for entries in the record of a group that their machine has left.
constexpr std::int64_t kMisplacedCheckIntervalMs = 1000;

}  // namespace

void ShardRecordWriter::record_machine_state(Ms now, Machine& machine, wire::MachineState state,
                                             Ms max_delay) {
  const auto group = context_.replica.group_of(machine.id);
  machine.state = std::max(machine.state, state);
  if (!group) return;  // the fleet leader records the machine first; the caller retries
  ShardWrite& write = shard_writes_[*group];
  const wire::ShardRecord::Contact contact{machine.address, machine.incarnation, machine.state,
                                           machine.owned_since_epoch};
  auto [at, inserted] = write.pending.try_emplace(machine.id, contact);
  if (!inserted && at->second == contact && write.due <= now + max_delay) return;
  at->second = contact;
  write.due = write.due == 0 ? now + max_delay : std::min(write.due, now + max_delay);
}

void ShardRecordWriter::regroup_pending() {
  std::vector<std::pair<std::string, wire::ShardRecord::Contact>> moved;
  for (auto& [group, write] : shard_writes_) {
    if (write.busy) continue;
    std::erase_if(write.pending, [&, old_group = group](const auto& entry) {
      const auto current_group = context_.replica.group_of(entry.first);
      if (!current_group || *current_group == old_group) return false;
      moved.push_back(entry);
      return true;
    });
  }
  for (const auto& [id, contact] : moved) {
    ShardWrite& target = shard_writes_[*context_.replica.group_of(id)];
    target.pending[id] = contact;
    target.due = 1;  // write immediately: the entry has waited before
  }
}

bool ShardRecordWriter::has_misplaced_entries(const wire::ShardRecord& record,
                                              std::uint32_t group) const {
  return std::any_of(record.machines.begin(), record.machines.end(), [&](const auto& entry) {
    const auto current_group = context_.replica.group_of(entry.first);
    return current_group && *current_group != group;
  });
}

void ShardRecordWriter::move_misplaced_entries(std::uint32_t group,
                                               const wire::ShardRecord& record) {
  std::map<std::uint32_t, wire::ShardRecord> next;
  next[group];
  const auto max_records = static_cast<std::size_t>(context_.settings.txn_ops);
  for (const auto& [id, contact] : record.machines) {
    const auto current_group = context_.replica.group_of(id);
    if (!current_group) continue;  // no longer recorded
    const bool fits = next.contains(*current_group) || next.size() < max_records;
    const std::uint32_t target = fits ? *current_group : group;
    if (shard_writes_[target].busy) return;
    auto [entry, inserted] = next.try_emplace(target);
    if (inserted) {
      if (const auto* existing = context_.replica.shard(context_.settings.name, target))
        entry->second = *existing;
    }
    // An existing entry in the target group's record is newer.
    entry->second.machines.try_emplace(id, contact);
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
                                   : context_.state_client.barrier_read_with_retries(at, release);
  };
  context_.state_client.submit(std::move(transaction));
}

void ShardRecordWriter::move_all_misplaced_entries(Ms now) {
  if (!context_.services_enabled() || now < next_misplaced_check_) return;
  next_misplaced_check_ = now + kMisplacedCheckIntervalMs;
  for (const auto& [group, record] : context_.replica.shards_of(context_.settings.name)) {
    if (!shard_writes_[group].busy && has_misplaced_entries(*record, group))
      move_misplaced_entries(group, *record);
  }
}

void ShardRecordWriter::write(Ms now) {
  if (!context_.can_write(now)) return;
  regroup_pending();
  move_all_misplaced_entries(now);
  for (auto& [group, write] : shard_writes_) {
    if (!write.busy && !write.pending.empty() && now >= write.due) write_group(group, write);
  }
}

wire::ShardRecord ShardRecordWriter::next_record(std::uint32_t group, const ShardWrite& write,
                                                 const wire::FleetRecord& fleet) const {
  wire::ShardRecord next;
  if (const auto* record = context_.replica.shard(context_.settings.name, group)) {
    // Entries of machines that now belong to other shards stay until the machines are removed from
    // the fleet: the new owner may not have written its own entry yet.
    for (const auto& [id, contact] : record->machines)
      if (fleet.machines.contains(id)) next.machines[id] = contact;
  }
  for (const auto& [id, contact] : write.pending)
    if (fleet.machines.contains(id)) next.machines[id] = contact;
  return next;
}

void ShardRecordWriter::write_group(std::uint32_t group, ShardWrite& write) {
  // Guards against dropping entries of machines that have moved to another group.
  const auto* own_record = context_.replica.shard(context_.settings.name, group);
  if (own_record && has_misplaced_entries(*own_record, group)) return;
  // Only the current owner may write the state of a machine that has moved to another shard.
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
  // Guards against delaying placements while a fleet of many groups starts up.
  if (!changes_state && contact_writes_in_flight_ >= kMaxContactWritesInFlight) return;
  const std::string key = wire::shard_key(context_.settings.name, group);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  transaction.writes = {{key, encode(next_record(group, write, fleet->second)), std::nullopt}};
  // Lost machines are written urgently. Otherwise each decision may be lost with the controller
  // that made it and have to be made again, while users wait for cancelled jobs on unresponsive
  // machines.
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
  context_.state_client.barrier_read_with_retries(now, [this, group](Ms then) {
    ShardWrite& shard_write = shard_writes_[group];
    shard_write.busy = false;
    shard_write.due = then + kRefusedRetryDelayMs;
  });
}

}  // namespace scheduler
