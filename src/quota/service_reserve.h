// What replicas of services that are on no machine will need of their team's limit.
#pragma once

#include <map>
#include <string>

#include "membership/context.h"

namespace scheduler {

// It is kept free for them, so that nothing else starves a restart. Covers the services of our
// shard.
class ServiceReserve {
 public:
  explicit ServiceReserve(const Context& context) : context_(context) {}

  // Counts it anew; once a scheduling pass.
  void recount();
  [[nodiscard]] Usage of(const std::string& team) const;

 private:
  const Context& context_;
  std::map<std::string, Usage> reserves_;  // by team
};

}  // namespace scheduler
