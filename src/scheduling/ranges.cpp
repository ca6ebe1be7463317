// Ranges of tasks: dividing jobs among parts, taking from other parts, recording placements and
// ends.
#include <algorithm>
#include <cmath>

#include "controller/controller.h"
#include "scheduling/range_split.h"
#include "scheduling/scheduling_pass.h"
#include "state/state_client.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Ranges of one job, so that one transaction can end it (conditions).
constexpr std::size_t kRangesPerJob = 48;
// A job is divided in steps of this part of what the fleet holds of its tasks, so that records do
// not outgrow the write rate with the fleet while a small fleet is used to the full; tasks of a
// step at most, and steps of a large job.
constexpr double kStepOfFleet = 64.0;
constexpr std::uint32_t kTasksPerStep = 64;
constexpr std::uint32_t kStepsPerJob = 256;
// Milliseconds within which the ends of tasks are recorded, and for which they are at least
// gathered: records of a hundred tasks each would otherwise be written at every end.
constexpr std::int64_t kCompletionWriteMs = 4000;
constexpr std::int64_t kCompletionBatchMs = 500;
// Unstarted tasks from which on another part takes a range soon, and milliseconds after which it
// takes fewer.
constexpr std::size_t kStealAtLeastTasks = 8;
constexpr std::int64_t kStealFewAfterMs = 3000;
// Milliseconds that a range must have waited unstarted before another part may take from it: its
// owner, which sees it first, gets the first try.
constexpr std::int64_t kStealAfterMs = 400;
// Bytes that a placement usually takes of a range record when each is on a machine of its own.
constexpr std::size_t kBytesPerPlacement = 30;
// Bytes of a range record besides placements and bitmap: owner, bounds.
constexpr std::size_t kRangeOverheadBytes = 200;
// Milliseconds for which a count of the machines of all shards is used again.
constexpr std::int64_t kShardCountMs = 1000;

}  // namespace

// Placements that fit into the record of a range of so many tasks, as a rule.
std::size_t Controller::max_placements(std::uint32_t tasks) const {
  const double bytes =
      value_bytes() - static_cast<double>(kRangeOverheadBytes) - static_cast<double>(tasks) / 4;
  return static_cast<std::size_t>(std::max(1.0, bytes / kBytesPerPlacement));
}

std::size_t Controller::max_ranges() const {
  // Besides the ranges, the end of a job has the view, the job and its final state as conditions.
  constexpr std::size_t kOtherConditions = 4;
  const std::size_t conditions =
      static_cast<std::size_t>(settings_.txn_ops) * wire::kConditionsPerWrite;
  return std::min(kRangesPerJob, conditions - kOtherConditions);
}

const std::map<Controller::ShardMachineKind, std::size_t>& Controller::shard_machines() {
  const Ms now = last_input_at_;
  if (shard_machines_at_ != 0 && now < shard_machines_at_) return shard_machines_;
  shard_machines_at_ = now + kShardCountMs;
  shard_machines_.clear();
  for (const auto& [id, record] : replica_.machines()) {
    if (record.state != wire::MachineState::ready || record.incarnation == 0) continue;
    ++shard_machines_[{cluster_view_.machine_owner(id, record.zone), record.type, record.zone,
                       record.spot}];
  }
  return shard_machines_;
}

// Free room and load of each part, in tasks of this job, from sums: what it could hold, less what
// its ranges have placed and waiting. Placements of a range are on its owner's machines but for
// gangs and zoned jobs, which are few.
std::map<std::string, Controller::ShardCapacity> Controller::shard_capacities(
    const wire::JobSpec& spec) {
  std::map<std::string, ShardCapacity> shards;
  for (const auto& name : cluster_view_.owners()) shards[name];
  for (const auto& [kind, machines] : shard_machines()) {
    const auto& [owner, type_name, zone, spot] = kind;
    const auto* type = replica_.type(type_name);
    auto shard = shards.find(owner);
    if (!type || shard == shards.end() || !allowed(spec, type_name, zone, spot)) continue;
    const double n =
        static_cast<double>(machines) * fit_count(spec, type->cpus, type->gpus, type->memory_gb);
    shard->second.free_capacity += n;
    shard->second.capacity += n;
  }
  for (const auto& [id, job] : replica_.jobs()) {
    if (!job.known || job.record.cancelled) continue;
    const double scale = spec.cpus > 0 ? job.record.spec.cpus / spec.cpus : 1.0;
    for (const auto& [number, r] : job.ranges) {
      const double waiting =
          (r.end - r.begin) - r.done_count() - static_cast<double>(r.placed.size());
      auto shard = shards.find(cluster_view_.range_owner(wire::range_key(id, number), r.owner));
      if (shard == shards.end()) continue;
      shard->second.free_capacity -= static_cast<double>(r.placed.size()) * scale;
      if (job.record.spec.priority >= spec.priority) shard->second.free_capacity -= waiting * scale;
      shard->second.load += waiting * scale;
    }
  }
  return shards;
}

// The part with most room left, or else the one that is least loaded for its size; end: no part has
// machines for the job. `first` is preferred among equals.
std::map<std::string, Controller::ShardCapacity>::iterator Controller::most_free(
    std::map<std::string, ShardCapacity>& shards, const std::string& first) {
  auto best = shards.end();
  for (auto it = shards.begin(); it != shards.end(); ++it) {
    const ShardCapacity& p = it->second;
    if (p.capacity <= 0) continue;
    bool better = best == shards.end();
    if (!better) {
      const ShardCapacity& other = best->second;
      const bool has = p.free_capacity >= 1, other_has = other.free_capacity >= 1;
      if (has != other_has) {
        better = has;
      } else if (has) {
        better = p.free_capacity > other.free_capacity ||
                 (p.free_capacity == other.free_capacity && it->first == first);
      } else {
        better = (p.load + 1) / p.capacity < (other.load + 1) / other.capacity;
      }
    }
    if (better) best = it;
  }
  return best;
}

std::vector<wire::JobRecord::Share> Controller::split_into_ranges(const wire::JobSpec& spec) {
  auto shards = shard_capacities(spec);
  const bool whole = spec.is_gang() || spec.one_zone || spec.spread;
  const std::string first = rendezvous(wire::job_key(spec.id), cluster_view_.owners());
  // Step by step. A step is several tasks: each part that takes some has records to write for as
  // long as they run.
  double held = 0;
  for (const auto& [name, p] : shards) held += p.capacity;
  const auto fine = static_cast<std::uint32_t>(
      std::clamp(held / kStepOfFleet, 1.0, static_cast<double>(kTasksPerStep)));
  const std::uint32_t step = whole ? spec.tasks : std::max(fine, spec.tasks / kStepsPerJob);
  std::map<std::string, std::uint32_t> given;
  for (std::uint32_t left = spec.tasks; left > 0;) {
    const std::uint32_t n = std::min(step, left);
    auto best = most_free(shards, first);
    if (best == shards.end()) best = shards.try_emplace(first).first;
    given[best->first] += n;
    best->second.free_capacity -= n;
    best->second.load += n;
    left -= n;
  }
  return limit_range_sizes(spec, given);
}

// The ranges of a job of which each part was given so many tasks, none larger than its record may
// become.
std::vector<wire::JobRecord::Share> Controller::limit_range_sizes(
    const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& given) const {
  // Every replica of a service is placed at once, so that all placements of a range must fit.
  const auto all_placed = static_cast<std::uint32_t>(max_placements(0));
  const std::uint32_t most_tasks =
      spec.is_service() ? all_placed : tasks_per_range(static_cast<std::size_t>(value_bytes()));
  std::vector<wire::JobRecord::Share> out;
  std::uint32_t begin = 0;
  for (const auto& [name, tasks] : given) {
    for (std::uint32_t left = tasks; left > 0;) {
      const std::uint32_t n = std::min(left, most_tasks);
      out.push_back({static_cast<std::uint32_t>(out.size()) + 1, begin, begin + n, name});
      begin += n;
      left -= n;
    }
  }
  return out;
}

// Idle room takes unstarted tasks from the end of other parts' ranges.
void Controller::steal_ranges(Ms now, SchedulingPass& pass) {
  if (pass.remaining_placements <= 0) return;
  const Job* best_job = nullptr;
  RangeId best;
  std::uint32_t best_first = 0;
  for (const auto& [id, job] : replica_.jobs()) {
    const auto& spec = job.record.spec;
    if (!job.known || job.record.cancelled || spec.is_gang() || spec.one_zone || spec.spread ||
        job.done_tasks() + job.placed_tasks() >= spec.tasks || !job.whole() ||
        failure_tracker_.next_attempt_at(id) > now)
      continue;
    // Guards against work that stays for ever with a part that has no machine for it: a job that
    // cannot be divided further is still taken over by whole ranges, which makes no new record.
    const bool whole_only = job.ranges.size() >= max_ranges();
    if (best_job && spec.priority <= best_job->record.spec.priority) continue;
    double free_capacity = -1;
    for (const auto& [number, r] : job.ranges) {
      if (r.placed.size() + r.done_count() >= r.end - r.begin) continue;
      const RangeId range{id, number};
      if (cluster_view_.range_owner(wire::range_key(id, number), r.owner) == settings_.name)
        continue;
      RangeState& w = range_states_[range];
      if (w.first_seen == 0) w.first_seen = now;
      if (w.busy || !w.released.empty() || now < w.retry_at) continue;
      // Over the limit on values: its owner cuts it first.
      if (r.placed.size() > max_placements(r.end - r.begin)) continue;
      // A few tasks are left to their owner for longer: each taking makes one more record.
      const std::size_t waits = (r.end - r.begin) - r.placed.size() - r.done_count();
      const Ms patience = waits < kStealAtLeastTasks ? kStealFewAfterMs : kStealAfterMs;
      if (now - w.first_seen < patience) {
        dirty_ = true;
        continue;
      }
      if (free_capacity < 0) free_capacity = free_capacity_for(pass, spec);
      if (free_capacity < 1) break;
      std::uint32_t first = r.end, open = 0;
      while (first > r.begin && !r.placed.contains(first - 1) && open < free_capacity) {
        --first;
        if (!r.done[first - r.begin]) ++open;
      }
      if (whole_only && r.placed.empty()) first = r.begin;
      if (open == 0 || (whole_only && first != r.begin)) continue;
      if (!quota_allows(pass, spec)) {
        // Guards against work that only our machines may run staying with a part that holds the
        // grants but has no such machines.
        add_quota_demand(spec, open);
        break;
      }
      best_job = &job;
      best = range;
      best_first = first;
      break;
    }
  }
  if (!best_job) return;
  std::uint32_t number = random_();
  while (number == 0 || best_job->ranges.contains(number)) number = random_();
  write_stolen_range(best, best_first, {best.job, number});
}

// Tasks of the job that our part has room for; counted once a pass for each shape.
double Controller::free_capacity_for(SchedulingPass& pass, const wire::JobSpec& spec) const {
  auto [at, fresh] = pass.free_capacity.try_emplace(
      {spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.types, spec.zone}, 0.0);
  if (!fresh) return at->second;
  for (const auto* c : pass.candidates) {
    if (c->local && c->cpus > 0 && allowed(spec, c->type, c->zone, c->spot))
      at->second += fit_count(spec, c->cpus, c->gpus, c->memory_gb);
  }
  return at->second;
}

void Controller::write_stolen_range(const RangeId& from, std::uint32_t first, const RangeId& to) {
  const auto* range = replica_.range(from);
  if (!range) return;
  wire::RangeRecord left = *range;
  const std::string from_key = wire::range_key(from.job, from.number);
  const std::string to_key = wire::range_key(to.job, to.number);
  Transaction t;
  t.conditions = {view_unchanged(), state_client_.unchanged(wire::job_key(from.job)),
                  state_client_.unchanged(from_key)};
  if (first == left.begin) {
    left.owner = settings_.name;
  } else {
    wire::RangeRecord right;
    right.owner = settings_.name;
    right.begin = first;
    right.end = left.end;
    right.done.assign(left.done.begin() + (first - left.begin), left.done.end());
    right.next_attempt = left.next_attempt;
    left.end = first;
    left.done.resize(first - left.begin);
    t.conditions.push_back({to_key, 0});
    t.writes.push_back({to_key, encode(right), std::nullopt});
  }
  t.writes.push_back({from_key, encode(left), std::nullopt});
  range_states_[from].busy = true;
  t.done = [this, from](Ms at, TxnResult result, const auto&) {
    auto release = [this, from](Ms) {
      range_states_[from].busy = false;
      dirty_ = true;
    };
    if (result == TxnResult::committed) {
      release(at);
    } else {
      state_client_.wait_until_settled(at, release);
    }
  };
  state_client_.submit(std::move(t));
}

// With what is proven, every task of the range is done.
bool Controller::completes(const RangeId& id, const RangeState& w) const {
  if (w.released.empty()) return false;
  const auto* range = replica_.range(id);
  if (!range) return false;
  const auto done = static_cast<std::size_t>(std::count_if(
      w.released.begin(), w.released.end(), [](const auto& f) { return f.second.done; }));
  return range->done_count() + done >= range->end - range->begin;
}

// Whether the range's changes are to be written now; `may_queue_writes`: writes can still be asked
// for. That tasks ended can wait a little, to be written together: their room is free already, and
// their machines list them until it is recorded.
bool Controller::must_write_now(Ms now, const RangeId& id, RangeState& w,
                                bool may_queue_writes) const {
  if (!w.pending_placements.empty() || w.stop_requested || w.write_uncertain) return true;
  if (w.released.empty()) {
    w.released_since = 0;
    return false;
  }
  if (w.released_since == 0) w.released_since = now;
  const Job* job = replica_.job(id.job);
  if (!job || job->record.cancelled || job->record.spec.is_gang()) return true;
  const Ms waited = now - w.released_since;
  return (waited >= kCompletionWriteMs && may_queue_writes) || waited >= 3 * kCompletionWriteMs ||
         (waited >= kCompletionBatchMs && state_client_.has_write_headroom(now));
}

// Puts the proven ends of tasks into the record. False when all of them are recorded already.
bool Controller::record_completions(const wire::JobSpec& spec, RangeState& work,
                                    wire::RangeRecord& record) {
  bool changed = false;
  for (auto it = work.released.begin(); it != work.released.end();) {
    const auto placed = record.placed.find(it->first);
    if (placed == record.placed.end() || placed->second.attempt != it->second.attempt) {
      it = work.released.erase(it);  // recorded already
      continue;
    }
    record.placed.erase(placed);
    if (it->second.done && spec.is_gang()) {
      // If one task of a gang is done, every one is.
      record.done.assign(record.done.size(), true);
    } else if (it->second.done) {
      record.done[it->first - record.begin] = true;
    } else {
      work.cursor = std::min(work.cursor, it->first);
    }
    changed = true;
    ++it;
  }
  return changed;
}

// Takes over whether the gang is to be stopped in good order.
bool Controller::record_stop(const wire::JobSpec& spec, const RangeState& work,
                             wire::RangeRecord& record) {
  const bool stop = work.stop_requested && spec.is_gang() && !record.placed.empty() &&
                    record.done_count() == 0 && !record.stopping;
  if (stop) record.stopping = true;
  if (record.placed.empty()) record.stopping = false;
  return stop;
}

// Takes choices back until the record fits. Guards against a value over the service's limit, which
// would be refused for ever: names may be longer than the rule of placed_most() counts with.
void Controller::fit_placements(const wire::JobSpec& spec, RangeState& work,
                                const wire::RangeRecord& record) {
  while (!spec.is_gang() && work.pending_placements.size() > 1) {
    wire::RangeRecord full = record;
    for (const auto& [task, placement] : work.pending_placements) full.placed[task] = placement;
    if (static_cast<double>(encode(full).size()) <= value_bytes()) break;
    drop_pending_placements(work, work.pending_placements.size() / 2);
  }
}

// Puts the chosen placements into the record, with the conditions that they rest on.
void Controller::record_placements(const Job& job, const RangeState& work,
                                   wire::RangeRecord& record, Transaction& t) {
  const wire::JobSpec& spec = job.record.spec;
  // A cancellation or a change of a machine's standing in between voids the placement.
  t.conditions.push_back(state_client_.unchanged(wire::job_key(spec.id)));
  record.owner = settings_.name;
  std::set<std::string> owners;  // of the machines
  for (const auto& [task, placement] : work.pending_placements) {
    record.placed[task] = placement;
    record.next_attempt = std::max(record.next_attempt, placement.attempt + 1);
    const auto* machine = replica_.machine(placement.machine);
    owners.insert(machine ? cluster_view_.machine_owner(placement.machine, machine->zone)
                          : settings_.name);
  }
  // One stamp stands for all machines of a part: whoever places on another part's machines
  // changes its claim, and so makes placements of its controller that do not know of these fail.
  // A condition for each machine would not fit into a transaction for an array spread over
  // hundreds.
  for (const auto& owner : owners) {
    const std::string guard_key = wire::shard_guard_key(owner);
    t.conditions.push_back(state_client_.unchanged(guard_key));
    if (owner != settings_.name)
      t.writes.push_back({guard_key, wire::shard_guard_body(settings_.name), std::nullopt});
  }
  // Guards against two controllers that place ranges of one job bound to zones at the same time:
  // what the zones may still take is counted over all of them.
  if (!spec.one_zone && !spec.spread) return;
  for (const auto& [number, other] : job.ranges)
    if (number != record.number)
      t.conditions.push_back(state_client_.unchanged(wire::range_key(spec.id, number)));
}

// Adds the writes of the record, cut into several where it would not fit. False when it cannot be
// written within the limits: it can once more of its tasks have ended.
bool Controller::write_pieces(const Job& job, const wire::RangeRecord& record, Transaction& t) {
  const auto limit = static_cast<std::size_t>(value_bytes());
  const wire::JobSpec& spec = job.record.spec;
  const std::string key = wire::range_key(spec.id, record.number);
  if (spec.is_gang()) {
    // A gang is placed and ends as one. The production version may have written larger records.
    const std::string value = encode(record);
    if (static_cast<double>(value.size()) > stored_value_bytes()) return false;
    t.writes.push_back({key, value, std::nullopt});
    return true;
  }
  std::set<std::uint32_t> numbers;
  for (const wire::RangeRecord& piece : split_to_fit(record, limit)) {
    const std::string value = encode(piece);
    if (value.size() > limit) return false;
    std::uint32_t number = record.number;
    if (piece.begin != record.begin) {
      do {
        number = random_();
      } while (number == 0 || job.ranges.contains(number) || !numbers.insert(number).second);
      t.conditions.push_back({wire::range_key(spec.id, number), 0});
    }
    t.writes.push_back({wire::range_key(spec.id, number), value, std::nullopt});
  }
  return static_cast<int>(t.writes.size()) <= settings_.txn_ops;
}

void Controller::write_range(const RangeId& id) {
  RangeState& w = range_states_[id];
  const auto* range = replica_.range(id);
  const Job* job = replica_.job(id.job);
  if (w.busy) return;
  if (!range || !job) {
    clear_pending_placements(w);
    w.released.clear();
    w.stop_requested = false;
    return;
  }
  const auto& spec = job->record.spec;
  const std::string key = wire::range_key(id.job, id.number);
  wire::RangeRecord next = *range;
  Transaction t;
  t.conditions = {view_unchanged(), state_client_.unchanged(key)};
  bool changed = record_completions(spec, w, next);
  const bool stop = record_stop(spec, w, next);
  w.stop_requested = false;
  changed = changed || stop;
  changed = changed || w.write_uncertain;  // the same again, with a new stamp
  if (!w.pending_placements.empty() && !w.write_uncertain) {
    const bool fits = spec.is_gang() || static_cast<double>(encode(next).size()) <= value_bytes();
    if (fits) {
      fit_placements(spec, w, next);
      record_placements(*job, w, next, t);
    } else {
      clear_pending_placements(w);  // once the record has been cut
    }
    changed = true;
  }
  if (!changed) return;
  if (!write_pieces(*job, next, t)) {
    log(LogLevel::info, key + " does not fit the state service's limits yet");
    clear_pending_placements(w);
    w.stop_requested = stop;
    w.retry_at = last_input_at_ + kRejectedPauseMs;
    return;
  }
  log(LogLevel::debug, "writing " + key + " stamp " + std::to_string(state_client_.version(key)) +
                           " placing " + std::to_string(w.pending_placements.size()) + " freed " +
                           std::to_string(w.released.size()));
  w.released_since = 0;
  // A user waits for the end of a cancelled job.
  t.urgent = spec.priority >= wire::Priority::high || job->record.cancelled;
  w.busy = true;
  t.done = [this, id](Ms at, TxnResult result, const auto&) { on_range_written(at, id, result); };
  state_client_.submit(std::move(t));
}

void Controller::on_range_written(Ms now, const RangeId& id, TxnResult result) {
  auto it = range_states_.find(id);
  if (it == range_states_.end()) return;
  RangeState& work = it->second;
  dirty_ = true;
  const bool not_executed = result == TxnResult::refused || result == TxnResult::rejected;
  if (result == TxnResult::unknown) {
    // Guards against a late write that fills a grant or a machine a second time.
    work.write_uncertain = true;
  } else if (result == TxnResult::committed || (not_executed && !work.write_uncertain)) {
    clear_pending_placements(work);
  }
  if (result == TxnResult::committed) {
    work.busy = false;
    return;  // starts follow from the changed machines
  }
  if (not_executed) {
    work.busy = false;
    work.retry_at = now + kRefusedRetryMs;
    return;
  }
  state_client_.wait_until_settled(now, [this, id, result](Ms) {
    auto again = range_states_.find(id);
    if (again != range_states_.end()) {
      // Guards against a conflict with a repeat of this very write, which was executed: until the
      // replica shows it, its placements count as made. Others would exceed the team's limit.
      if (result == TxnResult::conflict) clear_pending_placements(again->second);
      again->second.busy = false;
    }
    dirty_ = true;
  });
}

}  // namespace scheduler
