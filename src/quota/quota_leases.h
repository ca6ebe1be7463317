// Quota leases: shares of a team's limit that are granted to controllers in a record of the state
// service. A controller starts tasks only within its own lease, so the limit holds over all shards
// without a request per start.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/records.h"

namespace scheduler {

// Milliseconds between checks of the quota leases.
constexpr std::int64_t kQuotaCheckIntervalMs = 100;
// kQuotaYieldDelayMs: milliseconds for which the unused part of a shard's lease must have been too
// small for any of its waiting work before the shard gives that part up to the controller whose
// turn it is to collect. kQuotaTurnMs: milliseconds of a turn, long enough to collect leases and
// start the work.
constexpr std::int64_t kQuotaYieldDelayMs = 2000;
constexpr std::int64_t kQuotaTurnMs = 8000;

struct QuotaLeaseInput {
  const Team* team = nullptr;
  std::string self;               // name of this controller
  std::vector<std::string> live;  // names of the live controllers
  // Usage by controller: recorded placements and, for `self`, also pending placements.
  std::map<std::string, wire::QuotaRecord::Amount> used;
  // Demand of this controller's waiting tasks beyond its usage.
  wire::QuotaRecord::Amount waiting_demand;
  // Resources needed by this shard's replicas that have no machine. Included in the usage of
  // `self`, since they are reserved.
  wire::QuotaRecord::Amount service_reserve;
  // The unused part of the lease is to be given up: it is too small for any waiting work, and it is
  // another controller's turn to collect.
  bool yield = false;
  // This controller gave up the unused part of its lease in the current turn and leaves it to the
  // controller whose turn it is.
  bool leave_to_collector = false;
};

// Remembers the controller for which the unused part of a lease was given up.
class YieldTracker {
 public:
  // Called at each check of the leases. `yields`: the lease is given up now; `collector`: the
  // controller whose turn it is. Returns true while capacity that was given up before must be left
  // to that controller.
  bool leave_to_collector(bool yields, const std::string& collector);

 private:
  std::string yielded_to_;
};

// Returns the live controller whose turn it is to collect quota leases, among those with demand;
// empty if none has demand. All controllers compute the same result except for clock differences.
std::string quota_collector(const wire::QuotaRecord& record, const std::vector<std::string>& live,
                            Ms wall);
bool has_quota_limit(const Team& team);
// True if the lease of `self` has capacity for the additional cpus and gpus.
bool fits_in_lease(const Team& team, const wire::QuotaRecord& record, const std::string& self,
                   const wire::QuotaRecord::Amount& used, double cpus, double gpus);
// Returns the resources that the services of other live controllers lack. These services take
// precedence over all other work of the team.
wire::QuotaRecord::Amount service_demand_of_others(const wire::QuotaRecord& record,
                                                   const std::string& self,
                                                   const std::vector<std::string>& live);
// Returns the record that this controller should write next, or none if nothing has to change.
std::optional<wire::QuotaRecord> next_quota_record(const QuotaLeaseInput& in,
                                                   const wire::QuotaRecord& record);

}  // namespace scheduler
