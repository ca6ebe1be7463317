#include "allocation/range_table.h"

#include <algorithm>

#include "base/log_event.h"

namespace scheduler {

namespace {

std::string_view name_of(ReleaseProof proof) {
  switch (proof) {
    case ReleaseProof::exit_listed:
      return "exit_listed";
    case ReleaseProof::later_incarnation:
      return "later_incarnation";
    case ReleaseProof::token_above_start:
      return "token_above_start";
    case ReleaseProof::lease_expired:
      return "lease_expired";
    case ReleaseProof::machine_terminated:
      break;
  }
  return "machine_terminated";
}

}  // namespace

bool RangeState::is_unstarted(const wire::RangeRecord& range, std::uint32_t task) const {
  if (range.done[task - range.begin] || pending_placements.contains(task)) return false;
  const auto placement = range.placed.find(task);
  if (placement == range.placed.end()) return true;
  const auto release = released.find(task);
  return !range.stopping && release != released.end() && !release->second.done &&
         release->second.attempt == placement->second.attempt;
}

std::size_t RangeState::open_tasks(const wire::RangeRecord& range) const {
  const std::size_t placed_or_done = range.placed.size() + range.done_count();
  const auto released_tasks = static_cast<std::size_t>(std::count_if(
      released.begin(), released.end(), [](const auto& entry) { return !entry.second.done; }));
  const std::size_t total = range.end - range.begin;
  return std::min(total, total - std::min(total, placed_or_done) + released_tasks);
}

void RangeTable::erase_unrecorded() {
  std::erase_if(ranges_, [this](const auto& entry) {
    return !entry.second.write_in_progress && !context_.replica.range(entry.first);
  });
}

void RangeTable::release_task(const TaskRef& ref, std::uint64_t attempt, bool done,
                              const ReleaseEvidence& evidence) {
  ReleasedTask& released = ranges_[ref.range].released[ref.index];
  if (released.attempt == attempt && released.done) return;
  released = {attempt, done};
  log_release(ref, released, evidence);
  pass_trigger_.request();
}

void RangeTable::log_release(const TaskRef& ref, const ReleasedTask& released,
                             const ReleaseEvidence& evidence) const {
  if (!context_.logs_debug()) return;
  const auto* placement = context_.replica.placement(ref);
  LogEvent event(released.done ? "done" : "release");
  event.field("task", wire::task_name(ref.range.job, ref.index));
  event.field("attempt", released.attempt)
      .field("machine", placement ? std::string_view(placement->machine) : "none");
  event.field("proof", name_of(evidence.proof))
      .field("token", evidence.reported_token)
      .field("start_token", evidence.start_token);
  context_.log(LogLevel::debug, event.text());
}

bool RangeTable::is_released(const TaskRef& ref, std::uint64_t attempt) const {
  const auto range = ranges_.find(ref.range);
  if (range == ranges_.end()) return false;
  const auto released = range->second.released.find(ref.index);
  return released != range->second.released.end() && released->second.attempt == attempt;
}

void RangeTable::discard_unrecorded_releases(const std::string& machine) {
  for (const TaskRef& ref : context_.replica.placed_on(machine)) {
    const auto range = ranges_.find(ref.range);
    if (range != ranges_.end()) range->second.released.erase(ref.index);
  }
}

Usage RangeTable::usage_with_pending(const std::string& team, Usage recorded) const {
  Usage sum = recorded;
  for (const auto& [id, state] : ranges_) {
    if (state.pending_placements.empty()) continue;
    const Job* job = context_.replica.job(id.job);
    if (!job || job->record.spec.team != team) continue;
    const auto tasks = static_cast<double>(state.pending_placements.size());
    sum.cpus += job->record.spec.cpus * tasks;
    sum.gpus += job->record.spec.gpus * tasks;
  }
  return sum;
}

std::size_t RangeTable::writes_in_flight() const {
  return static_cast<std::size_t>(std::count_if(ranges_.begin(), ranges_.end(), [](const auto& r) {
    return r.second.write_in_progress || r.second.write_uncertain;
  }));
}

}  // namespace scheduler
