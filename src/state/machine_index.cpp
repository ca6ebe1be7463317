#include "state/machine_index.h"

#include <algorithm>

#include "state/decode_record.h"

namespace scheduler {

bool MachineIndex::apply_fleet(std::uint32_t group, const std::optional<std::string>& value,
                               std::set<std::string>& changed) {
  const auto decoded = decode_or_empty<wire::FleetRecord>(value);
  if (!decoded) return false;
  const wire::FleetRecord& record = *decoded;
  const wire::FleetRecord previous = std::exchange(fleet_[group], record);
  for (const auto& [id, machine] : record.machines) group_of_[id] = group;
  for (const auto& [id, machine] : previous.machines) {
    if (record.machines.contains(id)) continue;
    // The machine may already belong to another group.
    auto entry = group_of_.find(id);
    if (entry != group_of_.end() && entry->second == group) group_of_.erase(entry);
    update_merged_record(id, changed);
  }
  for (const auto& [id, machine] : record.machines) update_merged_record(id, changed);
  if (!value) fleet_.erase(group);
  return true;
}

bool MachineIndex::apply_shard(const std::string& controller, std::uint32_t group,
                               const std::optional<std::string>& value,
                               std::set<std::string>& changed) {
  const auto decoded = decode_or_empty<wire::ShardRecord>(value);
  if (!decoded) return false;
  const wire::ShardRecord& record = *decoded;
  const ShardId shard{controller, group};
  const wire::ShardRecord previous = std::exchange(shards_[shard], record);
  for (const auto& [id, contact] : previous.machines) {
    if (record.machines.contains(id)) continue;
    auto entry = contacts_.find(id);
    if (entry == contacts_.end()) continue;
    entry->second.erase(shard);
    if (entry->second.empty()) contacts_.erase(entry);
    update_merged_record(id, changed);
  }
  for (const auto& [id, contact] : record.machines) {
    contacts_[id][shard] = contact;
    update_merged_record(id, changed);
  }
  if (!value) shards_.erase(shard);
  return true;
}

wire::MachineRecord MachineIndex::build_merged_record(const std::string& id,
                                                      std::uint32_t group) const {
  wire::MachineRecord merged_record = fleet_.at(group).machines.at(id);
  auto contacts = contacts_.find(id);
  if (contacts == contacts_.end()) return merged_record;
  std::uint64_t newest_epoch = 0;
  for (const auto& [shard, contact] : contacts->second) {
    if (contact.epoch >= newest_epoch) {
      // Use the incarnation of the newest epoch, not the highest incarnation: a restarted machine
      // counts its incarnations from one again.
      newest_epoch = contact.epoch;
      merged_record.incarnation = contact.incarnation;
      if (!contact.address.empty()) merged_record.address = contact.address;
    }
    // The state only moves forward, in the order quarantined, draining, lost, terminated.
    merged_record.state = std::max(merged_record.state, contact.state);
  }
  return merged_record;
}

void MachineIndex::update_merged_record(const std::string& id, std::set<std::string>& changed) {
  auto group = group_of_.find(id);
  if (group == group_of_.end()) {
    if (machines_.erase(id)) changed.insert(id);
    return;
  }
  wire::MachineRecord merged_record = build_merged_record(id, group->second);
  auto [it, added] = machines_.try_emplace(id, merged_record);
  if (!added && it->second == merged_record) return;
  it->second = std::move(merged_record);
  changed.insert(id);
}

const wire::MachineRecord* MachineIndex::machine(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

std::optional<std::uint32_t> MachineIndex::group_of(const std::string& id) const {
  auto it = group_of_.find(id);
  return it == group_of_.end() ? std::nullopt : std::optional(it->second);
}

const wire::ShardRecord* MachineIndex::shard(const std::string& controller,
                                             std::uint32_t group) const {
  auto it = shards_.find({controller, group});
  return it == shards_.end() ? nullptr : &it->second;
}

std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> MachineIndex::shards_of(
    const std::string& controller) const {
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> shards;
  for (auto it = shards_.lower_bound({controller, 0});
       it != shards_.end() && it->first.first == controller; ++it)
    shards.emplace_back(it->first.second, &it->second);
  return shards;
}

}  // namespace scheduler
