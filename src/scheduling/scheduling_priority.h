// Position of a range in the order of pending work.
#pragma once

#include <cstddef>

namespace scheduler {

struct SchedulingPriority {
  bool has_started = true;              // false: served before the normal order, with a limited
                                        // number of tasks
  bool misses_every_objective = false;  // the job can no longer meet any objective of its class
  std::size_t place = 0;                // position of its job among all pending jobs
                                        // (pending_order.h)
};

}  // namespace scheduler
