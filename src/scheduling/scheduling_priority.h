// When a range is served among all that wait.
#pragma once

#include <cstddef>

namespace scheduler {

struct SchedulingPriority {
  bool has_started = true;              // false: goes before all others with a few tasks
  bool misses_every_objective = false;  // of its class, whatever is done
  std::size_t place = 0;                // of its job among all that wait (pending_order.h)
};

}  // namespace scheduler
