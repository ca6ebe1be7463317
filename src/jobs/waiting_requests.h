// Requests of users that wait for the state service: their number is bounded.
#pragma once

#include <cstddef>

#include "membership/context.h"

namespace scheduler {

class WaitingRequests {
 public:
  explicit WaitingRequests(const Context& context) : context_(context) {}

  [[nodiscard]] bool full() const { return count_ >= context_.capacity.waiting_requests; }
  // If as many wait as may: answers this one 429 with Retry-After, and returns true.
  [[nodiscard]] bool shed_load(std::uint64_t request) const;
  void add() { ++count_; }
  void remove() { --count_; }

 private:
  const Context& context_;
  std::size_t count_ = 0;
};

}  // namespace scheduler
