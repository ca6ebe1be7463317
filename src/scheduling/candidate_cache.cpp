#include "scheduling/candidate_cache.h"
#include <algorithm>
#include <iterator>
#include <utility>
#include "base/resources.h"

namespace scheduler {

void CandidateCache::book_recorded(Ms now, const Machine& m, Candidate& candidate) const {
  for (const TaskRef& ref : context_.replica.placed_on(m.id)) {
    const auto* placement = context_.replica.placement(ref);
    const auto job = context_.replica.jobs().find(ref.range.job);
    if (!placement || job == context_.replica.jobs().end()) continue;
    const wire::TaskId task{ref.range.job, ref.index};
    const auto reported = m.tasks.find(task);
    const bool listed =
        reported != m.tasks.end() && reported->second.attempt == placement->attempt;
    if (listed && reported->second.state == wire::TaskState::exited) continue;
    if (ranges_.is_released(ref, placement->attempt)) continue;
    // What is being stopped to make capacity free counts as gone; starts wait until it is.
    if (m.stop_requested(task, placement->attempt)) continue;
    const wire::JobSpec& spec = job->second.record.spec;
    const bool running = listed && reported->second.running_since != 0;
    candidate.book(spec, predicted_end(running ? reported->second.running_since : now, spec));
  }
}

void CandidateCache::book_unrecorded(Ms now, const Machine& m, Candidate& candidate) const {
  for (const auto& [task, reported] : m.tasks) {
    if (reported.state == wire::TaskState::exited) continue;
    const auto job = context_.replica.jobs().find(task.job);
    if (job == context_.replica.jobs().end()) continue;
    const auto& ranges = job->second.ranges;
    const bool recorded =
        std::any_of(ranges.begin(), ranges.end(), [&, index = task.index](const auto& range) {
          const auto placed = range.second.placed.find(index);
          return placed != range.second.placed.end() && placed->second.machine == m.id;
        });
    if (!recorded) candidate.book(job->second.record.spec, now);
  }
}

Candidate& CandidateCache::candidate(Ms now, const Machine& m) const {
  if (m.candidate_known) return m.candidate;
  m.candidate_known = true;
  Candidate& candidate = m.candidate;
  candidate = {};
  candidate.id = m.id;
  candidate.zone = m.zone;
  candidate.type = m.type;
  candidate.spot = m.spot;
  candidate.incarnation = m.incarnation;
  candidate.images = m.images;
  const auto* type = context_.replica.type(m.type);
  if (!type) return candidate;
  candidate.cpus = type->cpus - m.reserved_cpus;
  candidate.gpus = type->gpus - m.reserved_gpus;
  candidate.memory_gb = type->memory_gb - m.reserved_memory;
  candidate.fetch_gb_per_s = type->fetch_gb_per_s;
  book_recorded(now, m, candidate);
  book_unrecorded(now, m, candidate);
  return candidate;
}

Candidate CandidateCache::remote_candidate(Ms now, const std::string& id,
                                       const wire::MachineRecord& record) const {
  Candidate c;
  c.id = id;
  c.zone = record.zone;
  c.type = record.type;
  c.spot = record.spot;
  c.incarnation = record.incarnation;
  c.local = false;
  const auto* type = context_.replica.type(record.type);
  if (!type) return c;
  const auto found = remote_reservations_.find(id);
  const Reservation unwritten = found == remote_reservations_.end() ? Reservation{} : found->second;
  c.cpus = type->cpus - unwritten.cpus;
  c.gpus = type->gpus - unwritten.gpus;
  c.memory_gb = type->memory_gb - unwritten.memory_gb;
  c.fetch_gb_per_s = type->fetch_gb_per_s;
  for (const TaskRef& ref : context_.replica.placed_on(id)) {
    auto job = context_.replica.jobs().find(ref.range.job);
    if (job != context_.replica.jobs().end())
      c.book(job->second.record.spec, predicted_end(now, job->second.record.spec));
  }
  return c;
}

void CandidateCache::add_remote_candidates(SchedulingPass& pass) {
  if (pass.remote_added) return;
  pass.remote_added = true;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (machines_.contains(id) || record.incarnation == 0 ||
        record.state != wire::MachineState::ready)
      continue;
    auto known = remote_candidates_.find(id);
    if (known == remote_candidates_.end())
      known = remote_candidates_.emplace(id, remote_candidate(pass.now, id, record)).first;
    pass.candidates.push_back(&known->second);
    pass.zones.insert(record.zone);
  }
}

// Takes the last `count` choices back.
void CandidateCache::drop_pending_placements(RangeState& range, std::size_t count) {
  wire::JobSpec task;
  task.cpus = range.cpus;
  task.gpus = range.gpus;
  task.memory_gb = range.memory_gb;
  while (count-- > 0 && !range.pending_placements.empty()) {
    auto last = std::prev(range.pending_placements.end());
    const std::string& id = last->second.machine;
    adjust_reservation(id, task, -1);
    if (auto m = machines_.find(id); m != machines_.end()) m->second.candidate_known = false;
    remote_candidates_.erase(id);
    range.pending_placements.erase(last);
  }
}

void CandidateCache::clear_pending_placements(RangeState& range) {
  drop_pending_placements(range, range.pending_placements.size());
  range.write_uncertain = false;
}

void CandidateCache::adjust_reservation(const std::string& machine, const wire::JobSpec& spec,
                                    int sign) {
  const auto change = [sign](double& amount, double by) {
    amount = std::max(0.0, amount + sign * by);
  };
  if (auto m = machines_.find(machine); m != machines_.end()) {
    change(m->second.reserved_cpus, spec.cpus);
    change(m->second.reserved_gpus, spec.gpus);
    change(m->second.reserved_memory, spec.memory_gb);
    return;
  }
  const auto at = remote_reservations_.try_emplace(machine).first;
  change(at->second.cpus, spec.cpus);
  change(at->second.gpus, spec.gpus);
  change(at->second.memory_gb, spec.memory_gb);
  const bool none = at->second.cpus <= kAmountSlack && at->second.gpus <= kAmountSlack &&
                    at->second.memory_gb <= kAmountSlack;
  if (none) remote_reservations_.erase(at);
}

void CandidateCache::recount_remote_reservations() {
  remote_reservations_.clear();
  for (const auto& [id, work] : ranges_) {
    for (const auto& [task, placement] : work.pending_placements) {
      if (machines_.contains(placement.machine)) continue;
      Reservation& sum = remote_reservations_[placement.machine];
      sum.cpus += work.cpus;
      sum.gpus += work.gpus;
      sum.memory_gb += work.memory_gb;
    }
  }
}

}  // namespace scheduler
