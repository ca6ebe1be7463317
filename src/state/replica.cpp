#include "state/replica.h"

#include <algorithm>

namespace scheduler {

namespace {

// Final states kept in memory; each takes about 100 bytes, older ones are read again.
constexpr std::size_t kFinalStatesCached = 20'000;

}  // namespace

bool Job::whole() const {
  if (!known) return false;
  std::uint64_t n = 0;
  for (const auto& [number, r] : ranges) n += r.end - r.begin;
  return n == record.spec.tasks;
}

namespace {

template <typename Record>
bool state_client(std::map<std::string, Record>& into, const std::string& name,
                  const std::optional<std::string>& value) {
  if (!value) {
    into.erase(name);
    return true;
  }
  auto record = wire::decode<Record>(*value);
  if (!record) return false;
  into[name] = std::move(*record);
  return true;
}

// The record of a key; an empty one if the key was deleted.
template <typename Record>
wire::Decoded<Record> decode_or_empty(const std::optional<std::string>& value) {
  return value ? wire::decode<Record>(*value) : Record{};
}

// The record of a key that is never deleted.
template <typename Record>
wire::Decoded<Record> decode_present(const std::optional<std::string>& value) {
  return value ? wire::decode<Record>(*value) : wire::decode_error("", "a record");
}

std::string rest(const std::string& key, std::string_view prefix) {
  return key.substr(prefix.size());
}

}  // namespace

bool Replica::apply(const wire::StoredItem& item) {
  const std::string& key = item.key;
  if (key.starts_with(wire::kRangePrefix)) {
    auto range_key = wire::parse_range_key(key);
    if (!range_key) return false;
    const RangeId id{std::move(range_key->job), range_key->number};
    auto decoded = decode_or_empty<wire::RangeRecord>(item.value);
    if (!decoded) return false;
    wire::RangeRecord& record = *decoded;
    changed_jobs_.insert(id.job);
    Job& job = jobs_[id.job];
    auto old = job.ranges.find(id.number);
    if (item.value) {
      record.job = id.job;
      record.number = id.number;
      apply_range(id, job, old == job.ranges.end() ? nullptr : &old->second, &record);
      job.ranges[id.number] = std::move(record);
      job.unrecorded_ranges.erase(id.number);
    } else {
      if (old != job.ranges.end()) {
        apply_range(id, job, &old->second, nullptr);
        job.ranges.erase(old);
      }
      if (job.ranges.empty() && !job.known) jobs_.erase(id.job);
    }
    return true;
  }
  if (key.starts_with(wire::kJobPrefixKey)) {
    const std::string id = rest(key, wire::kJobPrefixKey);
    changed_jobs_.insert(id);
    if (!item.value) {
      auto it = jobs_.find(id);
      if (it == jobs_.end()) return true;
      if (it->second.known) count_job(it->second, -1);
      it->second.known = false;
      for (const std::uint32_t n : std::exchange(it->second.unrecorded_ranges, {}))
        it->second.ranges.erase(n);
      if (it->second.ranges.empty()) jobs_.erase(it);
      return true;
    }
    auto decoded = wire::decode<wire::JobRecord>(*item.value);
    if (!decoded) return false;
    wire::JobRecord& record = *decoded;
    Job& job = jobs_[id];
    const bool cancelled_now = record.cancelled && !job.record.cancelled;
    if (job.known) count_job(job, -1);
    job.record = std::move(record);
    job.known = true;
    count_job(job, 1);
    for (const auto& share : job.record.shares) {
      auto [range, added] = job.ranges.try_emplace(share.number);
      if (!added) continue;
      wire::RangeRecord& r = range->second;
      r.job = id;
      r.number = share.number;
      r.owner = share.owner;
      r.begin = share.begin;
      r.end = share.end;
      r.done.assign(share.end - share.begin, false);
      job.unrecorded_ranges.insert(share.number);
    }
    if (cancelled_now) {
      for (const auto& [number, r] : job.ranges)
        for (const auto& [task, p] : r.placed) changed_machines_.insert(p.machine);
    }
    return true;
  }
  if (key.starts_with(wire::kFinalStatePrefix)) {
    const auto record = decode_present<wire::FinalStateRecord>(item.value);
    if (!record) return false;
    remember_final_state(rest(key, wire::kFinalStatePrefix), *record);
    return true;
  }
  if (key.starts_with(wire::kFleetPrefix)) {
    const auto group = wire::parse_fleet_key(key);
    return group && apply_fleet(*group, item.value);
  }
  if (key.starts_with(wire::kShardPrefix)) {
    const auto shard = wire::parse_shard_key(key);
    return shard && apply_shard(shard->controller, shard->group, item.value);
  }
  if (key.starts_with(wire::kShardGuardPrefix)) return true;  // only its stamp matters
  if (key.starts_with(wire::kLivePrefix)) {
    view_changed_ = true;
    return state_client(live_, rest(key, wire::kLivePrefix), item.value);
  }
  if (key.starts_with(wire::kScaleOutPrefix))
    return state_client(scale_out_requests_, rest(key, wire::kScaleOutPrefix), item.value);
  if (key.starts_with(wire::kQuotaPrefix))
    return state_client(quotas_, rest(key, wire::kQuotaPrefix), item.value);
  if (key == wire::kViewKey) {
    auto record = decode_present<wire::ViewRecord>(item.value);
    if (!record) return false;
    view_ = std::move(*record);
    view_changed_ = true;
    return true;
  }
  if (key == wire::kFormatKey) {
    const auto record = decode_present<wire::FormatRecord>(item.value);
    if (!record) return false;
    // Records of a format that was switched on once may exist for ever.
    format_.format = std::max(format_.format, record->format);
    return true;
  }
  if (key == wire::kCatalogKey) {
    if (!item.value) return false;
    auto types = wire::parse_catalog(*item.value);
    if (!types) return false;
    catalog_ = std::move(*types);
    has_catalog_ = true;
    return true;
  }
  return false;
}

void Replica::count_placement(const Job& job, const wire::Placement& p, int sign) {
  Usage& u = usage_[job.record.spec.team][p.quota_holder];
  u.cpus += sign * job.record.spec.cpus;
  u.gpus += sign * job.record.spec.gpus;
  if (!job.record.spec.is_service()) return;
  const auto replicas = replicas_on_.try_emplace(p.machine, 0).first;
  replicas->second += sign;
  if (replicas->second == 0) replicas_on_.erase(replicas);
}

void Replica::count_job(const Job& job, int sign) {
  for (const auto& [number, r] : job.ranges)
    for (const auto& [task, p] : r.placed) count_placement(job, p, sign);
}

void Replica::place(const RangeId& id, const Job& job, std::uint32_t task, const wire::Placement& p,
                    bool add) {
  if (job.known) count_placement(job, p, add ? 1 : -1);
  changed_machines_.insert(p.machine);
  if (add) {
    placed_on_[p.machine].insert({id, task});
    return;
  }
  auto it = placed_on_.find(p.machine);
  if (it == placed_on_.end()) return;
  it->second.erase({id, task});
  if (it->second.empty()) placed_on_.erase(it);
}

void Replica::apply_range(const RangeId& id, Job& job, const wire::RangeRecord* before,
                          const wire::RangeRecord* after) {
  if (before) {
    job.done -= before->done_count();
    job.placed -= before->placed.size();
  }
  if (after) {
    job.done += after->done_count();
    job.placed += after->placed.size();
  }
  if (before) {
    for (const auto& [task, p] : before->placed) {
      auto now = after ? after->placed.find(task) : before->placed.end();
      if (!after || now == after->placed.end() || now->second != p) place(id, job, task, p, false);
    }
  }
  if (after) {
    for (const auto& [task, p] : after->placed) {
      auto was = before ? before->placed.find(task) : after->placed.end();
      if (!before || was == before->placed.end() || was->second != p) place(id, job, task, p, true);
    }
  }
  // What becomes of one task of a gang concerns all.
  if (before && after && job.known && job.record.spec.is_gang()) {
    for (const auto& [task, p] : after->placed) changed_machines_.insert(p.machine);
  }
}

void Replica::merge(const std::string& id) {
  auto group = group_of_.find(id);
  if (group == group_of_.end()) {
    if (machines_.erase(id)) changed_machines_.insert(id);
    return;
  }
  wire::MachineRecord sum = fleet_.at(group->second).machines.at(id);
  if (auto heard = contacts_.find(id); heard != contacts_.end()) {
    std::uint64_t newest = 0;
    for (const auto& [who, h] : heard->second) {
      if (h.epoch >= newest) {
        // Not the highest session: a machine that has restarted counts from one again.
        newest = h.epoch;
        sum.incarnation = h.incarnation;
        if (!h.address.empty()) sum.address = h.address;
      }
      // A verdict is never taken back: sick, draining, lost, gone in this order.
      sum.state = std::max(sum.state, h.state);
    }
  }
  auto [it, added] = machines_.try_emplace(id, sum);
  if (!added && it->second == sum) return;
  it->second = std::move(sum);
  changed_machines_.insert(id);
}

bool Replica::apply_fleet(std::uint32_t group, const std::optional<std::string>& value) {
  const auto decoded = decode_or_empty<wire::FleetRecord>(value);
  if (!decoded) return false;
  const wire::FleetRecord& record = *decoded;
  const wire::FleetRecord before = std::exchange(fleet_[group], record);
  for (const auto& [id, m] : record.machines) group_of_[id] = group;
  for (const auto& [id, m] : before.machines) {
    if (record.machines.contains(id)) continue;
    auto at = group_of_.find(id);
    if (at != group_of_.end() && at->second == group) group_of_.erase(at);
    merge(id);
  }
  for (const auto& [id, m] : record.machines) merge(id);
  if (!value) fleet_.erase(group);
  return true;
}

bool Replica::apply_shard(const std::string& who, std::uint32_t group,
                          const std::optional<std::string>& value) {
  const auto decoded = decode_or_empty<wire::ShardRecord>(value);
  if (!decoded) return false;
  const wire::ShardRecord& record = *decoded;
  const wire::ShardRecord before = std::exchange(shards_[{who, group}], record);
  for (const auto& [id, h] : before.machines) {
    if (record.machines.contains(id)) continue;
    auto at = contacts_.find(id);
    if (at == contacts_.end()) continue;
    at->second.erase({who, group});
    if (at->second.empty()) contacts_.erase(at);
    merge(id);
  }
  for (const auto& [id, h] : record.machines) {
    contacts_[id][{who, group}] = h;
    merge(id);
  }
  if (!value) shards_.erase({who, group});
  return true;
}

std::optional<std::uint32_t> Replica::group_of(const std::string& id) const {
  auto it = group_of_.find(id);
  return it == group_of_.end() ? std::nullopt : std::optional(it->second);
}

const wire::ShardRecord* Replica::shard(const std::string& controller, std::uint32_t group) const {
  auto it = shards_.find({controller, group});
  return it == shards_.end() ? nullptr : &it->second;
}

std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> Replica::shards_of(
    const std::string& controller) const {
  std::vector<std::pair<std::uint32_t, const wire::ShardRecord*>> out;
  for (auto it = shards_.lower_bound({controller, 0});
       it != shards_.end() && it->first.first == controller; ++it)
    out.emplace_back(it->first.second, &it->second);
  return out;
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

std::vector<std::string> Replica::unrecorded_machines() const {
  std::vector<std::string> out;
  for (const auto& [id, tasks] : placed_on_)
    if (!machines_.contains(id)) out.push_back(id);
  return out;
}

Usage Replica::usage(const std::string& team, const std::string& grant) const {
  auto t = usage_.find(team);
  if (t == usage_.end()) return {};
  auto g = t->second.find(grant);
  return g == t->second.end() ? Usage{} : g->second;
}

Usage Replica::usage(const std::string& team) const {
  Usage sum;
  auto t = usage_.find(team);
  if (t == usage_.end()) return sum;
  for (const auto& [grant, u] : t->second) {
    sum.cpus += u.cpus;
    sum.gpus += u.gpus;
  }
  return sum;
}

}  // namespace scheduler
