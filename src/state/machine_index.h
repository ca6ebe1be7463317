// What is known of each machine, merged from the records that name it.
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

// Owns the fleet records (which machines there are) and the shard records (what controllers have
// heard from them), and keeps the merged record of each machine up to date. A machine exists while
// a fleet record names it. Changed machines are added to `changed`.
class MachineIndex {
 public:
  // Takes over the new value of a record; none: it was deleted. False when it could not be decoded
  // (it is then ignored).
  bool apply_fleet(std::uint32_t group, const std::optional<std::string>& value,
                   std::set<std::string>& changed);
  bool apply_shard(const std::string& controller, std::uint32_t group,
                   const std::optional<std::string>& value, std::set<std::string>& changed);

  const std::map<std::string, wire::MachineRecord>& machines() const { return machines_; }
  const std::map<std::uint32_t, wire::FleetRecord>& fleet() const { return fleet_; }
  const wire::MachineRecord* machine(const std::string& id) const;
  // The group that a machine is recorded in; none if the machine is not recorded.
  std::optional<std::uint32_t> group_of(const std::string& id) const;
  const wire::ShardRecord* shard(const std::string& controller, std::uint32_t group) const;
  // Every shard record of that controller, by group.
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> shards_of(
      const std::string& controller) const;

 private:
  // A controller's record of one group.
  using ShardId = std::pair<std::string, std::uint32_t>;

  wire::MachineRecord merged(const std::string& id, std::uint32_t group) const;
  void merge(const std::string& id, std::set<std::string>& changed);

  std::map<std::uint32_t, wire::FleetRecord> fleet_;
  std::map<ShardId, wire::ShardRecord> shards_;
  std::unordered_map<std::string, std::uint32_t> group_of_;
  // By machine, what controllers have written of it. While a group is being cut, a machine's
  // entries may stand in records of its former group.
  std::unordered_map<std::string, std::map<ShardId, wire::ShardRecord::Contact>> contacts_;
  std::map<std::string, wire::MachineRecord> machines_;  // merged from all these
};

}  // namespace scheduler
