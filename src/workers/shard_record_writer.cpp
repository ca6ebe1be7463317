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

void ShardRecordWriter::write(Ms now) {
  if (!context_.can_write(now)) return;
  regroup_pending();
  if (context_.services_enabled() && now >= next_stray_check_) {
    next_stray_check_ = now + kStrayCheckMs;
    for (const auto& [group, record] : context_.replica.shards_of(context_.settings.name)) {
      if (!shard_writes_[group].busy && has_strays(*record, group)) move_strays(group, *record);
    }
  }
  for (auto& [group, w] : shard_writes_) {
    if (w.busy || w.pending.empty() || now < w.due) continue;
    // Guards against dropping what we know of machines that have gone to another group.
    const auto* mine = context_.replica.shard(context_.settings.name, group);
    if (mine && has_strays(*mine, group)) continue;
    // States of machines that went to another shard meanwhile are not ours to write.
    std::erase_if(w.pending, [this](const auto& p) { return !machines_.contains(p.first); });
    const auto fleet = context_.replica.fleet().find(group);
    if (w.pending.empty() || fleet == context_.replica.fleet().end()) {
      w.pending.clear();
      w.due = 0;
      continue;
    }
    wire::ShardRecord next;
    if (const auto* record = context_.replica.shard(context_.settings.name, group)) {
      // What we knew of machines that are another's now stays until they are forgotten: the new
      // owner may not have written it yet.
      for (const auto& [id, heard] : record->machines)
        if (fleet->second.machines.contains(id)) next.machines[id] = heard;
    }
    for (const auto& [id, heard] : w.pending)
      if (fleet->second.machines.contains(id)) next.machines[id] = heard;
    // Guards against decisions that are lost with the controller that found them, again and again:
    // on them wait users whose cancelled jobs run on a machine that does not answer.
    const bool urgent = std::any_of(w.pending.begin(), w.pending.end(), [](const auto& p) {
      return p.second.state == wire::MachineState::lost;
    });
    const bool changes_state = std::any_of(w.pending.begin(), w.pending.end(), [](const auto& p) {
      return p.second.state != wire::MachineState::ready;
    });
    // Guards against a fleet of many groups that keeps placements waiting while it comes up.
    if (!changes_state && contact_writes_in_flight_ >= kContactWritesQueued) continue;
    Transaction transaction;
    const std::string key = wire::shard_key(context_.settings.name, group);
    transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
    transaction.writes = {{key, encode(next), std::nullopt}};
    transaction.urgent = urgent;
    if (!changes_state) ++contact_writes_in_flight_;
    w.busy = true;
    w.due = 0;
    transaction.done = [this, group, changes_state, sent = w.pending](Ms at, TxnResult result,
                                                                      const auto&) {
      if (!changes_state) --contact_writes_in_flight_;
      ShardWrite& written = shard_writes_[group];
      if (result == TxnResult::committed) {
        written.busy = false;
        std::erase_if(written.pending, [&](const auto& p) {
          auto s = sent.find(p.first);
          return s != sent.end() && s->second == p.second;
        });
        if (!written.pending.empty() && written.due == 0) written.due = at + kContactWriteDelayMs;
        return;
      }
      context_.state_client.wait_until_settled(at, [this, group](Ms then) {
        ShardWrite& again = shard_writes_[group];
        again.busy = false;
        again.due = then + kRefusedRetryMs;
      });
    };
    context_.state_client.submit(std::move(transaction));
  }
}

}  // namespace scheduler
