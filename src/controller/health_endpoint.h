// The health check: answers 200 if users' requests should be sent to this controller, otherwise
// 503.
#pragma once

#include <cstdint>

#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"

namespace scheduler {

class HealthEndpoint {
 public:
  HealthEndpoint(const Context& context, const ControllerStatus& status,
                 const links::Monitor& links)
      : context_(context), status_(status), links_(links) {}

  void on_health(Ms now, std::uint64_t request);

 private:
  const Context& context_;
  const ControllerStatus& status_;
  const links::Monitor& links_;
  bool serving_users_ = true;  // outcome of the previous decision; only changes are logged
};

}  // namespace scheduler
