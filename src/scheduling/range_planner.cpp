#include "scheduling/range_planner.h"

#include <algorithm>
#include <cmath>

#include "allocation/placement.h"
#include "scheduling/range_split.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Maximum ranges of one job; the transaction that ends a job needs a condition for each.
constexpr std::size_t kMaxRangesPerJob = 48;
// Jobs are divided among shards in steps. A step is 1/kFleetStepDivisor of the number of the job's
// tasks that the fleet can hold, so that the rate of record writes does not grow with the fleet and
// a small fleet is still fully used. The other two constants limit the tasks per step and the steps
// of a large job.
constexpr double kFleetStepDivisor = 64.0;
constexpr std::uint32_t kMaxTasksPerStep = 64;
constexpr std::uint32_t kMaxStepsPerJob = 256;
// Typical bytes of a placement in a range record if each task is on a different machine.
constexpr std::size_t kBytesPerPlacement = 30;
// Bytes of a range record without placements and bitmap: owner and bounds.
constexpr std::size_t kRangeOverheadBytes = 200;
// Milliseconds for which the machine counts of all shards are reused.
constexpr std::int64_t kShardCountValidMs = 1000;

}  // namespace

std::size_t RangePlanner::max_placements(std::uint32_t tasks) const {
  const double bytes = context_.value_bytes() - static_cast<double>(kRangeOverheadBytes) -
                       static_cast<double>(tasks) / 4;
  return static_cast<std::size_t>(std::max(1.0, bytes / kBytesPerPlacement));
}

std::size_t RangePlanner::max_ranges() const {
  // Conditions kept free for other keys than ranges: the transaction that ends a job also compares
  // the view, the job and its final state.
  constexpr std::size_t kOtherConditions = 4;
  const std::size_t conditions =
      static_cast<std::size_t>(context_.settings.txn_ops) * wire::kConditionsPerWrite;
  return std::min(kMaxRangesPerJob, conditions - kOtherConditions);
}

const std::map<RangePlanner::ShardMachineKind, std::size_t>& RangePlanner::shard_machine_counts() {
  const Ms now = status_.last_input_at();
  if (next_shard_count_at_ != 0 && now < next_shard_count_at_) return shard_machine_counts_;
  next_shard_count_at_ = now + kShardCountValidMs;
  shard_machine_counts_.clear();
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record.state != wire::MachineState::ready || record.incarnation == 0) continue;
    const std::string& owner = context_.cluster_view.machine_owner(id, record.zone);
    ++shard_machine_counts_[{owner, record.type, record.zone, record.spot}];
  }
  return shard_machine_counts_;
}

RangePlanner::ShardCapacities RangePlanner::shard_capacities(const wire::JobSpec& spec) {
  ShardCapacities shards;
  for (const auto& name : context_.cluster_view.owners()) shards[name];
  for (const auto& [kind, machines] : shard_machine_counts()) {
    const auto* type = context_.replica.type(kind.type);
    const auto shard = shards.find(kind.owner);
    if (!type || shard == shards.end() || !allowed(spec, kind.type, kind.zone, kind.spot)) continue;
    const double tasks =
        static_cast<double>(machines) * fit_count(resources_of(spec), resources_of(*type));
    shard->second.free += tasks;
    shard->second.total += tasks;
  }
  for (const auto& [id, job] : context_.replica.jobs()) {
    if (!job.known || job.record.cancelled) continue;
    const double scale = spec.cpus > 0 ? job.record.spec.cpus / spec.cpus : 1.0;
    for (const auto& [number, range] : job.ranges) {
      const double waiting =
          (range.end - range.begin) - range.done_count() - static_cast<double>(range.placed.size());
      const auto shard =
          shards.find(context_.cluster_view.range_owner(wire::range_key(id, number), range.owner));
      if (shard == shards.end()) continue;
      shard->second.free -= static_cast<double>(range.placed.size()) * scale;
      if (job.record.spec.priority >= spec.priority) shard->second.free -= waiting * scale;
      shard->second.load += waiting * scale;
    }
  }
  return shards;
}

RangePlanner::ShardCapacities::iterator RangePlanner::most_free(
    ShardCapacities& shards, const std::string& preferred_owner) {
  auto best = shards.end();
  for (auto shard = shards.begin(); shard != shards.end(); ++shard) {
    const ShardCapacity& capacity = shard->second;
    if (capacity.total <= 0) continue;
    if (best == shards.end()) {
      best = shard;
      continue;
    }
    const ShardCapacity& other = best->second;
    const bool has_free = capacity.free >= 1;
    const bool other_has_free = other.free >= 1;
    bool better = has_free;
    if (has_free && other_has_free) {
      better = capacity.free > other.free ||
               (capacity.free == other.free && shard->first == preferred_owner);
    } else if (!has_free && !other_has_free) {
      better = (capacity.load + 1) / capacity.total < (other.load + 1) / other.total;
    }
    if (better) best = shard;
  }
  return best;
}

std::vector<wire::JobRecord::InitialRange> RangePlanner::split_into_ranges(
    const wire::JobSpec& spec) {
  ShardCapacities shards = shard_capacities(spec);
  const bool keep_whole = spec.is_gang() || spec.one_zone || spec.spread;
  const std::string preferred_owner =
      pick_by_rendezvous_hash(wire::job_key(spec.id), context_.cluster_view.owners());
  // A step is several tasks, because every shard that gets tasks of the job writes records for as
  // long as they run.
  double fleet_capacity = 0;
  for (const auto& [name, capacity] : shards) fleet_capacity += capacity.total;
  const auto fleet_step = static_cast<std::uint32_t>(
      std::clamp(fleet_capacity / kFleetStepDivisor, 1.0, static_cast<double>(kMaxTasksPerStep)));
  const std::uint32_t step =
      keep_whole ? spec.tasks : std::max(fleet_step, spec.tasks / kMaxStepsPerJob);
  std::map<std::string, std::uint32_t> tasks_by_owner;
  for (std::uint32_t remaining = spec.tasks; remaining > 0;) {
    const std::uint32_t tasks = std::min(step, remaining);
    auto best = most_free(shards, preferred_owner);
    if (best == shards.end()) best = shards.try_emplace(preferred_owner).first;
    tasks_by_owner[best->first] += tasks;
    best->second.free -= tasks;
    best->second.load += tasks;
    remaining -= tasks;
  }
  return limit_range_sizes(spec, tasks_by_owner);
}

std::vector<wire::JobRecord::InitialRange> RangePlanner::limit_range_sizes(
    const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& tasks_by_owner) const {
  // All replicas of a service are placed at the same time, so the record must hold a placement for
  // each.
  const auto max_replicas = static_cast<std::uint32_t>(max_placements(0));
  const std::uint32_t max_range_tasks =
      spec.is_service() ? max_replicas
                        : max_tasks_per_range(static_cast<std::size_t>(context_.value_bytes()));
  std::vector<wire::JobRecord::InitialRange> out;
  std::uint32_t begin = 0;
  for (const auto& [name, tasks] : tasks_by_owner) {
    for (std::uint32_t remaining = tasks; remaining > 0;) {
      const std::uint32_t range_tasks = std::min(remaining, max_range_tasks);
      out.push_back({static_cast<std::uint32_t>(out.size()) + 1, begin, begin + range_tasks, name});
      begin += range_tasks;
      remaining -= range_tasks;
    }
  }
  return out;
}

}  // namespace scheduler
