// Gangs: whole or not at all.
#include <algorithm>
#include <cmath>

#include "base/log_event.h"
#include "controller/controller.h"
#include "scheduling/scheduling_pass.h"

namespace scheduler {

namespace {

// Whether a gang that cannot be whole shows that another one cannot either: it needs at least as
// much, and may go nowhere else.
bool needs_as_much(const wire::JobSpec& gang, const wire::JobSpec& failed) {
  return gang.tasks >= failed.tasks && gang.cpus >= failed.cpus && gang.gpus >= failed.gpus &&
         gang.memory_gb >= failed.memory_gb && gang.types == failed.types &&
         gang.zone == failed.zone && (!gang.spot || failed.spot) &&
         (gang.one_zone || !failed.one_zone) && gang.spread == failed.spread;
}

}  // namespace

// For the log: what a gang waits for, whenever that changes.
void Controller::log_gang_wait(Ms now, const RangeId& id, const Job& job, RangeState& work,
                               std::string_view reason) {
  if (work.waits_for == reason) return;
  work.waits_for = reason;
  if (!logs_debug()) return;
  LogEvent event("gang");
  event.field("job", id.job).field("tasks", job.record.spec.tasks).field("waits_for", reason);
  event.field("age_ms", static_cast<Ms>(age_s(now, job) * 1000.0));
  log(LogLevel::debug, event.text());
}

void Controller::place_gang(SchedulingPass& pass, const RangeId& id, const Job& job,
                            const wire::RangeRecord& range, bool has_started) {
  const auto& spec = job.record.spec;
  RangeState& w = range_states_[id];
  // The next attempt starts when nothing of the last is left anywhere.
  if (!range.placed.empty() || !w.pending_placements.empty() || range.done_count() > 0) return;
  const Team* t = team(spec.team);
  if (!t) return;
  if (limited(*t)) {
    wire::JobSpec all = spec;
    all.cpus *= spec.tasks;
    all.gpus *= spec.tasks;
    if (!quota_allows(pass, all)) {
      log_gang_wait(pass.now, id, job, w,
                    quota_write_in_flight_[spec.team] ? "grant_write" : "grant");
      add_quota_demand(all, 1);
      return;
    }
  }
  const std::vector<int> chosen = find_gang_allocation(pass, spec);
  if (chosen.empty()) {
    log_gang_wait(pass.now, id, job, w, "room");
    if (!has_started) reserve(pass, spec, spec.tasks);
    return;
  }
  const bool remote = std::any_of(chosen.begin(), chosen.end(), [&pass](int i) {
    return !pass.candidates[static_cast<std::size_t>(i)]->local;
  });
  log_gang_wait(pass.now, id, job, w, remote ? "placing_foreign" : "placing");
  for (std::uint32_t task = 0; task < spec.tasks; ++task)
    assign(pass, w, job, range.begin + task, range.next_attempt, chosen[task], true);
}

std::vector<int> Controller::find_gang_allocation(SchedulingPass& pass, const wire::JobSpec& spec) {
  for (const auto* failed : pass.failed_gangs)
    if (needs_as_much(spec, *failed)) return {};
  // Our own part first; if it cannot hold the gang, other parts' machines too.
  for (const bool remote : {false, true}) {
    if (remote) add_remote_candidates(pass);
    std::vector<std::string> tries;
    if (spec.one_zone) {
      tries.assign(pass.zones.begin(), pass.zones.end());
    } else {
      tries.emplace_back();
    }
    for (const auto& only : tries) {
      std::vector<int> chosen = allocate_gang(pass, spec, remote, only);
      if (!chosen.empty()) return chosen;
    }
  }
  pass.failed_gangs.push_back(&spec);
  return {};
}

// Books a machine for every task of the gang, or nothing.
std::vector<int> Controller::allocate_gang(SchedulingPass& pass, const wire::JobSpec& spec,
                                           bool remote, const std::string& only) {
  const std::vector<int>& machines = machines_for(pass, spec, only, remote);
  double room = 0;
  for (const int i : machines) {
    const Candidate& c = *pass.candidates[static_cast<std::size_t>(i)];
    room += fit_count(spec, c.cpus, c.gpus, c.memory_gb);
    if (room >= spec.tasks) break;
  }
  if (room < spec.tasks) return {};
  std::vector<int> open = machines;
  std::map<std::string, std::uint32_t> in_zone;
  std::vector<std::pair<int, bool>> booked;  // machine, whether the image was new there
  while (booked.size() < spec.tasks) {
    const int at = pick_of_two(pass.now, pass.candidates, spec, open, random_);
    if (at < 0) break;
    Candidate& c = *pass.candidates[static_cast<std::size_t>(at)];
    booked.emplace_back(at, c.book(spec, ends_at(pass.now, spec)));
    const std::string zone = c.zone;
    if (spec.spread && ++in_zone[zone] + 1 > (spec.tasks + 1) / 2)
      std::erase_if(
          open, [&](int i) { return pass.candidates[static_cast<std::size_t>(i)]->zone == zone; });
  }
  std::vector<int> chosen;
  if (booked.size() == spec.tasks) {
    for (const auto& [at, fresh] : booked) chosen.push_back(at);
    return chosen;
  }
  for (auto it = booked.rbegin(); it != booked.rend(); ++it)
    pass.candidates[static_cast<std::size_t>(it->first)]->unbook(spec, it->second);
  return chosen;
}

}  // namespace scheduler
