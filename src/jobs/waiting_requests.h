// Limits the number of users' requests that wait for the state service.
#pragma once

#include <cstddef>

#include "membership/context.h"

namespace scheduler {

class WaitingRequests {
 public:
  explicit WaitingRequests(const Context& context) : context_(context) {}

  [[nodiscard]] bool full() const { return count_ >= context_.capacity.waiting_requests; }
  // If the limit is reached, replies 429 with Retry-After to this request and returns true.
  [[nodiscard]] bool shed_load(std::uint64_t request) const;
  void add() { ++count_; }
  void remove() { --count_; }

 private:
  const Context& context_;
  std::size_t count_ = 0;
};

}  // namespace scheduler
