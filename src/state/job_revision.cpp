#include "state/job_revision.h"

#include <algorithm>

#include "wire/record_keys.h"

namespace scheduler {

std::uint64_t newest_job_revision(const Replica& replica, const StateClient& state_client,
                                  const std::string& id) {
  std::uint64_t newest = std::max(state_client.version(wire::job_key(id)),
                                  state_client.version(wire::final_state_key(id)));
  const auto job = replica.jobs().find(id);
  if (job == replica.jobs().end()) return newest;
  for (const auto& [number, range] : job->second.ranges)
    newest = std::max(newest, state_client.version(wire::range_key(id, number)));
  return newest;
}

}  // namespace scheduler
