// The newest revision of a job's records in the replica.
#pragma once

#include <cstdint>
#include <string>

#include "state/replica.h"
#include "state/state_client.h"

namespace scheduler {

// The newest revision among the job's own record, its final state and its ranges, as the replica
// holds them. 0 if the replica holds none of them.
std::uint64_t newest_job_revision(const Replica& replica, const StateClient& state_client,
                                  const std::string& id);

}  // namespace scheduler
