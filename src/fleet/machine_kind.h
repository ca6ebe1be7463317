// Kinds of machines, as scale-out requests name them.
#pragma once

#include <compare>
#include <map>
#include <string>

namespace scheduler {

// The attributes of machines that a scale-out request names.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

using MachineCounts = std::map<MachineKind, int>;

}  // namespace scheduler
