#include "jobs/waiting_requests.h"

#include "wire/json.h"

namespace scheduler {

bool WaitingRequests::shed_load(std::uint64_t request) const {
  if (!full()) return false;
  context_.reply(request, 429, wire::error_body("too many requests"), kRetryAfterS);
  return true;
}

}  // namespace scheduler
