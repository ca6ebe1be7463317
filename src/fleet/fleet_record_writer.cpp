#include "fleet/fleet_record_writer.h"

#include <algorithm>
#include <utility>

#include "fleet/machine_groups.h"

namespace scheduler {

namespace {

// Bytes that a machine takes of a shared record, with space for longer names than usual.
constexpr std::size_t kBytesPerMachine = 112;

}  // namespace

FleetRecordWriter::FleetRecordWriter(const Context& context, Written written)
    : context_(context), written_(std::move(written)) {}

void FleetRecordWriter::set_state(const std::string& id, wire::MachineRecord record,
                                  wire::MachineState state) {
  record.state = state;
  record.incarnation = 0;
  pending_[id] = std::move(record);
}

void FleetRecordWriter::forget(const std::string& id) { pending_[id] = std::nullopt; }

void FleetRecordWriter::settle_scale_out(const std::string& name, std::set<std::string> machines) {
  settled_scale_outs_[name] = std::move(machines);
}

void FleetRecordWriter::clear() {
  pending_.clear();
  settled_scale_outs_.clear();
}

void FleetRecordWriter::write(Ms now) {
  if (busy_ || !context_.can_write(now)) return;
  if (context_.services_enabled() && split_large_group()) return;
  if (pending_.empty() && settled_scale_outs_.empty()) return;
  Batch batch;
  add_machines(batch);
  Transaction transaction = transaction_of(batch);
  if (transaction.writes.empty()) {
    on_settled(batch);
    return;
  }
  // Whatever was not written is found again: in the list, in the records, or by repeating the
  // scale-out request under its name.
  submit(std::move(transaction), [this, batch = std::move(batch)](Ms) { on_settled(batch); });
}

std::size_t FleetRecordWriter::machines_per_group() const {
  return static_cast<std::size_t>(
      std::max(1.0, context_.value_bytes() / static_cast<double>(kBytesPerMachine)));
}

// Splits the first group over the limit. True when a write is under way.
bool FleetRecordWriter::split_large_group() {
  GroupLimits limits;
  limits.machines = machines_per_group();
  limits.value_bytes = static_cast<std::size_t>(context_.value_bytes());
  limits.records = static_cast<std::size_t>(context_.settings.txn_ops);
  const auto& groups = context_.replica.fleet();
  for (const auto& [group, record] : groups) {
    const auto pieces = split_group(groups, group, limits);
    if (!pieces) continue;
    Transaction transaction;
    transaction.conditions = {context_.view_unchanged()};
    for (const auto& [target, piece] : *pieces) {
      const std::string key = wire::fleet_key(target);
      transaction.conditions.push_back(context_.state_client.unchanged(key));
      transaction.writes.push_back({key, encode(piece), std::nullopt});
    }
    context_.log(LogLevel::info, "splitting machine group " + std::to_string(group) + " into " +
                                     std::to_string(pieces->size()));
    submit(std::move(transaction), [this](Ms) { busy_ = false; });
    return true;
  }
  return false;
}

// The group's record as the batch is to write it.
wire::FleetRecord& FleetRecordWriter::group_of_batch(Batch& batch, std::uint32_t group) const {
  auto [entry, fresh] = batch.groups.try_emplace(group);
  if (fresh) {
    const auto stored = context_.replica.fleet().find(group);
    if (stored != context_.replica.fleet().end()) entry->second = stored->second;
  }
  return entry->second;
}

// The first group, from the given one on, that can take one more machine.
std::uint32_t FleetRecordWriter::group_with_room(const Batch& batch, std::uint32_t first) const {
  const auto size = [&](std::uint32_t group) -> std::size_t {
    const auto written = batch.groups.find(group);
    if (written != batch.groups.end()) return written->second.machines.size();
    const auto stored = context_.replica.fleet().find(group);
    return stored == context_.replica.fleet().end() ? 0 : stored->second.machines.size();
  };
  const std::size_t most = machines_per_group();
  std::uint32_t group = first;
  while (size(group) >= most) ++group;
  return group;
}

// Puts the changes that wait into the batch, new machines into groups that have capacity.
void FleetRecordWriter::add_machines(Batch& batch) const {
  std::uint32_t open = 0;  // groups before it are full
  for (const auto& [id, record] : pending_) {
    std::optional<std::uint32_t> group = context_.replica.group_of(id);
    if (!group && !record) {
      batch.machines.insert(id);  // forgotten already
      continue;
    }
    if (!group) {
      open = group_with_room(batch, open);
      group = open;
    }
    const bool carried = batch.groups.contains(*group);
    if (!carried && batch.groups.size() >= context_.capacity.machine_groups_at_once) continue;
    wire::FleetRecord& target = group_of_batch(batch, *group);
    if (record) {
      target.machines[id] = *record;
    } else {
      target.machines.erase(id);
    }
    batch.machines.insert(id);
  }
}

// The transaction that writes the batch, with the scale-out requests that can be forgotten with it.
Transaction FleetRecordWriter::transaction_of(Batch& batch) const {
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged()};
  for (const auto& [group, record] : batch.groups) {
    const std::string key = wire::fleet_key(group);
    transaction.conditions.push_back(context_.state_client.unchanged(key));
    std::optional<std::string> value;
    if (!record.machines.empty()) value = encode(record);
    transaction.writes.push_back({key, value, std::nullopt});
  }
  for (const auto& [name, machines] : settled_scale_outs_) {
    const bool all_recorded = std::all_of(
        machines.begin(), machines.end(),
        [&](const std::string& id) { return batch.machines.contains(id) || !pending(id); });
    const bool full = static_cast<int>(transaction.writes.size()) >= context_.settings.txn_ops;
    if (!all_recorded || full) continue;
    batch.scale_out_requests.push_back(name);
    const std::string key = wire::scale_out_key(name);
    if (context_.state_client.version(key) == 0) continue;
    transaction.conditions.push_back(context_.state_client.unchanged(key));
    transaction.writes.push_back({key, std::nullopt, std::nullopt});
  }
  return transaction;
}

void FleetRecordWriter::submit(Transaction transaction, std::function<void(Ms)> settled) {
  busy_ = true;
  transaction.done = [this, settled = std::move(settled)](Ms now, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      settled(now);
      return;
    }
    context_.state_client.wait_until_settled(now, settled);
  };
  context_.state_client.submit(std::move(transaction));
}

void FleetRecordWriter::on_settled(const Batch& batch) {
  for (const auto& id : batch.machines) pending_.erase(id);
  for (const auto& name : batch.scale_out_requests) settled_scale_outs_.erase(name);
  busy_ = false;
  written_(batch.scale_out_requests);
}

}  // namespace scheduler
