#include "scheduling/scheduling_pass.h"

#include <algorithm>

namespace scheduler {

const std::vector<int>& SchedulingPass::machines_for(const wire::JobSpec& spec,
                                                     const std::string& zone, bool remote) {
  static const std::vector<int> none;
  if (!zone.empty() && !spec.zone.empty() && zone != spec.zone) return none;
  const std::string& only = zone.empty() ? spec.zone : zone;
  auto [found, fresh] = eligible_by_kind.try_emplace(Kind{spec.spot, spec.types, only, remote});
  if (!fresh) return found->second;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& machine = *candidates[i];
    const bool here = only.empty() || machine.zone == only;
    if (here && (machine.local || remote) &&
        allowed(spec, machine.type, machine.zone, machine.spot))
      found->second.push_back(static_cast<int>(i));
  }
  return found->second;
}

void SchedulingPass::reserve(const wire::JobSpec& spec, std::size_t tasks) {
  std::vector<int> open = machines_for(spec, "", false);
  const std::size_t count = std::min(tasks, open.size() / 4 + 1);
  const auto middle = open.begin() + static_cast<std::ptrdiff_t>(std::min(count, open.size()));
  std::partial_sort(open.begin(), middle, open.end(), [this](int a, int b) {
    return candidate(a).free.cpus > candidate(b).free.cpus;
  });
  reserved.insert(open.begin(), middle);
}

}  // namespace scheduler
