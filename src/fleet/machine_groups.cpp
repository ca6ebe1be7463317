#include "fleet/machine_groups.h"

#include <algorithm>

namespace scheduler {

namespace {

std::uint32_t next_unused_group(const FleetRecords& fleet, std::uint32_t from) {
  while (fleet.contains(from)) ++from;
  return from;
}

}  // namespace

std::optional<FleetRecords> split_group(const FleetRecords& fleet, std::uint32_t group,
                                        const GroupLimits& limits) {
  const auto found = fleet.find(group);
  if (found == fleet.end() || found->second.machines.size() <= limits.machines) return std::nullopt;
  const auto& machines = found->second.machines;
  // Groups may exceed the limit on machines if otherwise one transaction could not write all
  // records. That usually fits into a value, since the limit assumes longer names and addresses
  // than usual.
  const std::size_t min_machines_per_group =
      (machines.size() + limits.records - 1) / limits.records;
  const std::size_t max_machines_per_group = std::max(limits.machines, min_machines_per_group);
  FleetRecords out;
  std::uint32_t target = group;
  std::uint32_t unused = 0;
  for (const auto& [id, machine] : machines) {
    if (out[target].machines.size() >= max_machines_per_group) {
      target = unused = next_unused_group(fleet, unused);
      ++unused;
    }
    out[target].machines[id] = machine;
  }
  const bool fits = std::all_of(out.begin(), out.end(), [&](const auto& entry) {
    return encode(entry.second).size() <= limits.value_bytes;
  });
  return fits ? std::optional(std::move(out)) : std::nullopt;
}

}  // namespace scheduler
