// Time limits of users' requests.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler {

// Milliseconds after which a waiting request is answered 503. Users time out after 2 s for polls
// and 5 s for submissions; the earlier 503 lets them retry before that.
constexpr std::int64_t kPollTimeoutMs = 1500;
constexpr std::int64_t kSubmitTimeoutMs = 2500;
// Milliseconds for which the request waits, once its cancellation is recorded, until the records
// show that no task is left. A stop command and a write take about 100 ms, more on a busy
// controller.
constexpr std::int64_t kCancelTimeoutMs = 1000;

}  // namespace scheduler
