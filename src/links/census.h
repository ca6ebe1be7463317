// Number of workers with and without recent contact, per zone.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace scheduler::links {

struct ContactCount {
  std::size_t responsive = 0, unresponsive = 0;

  void add(bool is_responsive) { ++(is_responsive ? responsive : unresponsive); }
  [[nodiscard]] bool mostly_responsive() const { return responsive >= unresponsive; }
};

// Counted in each pass over the machines of this controller's shard. If only a few workers are
// silent, the workers have failed; if most are silent, a link has failed.
struct Census {
  ContactCount all;
  std::map<std::string, ContactCount> zones;
  // Only the machines that are probed before their next heartbeat is overdue.
  std::map<std::string, ContactCount> probed_early;

  [[nodiscard]] const ContactCount& zone(const std::string& name) const {
    return count_of(zones, name);
  }
  [[nodiscard]] const ContactCount& probed_early_in_zone(const std::string& name) const {
    return count_of(probed_early, name);
  }

 private:
  static const ContactCount& count_of(const std::map<std::string, ContactCount>& counts,
                                      const std::string& name) {
    static const ContactCount none;
    const auto found = counts.find(name);
    return found == counts.end() ? none : found->second;
  }
};

}  // namespace scheduler::links
