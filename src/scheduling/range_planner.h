// Divides jobs into task ranges among the shards, within the size limits of records and
// transactions.
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

  // Number of placements that usually fit into the record of a range of `tasks` tasks.
  [[nodiscard]] std::size_t max_placements(std::uint32_t tasks) const;
  // Number of ranges from which a job is not divided further, so that one transaction can end the
  // job.
  [[nodiscard]] std::size_t max_ranges() const;
  // Divides a new job into ranges by the free capacity and load of the shards.
  std::vector<wire::JobRecord::InitialRange> split_into_ranges(const wire::JobSpec& spec);
  // Discards the machine counts after the cluster view, and with it machine ownership, has changed.
  void on_view_changed() { next_shard_count_at_ = 0; }

 private:
  // Free capacity, total capacity and waiting load of one shard, in tasks of the job being divided.
  struct ShardCapacity {
    double free = 0, total = 0, load = 0;
  };
  using ShardCapacities = std::map<std::string, ShardCapacity>;  // by owner
  // A kind of machine within one shard.
  struct ShardMachineKind {
    std::string owner, type, zone;
    bool spot = false;
    auto operator<=>(const ShardMachineKind&) const = default;
  };

  // Number of usable machines of each shard by kind; the count is reused for one second.
  const std::map<ShardMachineKind, std::size_t>& shard_machine_counts();
  // Estimates the free capacity of each shard: its machines' capacity minus the placed and waiting
  // tasks of its ranges. Placements are assumed to be on machines of the range's owner, which is
  // wrong only for the few gangs and jobs with zone constraints.
  ShardCapacities shard_capacities(const wire::JobSpec& spec);
  // Returns the shard with the most free capacity, or the one with the least load for its size if
  // no shard has free capacity; `end` if no shard has machines for the job. Among equals,
  // `preferred_owner` is preferred.
  static ShardCapacities::iterator most_free(ShardCapacities& shards,
                                             const std::string& preferred_owner);
  // Divides each shard's number of tasks (`tasks_by_owner`) into ranges whose records stay within
  // the size limit.
  [[nodiscard]] std::vector<wire::JobRecord::InitialRange> limit_range_sizes(
      const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& tasks_by_owner) const;

  const Context& context_;
  const ControllerStatus& status_;
  std::map<ShardMachineKind, std::size_t> shard_machine_counts_;
  Ms next_shard_count_at_ = 0;  // 0: count at the next call
};

}  // namespace scheduler
