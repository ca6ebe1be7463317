// Cutting a range of tasks into several whose records fit the state service's limit on values.
#pragma once

#include <cstddef>
#include <vector>

#include "wire/records.h"

namespace scheduler {

// The range in as few pieces as halving gives, in the order of tasks, each with a record of at most
// `limit_bytes`. Every task, finished mark and placement is in just one piece. A range that fits is
// returned as it is; a single task whose record does not fit is left as one piece.
std::vector<wire::RangeRecord> split_to_fit(const wire::RangeRecord& range,
                                            std::size_t limit_bytes);

// Tasks that the record of one range may cover, so that the finished marks leave most of the value
// to placements while a job of the most tasks still has few ranges.
std::uint32_t tasks_per_range(std::size_t limit_bytes);

}  // namespace scheduler
