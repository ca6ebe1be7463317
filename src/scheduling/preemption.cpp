// Making room: what is stopped for work that goes before it.
#include <algorithm>
#include <cmath>

#include "base/resources.h"
#include "controller/controller.h"
#include "scheduling/scheduling_pass.h"

namespace scheduler {

namespace {

// Seconds of work that are little to lose at any time.
constexpr double kNegligibleLossS = 5.0;
// Machines drawn to find the one where making room loses least.
constexpr int kPreemptionSamples = 20;
// Seconds that a low-priority task must still have ahead for standard work to stop it; high and
// production work stops any. Below it waiting is cheaper than saving, fetching and repeating.
constexpr double kLongVictimS = 300.0;

}  // namespace

// Stops what may be stopped for this task on the machine where that loses least; returns the
// machine, with its room counted as free, or -1. A few machines are drawn instead of searching all:
// the cost must not grow with the fleet, and the least loss among some is nearly the least of all.
int Controller::preempt_for(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                            const std::set<std::string>* zones) {
  const Ms now = pass.now;
  // A team that stays within its guarantee need not wait for what another runs beyond its own.
  auto within = [this, &pass](const std::string& name, const wire::JobSpec& more) {
    const Team* t = team(name);
    if (!t || (t->cpus <= 0 && t->gpus <= 0)) return false;
    auto [used, fresh] = pass.team_usage.try_emplace(name);
    if (fresh) used->second = replica_.usage(name);
    const Usage& u = used->second;
    return u.cpus + more.cpus <= t->cpus + kAmountSlack &&
           u.gpus + more.gpus <= t->gpus + kAmountSlack;
  };
  const bool entitled = within(spec.team, spec);
  if (spec.priority == wire::Priority::low && !entitled) return -1;
  std::map<std::string, bool> borrows;  // team -> runs beyond its guarantee
  if (entitled) {
    const wire::JobSpec nothing;
    for (const auto& t : settings_.teams)
      borrows[t.name] = t.name != spec.team && !within(t.name, nothing);
  }
  double wait_aim_s = 1e9;
  for (const auto& o : settings_.objectives)
    if ((o.kind == ObjectiveKind::wait || o.kind == ObjectiveKind::up) &&
        o.job_class == spec.job_class)
      wait_aim_s = std::min(wait_aim_s, o.within_s);
  struct Victim {
    wire::TaskId task;
    std::uint64_t attempt;
    double grace, loss;
    const wire::JobSpec* spec;
  };
  int best = -1;
  double best_loss = 0;
  std::vector<Victim> best_victims;
  if (pass.local_machines == 0) return -1;
  std::uniform_int_distribution<std::size_t> draw(0, pass.local_machines - 1);
  for (int look = 0; look < kPreemptionSamples; ++look) {
    const std::size_t i = draw(random_);
    const Candidate& c = *pass.candidates[i];
    auto at = machines_.find(c.id);
    if (!c.local || at == machines_.end() || !allowed(spec, c.type, c.zone, c.spot) ||
        (zones && !zones->contains(c.zone)) || failure_tracker_.has_failed_on(now, c.id, spec.id))
      continue;
    const Machine& m = at->second;
    std::vector<Victim> victims;
    for (const TaskRef& ref : replica_.placed_on(m.id)) {
      const auto* p = replica_.placement(ref);
      const Job* job = replica_.job(ref.range.job);
      if (!p || !job || job->record.spec.is_gang()) continue;
      const bool lower = job->record.spec.priority < spec.priority;
      const bool borrowed = entitled && borrows[job->record.spec.team];
      if (!lower && !borrowed) continue;
      const wire::TaskId task{ref.range.job, ref.index};
      auto seen = m.tasks.find(task);
      if (m.stop_requests.contains(task) || seen == m.tasks.end() ||
          seen->second.attempt != p->attempt || seen->second.state == wire::TaskState::exited ||
          seen->second.state == wire::TaskState::checkpointing)
        continue;
      const auto& v = job->record.spec;
      const double ran = elapsed_s(now, m, ref, p->attempt);
      // Work that can wait a little does not stop what will soon end by itself: measured, each stop
      // costs more than it brings (docs/design.md).
      if (spec.priority < wire::Priority::high && v.estimate_s - ran < kLongVictimS) continue;
      const bool checkpoints =
          v.checkpoint_interval_s > 0 && v.checkpoint_write_s + 1.0 < wait_aim_s / 2;
      // Whole machines come free by themselves every second; what would be lost for one outweighs
      // the waiting until little time is left (docs/results.md, round 7).
      if (!is_urgent && v.checkpoint_interval_s <= 0 && ran > kNegligibleLossS) continue;
      const double lost =
          v.checkpoint_interval_s > 0
              ? (checkpoints ? v.checkpoint_write_s : std::min(ran, v.checkpoint_interval_s / 2))
              : ran;
      victims.push_back(
          {task, p->attempt, checkpoints ? v.checkpoint_write_s : 0.0, (lost + 1.0) * v.cpus, &v});
    }
    std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
      if (a.spec->priority != b.spec->priority) return a.spec->priority < b.spec->priority;
      return a.loss < b.loss;
    });
    Candidate after = c;
    double loss = 0;
    std::vector<Victim> taken;
    for (const Victim& v : victims) {
      if (after.fits(spec)) break;
      after.cpus += v.spec->cpus;
      after.gpus += v.spec->gpus;
      after.memory_gb += v.spec->memory_gb;
      loss += v.loss;
      taken.push_back(v);
    }
    if (!after.fits(spec) || taken.empty()) continue;
    if (best < 0 || loss < best_loss) {
      best = static_cast<int>(i);
      best_loss = loss;
      best_victims = std::move(taken);
    }
  }
  if (best < 0) return -1;
  Candidate& c = *pass.candidates[static_cast<std::size_t>(best)];
  Machine& m = machines_.at(c.id);
  for (const Victim& v : best_victims) {
    m.stop_requests[v.task] = {v.attempt, v.grace};
    // The room counts as free below, in the candidate as it stands.
    m.resend_commands = true;
    c.cpus += v.spec->cpus;
    c.gpus += v.spec->gpus;
    c.memory_gb += v.spec->memory_gb;
    log(LogLevel::debug, "stopping " + wire::task_name(v.task.job, v.task.index) + " on " + c.id +
                             " for " + spec.id);
  }
  return best;
}

}  // namespace scheduler
