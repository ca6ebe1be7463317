// Computes the quota needed by service replicas that have no machine.
#pragma once

#include <map>
#include <string>

#include "membership/context.h"

namespace scheduler {

// Per team, the quota that is kept free for replicas of this shard's services, so that other work
// cannot starve their restart.
class ServiceReserve {
 public:
  explicit ServiceReserve(const Context& context) : context_(context) {}

  // Recomputes the reserve; called once per scheduling pass.
  void recount();
  [[nodiscard]] Usage for_team(const std::string& team) const;

 private:
  const Context& context_;
  std::map<std::string, Usage> reserves_;  // by team
};

}  // namespace scheduler
