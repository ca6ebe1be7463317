// Position of a range in the order of pending work.
#pragma once

#include <cstddef>

namespace scheduler {

struct SchedulingPriority {
  bool in_normal_order = true;          // false: goes first, with a limited number of tasks
  bool misses_every_objective = false;  // the job can no longer meet any objective of its class
  std::size_t queue_position = 0;       // of its job among all pending jobs
};

}  // namespace scheduler
