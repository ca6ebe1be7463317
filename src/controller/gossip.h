// Messages between controllers.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler {

// Milliseconds between hints to the other controllers.
constexpr std::int64_t kGossipIntervalMs = 500;

}  // namespace scheduler
