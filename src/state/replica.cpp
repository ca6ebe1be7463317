#include "state/replica.h"

#include <algorithm>
#include <utility>

#include "state/decode_record.h"

namespace scheduler {

namespace {

// Number of final states kept in memory; each takes about 100 bytes. Dropped ones are read from the
// service again when needed.
constexpr std::size_t kFinalStatesCached = 20'000;

// Applies a record that is stored by name without any index.
template <typename Record>
bool apply_named(std::map<std::string, Record>& records, const std::string& name,
                 const std::optional<std::string>& value) {
  if (!value) {
    records.erase(name);
    return true;
  }
  auto record = wire::decode<Record>(*value);
  if (!record) return false;
  records[name] = std::move(*record);
  return true;
}

// Returns the part of the key after the prefix.
std::string strip_prefix(const std::string& key, std::string_view prefix) {
  return key.substr(prefix.size());
}

}  // namespace

bool Job::covers_all_tasks() const {
  if (!known) return false;
  std::uint64_t covered_tasks = 0;
  for (const auto& [number, r] : ranges) covered_tasks += r.end - r.begin;
  return covered_tasks == record.spec.tasks;
}

// ---- records ----

bool Replica::apply(const wire::StoredItem& item) {
  const std::string& key = item.key;
  if (key.starts_with(wire::kRangePrefix)) return apply_range(item);
  if (key.starts_with(wire::kJobPrefix)) return apply_job(item);
  if (key.starts_with(wire::kFinalStatePrefix)) return apply_final_state(item);
  if (key.starts_with(wire::kFleetPrefix)) return apply_fleet(item);
  if (key.starts_with(wire::kShardPrefix)) return apply_shard(item);
  if (key.starts_with(wire::kShardGuardPrefix)) return true;  // only its version is used
  if (key.starts_with(wire::kLivePrefix)) return apply_live(item);
  if (key.starts_with(wire::kScaleOutPrefix))
    return apply_named(scale_out_requests_, strip_prefix(key, wire::kScaleOutPrefix), item.value);
  if (key.starts_with(wire::kQuotaPrefix))
    return apply_named(quotas_, strip_prefix(key, wire::kQuotaPrefix), item.value);
  if (key == wire::kViewKey) return apply_view(item);
  if (key == wire::kFormatKey) return apply_format(item);
  if (key == wire::kCatalogKey) return apply_catalog(item);
  return false;
}

bool Replica::apply_range(const wire::StoredItem& item) {
  auto key = wire::parse_range_key(item.key);
  if (!key) return false;
  const RangeId id{std::move(key->job), key->number};
  auto decoded = decode_or_empty<wire::RangeRecord>(item.value);
  if (!decoded) return false;
  wire::RangeRecord& record = *decoded;
  changed_jobs_.insert(id.job);
  Job& job = jobs_[id.job];
  if (!item.value) {
    remove_range(id, job);
    return true;
  }
  record.job = id.job;
  record.number = id.number;
  auto old = job.ranges.find(id.number);
  update_range(id, job, old == job.ranges.end() ? nullptr : &old->second, &record);
  job.ranges[id.number] = std::move(record);
  job.unrecorded_ranges.erase(id.number);
  return true;
}

void Replica::remove_range(const RangeId& id, Job& job) {
  auto old = job.ranges.find(id.number);
  if (old != job.ranges.end()) {
    update_range(id, job, &old->second, nullptr);
    job.ranges.erase(old);
  }
  if (job.ranges.empty() && !job.known) jobs_.erase(id.job);
}

bool Replica::apply_job(const wire::StoredItem& item) {
  const std::string id = strip_prefix(item.key, wire::kJobPrefix);
  changed_jobs_.insert(id);
  if (!item.value) {
    remove_job(id);
    return true;
  }
  auto record = wire::decode<wire::JobRecord>(*item.value);
  if (!record) return false;
  Job& job = jobs_[id];
  const bool newly_cancelled = record->cancelled && !job.record.cancelled;
  if (job.known) remove_usage_of_placements(job);
  job.record = std::move(*record);
  job.known = true;
  add_usage_of_placements(job);
  add_unrecorded_ranges(id, job);
  if (newly_cancelled) {
    for (const auto& [number, range] : job.ranges) mark_machines_changed(range);
  }
  return true;
}

// Removes the job's record and the ranges derived from it. Ranges with a range record stay until
// that record is deleted too.
void Replica::remove_job(const std::string& id) {
  auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  if (job.known) remove_usage_of_placements(job);
  job.known = false;
  for (const std::uint32_t number : std::exchange(job.unrecorded_ranges, {}))
    job.ranges.erase(number);
  if (job.ranges.empty()) jobs_.erase(it);
}

// Adds the ranges that the job's record assigned at submission and that have no range record yet.
void Replica::add_unrecorded_ranges(const std::string& id, Job& job) {
  for (const auto& initial_range : job.record.initial_ranges) {
    auto [range, added] = job.ranges.try_emplace(initial_range.number);
    if (!added) continue;
    wire::RangeRecord& r = range->second;
    r.job = id;
    r.number = initial_range.number;
    r.owner = initial_range.owner;
    r.begin = initial_range.begin;
    r.end = initial_range.end;
    r.done.assign(initial_range.end - initial_range.begin, false);
    job.unrecorded_ranges.insert(initial_range.number);
  }
}

bool Replica::apply_final_state(const wire::StoredItem& item) {
  const auto record = decode_present<wire::FinalStateRecord>(item.value);
  if (!record) return false;
  remember_final_state(strip_prefix(item.key, wire::kFinalStatePrefix), *record);
  return true;
}

bool Replica::apply_fleet(const wire::StoredItem& item) {
  const auto group = wire::parse_fleet_key(item.key);
  return group && machine_index_.apply_fleet(*group, item.value, changed_machines_);
}

bool Replica::apply_shard(const wire::StoredItem& item) {
  const auto shard = wire::parse_shard_key(item.key);
  return shard &&
         machine_index_.apply_shard(shard->controller, shard->group, item.value, changed_machines_);
}

bool Replica::apply_live(const wire::StoredItem& item) {
  view_changed_ = true;
  return apply_named(live_, strip_prefix(item.key, wire::kLivePrefix), item.value);
}

bool Replica::apply_view(const wire::StoredItem& item) {
  auto record = decode_present<wire::ViewRecord>(item.value);
  if (!record) return false;
  view_ = std::move(*record);
  view_changed_ = true;
  return true;
}

bool Replica::apply_format(const wire::StoredItem& item) {
  const auto record = decode_present<wire::FormatRecord>(item.value);
  if (!record) return false;
  // The format never goes back: records of a newer format may exist once it has been enabled.
  format_.format = std::max(format_.format, record->format);
  return true;
}

bool Replica::apply_catalog(const wire::StoredItem& item) {
  if (!item.value) return false;
  auto types = wire::parse_catalog(*item.value);
  if (!types) return false;
  catalog_ = std::move(*types);
  has_catalog_ = true;
  return true;
}

// ---- placements ----

void Replica::update_range(const RangeId& id, Job& job, const wire::RangeRecord* before,
                           const wire::RangeRecord* after) {
  if (before) {
    job.done -= before->done_count();
    job.placed -= before->placed.size();
  }
  if (after) {
    job.done += after->done_count();
    job.placed += after->placed.size();
  }
  const auto has_placement = [](const wire::RangeRecord* range, std::uint32_t task,
                                const wire::Placement& placement) {
    if (!range) return false;
    auto at = range->placed.find(task);
    return at != range->placed.end() && at->second == placement;
  };
  if (before) {
    for (const auto& [task, p] : before->placed)
      if (!has_placement(after, task, p)) remove_placement(job, {id, task}, p);
  }
  if (after) {
    for (const auto& [task, p] : after->placed)
      if (!has_placement(before, task, p)) add_placement(job, {id, task}, p);
  }
  // A change of one task of a gang affects the machines of all its tasks.
  if (before && after && job.known && job.record.spec.is_gang()) mark_machines_changed(*after);
}

void Replica::add_placement(const Job& job, TaskRef task, const wire::Placement& placement) {
  if (job.known) placements_.add_usage(job.record.spec, placement);
  changed_machines_.insert(placement.machine);
  placements_.add(std::move(task), placement);
}

void Replica::remove_placement(const Job& job, const TaskRef& task,
                               const wire::Placement& placement) {
  if (job.known) placements_.remove_usage(job.record.spec, placement);
  changed_machines_.insert(placement.machine);
  placements_.remove(task, placement);
}

void Replica::add_usage_of_placements(const Job& job) {
  for (const auto& [number, range] : job.ranges)
    for (const auto& [task, p] : range.placed) placements_.add_usage(job.record.spec, p);
}

void Replica::remove_usage_of_placements(const Job& job) {
  for (const auto& [number, range] : job.ranges)
    for (const auto& [task, p] : range.placed) placements_.remove_usage(job.record.spec, p);
}

void Replica::mark_machines_changed(const wire::RangeRecord& range) {
  for (const auto& [task, p] : range.placed) changed_machines_.insert(p.machine);
}

// ---- lookups ----

const Job* Replica::job(const std::string& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || !it->second.known ? nullptr : &it->second;
}

const wire::RangeRecord* Replica::range(const RangeId& id) const {
  auto it = jobs_.find(id.job);
  if (it == jobs_.end()) return nullptr;
  auto r = it->second.ranges.find(id.number);
  return r == it->second.ranges.end() ? nullptr : &r->second;
}

const wire::Placement* Replica::placement(const TaskRef& task) const {
  const auto* r = range(task.range);
  if (!r) return nullptr;
  auto it = r->placed.find(task.index);
  return it == r->placed.end() ? nullptr : &it->second;
}

const wire::MachineType* Replica::type(const std::string& name) const {
  for (const auto& t : catalog_)
    if (t.name == name) return &t;
  return nullptr;
}

const wire::FinalStateRecord* Replica::final_state(const std::string& id) const {
  auto it = final_states_.find(id);
  return it == final_states_.end() ? nullptr : &it->second;
}

void Replica::remember_final_state(const std::string& id, const wire::FinalStateRecord& record) {
  if (!final_states_.emplace(id, record).second) return;
  final_state_order_.push_back(id);
  if (final_state_order_.size() > kFinalStatesCached) {
    final_states_.erase(final_state_order_.front());
    final_state_order_.pop_front();
  }
}

std::vector<std::string> Replica::unrecorded_machines() const {
  std::vector<std::string> unrecorded;
  for (const auto& [id, tasks] : placements_.by_machine())
    if (!machine_index_.machine(id)) unrecorded.push_back(id);
  return unrecorded;
}

}  // namespace scheduler
