#include "scheduling/candidate_cache.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/resources.h"

namespace scheduler {

void CandidateCache::book_recorded(Ms now, const Machine& machine, Candidate& candidate) const {
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    const auto* placement = context_.replica.placement(ref);
    const auto job = context_.replica.jobs().find(ref.range.job);
    if (!placement || job == context_.replica.jobs().end()) continue;
    const TaskAttempt attempt{{ref.range.job, ref.index}, placement->attempt};
    const ReportedTask* reported = machine.reported(attempt);
    if (reported && reported->state == wire::TaskState::exited) continue;
    if (ranges_.is_released(ref, placement->attempt)) continue;
    // A task that is being preempted counts as gone here; the tasks placed instead start only after
    // it has stopped.
    if (machine.stop_requested(attempt)) continue;
    const wire::JobSpec& spec = job->second.record.spec;
    const bool running = reported && reported->running_since != 0;
    candidate.book(spec, predicted_end(running ? reported->running_since : now, spec));
  }
}

void CandidateCache::book_unrecorded(Ms now, const Machine& machine, Candidate& candidate) const {
  for (const auto& [attempt, reported] : machine.tasks) {
    const wire::TaskId& task = attempt.task;
    if (reported.state == wire::TaskState::exited) continue;
    const auto job = context_.replica.jobs().find(task.job);
    if (job == context_.replica.jobs().end()) continue;
    const auto& ranges = job->second.ranges;
    const bool recorded =
        std::any_of(ranges.begin(), ranges.end(), [&, index = task.index](const auto& range) {
          const auto placed = range.second.placed.find(index);
          return placed != range.second.placed.end() && placed->second.machine == machine.id;
        });
    if (!recorded) candidate.book(job->second.record.spec, now);
  }
}

Candidate& CandidateCache::candidate(Ms now, const Machine& machine) const {
  if (machine.candidate_valid) return machine.candidate;
  machine.candidate_valid = true;
  Candidate& candidate = machine.candidate;
  candidate = {};
  candidate.id = machine.id;
  candidate.zone = machine.zone;
  candidate.type = machine.type;
  candidate.spot = machine.spot;
  candidate.incarnation = machine.incarnation;
  candidate.images = machine.images;
  const auto* type = context_.replica.type(machine.type);
  if (!type) return candidate;
  candidate.free = resources_of(*type) - machine.reserved;
  candidate.fetch_gb_per_s = type->fetch_gb_per_s;
  book_recorded(now, machine, candidate);
  book_unrecorded(now, machine, candidate);
  return candidate;
}

Candidate CandidateCache::remote_candidate(Ms now, const std::string& id,
                                           const wire::MachineRecord& record) const {
  Candidate candidate;
  candidate.id = id;
  candidate.zone = record.zone;
  candidate.type = record.type;
  candidate.spot = record.spot;
  candidate.incarnation = record.incarnation;
  candidate.local = false;
  const auto* type = context_.replica.type(record.type);
  if (!type) return candidate;
  const auto found = remote_reservations_.find(id);
  const Resources reserved = found == remote_reservations_.end() ? Resources{} : found->second;
  candidate.free = resources_of(*type) - reserved;
  candidate.fetch_gb_per_s = type->fetch_gb_per_s;
  for (const TaskRef& ref : context_.replica.placed_on(id)) {
    auto job = context_.replica.jobs().find(ref.range.job);
    if (job != context_.replica.jobs().end())
      candidate.book(job->second.record.spec, predicted_end(now, job->second.record.spec));
  }
  return candidate;
}

void CandidateCache::begin_pass() {
  std::erase_if(remote_candidates_, [](const auto& entry) { return entry.second.outdated; });
}

void CandidateCache::invalidate_remote_candidate(const std::string& machine) {
  const auto cached = remote_candidates_.find(machine);
  if (cached != remote_candidates_.end()) cached->second.outdated = true;
}

void CandidateCache::invalidate_all_remote_candidates() {
  for (auto& [machine, cached] : remote_candidates_) cached.outdated = true;
}

void CandidateCache::add_remote_candidates(SchedulingPass& pass) {
  if (pass.remote_added) return;
  pass.remote_added = true;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (machines_.contains(id) || record.incarnation == 0 ||
        record.state != wire::MachineState::ready)
      continue;
    RemoteCandidate& cached = remote_candidates_[id];
    if (cached.outdated) cached = {remote_candidate(pass.now, id, record), false};
    pass.candidates.push_back(&cached.candidate);
    pass.zones.insert(record.zone);
  }
}

void CandidateCache::drop_pending_placements(RangeState& range, std::size_t count) {
  while (count-- > 0 && !range.pending_placements.empty()) {
    const auto last = std::prev(range.pending_placements.end());
    const std::string& id = last->second.machine;
    release(id, range.task_resources);
    if (auto machine = machines_.find(id); machine != machines_.end())
      machine->second.candidate_valid = false;
    invalidate_remote_candidate(id);
    range.pending_placements.erase(last);
  }
}

void CandidateCache::clear_pending_placements(RangeState& range) {
  drop_pending_placements(range, range.pending_placements.size());
  range.write_uncertain = false;
}

void CandidateCache::reserve(const std::string& machine, const Resources& resources) {
  const auto local = machines_.find(machine);
  Resources& reserved =
      local != machines_.end() ? local->second.reserved : remote_reservations_[machine];
  reserved = (reserved + resources).not_negative();
}

void CandidateCache::release(const std::string& machine, const Resources& resources) {
  const auto local = machines_.find(machine);
  if (local != machines_.end()) {
    local->second.reserved = (local->second.reserved - resources).not_negative();
    return;
  }
  Resources& reserved = remote_reservations_[machine];
  reserved = (reserved - resources).not_negative();
  if (reserved.negligible()) remote_reservations_.erase(machine);
}

void CandidateCache::recount_remote_reservations() {
  remote_reservations_.clear();
  for (const auto& [id, range] : ranges_) {
    for (const auto& [task, placement] : range.pending_placements) {
      if (!machines_.contains(placement.machine))
        remote_reservations_[placement.machine] += range.task_resources;
    }
  }
}

}  // namespace scheduler
