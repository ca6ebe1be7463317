#include "fleet/fleet_record_writer.h"

#include <algorithm>
#include <utility>

#include "fleet/machine_groups.h"

namespace scheduler {

namespace {

// Bytes of one machine in a group's record, with a reserve for names that are longer than usual.
constexpr std::size_t kBytesPerMachine = 112;

}  // namespace

FleetRecordWriter::FleetRecordWriter(const Context& context, OnWritten on_written)
    : context_(context), on_written_(std::move(on_written)) {}

void FleetRecordWriter::set_state(const std::string& id, wire::MachineRecord record,
                                  wire::MachineState state) {
  record.state = state;
  record.incarnation = 0;
  pending_[id] = std::move(record);
}

void FleetRecordWriter::remove(const std::string& id) { pending_[id] = std::nullopt; }

void FleetRecordWriter::settle_scale_out(const std::string& name, std::set<std::string> machines) {
  settled_scale_outs_[name] = std::move(machines);
}

void FleetRecordWriter::clear() {
  pending_.clear();
  settled_scale_outs_.clear();
}

void FleetRecordWriter::write(Ms now) {
  if (write_in_flight_ || !context_.can_write(now)) return;
  if (context_.services_enabled() && split_large_group()) return;
  if (pending_.empty() && settled_scale_outs_.empty()) return;
  Batch batch;
  add_pending_changes(batch);
  Transaction transaction = make_transaction(batch);
  if (transaction.writes.empty()) {
    on_settled(batch);
    return;
  }
  // If the write fails, its changes are dropped as well. Their reasons are detected again: from the
  // machine list, from the records, or from the repeated scale-out request with the same name.
  submit(std::move(transaction), [this, batch = std::move(batch)](Ms) { on_settled(batch); });
}

std::size_t FleetRecordWriter::machines_per_group() const {
  return static_cast<std::size_t>(
      std::max(1.0, context_.value_bytes() / static_cast<double>(kBytesPerMachine)));
}

// Splits the first group that is over the limit. Returns true if a write was started.
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
    submit(std::move(transaction), [this](Ms) { write_in_flight_ = false; });
    return true;
  }
  return false;
}

// The record that the batch will write for the group; initially a copy of the stored record.
wire::FleetRecord& FleetRecordWriter::batch_group(Batch& batch, std::uint32_t group) const {
  auto [entry, inserted] = batch.groups.try_emplace(group);
  if (inserted) {
    const auto stored = context_.replica.fleet().find(group);
    if (stored != context_.replica.fleet().end()) entry->second = stored->second;
  }
  return entry->second;
}

// The first group, starting with `first`, that has room for one more machine.
std::uint32_t FleetRecordWriter::group_with_room(const Batch& batch, std::uint32_t first) const {
  const auto size = [&](std::uint32_t group) -> std::size_t {
    const auto batched = batch.groups.find(group);
    if (batched != batch.groups.end()) return batched->second.machines.size();
    const auto stored = context_.replica.fleet().find(group);
    return stored == context_.replica.fleet().end() ? 0 : stored->second.machines.size();
  };
  const std::size_t max_machines = machines_per_group();
  std::uint32_t group = first;
  while (size(group) >= max_machines) ++group;
  return group;
}

// Adds the queued changes to the batch, as far as they fit. Rented machines come first: no further
// machines are requested before these are recorded, and after the loss of many machines the other
// changes take minutes to write.
void FleetRecordWriter::add_pending_changes(Batch& batch) const {
  std::uint32_t first_open_group = 0;  // all groups with lower numbers are full
  for (const auto& [name, machines] : settled_scale_outs_) {
    for (const std::string& id : machines) {
      const auto change = pending_.find(id);
      if (change != pending_.end()) add_change(batch, id, change->second, first_open_group);
    }
  }
  for (const auto& [id, record] : pending_) {
    if (!batch.machines.contains(id)) add_change(batch, id, record, first_open_group);
  }
}

// Adds one change to the batch if its group fits. A new machine is assigned to a group that has
// room.
void FleetRecordWriter::add_change(Batch& batch, const std::string& id,
                                   const std::optional<wire::MachineRecord>& record,
                                   std::uint32_t& first_open_group) const {
  std::optional<std::uint32_t> group = context_.replica.group_of(id);
  if (!group && !record) {
    batch.machines.insert(id);  // the record has been removed already
    return;
  }
  if (!group) {
    first_open_group = group_with_room(batch, first_open_group);
    group = first_open_group;
  }
  const bool in_batch = batch.groups.contains(*group);
  if (!in_batch && batch.groups.size() >= context_.capacity.machine_groups_per_transaction) return;
  wire::FleetRecord& target = batch_group(batch, *group);
  if (record) {
    target.machines[id] = *record;
  } else {
    target.machines.erase(id);
  }
  batch.machines.insert(id);
}

// The transaction that writes the batch and removes the records of those scale-out requests whose
// machines are all recorded with it.
Transaction FleetRecordWriter::make_transaction(Batch& batch) const {
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
        [&](const std::string& id) { return batch.machines.contains(id) || !is_pending(id); });
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

void FleetRecordWriter::submit(Transaction transaction, std::function<void(Ms)> after_write) {
  write_in_flight_ = true;
  transaction.done = [this, after_write = std::move(after_write)](Ms now, TxnResult result,
                                                                  const auto&) {
    if (result == TxnResult::committed) {
      after_write(now);
      return;
    }
    context_.state_client.barrier_read_with_retries(now, after_write);
  };
  context_.state_client.submit(std::move(transaction));
}

void FleetRecordWriter::on_settled(const Batch& batch) {
  for (const auto& id : batch.machines) pending_.erase(id);
  for (const auto& name : batch.scale_out_requests) settled_scale_outs_.erase(name);
  write_in_flight_ = false;
  on_written_(batch.scale_out_requests);
}

}  // namespace scheduler
