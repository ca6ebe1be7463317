// Splits a task range into several whose records fit the state service's value size limit.
#pragma once

#include <cstddef>
#include <vector>

#include "wire/records.h"

namespace scheduler {

// Splits the range by repeated halving until each piece's record takes at most `limit_bytes`, and
// returns the pieces in the order of tasks. Every task, completion mark and placement is in exactly
// one piece. A range that fits is returned unchanged; a single task whose record does not fit is
// kept as one piece.
std::vector<wire::RangeRecord> split_to_fit(const wire::RangeRecord& range,
                                            std::size_t limit_bytes);

// Maximum number of tasks of one range, chosen so that completion marks leave most of the value to
// placements while the largest jobs still have few ranges.
std::uint32_t max_tasks_per_range(std::size_t limit_bytes);

}  // namespace scheduler
