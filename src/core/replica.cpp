#include "core/replica.h"

#include "core/constants.h"

namespace puffinhaven::core {

std::uint64_t Job::done_tasks() const {
  std::uint64_t n = 0;
  for (const auto& [number, r] : ranges) n += r.done_count();
  return n;
}

std::uint64_t Job::placed_tasks() const {
  std::uint64_t n = 0;
  for (const auto& [number, r] : ranges) n += r.placed.size();
  return n;
}

bool Job::whole() const {
  if (!known) return false;
  std::uint64_t n = 0;
  for (const auto& [number, r] : ranges) n += r.end - r.begin;
  return n == record.spec.tasks;
}

namespace {

template <typename Record>
bool store(std::map<std::string, Record>& into, const std::string& name,
           const std::optional<std::string>& value) {
  if (!value) {
    into.erase(name);
    return true;
  }
  Record record;
  if (!decode(*value, record)) return false;
  into[name] = std::move(record);
  return true;
}

std::string rest(const std::string& key, std::string_view prefix) {
  return key.substr(prefix.size());
}

}  // namespace

bool Replica::apply(const wire::StoredItem& item) {
  const std::string& key = item.key;
  if (key.starts_with(wire::kRangePrefix)) {
    RangeId id;
    if (!wire::parse_range_key(key, id.job, id.number)) return false;
    wire::RangeRecord record;
    if (item.value && !decode(*item.value, record)) return false;
    changed_jobs_.insert(id.job);
    Job& job = jobs_[id.job];
    if (auto old = job.ranges.find(id.number); old != job.ranges.end()) {
      unindex(id, old->second);
      job.ranges.erase(old);
    }
    if (item.value) {
      record.job = id.job;
      record.number = id.number;
      auto& kept = job.ranges[id.number] = std::move(record);
      index(id, kept);
    } else if (job.ranges.empty() && !job.known) {
      jobs_.erase(id.job);
    }
    return true;
  }
  if (key.starts_with(wire::kJobPrefixKey)) {
    const std::string id = rest(key, wire::kJobPrefixKey);
    changed_jobs_.insert(id);
    if (!item.value) {
      auto it = jobs_.find(id);
      if (it == jobs_.end()) return true;
      it->second.known = false;
      if (it->second.ranges.empty()) jobs_.erase(it);
      return true;
    }
    wire::JobRecord record;
    if (!decode(*item.value, record)) return false;
    Job& job = jobs_[id];
    const bool cancelled_now = record.cancelled && !job.record.cancelled;
    job.record = std::move(record);
    job.known = true;
    if (cancelled_now) {
      for (const auto& [number, r] : job.ranges)
        for (const auto& [task, p] : r.placed) changed_machines_.insert(p.machine);
    }
    return true;
  }
  if (key.starts_with(wire::kOverPrefix)) {
    wire::OverRecord record;
    if (!item.value || !decode(*item.value, record)) return false;
    remember_over(rest(key, wire::kOverPrefix), record);
    return true;
  }
  if (key.starts_with(wire::kMachinePrefix)) {
    const std::string id = rest(key, wire::kMachinePrefix);
    changed_machines_.insert(id);
    return store(machines_, id, item.value);
  }
  if (key.starts_with(wire::kLivePrefix)) {
    view_changed_ = true;
    return store(live_, rest(key, wire::kLivePrefix), item.value);
  }
  if (key.starts_with(wire::kHirePrefix))
    return store(hires_, rest(key, wire::kHirePrefix), item.value);
  if (key.starts_with(wire::kQuotaPrefix))
    return store(quotas_, rest(key, wire::kQuotaPrefix), item.value);
  if (key == wire::kViewKey) {
    wire::ViewRecord record;
    if (!item.value || !decode(*item.value, record)) return false;
    view_ = std::move(record);
    view_changed_ = true;
    return true;
  }
  if (key == wire::kCatalogKey) {
    std::vector<wire::MachineType> types;
    if (!item.value || !wire::parse_catalog(*item.value, types)) return false;
    catalog_ = std::move(types);
    has_catalog_ = true;
    return true;
  }
  return false;
}

void Replica::unindex(const RangeId& id, const wire::RangeRecord& range) {
  for (const auto& [task, p] : range.placed) {
    auto it = placed_on_.find(p.machine);
    if (it == placed_on_.end()) continue;
    it->second.erase({id, task});
    if (it->second.empty()) placed_on_.erase(it);
    changed_machines_.insert(p.machine);
  }
}

void Replica::index(const RangeId& id, const wire::RangeRecord& range) {
  for (const auto& [task, p] : range.placed) {
    placed_on_[p.machine].insert({id, task});
    changed_machines_.insert(p.machine);
  }
}

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

const wire::MachineRecord* Replica::machine(const std::string& id) const {
  auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

const wire::MachineType* Replica::type(const std::string& name) const {
  for (const auto& t : catalog_)
    if (t.name == name) return &t;
  return nullptr;
}

const wire::OverRecord* Replica::over(const std::string& id) const {
  auto it = over_.find(id);
  return it == over_.end() ? nullptr : &it->second;
}

void Replica::remember_over(const std::string& id, const wire::OverRecord& record) {
  if (!over_.emplace(id, record).second) return;
  over_order_.push_back(id);
  if (over_order_.size() > constants::kOverCached) {
    over_.erase(over_order_.front());
    over_order_.pop_front();
  }
}

const std::set<TaskRef>& Replica::placed_on(const std::string& machine) const {
  static const std::set<TaskRef> none;
  auto it = placed_on_.find(machine);
  return it == placed_on_.end() ? none : it->second;
}

const wire::Placement* Replica::placement(const TaskRef& task) const {
  const auto* r = range(task.range);
  if (!r) return nullptr;
  auto it = r->placed.find(task.index);
  return it == r->placed.end() ? nullptr : &it->second;
}

Usage Replica::usage(const std::string& team, const std::string& grant) const {
  Usage u;
  for (const auto& [id, job] : jobs_) {
    if (!job.known || job.record.spec.team != team) continue;
    for (const auto& [number, r] : job.ranges) {
      for (const auto& [task, p] : r.placed) {
        if (!grant.empty() && p.grant != grant) continue;
        u.cpus += job.record.spec.cpus;
        u.gpus += job.record.spec.gpus;
      }
    }
  }
  return u;
}

Usage Replica::usage(const std::string& team) const { return usage(team, ""); }

}  // namespace puffinhaven::core
