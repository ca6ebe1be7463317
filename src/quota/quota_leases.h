// Shares of a team's limit, granted to controllers in a record of the state service. A controller
// starts tasks only from its own lease, so the limit holds over all shards without asking anyone.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/records.h"

namespace scheduler {

// Milliseconds between checks of the quota leases.
constexpr std::int64_t kQuotaCheckMs = 100;
// Milliseconds for which a shard must have had a lease too small for all that waits before it gives
// it to whose turn it is, and milliseconds of a turn: long enough to collect and to start.
constexpr std::int64_t kQuotaStuckMs = 2000;
constexpr std::int64_t kQuotaTurnMs = 8000;

struct QuotaLeaseInput {
  const Team* team = nullptr;
  std::string self;
  std::vector<std::string> live;
  // Used per lease: recorded placements and, for our own, those being written.
  std::map<std::string, wire::QuotaRecord::Amount> used;
  wire::QuotaRecord::Amount need;  // what our waiting tasks would take beyond what we use
  // What our replicas that are on no machine need; part of what we use, since it is kept for them.
  wire::QuotaRecord::Amount service_reserve;
  // What we have is too little for anything that waits, and it is another's turn to collect.
  bool yield = false;
  // We have given that up in this turn, and leave it to whose turn it is.
  bool leave_to_collector = false;
};

// Remembers for whom a lease was given up.
class YieldMemory {
 public:
  // At a look at the quota leases: whether we give ours up now, and whose turn it is. True as long
  // as what we gave up is to be left to that controller.
  bool leave_to_collector(bool yields, const std::string& turn);

 private:
  std::string yielded_to_;
};

// Whose turn it is to collect quota leases, of the live controllers that want more; all know it
// alike, give or take the difference of their clocks. Empty: nobody wants any.
std::string quota_collector(const wire::QuotaRecord& record, const std::vector<std::string>& live,
                            Ms wall);
bool limited(const Team& team);
// Free capacity of our lease.
bool within_lease(const Team& team, const wire::QuotaRecord& record, const std::string& self,
                  const wire::QuotaRecord::Amount& used, double cpus, double gpus);
// What the services of other live controllers lack: it goes before all other work of the team.
wire::QuotaRecord::Amount service_demand_of_others(const wire::QuotaRecord& record,
                                                   const std::string& self,
                                                   const std::vector<std::string>& live);
// The record as we want it next, or none if nothing is to change.
std::optional<wire::QuotaRecord> next_quota_record(const QuotaLeaseInput& in,
                                                   const wire::QuotaRecord& record);

}  // namespace scheduler
