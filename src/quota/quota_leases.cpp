#include "quota/quota_leases.h"

#include <algorithm>
#include <cmath>

#include "base/resources.h"

namespace scheduler {

namespace {

// Milliseconds of a turn while services wait: long enough to collect leases, and short enough that
// each of five controllers has had a turn before a replica has waited for 20 s.
constexpr std::int64_t kServiceQuotaTurnMs = 3000;

using Amount = wire::QuotaRecord::Amount;

// Computes the next quota record in one dimension (cpus or gpus).
class DimensionUpdate {
 public:
  DimensionUpdate(const QuotaLeaseInput& in, double limit, double Amount::*field,
                  wire::QuotaRecord& record)
      : in_(in),
        limit_(limit),
        field_(field),
        record_(record),
        own_used_(used(in.self)),
        target_(own_used_ + in.waiting_demand.*field) {}

  // Updates the record; returns true if anything has changed.
  bool apply() {
    if (limit_ <= 0) return false;
    shrink_leases_of_others_not_live();
    compute_free_and_demand();
    if (in_.yield) {
      yield();
      return changed_;
    }
    const double service_lack =
        std::min(std::max(0.0, own_used_ - own_lease()), in_.service_reserve.*field_);
    const double others_service_demand =
        service_demand_of_others(record_, in_.self, in_.live).*field_;
    update_service_demand(service_lack);
    const double idle = own_lease() - own_used_;
    if (others_service_demand > free_ + kAmountSlack && idle > kAmountSlack) {
      // Guards against services that wait forever while arrays of the team take all capacity that
      // becomes free.
      own_lease() -= std::min(idle, others_service_demand - free_);
      return true;
    }
    if (target_ > own_lease() + kAmountSlack) {
      grow_lease(service_lack, others_service_demand);
    } else {
      return_idle();
    }
    return changed_;
  }

 private:
  [[nodiscard]] double used(const std::string& who) const {
    const auto entry = in_.used.find(who);
    return entry == in_.used.end() ? 0.0 : entry->second.*field_;
  }
  double& own_lease() { return record_.leases[in_.self].*field_; }
  double& demand() { return record_.demand[in_.self].*field_; }
  void set(double& amount, double value) {
    amount = value;
    changed_ = true;
  }

  // Shrinks leases of controllers that are not live to what their placements still use; the write's
  // condition on the cluster view keeps these controllers from using more.
  void shrink_leases_of_others_not_live() {
    for (auto& [who, lease] : record_.leases) {
      if (std::find(in_.live.begin(), in_.live.end(), who) != in_.live.end()) continue;
      if (lease.*field_ > used(who) + kAmountSlack) set(lease.*field_, used(who));
    }
  }

  void compute_free_and_demand() {
    double leased = 0;
    for (const auto& [who, lease] : record_.leases) leased += lease.*field_;
    for (const auto& [who, demand] : record_.demand)
      if (who != in_.self) others_demand_ += demand.*field_;
    // Guards against taking back capacity that this controller has just given up for another
    // controller: this controller is the first to see that the capacity is free.
    free_ = in_.leave_to_collector ? 0.0 : std::max(0.0, limit_ - leased);
    // This controller's entries are part of every record that it writes, even if they are zero.
    record_.leases.try_emplace(in_.self);
    record_.demand.try_emplace(in_.self);
  }

  // Gives up the unused part of the lease. Guards against gangs in several shards that never start
  // because each shard keeps a remainder that is too small.
  void yield() {
    const double needed = in_.waiting_demand.*field_;
    if (own_lease() > own_used_ + kAmountSlack) set(own_lease(), own_used_);
    if (demand() < needed) set(demand(), needed);
  }

  // Records what this shard's services lack, without a write for every small change.
  void update_service_demand(double lack) {
    const auto recorded = record_.service_demand.find(in_.self);
    const double before = recorded == record_.service_demand.end() ? 0.0 : recorded->second.*field_;
    const bool lacks = lack > kAmountSlack;
    const bool lacked = before > kAmountSlack;
    if (lacks == lacked && lack <= before + kAmountSlack) return;
    set(record_.service_demand[in_.self].*field_, lack);
  }

  // Adds free capacity to the lease, and records the missing amount as demand for other controllers
  // to see.
  void grow_lease(double service_lack, double others_service_demand) {
    const double rest = std::max(0.0, free_ - service_lack - others_service_demand);
    const double needed = std::min(free_, service_lack) +
                          std::min(rest, std::max(0.0, target_ - own_lease() - service_lack));
    // While no other controller has demand, part of the remaining free capacity is leased as well,
    // so that the next gang or array does not wait for a write; it is given back as soon as another
    // shard wants it.
    const bool alone = others_demand_ <= kAmountSlack;
    const double spare = alone ? (free_ - needed) / static_cast<double>(in_.live.size() + 1) : 0.0;
    const double take = needed + spare;
    if (take > kAmountSlack) set(own_lease(), own_lease() + take);
    const double missing = std::max(0.0, target_ - own_lease());
    // Small changes of the demand are not written.
    const bool lacks = missing > kAmountSlack;
    const bool lacked = demand() > kAmountSlack;
    if (lacks != lacked || missing > 2 * demand()) set(demand(), missing);
  }

  // Clears the demand, and gives up idle capacity as far as other controllers want it.
  void return_idle() {
    if (demand() > kAmountSlack) set(demand(), 0);
    const double idle = own_lease() - target_;
    if (others_demand_ > free_ + kAmountSlack && idle > kAmountSlack)
      set(own_lease(), own_lease() - std::min(idle, others_demand_ - free_));
  }

  const QuotaLeaseInput& in_;
  double limit_;
  double Amount::*field_;
  wire::QuotaRecord& record_;
  double own_used_;
  double target_;  // target size of this controller's lease
  double free_ = 0;
  double others_demand_ = 0;
  bool changed_ = false;
};

}  // namespace

Amount service_demand_of_others(const wire::QuotaRecord& record, const std::string& self,
                                const std::vector<std::string>& live) {
  Amount sum;
  for (const auto& [who, wanted] : record.service_demand) {
    if (who == self || std::find(live.begin(), live.end(), who) == live.end()) continue;
    sum.cpus += wanted.cpus;
    sum.gpus += wanted.gpus;
  }
  return sum;
}

bool YieldTracker::leave_to_collector(bool yields, const std::string& collector) {
  if (yields) {
    yielded_to_ = collector;
    return false;
  }
  if (yielded_to_ != collector) yielded_to_.clear();
  return !yielded_to_.empty();
}

std::string quota_collector(const wire::QuotaRecord& record, const std::vector<std::string>& live,
                            Ms wall) {
  std::vector<const std::string*> names;
  const auto add_wanting = [&](const std::map<std::string, Amount>& demand) {
    for (const auto& [who, wanted] : demand)
      if ((wanted.cpus > kAmountSlack || wanted.gpus > kAmountSlack) &&
          std::find(live.begin(), live.end(), who) != live.end())
        names.push_back(&who);
  };
  // Controllers with waiting services collect before all others.
  add_wanting(record.service_demand);
  const Ms turn_ms = names.empty() ? kQuotaTurnMs : kServiceQuotaTurnMs;
  if (names.empty()) add_wanting(record.demand);
  if (names.empty()) return "";
  return *names[static_cast<std::size_t>(wall / turn_ms) % names.size()];
}

bool has_quota_limit(const Team& team) { return team.cpus_max > 0 || team.gpus_max > 0; }

bool fits_in_lease(const Team& team, const wire::QuotaRecord& record, const std::string& self,
                   const wire::QuotaRecord::Amount& used, double cpus, double gpus) {
  auto it = record.leases.find(self);
  const Amount lease_size = it == record.leases.end() ? Amount{} : it->second;
  if (team.cpus_max > 0 && used.cpus + cpus > lease_size.cpus + kAmountSlack) return false;
  if (team.gpus_max > 0 && used.gpus + gpus > lease_size.gpus + kAmountSlack) return false;
  return true;
}

std::optional<wire::QuotaRecord> next_quota_record(const QuotaLeaseInput& in,
                                                   const wire::QuotaRecord& record) {
  wire::QuotaRecord next = record;
  const bool cpus = DimensionUpdate(in, in.team->cpus_max, &Amount::cpus, next).apply();
  const bool gpus = DimensionUpdate(in, in.team->gpus_max, &Amount::gpus, next).apply();
  if (!cpus && !gpus) return std::nullopt;
  return next;
}

}  // namespace scheduler
