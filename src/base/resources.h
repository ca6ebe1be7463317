// Amounts of CPUs, GPUs and memory.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler {

// Amounts are decimal numbers; sums of tenths must not miss a fit by rounding. CPUs, GPUs, GB.
constexpr double kAmountSlack = 1e-6;

}  // namespace scheduler
