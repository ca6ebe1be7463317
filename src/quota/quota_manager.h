// Quota leases of teams: what this controller may start, and moving leases between shards.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "quota/quota_leases.h"
#include "quota/service_reserve.h"

namespace scheduler {

// Writes `quota/TEAM`, together with the other controllers: each changes its own lease, and shrinks
// those of controllers that are not live.
class QuotaManager {
 public:
  QuotaManager(const Context& context, const ControllerStatus& status, const RangeTable& ranges,
               const ServiceReserve& service_reserve, PassTrigger& pass_trigger)
      : context_(context),
        status_(status),
        ranges_(ranges),
        service_reserve_(service_reserve),
        pass_trigger_(pass_trigger) {}

  // Whether our lease has capacity for one more such task. `used`: what is used of our leases, by
  // team; counted at the first question of a pass and kept up to date by the caller.
  bool allows(std::map<std::string, wire::QuotaRecord::Amount>& used, const wire::JobSpec& spec);
  // So many tasks wait for a larger lease.
  void add_demand(const wire::JobSpec& spec, std::uint32_t tasks);
  // Demand is counted anew in each scheduling pass.
  void clear_demand() { demand_.clear(); }
  // The team's record is being written: its lease may just be shrinking.
  [[nodiscard]] bool write_in_flight(const std::string& team) const;
  [[nodiscard]] std::size_t writes_in_flight() const;
  // Looks at all leases, and writes what is to change.
  void tick(Ms now);

 private:
  void update_team(Ms now, const Team& team);
  // Whether there is anything to look at.
  [[nodiscard]] bool needs_update(const Team& team, const wire::QuotaRecord& record) const;
  // What the next record follows from.
  QuotaLeaseInput lease_input(Ms now, const Team& team, const wire::QuotaRecord& record);
  // Our lease is too small for all that waits, for so long that it is given to whose turn it is.
  bool must_yield(Ms now, const std::string& team, bool stuck, const std::string& turn);
  void write(const std::string& team, const wire::QuotaRecord& next, bool was_uncertain);

  const Context& context_;
  const ControllerStatus& status_;
  const RangeTable& ranges_;
  const ServiceReserve& service_reserve_;
  PassTrigger& pass_trigger_;
  Ms next_check_ = 0;
  // By team:
  std::map<std::string, bool> write_in_flight_;
  std::set<std::string> uncertain_;  // in flight until written again
  std::map<std::string, wire::QuotaRecord::Amount> demand_;
  std::map<std::string, Ms> stuck_since_;  // with a lease too small for all that waits
  std::map<std::string, YieldMemory> yields_;
};

}  // namespace scheduler
