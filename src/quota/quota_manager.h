// Manages the quota leases of teams: checks what this controller may start, and moves leases
// between shards.
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

// Writes `quota/TEAM`. Every controller writes this record: each changes its own lease, and shrinks
// the leases of controllers that are not live.
class QuotaManager {
 public:
  QuotaManager(const Context& context, const ControllerStatus& status, const RangeTable& ranges,
               const ServiceReserve& service_reserve, PassTrigger& pass_trigger)
      : context_(context),
        status_(status),
        ranges_(ranges),
        service_reserve_(service_reserve),
        pass_trigger_(pass_trigger) {}

  // Whether this controller's lease has capacity for one more such task. `used`: usage of this
  // controller's leases by team; computed at the first call for a team in a pass and kept up to
  // date by the caller.
  bool allows(std::map<std::string, wire::QuotaRecord::Amount>& used, const wire::JobSpec& spec);
  // Adds the demand of `tasks` tasks that wait for a larger lease.
  void add_demand(const wire::JobSpec& spec, std::uint32_t tasks);
  // Called by each scheduling pass before it computes the demand again.
  void clear_demand() { demand_.clear(); }
  // True while a write of the team's record is in progress or uncertain; the lease may be
  // shrinking.
  [[nodiscard]] bool write_in_flight(const std::string& team) const;
  [[nodiscard]] std::size_t writes_in_flight() const;
  // Checks the leases of all teams, and writes those that have to change.
  void tick(Ms now);

 private:
  void update_team(Ms now, const Team& team);
  // Whether the team's record has to be checked: there is demand or an uncertain write.
  [[nodiscard]] bool needs_update(const Team& team, const wire::QuotaRecord& record) const;
  // Collects the data from which the next record is computed.
  QuotaLeaseInput lease_input(Ms now, const Team& team, const wire::QuotaRecord& record);
  // True if the unused part of the lease has been too small for any waiting work for so long that
  // it must be given up to the controller whose turn it is to collect.
  bool must_yield(Ms now, const std::string& team, bool stuck, const std::string& collector);
  void write(const std::string& team, const wire::QuotaRecord& next, bool was_uncertain);

  const Context& context_;
  const ControllerStatus& status_;
  const RangeTable& ranges_;
  const ServiceReserve& service_reserve_;
  PassTrigger& pass_trigger_;
  Ms next_check_at_ = 0;
  // By team:
  std::map<std::string, bool> write_in_flight_;
  std::set<std::string> uncertain_writes_;  // in flight until written again
  std::map<std::string, wire::QuotaRecord::Amount> demand_;
  std::map<std::string, Ms> stuck_since_;  // lease too small for any waiting work
  std::map<std::string, YieldTracker> yield_trackers_;
};

}  // namespace scheduler
