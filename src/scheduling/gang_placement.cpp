#include "scheduling/gang_placement.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/log_event.h"

namespace scheduler {

namespace {

// True if `gang` cannot be placed because `failed` could not be: it demands at least as much and is
// allowed on no further machines.
bool demands_at_least(const wire::JobSpec& gang, const wire::JobSpec& failed) {
  return gang.tasks >= failed.tasks && resources_of(gang).covers(resources_of(failed)) &&
         gang.types == failed.types && gang.zone == failed.zone && (!gang.spot || failed.spot) &&
         (gang.one_zone || !failed.one_zone) && gang.spread == failed.spread;
}

}  // namespace

bool is_whole_machine_gang(const wire::JobSpec& spec,
                           const std::vector<wire::MachineType>& catalog) {
  if (!spec.is_gang()) return false;
  return std::all_of(catalog.begin(), catalog.end(), [&spec](const auto& type) {
    return !type_fits(spec, type) || fit_count(resources_of(spec), resources_of(type)) < 2;
  });
}

void GangPlacement::log_gang_wait(Ms now, const RangeId& id, const Job& job, RangeState& range,
                                  std::string_view reason) {
  if (range.logged_wait_reason == reason) return;
  range.logged_wait_reason = reason;
  if (!context_.logs_debug()) return;
  LogEvent event("gang");
  event.field("job", id.job).field("tasks", job.record.spec.tasks).field("waits_for", reason);
  event.field("age_ms", static_cast<Ms>(status_.age_s(now, job.record.submitted_ms) * 1000.0));
  context_.log(LogLevel::debug, event.text());
}

void GangPlacement::place(SchedulingPass& pass, const RangeId& id, const Job& job,
                          const wire::RangeRecord& range, bool in_normal_order) {
  const wire::JobSpec& spec = job.record.spec;
  RangeState& state = ranges_[id];
  // The next attempt of the gang starts only after every task of the last attempt is gone.
  if (!range.placed.empty() || !state.pending_placements.empty() || range.done_count() > 0) return;
  const Team* team = context_.team(spec.team);
  if (!team) return;
  if (has_quota_limit(*team)) {
    wire::JobSpec whole_gang = spec;
    whole_gang.cpus *= spec.tasks;
    whole_gang.gpus *= spec.tasks;
    if (!quota_.allows(pass.used, whole_gang)) {
      const bool being_written = quota_.write_in_flight(spec.team);
      log_gang_wait(pass.now, id, job, state, being_written ? "quota_write" : "quota");
      quota_.add_demand(whole_gang, 1);
      return;
    }
  }
  const std::vector<int> chosen = find_gang_allocation(pass, spec);
  if (chosen.empty()) {
    log_gang_wait(pass.now, id, job, state, "capacity");
    if (!in_normal_order) pass.reserve(spec, spec.tasks);
    return;
  }
  const bool remote = std::any_of(chosen.begin(), chosen.end(),
                                  [&pass](int index) { return !pass.candidate(index).local; });
  log_gang_wait(pass.now, id, job, state, remote ? "placing_remote" : "placing");
  for (std::uint32_t task = 0; task < spec.tasks; ++task) {
    assigner_.assign(pass, {spec, state, range.begin + task, range.next_attempt}, chosen[task],
                     true);
  }
}

std::vector<int> GangPlacement::find_gang_allocation(SchedulingPass& pass,
                                                     const wire::JobSpec& spec) {
  for (const auto* failed : pass.failed_gangs)
    if (demands_at_least(spec, *failed)) return {};
  // The controller's own shard is tried first; if it cannot hold the gang, the machines of other
  // shards are added.
  for (const bool remote : {false, true}) {
    if (remote) candidate_cache_.add_remote_candidates(pass);
    std::vector<std::string> zones_to_try;
    if (spec.one_zone) {
      zones_to_try.assign(pass.zones.begin(), pass.zones.end());
    } else {
      zones_to_try.emplace_back();
    }
    for (const auto& required_zone : zones_to_try) {
      std::vector<int> chosen = allocate_gang(pass, spec, remote, required_zone);
      if (!chosen.empty()) return chosen;
    }
  }
  pass.failed_gangs.push_back(&spec);
  return {};
}

std::vector<int> GangPlacement::allocate_gang(SchedulingPass& pass, const wire::JobSpec& spec,
                                              bool remote, const std::string& required_zone) {
  const std::vector<int>& machines = pass.machines_for(spec, required_zone, remote);
  double capacity = 0;
  for (const int i : machines) {
    const Candidate& candidate = pass.candidate(i);
    capacity += fit_count(resources_of(spec), candidate.free);
    if (capacity >= spec.tasks) break;
  }
  if (capacity < spec.tasks) return {};
  std::vector<int> open_machines = machines;
  std::map<std::string, std::uint32_t> tasks_per_zone;
  std::vector<std::pair<int, bool>> booked;  // machine index, whether its image is new there
  while (booked.size() < spec.tasks) {
    const int machine_index = pick_of_two(pass.now, pass.candidates, spec, open_machines, random_);
    if (machine_index < 0) break;
    Candidate& candidate = pass.candidate(machine_index);
    booked.emplace_back(machine_index, candidate.book(spec, predicted_end(pass.now, spec)));
    const std::string zone = candidate.zone;
    if (spec.spread && ++tasks_per_zone[zone] + 1 > (spec.tasks + 1) / 2)
      std::erase_if(open_machines, [&](int i) { return pass.candidate(i).zone == zone; });
  }
  std::vector<int> chosen;
  if (booked.size() == spec.tasks) {
    for (const auto& [machine_index, image_is_new] : booked) chosen.push_back(machine_index);
    return chosen;
  }
  while (!booked.empty()) {
    const auto& [machine, image_was_new] = booked.back();
    pass.candidate(machine).unbook(spec, image_was_new);
    booked.pop_back();
  }
  return chosen;
}

}  // namespace scheduler
