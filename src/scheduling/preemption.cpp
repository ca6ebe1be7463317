#include "scheduling/preemption.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/resources.h"

namespace scheduler {

namespace {

// Run time in seconds that may be lost at any time, even without a checkpoint.
constexpr double kNegligibleRunTimeS = 5.0;
// Machines sampled to find the one where preemption loses the least work.
constexpr int kSampledMachinesPerPreemption = 20;
// Minimum remaining run time in seconds of a low-priority task for standard work to preempt it;
// high and production work preempts any task. For shorter times, waiting costs less than
// checkpointing, fetching and repeating.
constexpr double kMinVictimRemainingS = 300.0;

// Seconds; means that no objective limits the start time.
constexpr double kNoStartObjectiveS = 1e9;

}  // namespace

bool Preemption::within_guarantee(SchedulingPass& pass, const std::string& team_name,
                                  const wire::JobSpec& additional) const {
  const Team* team = context_.team(team_name);
  if (!team || (team->cpus <= 0 && team->gpus <= 0)) return false;
  auto [usage_entry, inserted] = pass.team_usage.try_emplace(team_name);
  if (inserted) usage_entry->second = context_.replica.usage(team_name);
  const Usage& usage = usage_entry->second;
  return usage.cpus + additional.cpus <= team->cpus + kAmountSlack &&
         usage.gpus + additional.gpus <= team->gpus + kAmountSlack;
}

Preemption::Request Preemption::make_request(SchedulingPass& pass, const wire::JobSpec& spec,
                                             bool is_urgent, bool entitled) const {
  Request request{spec, is_urgent, entitled, {}, kNoStartObjectiveS};
  if (entitled) {
    const wire::JobSpec no_addition;
    for (const Team& team : context_.settings.teams) {
      request.exceeds_guarantee[team.name] =
          team.name != spec.team && !within_guarantee(pass, team.name, no_addition);
    }
  }
  for (const Objective& objective : context_.settings.objectives) {
    const bool limits_start =
        objective.kind == ObjectiveKind::wait || objective.kind == ObjectiveKind::up;
    if (limits_start && objective.job_class == spec.job_class)
      request.wait_objective_s = std::min(request.wait_objective_s, objective.within_s);
  }
  return request;
}

std::optional<Preemption::Victim> Preemption::as_victim(Ms now, const Machine& machine,
                                                        const TaskRef& ref,
                                                        const Request& request) const {
  const auto* placement = context_.replica.placement(ref);
  const Job* job = context_.replica.job(ref.range.job);
  if (!placement || !job || job->record.spec.is_gang()) return std::nullopt;
  const wire::JobSpec& spec = job->record.spec;
  const bool has_lower_priority = spec.priority < request.spec.priority;
  const auto exceeds_guarantee = request.exceeds_guarantee.find(spec.team);
  const bool uses_others_guarantee = request.entitled &&
                                     exceeds_guarantee != request.exceeds_guarantee.end() &&
                                     exceeds_guarantee->second;
  if (!has_lower_priority && !uses_others_guarantee) return std::nullopt;
  const TaskAttempt attempt{{ref.range.job, ref.index}, placement->attempt};
  const ReportedTask* reported = machine.reported(attempt);
  if (machine.stop_requested(attempt) || !reported || reported->state == wire::TaskState::exited ||
      reported->state == wire::TaskState::checkpointing)
    return std::nullopt;
  const double ran_s = machine.run_time_s(now, attempt);
  // Standard work does not preempt a task that will end soon by itself: each such preemption costs
  // more than it gains (docs/design.md).
  if (request.spec.priority < wire::Priority::high &&
      spec.estimate_s - ran_s < kMinVictimRemainingS)
    return std::nullopt;
  const bool has_checkpoints = spec.checkpoint_interval_s > 0;
  // Tasks without checkpoints that have run for more than kNegligibleRunTimeS are preempted only
  // for urgent work: machines become free every second, and the lost work outweighs waiting until
  // little time is left (docs/results.md, round 7).
  if (!request.is_urgent && !has_checkpoints && ran_s > kNegligibleRunTimeS) return std::nullopt;
  const bool checkpoint_in_time =
      has_checkpoints && spec.checkpoint_write_s + 1.0 < request.wait_objective_s / 2;
  double lost_s = ran_s;
  if (checkpoint_in_time) {
    lost_s = spec.checkpoint_write_s;
  } else if (has_checkpoints) {
    lost_s = std::min(ran_s, spec.checkpoint_interval_s / 2);
  }
  const double grace_s = checkpoint_in_time ? spec.checkpoint_write_s : 0.0;
  return Victim{attempt, grace_s, (lost_s + 1.0) * spec.cpus, &spec};
}

std::vector<Preemption::Victim> Preemption::victims_on(Ms now, const Machine& machine,
                                                       const Request& request) const {
  std::vector<Victim> victims;
  for (const TaskRef& ref : context_.replica.placed_on(machine.id)) {
    if (const auto victim = as_victim(now, machine, ref, request)) victims.push_back(*victim);
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    if (a.spec->priority != b.spec->priority) return a.spec->priority < b.spec->priority;
    return a.lost_cpu_s < b.lost_cpu_s;
  });
  return victims;
}

std::vector<Preemption::Victim> Preemption::fewest_victims(const Candidate& candidate,
                                                           std::vector<Victim> victims,
                                                           const wire::JobSpec& spec) {
  const Resources demand = resources_of(spec);
  Resources free_after = candidate.free;
  std::size_t count = 0;
  while (count < victims.size() && !free_after.fits(demand)) {
    free_after += resources_of(*victims[count].spec);
    ++count;
  }
  if (!free_after.fits(demand)) count = 0;
  victims.resize(count);
  return victims;
}

void Preemption::stop(SchedulingPass& pass, const Plan& plan, const wire::JobSpec& spec) {
  Candidate& candidate = pass.candidate(plan.machine);
  Machine& machine = machines_.at(candidate.id);
  for (const Victim& victim : plan.victims) {
    machine.stop_requests[victim.attempt] = victim.grace_s;
    // The cached candidate is kept, since the freed capacity is added to it below.
    machine.resend_commands = true;
    candidate.free += resources_of(*victim.spec);
    context_.log(LogLevel::debug,
                 "stopping " + wire::task_name(victim.attempt.task.job, victim.attempt.task.index) +
                     " on " + candidate.id + " for " + spec.id);
  }
}

int Preemption::preempt_for(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                            const std::set<std::string>* zones, const wire::TaskId* replica) {
  const bool entitled = within_guarantee(pass, spec.team, spec);
  if (spec.priority == wire::Priority::low && !entitled) return -1;
  if (pass.local_machines == 0) return -1;
  const Request request = make_request(pass, spec, is_urgent, entitled);
  Plan best;
  std::uniform_int_distribution<std::size_t> draw(0, pass.local_machines - 1);
  for (int sample = 0; sample < kSampledMachinesPerPreemption; ++sample) {
    const auto index = static_cast<int>(draw(random_));
    const Candidate& candidate = pass.candidate(index);
    const auto machine = machines_.find(candidate.id);
    if (!candidate.local || machine == machines_.end() ||
        !allowed(spec, candidate.type, candidate.zone, candidate.spot) ||
        (zones && !zones->contains(candidate.zone)) ||
        failure_tracker_.has_failed_on(pass.now, candidate.id, spec.id) ||
        (replica && failure_tracker_.has_kept_result(pass.now, candidate.id, *replica)))
      continue;
    std::vector<Victim> victims =
        fewest_victims(candidate, victims_on(pass.now, machine->second, request), spec);
    if (victims.empty()) continue;
    double lost_cpu_s = 0;
    for (const Victim& victim : victims) lost_cpu_s += victim.lost_cpu_s;
    if (best.machine < 0 || lost_cpu_s < best.lost_cpu_s)
      best = {index, lost_cpu_s, std::move(victims)};
  }
  if (best.machine >= 0) stop(pass, best, spec);
  return best.machine;
}

}  // namespace scheduler
