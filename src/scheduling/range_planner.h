// Dividing jobs into task ranges among the shards, within the limits on records and transactions.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/context.h"
#include "membership/controller_status.h"
#include "wire/records.h"

namespace scheduler {

class RangePlanner {
 public:
  RangePlanner(const Context& context, const ControllerStatus& status)
      : context_(context), status_(status) {}

  // Placements that fit into the record of a range of so many tasks, as a rule.
  [[nodiscard]] std::size_t max_placements(std::uint32_t tasks) const;
  // Ranges of one job that are still divided further, so that one transaction can end it.
  [[nodiscard]] std::size_t max_ranges() const;
  // The ranges that a new job is first given out in, by the free capacity and load of the shards.
  std::vector<wire::JobRecord::Share> split_into_ranges(const wire::JobSpec& spec);
  // The view has changed: machines have other owners.
  void on_view_changed() { next_shard_count_ = 0; }

 private:
  // Free capacity and load of one shard, in tasks of one job.
  struct ShardCapacity {
    double free = 0, total = 0, load = 0;
  };
  using ShardCapacities = std::map<std::string, ShardCapacity>;  // by owner
  // Machines of one shard that are alike.
  struct ShardMachineKind {
    std::string owner, type, zone;
    bool spot = false;
    auto operator<=>(const ShardMachineKind&) const = default;
  };

  // How many usable machines each shard has, by kind; counted again after a second.
  const std::map<ShardMachineKind, std::size_t>& shard_machines();
  // From sums: what each shard could hold, less what its ranges have placed and waiting. Placements
  // of a range are on its owner's machines but for gangs and zoned jobs, which are few.
  ShardCapacities shard_capacities(const wire::JobSpec& spec);
  // The shard with most free capacity, or else the one that is least loaded for its size; end: no
  // shard has machines for the job. `first` is preferred among equals.
  static ShardCapacities::iterator most_free(ShardCapacities& shards, const std::string& first);
  // The ranges of a job of which each shard was given so many tasks, none larger than its record
  // may become.
  [[nodiscard]] std::vector<wire::JobRecord::Share> limit_range_sizes(
      const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& given) const;

  const Context& context_;
  const ControllerStatus& status_;
  std::map<ShardMachineKind, std::size_t> shard_machines_;
  Ms next_shard_count_ = 0;  // 0: to be counted now
};

}  // namespace scheduler
