// How many workers of each zone have been heard lately.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace scheduler::links {

struct ContactCount {
  std::size_t heard = 0, unresponsive = 0;

  void add(bool is_heard) { ++(is_heard ? heard : unresponsive); }
  [[nodiscard]] bool mostly_responsive() const { return heard >= unresponsive; }
};

// Counted anew in each pass over the machines of this controller's shard. Silence of a few is
// theirs; silence of most is that of a link.
struct Census {
  ContactCount all;
  std::map<std::string, ContactCount> zones;
  // Of those that are asked before their next heartbeat is overdue.
  std::map<std::string, ContactCount> probed_early;

  [[nodiscard]] const ContactCount& zone(const std::string& name) const { return of(zones, name); }
  [[nodiscard]] const ContactCount& early(const std::string& name) const {
    return of(probed_early, name);
  }

 private:
  static const ContactCount& of(const std::map<std::string, ContactCount>& counts,
                                const std::string& name) {
    static const ContactCount none;
    const auto found = counts.find(name);
    return found == counts.end() ? none : found->second;
  }
};

}  // namespace scheduler::links
