#include "state/machine_index.h"

#include <algorithm>

#include "state/decode_record.h"

namespace scheduler {

bool MachineIndex::apply_fleet(std::uint32_t group, const std::optional<std::string>& value,
                               std::set<std::string>& changed) {
  const auto decoded = decode_or_empty<wire::FleetRecord>(value);
  if (!decoded) return false;
  const wire::FleetRecord& record = *decoded;
  const wire::FleetRecord before = std::exchange(fleet_[group], record);
  for (const auto& [id, machine] : record.machines) group_of_[id] = group;
  for (const auto& [id, machine] : before.machines) {
    if (record.machines.contains(id)) continue;
    // The machine may already stand in another group.
    auto at = group_of_.find(id);
    if (at != group_of_.end() && at->second == group) group_of_.erase(at);
    merge(id, changed);
  }
  for (const auto& [id, machine] : record.machines) merge(id, changed);
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
  const wire::ShardRecord before = std::exchange(shards_[shard], record);
  for (const auto& [id, contact] : before.machines) {
    if (record.machines.contains(id)) continue;
    auto at = contacts_.find(id);
    if (at == contacts_.end()) continue;
    at->second.erase(shard);
    if (at->second.empty()) contacts_.erase(at);
    merge(id, changed);
  }
  for (const auto& [id, contact] : record.machines) {
    contacts_[id][shard] = contact;
    merge(id, changed);
  }
  if (!value) shards_.erase(shard);
  return true;
}

wire::MachineRecord MachineIndex::merged(const std::string& id, std::uint32_t group) const {
  wire::MachineRecord sum = fleet_.at(group).machines.at(id);
  auto contacts = contacts_.find(id);
  if (contacts == contacts_.end()) return sum;
  std::uint64_t newest = 0;
  for (const auto& [shard, contact] : contacts->second) {
    if (contact.epoch >= newest) {
      // Not the highest incarnation: a machine that has restarted counts from one again.
      newest = contact.epoch;
      sum.incarnation = contact.incarnation;
      if (!contact.address.empty()) sum.address = contact.address;
    }
    // A decision is never taken back: quarantined, draining, lost, terminated in this order.
    sum.state = std::max(sum.state, contact.state);
  }
  return sum;
}

void MachineIndex::merge(const std::string& id, std::set<std::string>& changed) {
  auto group = group_of_.find(id);
  if (group == group_of_.end()) {
    if (machines_.erase(id)) changed.insert(id);
    return;
  }
  wire::MachineRecord sum = merged(id, group->second);
  auto [it, added] = machines_.try_emplace(id, sum);
  if (!added && it->second == sum) return;
  it->second = std::move(sum);
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
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> out;
  for (auto it = shards_.lower_bound({controller, 0});
       it != shards_.end() && it->first.first == controller; ++it)
    out.emplace_back(it->first.second, &it->second);
  return out;
}

}  // namespace scheduler
