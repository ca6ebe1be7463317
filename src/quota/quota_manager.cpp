#include "quota/quota_manager.h"

#include <algorithm>
#include <utility>

#include "base/resources.h"

namespace scheduler {

bool QuotaManager::allows(std::map<std::string, wire::QuotaRecord::Amount>& used,
                          const wire::JobSpec& spec) {
  const Team* team = context_.team(spec.team);
  if (!team) return false;
  if (!has_quota_limit(*team)) return true;
  if (write_in_flight(spec.team)) return false;  // the write may shrink the lease
  const auto [team_used, inserted] = used.try_emplace(spec.team);
  if (inserted) {
    const Usage recorded = context_.replica.usage(spec.team, context_.settings.name);
    const Usage total = ranges_.usage_with_pending(spec.team, recorded);
    team_used->second = {total.cpus, total.gpus};
  }
  const auto record = context_.replica.quotas().find(spec.team);
  if (record == context_.replica.quotas().end()) return false;
  wire::QuotaRecord::Amount used_or_reserved = team_used->second;
  if (!spec.is_service()) {
    const Usage reserve = service_reserve_.for_team(spec.team);
    const auto others_service_demand = service_demand_of_others(
        record->second, context_.settings.name, context_.cluster_view.live());
    used_or_reserved.cpus += reserve.cpus + others_service_demand.cpus;
    used_or_reserved.gpus += reserve.gpus + others_service_demand.gpus;
  }
  return fits_in_lease(*team, record->second, context_.settings.name, used_or_reserved, spec.cpus,
                       spec.gpus);
}

void QuotaManager::add_demand(const wire::JobSpec& spec, std::uint32_t tasks) {
  if (tasks == 0) return;
  auto& demand = demand_[spec.team];
  demand.cpus += spec.cpus * tasks;
  demand.gpus += spec.gpus * tasks;
}

bool QuotaManager::write_in_flight(const std::string& team) const {
  const auto entry = write_in_flight_.find(team);
  return entry != write_in_flight_.end() && entry->second;
}

std::size_t QuotaManager::writes_in_flight() const {
  return static_cast<std::size_t>(std::count_if(write_in_flight_.begin(), write_in_flight_.end(),
                                                [](const auto& entry) { return entry.second; }));
}

void QuotaManager::tick(Ms now) {
  if (!context_.can_write(now) || now < next_check_at_) return;
  next_check_at_ = now + kQuotaCheckIntervalMs;
  for (const Team& team : context_.settings.teams) {
    const bool settled = !write_in_flight(team.name) || uncertain_writes_.contains(team.name);
    if (has_quota_limit(team) && settled) update_team(now, team);
  }
}

bool QuotaManager::needs_update(const Team& team, const wire::QuotaRecord& record) const {
  const bool demanded =
      std::any_of(record.demand.begin(), record.demand.end(),
                  [](const auto& entry) { return entry.second.cpus > 0 || entry.second.gpus > 0; });
  return demand_.contains(team.name) || demanded || !record.service_demand.empty() ||
         uncertain_writes_.contains(team.name);
}

bool QuotaManager::must_yield(Ms now, const std::string& team, bool stuck,
                              const std::string& collector) {
  Ms& since = stuck_since_[team];
  if (!stuck) since = 0;
  if (stuck && since == 0) since = now;
  return stuck && now - since > kQuotaYieldDelayMs && !collector.empty() &&
         collector != context_.settings.name;
}

QuotaLeaseInput QuotaManager::lease_input(Ms now, const Team& team,
                                          const wire::QuotaRecord& record) {
  const std::string& self = context_.settings.name;
  QuotaLeaseInput input;
  input.team = &team;
  input.self = self;
  input.live = context_.cluster_view.live();
  const auto demand = demand_.find(team.name);
  if (demand != demand_.end()) input.waiting_demand = demand->second;
  for (const auto& [who, lease] : record.leases) {
    const Usage usage = context_.replica.usage(team.name, who);
    input.used[who] = {usage.cpus, usage.gpus};
  }
  const Usage recorded = context_.replica.usage(team.name, self);
  const Usage total = ranges_.usage_with_pending(team.name, recorded);
  auto& used = input.used[self];
  used = {total.cpus, total.gpus};
  const auto lease = record.leases.find(self);
  const bool stuck = demand != demand_.end() && lease != record.leases.end() &&
                     (lease->second.cpus > used.cpus + kAmountSlack ||
                      lease->second.gpus > used.gpus + kAmountSlack);
  const std::string collector = quota_collector(record, input.live, status_.wall(now));
  input.yield = must_yield(now, team.name, stuck, collector);
  input.leave_to_collector = yield_trackers_[team.name].leave_to_collector(input.yield, collector);
  if (!input.yield) {
    // Guards against giving up capacity that this shard's services need for restarts. While
    // yielding, the reserve is given up as well: the remainder is too small for any of the
    // replicas.
    const Usage reserve = service_reserve_.for_team(team.name);
    used.cpus += reserve.cpus;
    used.gpus += reserve.gpus;
    input.service_reserve = {reserve.cpus, reserve.gpus};
  }
  return input;
}

void QuotaManager::update_team(Ms now, const Team& team) {
  const auto recorded = context_.replica.quotas().find(team.name);
  const wire::QuotaRecord record =
      recorded == context_.replica.quotas().end() ? wire::QuotaRecord{} : recorded->second;
  if (!needs_update(team, record)) return;
  auto next = next_quota_record(lease_input(now, team, record), record);
  const bool uncertain = uncertain_writes_.contains(team.name);
  // Rewriting an unchanged record gives it a new version, which invalidates the uncertain write.
  if (!next && uncertain) next = record;
  if (next) write(team.name, *next, uncertain);
}

void QuotaManager::write(const std::string& team, const wire::QuotaRecord& next,
                         bool was_uncertain) {
  const std::string key = std::string(wire::kQuotaPrefix) + team;
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  transaction.writes = {{key, encode(next), std::nullopt}};
  write_in_flight_[team] = true;
  uncertain_writes_.erase(team);
  transaction.done = [this, team, was_uncertain](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      write_in_flight_[team] = false;
      pass_trigger_.request();
      return;
    }
    // Guards against filling a lease that an uncertain write shrinks late: nothing is placed from
    // the lease until the record has been written again.
    const bool may_be_applied =
        result == TxnResult::unknown || (result == TxnResult::refused && was_uncertain);
    context_.state_client.barrier_read_with_retries(at, [this, team, may_be_applied](Ms) {
      if (may_be_applied) {
        uncertain_writes_.insert(team);
      } else {
        write_in_flight_[team] = false;
      }
      pass_trigger_.request();
    });
  };
  context_.state_client.submit(std::move(transaction));
}

}  // namespace scheduler
