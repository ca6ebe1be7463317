#include "scheduling/scheduling_pass.h"

#include <algorithm>

namespace scheduler {

const std::vector<int>& SchedulingPass::machines_for(const wire::JobSpec& spec,
                                                     const std::string& zone, bool remote) {
  static const std::vector<int> none;
  if (!zone.empty() && !spec.zone.empty() && zone != spec.zone) return none;
  const std::string& required_zone = zone.empty() ? spec.zone : zone;
  auto [entry, inserted] =
      eligible_by_filter.try_emplace(MachineFilter{spec.spot, spec.types, required_zone, remote});
  if (!inserted) return entry->second;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& machine = *candidates[i];
    const bool in_zone = required_zone.empty() || machine.zone == required_zone;
    if (in_zone && (machine.local || remote) &&
        allowed(spec, machine.type, machine.zone, machine.spot))
      entry->second.push_back(static_cast<int>(i));
  }
  return entry->second;
}

void SchedulingPass::reserve(const wire::JobSpec& spec, std::size_t tasks) {
  std::vector<int> machines = machines_for(spec, "", false);
  const std::size_t count = std::min(tasks, machines.size() / 4 + 1);
  const auto end_of_reserved =
      machines.begin() + static_cast<std::ptrdiff_t>(std::min(count, machines.size()));
  std::partial_sort(machines.begin(), end_of_reserved, machines.end(), [this](int a, int b) {
    return candidate(a).free.cpus > candidate(b).free.cpus;
  });
  reserved.insert(machines.begin(), end_of_reserved);
}

}  // namespace scheduler
