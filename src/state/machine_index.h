// The record of each machine, merged from the fleet record and the shard records that name it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "wire/records.h"

namespace scheduler {

// Owns the fleet records (which machines exist) and the shard records (what each controller has
// recorded from the machines' heartbeats), and keeps the merged record of each machine up to date.
// A machine exists as long as a fleet record names it. The ids of changed machines are added to
// `changed`.
class MachineIndex {
 public:
  // Applies the new value of a record; nullopt if the record was deleted. Returns false if the
  // value can't be decoded; the value is then ignored.
  bool apply_fleet(std::uint32_t group, const std::optional<std::string>& value,
                   std::set<std::string>& changed);
  bool apply_shard(const std::string& controller, std::uint32_t group,
                   const std::optional<std::string>& value, std::set<std::string>& changed);

  const std::map<std::string, wire::MachineRecord>& machines() const { return machines_; }
  const std::map<std::uint32_t, wire::FleetRecord>& fleet() const { return fleet_; }
  const wire::MachineRecord* machine(const std::string& id) const;
  // The group whose fleet record names the machine; nullopt if no fleet record names it.
  std::optional<std::uint32_t> group_of(const std::string& id) const;
  const wire::ShardRecord* shard(const std::string& controller, std::uint32_t group) const;
  // Every shard record of the controller, in the order of groups.
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> shards_of(
      const std::string& controller) const;

 private:
  // Identifies a controller's shard record of one group.
  using ShardId = std::pair<std::string, std::uint32_t>;

  wire::MachineRecord build_merged_record(const std::string& id, std::uint32_t group) const;
  void update_merged_record(const std::string& id, std::set<std::string>& changed);

  std::map<std::uint32_t, wire::FleetRecord> fleet_;
  std::map<ShardId, wire::ShardRecord> shards_;
  std::unordered_map<std::string, std::uint32_t> group_of_;
  // Machine id -> the contact that each shard record holds of it. While a machine group is being
  // split, shard records of a machine's former group may still hold its contact.
  std::unordered_map<std::string, std::map<ShardId, wire::ShardRecord::Contact>> contacts_;
  std::map<std::string, wire::MachineRecord> machines_;  // merged from the fleet and shard records
};

}  // namespace scheduler
