// The revision of what is known of a job.
#pragma once

#include <cstdint>
#include <string>

#include "state/replica.h"
#include "state/state_client.h"

namespace scheduler {

// The newest revision of what the replica holds of the job: its record, its final state and its
// ranges. 0 if it holds nothing.
std::uint64_t newest_job_revision(const Replica& replica, const StateClient& state_client,
                                  const std::string& id);

}  // namespace scheduler
