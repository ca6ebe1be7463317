// Grants of teams' limits: what this controller may start, and moving grants between parts.
#include <algorithm>
#include <cmath>

#include "base/resources.h"
#include "controller/controller.h"
#include "quota/quota_leases.h"
#include "scheduling/scheduling_pass.h"

namespace scheduler {

bool Controller::quota_allows(SchedulingPass& pass, const wire::JobSpec& spec) {
  const Team* t = team(spec.team);
  if (!t) return false;
  if (!limited(*t)) return true;
  if (quota_write_in_flight_[spec.team]) return false;  // our grant may just be shrinking
  auto [used, fresh] = pass.used.try_emplace(spec.team);
  if (fresh) {
    const Usage u = replica_.usage(spec.team, settings_.name);
    used->second = {u.cpus, u.gpus};
    for (const auto& [id, w] : range_states_) {
      const Job* job = w.pending_placements.empty() ? nullptr : replica_.job(id.job);
      if (!job || job->record.spec.team != spec.team) continue;
      used->second.cpus += job->record.spec.cpus * static_cast<double>(w.pending_placements.size());
      used->second.gpus += job->record.spec.gpus * static_cast<double>(w.pending_placements.size());
    }
  }
  auto q = replica_.quotas().find(spec.team);
  if (q == replica_.quotas().end()) return false;
  wire::QuotaRecord::Amount held = used->second;
  if (!spec.is_service()) {
    const Usage reserve = service_reserve(spec.team);
    const auto others = service_demand_of_others(q->second, settings_.name, cluster_view_.live());
    held.cpus += reserve.cpus + others.cpus;
    held.gpus += reserve.gpus + others.gpus;
  }
  return within_lease(*t, q->second, settings_.name, held, spec.cpus, spec.gpus);
}

void Controller::add_quota_demand(const wire::JobSpec& spec, std::uint32_t tasks) {
  if (tasks == 0) return;
  auto& need = quota_demand_[spec.team];
  need.cpus += spec.cpus * tasks;
  need.gpus += spec.gpus * tasks;
}

void Controller::update_quota_leases(Ms now) {
  if (!can_write(now) || now < next_quota_check_) return;
  next_quota_check_ = now + kQuotaCheckMs;
  for (const auto& t : settings_.teams) {
    if (!limited(t) || (quota_write_in_flight_[t.name] && !quota_uncertain_.contains(t.name)))
      continue;
    const auto need = quota_demand_.find(t.name);
    auto recorded = replica_.quotas().find(t.name);
    const wire::QuotaRecord record =
        recorded == replica_.quotas().end() ? wire::QuotaRecord{} : recorded->second;
    const bool asked =
        std::any_of(record.demand.begin(), record.demand.end(),
                    [](const auto& w) { return w.second.cpus > 0 || w.second.gpus > 0; }) ||
        !record.service_demand.empty();
    const bool uncertain = quota_uncertain_.contains(t.name);
    if (need == quota_demand_.end() && !asked && !uncertain) continue;
    QuotaLeaseInput in;
    in.team = &t;
    in.self = settings_.name;
    in.live = cluster_view_.live();
    if (need != quota_demand_.end()) in.need = need->second;
    for (const auto& [who, grant] : record.leases) {
      const Usage u = replica_.usage(t.name, who);
      in.used[who] = {u.cpus, u.gpus};
    }
    const Usage own = replica_.usage(t.name, settings_.name);
    in.used[settings_.name] = {own.cpus, own.gpus};
    for (const auto& [id, w] : range_states_) {
      const Job* job = w.pending_placements.empty() ? nullptr : replica_.job(id.job);
      if (!job || job->record.spec.team != t.name) continue;
      in.used[settings_.name].cpus +=
          job->record.spec.cpus * static_cast<double>(w.pending_placements.size());
      in.used[settings_.name].gpus +=
          job->record.spec.gpus * static_cast<double>(w.pending_placements.size());
    }
    auto& used = in.used[settings_.name];
    const auto grant = record.leases.find(settings_.name);
    const bool stuck = need != quota_demand_.end() && grant != record.leases.end() &&
                       (grant->second.cpus > used.cpus + kAmountSlack ||
                        grant->second.gpus > used.gpus + kAmountSlack);
    Ms& since = quota_stuck_since_[t.name];
    if (!stuck) since = 0;
    if (stuck && since == 0) since = now;
    const std::string turn = quota_collector(record, in.live, now + wall_offset_);
    in.yield = stuck && now - since > kQuotaStuckMs && !turn.empty() && turn != settings_.name;
    in.leave_to_collector = quota_yields_[t.name].leave_to_collector(in.yield, turn);
    if (!in.yield) {
      // Guards against giving away what our services need for a restart. While a remainder is being
      // collected by another part it is given up all the same: it was too small for any of them.
      const Usage reserve = service_reserve(t.name);
      used.cpus += reserve.cpus;
      used.gpus += reserve.gpus;
      in.service_reserve = {reserve.cpus, reserve.gpus};
    }
    auto next = next_quota_record(in, record);
    if (!next && uncertain) next = record;  // the same again, with a new stamp
    if (!next) continue;
    const std::string key = std::string(wire::kQuotaPrefix) + t.name;
    Transaction x;
    x.conditions = {view_unchanged(), state_client_.unchanged(key)};
    x.writes = {{key, encode(*next), std::nullopt}};
    quota_write_in_flight_[t.name] = true;
    quota_uncertain_.erase(t.name);
    x.done = [this, name = t.name, uncertain](Ms at, TxnResult result, const auto&) {
      if (result == TxnResult::committed) {
        quota_write_in_flight_[name] = false;
        dirty_ = true;
        return;
      }
      // Guards against a grant that shrinks late while we fill it: after a write without an answer
      // nothing is placed from the grant until the record has been written again.
      const bool open = result == TxnResult::unknown || (result == TxnResult::refused && uncertain);
      state_client_.wait_until_settled(at, [this, name, open](Ms) {
        if (open) {
          quota_uncertain_.insert(name);
        } else {
          quota_write_in_flight_[name] = false;
        }
        dirty_ = true;
      });
    };
    state_client_.submit(std::move(x));
  }
}

}  // namespace scheduler
