// How long requests of users may wait.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler {

// Milliseconds after which a waiting request is given up with 503 (users wait 2 s for polls and
// 5 s for submissions; an early no lets them come back).
constexpr std::int64_t kPollTimeoutMs = 1500;
constexpr std::int64_t kSubmitTimeoutMs = 2500;
// Milliseconds for which a cancellation that is recorded waits for the proof that nothing is left:
// a stop and a write take about 100, more on a busy controller.
constexpr std::int64_t kCancelTimeoutMs = 1000;

}  // namespace scheduler
