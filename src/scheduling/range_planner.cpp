#include "scheduling/range_planner.h"

#include <algorithm>
#include <cmath>

#include "allocation/placement.h"
#include "scheduling/range_split.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Ranges of one job, so that one transaction can end it (conditions).
constexpr std::size_t kRangesPerJob = 48;
// A job is divided in steps of this part of what the fleet holds of its tasks, so that records do
// not outgrow the write rate with the fleet while a small fleet is used to the full; tasks of a
// step at most, and steps of a large job.
constexpr double kStepOfFleet = 64.0;
constexpr std::uint32_t kTasksPerStep = 64;
constexpr std::uint32_t kStepsPerJob = 256;
// Bytes that a placement usually takes of a range record when each is on a machine of its own.
constexpr std::size_t kBytesPerPlacement = 30;
// Bytes of a range record besides placements and bitmap: owner, bounds.
constexpr std::size_t kRangeOverheadBytes = 200;
// Milliseconds for which a count of the machines of all shards is used again.
constexpr std::int64_t kShardCountMs = 1000;

}  // namespace

std::size_t RangePlanner::max_placements(std::uint32_t tasks) const {
  const double bytes = context_.value_bytes() - static_cast<double>(kRangeOverheadBytes) -
                       static_cast<double>(tasks) / 4;
  return static_cast<std::size_t>(std::max(1.0, bytes / kBytesPerPlacement));
}

std::size_t RangePlanner::max_ranges() const {
  // Besides the ranges, the end of a job has the view, the job and its final state as conditions.
  constexpr std::size_t kOtherConditions = 4;
  const std::size_t conditions =
      static_cast<std::size_t>(context_.settings.txn_ops) * wire::kConditionsPerWrite;
  return std::min(kRangesPerJob, conditions - kOtherConditions);
}

const std::map<RangePlanner::ShardMachineKind, std::size_t>& RangePlanner::shard_machines() {
  const Ms now = status_.last_input_at();
  if (next_shard_count_ != 0 && now < next_shard_count_) return shard_machines_;
  next_shard_count_ = now + kShardCountMs;
  shard_machines_.clear();
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record.state != wire::MachineState::ready || record.incarnation == 0) continue;
    const std::string& owner = context_.cluster_view.machine_owner(id, record.zone);
    ++shard_machines_[{owner, record.type, record.zone, record.spot}];
  }
  return shard_machines_;
}

RangePlanner::ShardCapacities RangePlanner::shard_capacities(const wire::JobSpec& spec) {
  ShardCapacities shards;
  for (const auto& name : context_.cluster_view.owners()) shards[name];
  for (const auto& [kind, machines] : shard_machines()) {
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

RangePlanner::ShardCapacities::iterator RangePlanner::most_free(ShardCapacities& shards,
                                                                const std::string& first) {
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
      better = capacity.free > other.free || (capacity.free == other.free && shard->first == first);
    } else if (!has_free && !other_has_free) {
      better = (capacity.load + 1) / capacity.total < (other.load + 1) / other.total;
    }
    if (better) best = shard;
  }
  return best;
}

std::vector<wire::JobRecord::Share> RangePlanner::split_into_ranges(const wire::JobSpec& spec) {
  ShardCapacities shards = shard_capacities(spec);
  const bool whole = spec.is_gang() || spec.one_zone || spec.spread;
  const std::string first = rendezvous(wire::job_key(spec.id), context_.cluster_view.owners());
  // Step by step. A step is several tasks: each shard that takes some has records to write for as
  // long as they run.
  double held = 0;
  for (const auto& [name, capacity] : shards) held += capacity.total;
  const auto fine = static_cast<std::uint32_t>(
      std::clamp(held / kStepOfFleet, 1.0, static_cast<double>(kTasksPerStep)));
  const std::uint32_t step = whole ? spec.tasks : std::max(fine, spec.tasks / kStepsPerJob);
  std::map<std::string, std::uint32_t> given;
  for (std::uint32_t left = spec.tasks; left > 0;) {
    const std::uint32_t tasks = std::min(step, left);
    auto best = most_free(shards, first);
    if (best == shards.end()) best = shards.try_emplace(first).first;
    given[best->first] += tasks;
    best->second.free -= tasks;
    best->second.load += tasks;
    left -= tasks;
  }
  return limit_range_sizes(spec, given);
}

std::vector<wire::JobRecord::Share> RangePlanner::limit_range_sizes(
    const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& given) const {
  // Every replica of a service is placed at once, so that all placements of a range must fit.
  const auto all_placed = static_cast<std::uint32_t>(max_placements(0));
  const std::uint32_t most_tasks =
      spec.is_service() ? all_placed
                        : tasks_per_range(static_cast<std::size_t>(context_.value_bytes()));
  std::vector<wire::JobRecord::Share> out;
  std::uint32_t begin = 0;
  for (const auto& [name, tasks] : given) {
    for (std::uint32_t left = tasks; left > 0;) {
      const std::uint32_t n = std::min(left, most_tasks);
      out.push_back({static_cast<std::uint32_t>(out.size()) + 1, begin, begin + n, name});
      begin += n;
      left -= n;
    }
  }
  return out;
}

}  // namespace scheduler
