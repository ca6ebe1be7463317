#include "quota/quota_leases.h"

#include <algorithm>
#include <cmath>

#include "base/resources.h"

namespace scheduler {

namespace {

// The same while services wait: long enough to collect, and short enough that each of five
// controllers has had its turn before a replica has waited for 20 s.
constexpr std::int64_t kServiceQuotaTurnMs = 3000;

}  // namespace

namespace {

using Amount = wire::QuotaRecord::Amount;

// Records what our services lack, without a write for every small change. True if it has changed.
bool update_service_demand(wire::QuotaRecord& r, const std::string& self, double Amount::*field,
                           double lack) {
  const auto told = r.service_demand.find(self);
  const double before = told == r.service_demand.end() ? 0.0 : told->second.*field;
  const bool lacks = lack > kAmountSlack;
  const bool lacked = before > kAmountSlack;
  if (lacks == lacked && lack <= before + kAmountSlack) return false;
  r.service_demand[self].*field = lack;
  return true;
}

// One dimension (cpus or gpus) of the next record. Returns true when something changed.
bool next_dimension(const QuotaLeaseInput& in, double limit, double Amount::*field,
                    wire::QuotaRecord& r) {
  if (limit <= 0) return false;
  bool changed = false;
  auto used = [&](const std::string& who) {
    auto it = in.used.find(who);
    return it == in.used.end() ? 0.0 : it->second.*field;
  };
  // Quota leases of controllers that are not live shrink to what their placements still use; the
  // view guard of the write keeps them from using more.
  for (auto& [who, grant] : r.leases) {
    if (std::find(in.live.begin(), in.live.end(), who) != in.live.end()) continue;
    if (grant.*field > used(who) + kAmountSlack) {
      grant.*field = used(who);
      changed = true;
    }
  }
  double granted = 0;
  double others_want = 0;
  for (const auto& [who, grant] : r.leases) granted += grant.*field;
  for (const auto& [who, want] : r.demand)
    if (who != in.self) others_want += want.*field;

  double& own = r.leases[in.self].*field;
  const double own_used = used(in.self);
  const double target = own_used + in.need.*field;
  // Guards against taking at once again what was given up for another: we are the first to know
  // that it is free.
  const double free = in.leave_to_collector ? 0.0 : std::max(0.0, limit - granted);
  double& demand = r.demand[in.self].*field;
  if (in.yield) {
    // Guards against gangs in several shards that each keep a remainder too small to start, for
    // ever.
    if (own > own_used + kAmountSlack) {
      own = own_used;
      changed = true;
    }
    if (demand < in.need.*field) {
      demand = in.need.*field;
      changed = true;
    }
    return changed;
  }
  const double lacking = std::max(0.0, own_used - own);
  const double service_lack = std::min(lacking, in.service_reserve.*field);
  const double others_services = service_demand_of_others(r, in.self, in.live).*field;
  changed = update_service_demand(r, in.self, field, service_lack) || changed;
  const double idle_now = own - own_used;
  if (others_services > free + kAmountSlack && idle_now > kAmountSlack) {
    // Guards against services that wait for ever while arrays of the team take up whatever ends.
    own -= std::min(idle_now, others_services - free);
    return true;
  }
  if (target > own + kAmountSlack) {
    const double rest = std::max(0.0, free - service_lack - others_services);
    const double needed =
        std::min(free, service_lack) + std::min(rest, std::max(0.0, target - own - service_lack));
    // While nobody else asks, some of what is free comes along, so that the next gang or array does
    // not wait for a write; it is given back as soon as another shard wants it.
    const bool alone = others_want <= kAmountSlack;
    const double spare = alone ? (free - needed) / static_cast<double>(in.live.size() + 1) : 0.0;
    const double take = needed + spare;
    if (take > kAmountSlack) {
      own += take;
      changed = true;
    }
    const double missing = std::max(0.0, target - own);
    // Tell the others, without writing for every small change.
    if ((missing > kAmountSlack) != (demand > kAmountSlack) || missing > 2 * demand) {
      demand = missing;
      changed = true;
    }
  } else {
    if (demand > kAmountSlack) {
      demand = 0;
      changed = true;
    }
    const double idle = own - target;
    if (others_want > free + kAmountSlack && idle > kAmountSlack) {
      own -= std::min(idle, others_want - free);
      changed = true;
    }
  }
  return changed;
}

}  // namespace

Amount service_demand_of_others(const wire::QuotaRecord& record, const std::string& self,
                                const std::vector<std::string>& live) {
  Amount sum;
  for (const auto& [who, want] : record.service_demand) {
    if (who == self || std::find(live.begin(), live.end(), who) == live.end()) continue;
    sum.cpus += want.cpus;
    sum.gpus += want.gpus;
  }
  return sum;
}

bool YieldMemory::leave_to_collector(bool yields, const std::string& turn) {
  if (yields) {
    yielded_to_ = turn;
    return false;
  }
  if (yielded_to_ != turn) yielded_to_.clear();
  return !yielded_to_.empty();
}

std::string quota_collector(const wire::QuotaRecord& record, const std::vector<std::string>& live,
                            Ms wall) {
  std::vector<const std::string*> names;
  const auto add_wanting = [&](const std::map<std::string, Amount>& demand) {
    for (const auto& [who, want] : demand)
      if ((want.cpus > kAmountSlack || want.gpus > kAmountSlack) &&
          std::find(live.begin(), live.end(), who) != live.end())
        names.push_back(&who);
  };
  // Services go before all other work, in collecting as well.
  add_wanting(record.service_demand);
  const Ms turn = names.empty() ? kQuotaTurnMs : kServiceQuotaTurnMs;
  if (names.empty()) add_wanting(record.demand);
  if (names.empty()) return "";
  return *names[static_cast<std::size_t>(wall / turn) % names.size()];
}

bool limited(const Team& team) { return team.cpus_max > 0 || team.gpus_max > 0; }

bool within_lease(const Team& team, const wire::QuotaRecord& record, const std::string& self,
                  const wire::QuotaRecord::Amount& used, double cpus, double gpus) {
  auto it = record.leases.find(self);
  const Amount grant = it == record.leases.end() ? Amount{} : it->second;
  if (team.cpus_max > 0 && used.cpus + cpus > grant.cpus + kAmountSlack) return false;
  if (team.gpus_max > 0 && used.gpus + gpus > grant.gpus + kAmountSlack) return false;
  return true;
}

std::optional<wire::QuotaRecord> next_quota_record(const QuotaLeaseInput& in,
                                                   const wire::QuotaRecord& record) {
  wire::QuotaRecord next = record;
  const bool cpus = next_dimension(in, in.team->cpus_max, &Amount::cpus, next);
  const bool gpus = next_dimension(in, in.team->gpus_max, &Amount::gpus, next);
  if (!cpus && !gpus) return std::nullopt;
  return next;
}

}  // namespace scheduler
