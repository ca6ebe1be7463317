// Directed links of the simulated network that are down.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "base/types.h"

namespace scheduler::sim {

// A link that is down in one direction for a limited time. Messages on the link are lost. Each end
// is the name of a controller, "state", "cloud", "workers/ZONE", or "workers" for the workers of
// all zones.
struct LinkCut {
  Ms at = 0, duration_ms = 0;
  std::string from, to;
  // If set, the link alternates between down and up during the cut. The length of each interval is
  // random, between these two times.
  Ms flap_min_ms = 0, flap_max_ms = 0;
};

class LinkCuts {
 public:
  void cut(const std::string& from, const std::string& to) { ++down_[{from, to}]; }
  void restore(const std::string& from, const std::string& to) {
    const auto link = down_.find({from, to});
    if (link != down_.end() && --link->second == 0) down_.erase(link);
  }
  void clear() { down_.clear(); }

  [[nodiscard]] bool down(const std::string& from, const std::string& to) const {
    if (down_.empty()) return false;
    return down_.contains({from, to}) || down_.contains({all_of(from), to}) ||
           down_.contains({from, all_of(to)});
  }

 private:
  // Maps "workers/ZONE" to "workers"; leaves other ends as they are.
  static std::string all_of(const std::string& end) { return end.substr(0, end.find('/')); }

  std::map<std::pair<std::string, std::string>, int> down_;  // number of active cuts by link
};

}  // namespace scheduler::sim
