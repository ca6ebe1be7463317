// Maps the method and path of an HTTP request of a user or a worker to an operation.
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
  no_such_job  // the path names a job, but the name is not a valid job id
};

struct RequestRoute {
  Operation operation = Operation::no_such_path;
  std::string job;  // job id; set for poll and cancel only
};

RequestRoute route_of(const Request& request);

}  // namespace scheduler
