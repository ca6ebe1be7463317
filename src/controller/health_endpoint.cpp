#include "controller/health_endpoint.h"

#include "wire/json.h"

namespace scheduler {

void HealthEndpoint::on_health(Ms now, std::uint64_t request) {
  bool healthy = status_.ready() && !status_.deposed(now) && !status_.resynchronising(now);
  if (healthy) {
    const links::Decision decision = links_.may_serve_users(status_.moment(now));
    healthy = decision.allowed;
    if (decision.allowed != serving_users_) context_.log_decision("serve_users", decision);
    serving_users_ = decision.allowed;
  }
  if (healthy) {
    context_.reply(request, 200, "{}");
  } else {
    context_.reply(request, 503, wire::error_body("no state"), kRetryAfterS);
  }
}

}  // namespace scheduler
