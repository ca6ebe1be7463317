#include "scheduling/task_assigner.h"

#include <map>
#include <utility>

namespace scheduler {

void TaskAssigner::assign(SchedulingPass& pass, const TaskToPlace& task, int machine, bool booked) {
  Candidate& candidate = pass.candidate(machine);
  const wire::JobSpec& spec = task.spec;
  RangeState& range = task.range;
  range.pending_placements[task.task] = {task.attempt, candidate.id, candidate.incarnation,
                                         context_.settings.name};
  range.task_resources = resources_of(spec);
  if (!booked) candidate.book(spec, predicted_end(pass.now, spec));
  candidate_cache_.reserve(candidate.id, range.task_resources);
  auto& used = pass.used[spec.team];
  used.cpus += spec.cpus;
  used.gpus += spec.gpus;
  --pass.remaining_placements;
}

std::set<std::string> TaskAssigner::zones_open(const SchedulingPass& pass, const Job& job) const {
  const auto& spec = job.record.spec;
  std::map<std::string, std::size_t> here;
  auto count = [&](const wire::Placement& placement) {
    const auto* m = context_.replica.machine(placement.machine);
    ++here[m ? m->zone : ""];
  };
  for (const auto& [number, range] : job.ranges) {
    // A task that is proven gone does not count for its zone, even if its release is not recorded
    // yet.
    for (const auto& [task, placement] : range.placed)
      if (!ranges_.is_released({{spec.id, number}, task}, placement.attempt)) count(placement);
    if (auto w = ranges_.find({spec.id, number}); w != ranges_.end())
      for (const auto& [task, placement] : w->second.pending_placements) count(placement);
  }
  std::set<std::string> out;
  for (const auto& zone : pass.zones) {
    const bool alone = here.empty() || (here.size() == 1 && here.contains(zone));
    auto n = here.find(zone);
    const std::size_t then = (n == here.end() ? 0 : n->second) + 1;
    if ((!spec.one_zone || alone) && (!spec.spread || then <= (spec.tasks + 1) / 2))
      out.insert(zone);
  }
  return out;
}

std::set<std::string> TaskAssigner::machines_of(const Job& job) const {
  std::set<std::string> machines;
  for (const auto& [number, range] : job.ranges) {
    for (const auto& [task, placement] : range.placed) machines.insert(placement.machine);
    const auto work = ranges_.find({job.record.spec.id, number});
    if (work == ranges_.end()) continue;
    for (const auto& [task, placement] : work->second.pending_placements)
      machines.insert(placement.machine);
  }
  return machines;
}

}  // namespace scheduler
