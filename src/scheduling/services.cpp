// Services: jobs whose replicas run until their user calls them off. Choosing machines for
// replicas, keeping their share of the team's limit, and what becomes of a replica that ends.
#include <algorithm>
#include <iterator>

#include "controller/controller.h"
#include "scheduling/scheduling_pass.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Replicas of one range that find no machine in a pass before the rest of it waits for the next:
// one may be kept from the only machine with room by its own result there, while another is not.
constexpr std::uint32_t kReplicasWithoutMachine = 4;
// Milliseconds after which a replica is tried again on a machine that failed it, if only such
// machines have room: enough for a sick machine to have failed another job and to be returned.
constexpr std::int64_t kRetryFailedMachineMs = 10'000;

}  // namespace

void Controller::switch_format(Ms now) {
  if (format_write_in_flight_ || !can_write(now)) return;
  std::optional<Transaction> transaction = format_switch_.propose(replica_, state_client_);
  if (!transaction) return;
  format_write_in_flight_ = true;
  transaction->done = [this](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      format_write_in_flight_ = false;
      log(LogLevel::info, "all controllers read record format " +
                              std::to_string(replica_.format()) + "; services are accepted");
      return;
    }
    state_client_.wait_until_settled(at, [this](Ms) { format_write_in_flight_ = false; });
  };
  state_client_.submit(std::move(*transaction));
}

// ---- share of the team's limit ----

void Controller::count_service_reserve() {
  service_reserve_.clear();
  for (const auto& [id, job] : replica_.jobs()) {
    const wire::JobSpec& spec = job.record.spec;
    if (!job.known || !spec.is_service() || job.record.cancelled) continue;
    for (const auto& [number, range] : job.ranges) {
      const std::string key = wire::range_key(id, number);
      if (cluster_view_.range_owner(key, range.owner) != settings_.name) continue;
      const auto missing =
          static_cast<double>(range.end - range.begin) - static_cast<double>(range.placed.size());
      Usage& reserve = service_reserve_[spec.team];
      reserve.cpus += missing * spec.cpus;
      reserve.gpus += missing * spec.gpus;
    }
  }
}

Usage Controller::service_reserve(const std::string& team_name) const {
  const auto reserve = service_reserve_.find(team_name);
  return reserve == service_reserve_.end() ? Usage{} : reserve->second;
}

// ---- placement ----

std::set<std::string> Controller::machines_of(const Job& job) const {
  std::set<std::string> machines;
  for (const auto& [number, range] : job.ranges) {
    for (const auto& [task, placement] : range.placed) machines.insert(placement.machine);
    const auto work = range_states_.find({job.record.spec.id, number});
    if (work == range_states_.end()) continue;
    for (const auto& [task, placement] : work->second.pending_placements)
      machines.insert(placement.machine);
  }
  return machines;
}

void Controller::place_service(SchedulingPass& pass, const RangeId& id, const Job& job,
                               const wire::RangeRecord& range) {
  const wire::JobSpec& spec = job.record.spec;
  RangeState& work = range_states_[id];
  const std::size_t most = max_placements(range.end - range.begin);
  std::uint32_t without_grant = 0, without_machine = 0;
  for (std::uint32_t task = range.begin; task < range.end; ++task) {
    if (!is_unstarted(work, range, task)) continue;
    if (pass.remaining_placements <= 0 ||
        range.placed.size() + work.pending_placements.size() >= most + work.released.size())
      break;
    if (!quota_allows(pass, spec)) {
      ++without_grant;
      continue;
    }
    const int machine = pick_for_replica(pass, job, task);
    if (machine >= 0) {
      assign(pass, work, job, task, range.next_attempt, machine, false);
    } else if (++without_machine >= kReplicasWithoutMachine) {
      break;  // others may go where a result of these is kept
    }
  }
  add_quota_demand(spec, without_grant);
}

// Narrows our own machines step by step: the loss of one is to take few replicas, so machines
// without a replica of the job come first. Among these, machines that were heard lately do: guards
// against replicas that are begun on machines which have died together with the one they were on.
int Controller::pick_local_for_replica(SchedulingPass& pass, ReplicaChoice choice) {
  for (const bool without_replica : {true, false}) {
    for (const bool contacted_recently : {true, false}) {
      choice.without_replica = without_replica;
      choice.contacted_recently = contacted_recently;
      const int machine = pick_of_two(pass.now, pass.candidates, *choice.spec,
                                      replica_candidates(pass, choice, true), random_);
      if (machine >= 0) return machine;
    }
  }
  return -1;
}

// The machine for one more replica, or -1. Each choice is by two samples (placement.cpp); what is
// sampled is narrowed step by step. Our own machines come first: a replica on another part's
// machine makes placements of its owner fail and starts later. Machines where the job failed come
// last, and only if it has failed on several or no other is left.
int Controller::pick_for_replica(SchedulingPass& pass, const Job& job, std::uint32_t task) {
  const wire::JobSpec& spec = job.record.spec;
  const bool bound_to_zones = spec.one_zone || spec.spread;
  ReplicaChoice choice;
  choice.spec = &spec;
  choice.replica = {spec.id, task};
  choice.taken = machines_of(job);
  if (bound_to_zones) choice.zones = zones_open(pass, job);
  const int local = pick_local_for_replica(pass, choice);
  if (local >= 0) return local;
  const int preempted = preempt_for(pass, spec, true, bound_to_zones ? &*choice.zones : nullptr);
  if (preempted >= 0) return preempted;
  // Guards against a service whose zone has no machine of our part.
  add_remote_candidates(pass);
  if (bound_to_zones) choice.zones = zones_open(pass, job);
  // Guards against a service bound to a zone of another part that waits because each machine with
  // room there has a replica already.
  for (const bool without_replica : {true, false}) {
    choice.without_replica = without_replica;
    const int remote = pick_of_two(pass.now, pass.candidates, spec,
                                   replica_candidates(pass, choice, false), random_);
    if (remote >= 0) return remote;
  }
  // Guards against a replica that waits for as long as errors are remembered because the only room
  // is on a machine that has failed it once.
  const bool others = !failure_tracker_.is_faulty_job(spec.id) && other_machine_left(pass, choice);
  choice.avoid_failures.reset();
  if (others) choice.avoid_failures = kRetryFailedMachineMs;
  return pick_of_two(pass.now, pass.candidates, spec, replica_candidates(pass, choice, true),
                     random_);
}

bool Controller::contacted_recently(Ms now, const std::string& machine) const {
  const auto known = machines_.find(machine);
  return known != machines_.end() &&
         now - known->second.last_contact <= std::min(overdue_after(), kServiceOverdueMs);
}

// Whether some machine on which the job has not failed is allowed, with room or without.
bool Controller::other_machine_left(const SchedulingPass& pass, const ReplicaChoice& choice) const {
  const wire::JobSpec& spec = *choice.spec;
  return std::any_of(pass.candidates.begin(), pass.candidates.end(), [&](const Candidate* c) {
    return allowed(spec, c->type, c->zone, c->spot) &&
           !failure_tracker_.has_failed_on(pass.now, c->id, spec.id) &&
           !failure_tracker_.has_kept_result(pass.now, c->id, choice.replica);
  });
}

std::vector<int> Controller::replica_candidates(const SchedulingPass& pass,
                                                const ReplicaChoice& choice, bool local) const {
  const wire::JobSpec& spec = *choice.spec;
  std::vector<int> out;
  for (std::size_t i = 0; i < pass.candidates.size(); ++i) {
    const Candidate& c = *pass.candidates[i];
    if (c.local != local || !c.fits(spec) || !allowed(spec, c.type, c.zone, c.spot)) continue;
    if (choice.zones && !choice.zones->contains(c.zone)) continue;
    if (choice.without_replica && choice.taken.contains(c.id)) continue;
    if (choice.contacted_recently && !contacted_recently(pass.now, c.id)) continue;
    if (choice.avoid_failures &&
        (failure_tracker_.has_failed_on(pass.now, c.id, spec.id, *choice.avoid_failures) ||
         failure_tracker_.has_kept_result(pass.now, c.id, choice.replica)))
      continue;
    out.push_back(static_cast<int>(i));
  }
  return out;
}

// ---- the end of a replica ----

void Controller::on_replica_end(Ms now, const Machine& m, const TaskRef& ref,
                                const ReportedTask& seen) {
  const bool settled = seen.running_since != 0 && now - seen.running_since > kServiceSettledMs;
  if (settled) failure_tracker_.on_stable(ref.range.job);
  // Guards against a loop of instant ends: a worker remembers that a task is done, and ends every
  // further attempt at once.
  if (seen.cause != wire::ExitCause::done) return;
  failure_tracker_.on_result_kept(now, m.id, {ref.range.job, ref.index});
  if (!settled) failure_tracker_.on_early_exit(now, m.id, ref.range.job);
}

void Controller::move_replica(Machine& m, const wire::TaskId& task, std::uint64_t attempt) {
  m.stop_requests[task] = {attempt, 0.0};
  m.candidate_known = false;
  m.resend_commands = true;
}

}  // namespace scheduler
