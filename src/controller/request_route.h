// Which operation an HTTP request of a user or a worker asks for.
#pragma once

#include <cstdint>
#include <string>

#include "base/types.h"

namespace scheduler {

enum class Operation : std::uint8_t {
  heartbeat,
  health,
  submit,
  poll,
  cancel,
  method_not_allowed,
  no_such_path,
  no_such_job  // the name can't be that of a job
};

struct RequestRoute {
  Operation operation = Operation::no_such_path;
  std::string job;  // of poll and cancel
};

RequestRoute route_of(const Request& request);

}  // namespace scheduler
