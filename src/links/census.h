// How many workers of each zone have been heard lately.
#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace scheduler::links {

struct HeardCount {
  std::size_t heard = 0, silent = 0;

  void add(bool is_heard) { ++(is_heard ? heard : silent); }
  bool mostly_heard() const { return heard >= silent; }
};

// Counted anew in each pass over the machines of this controller's part. Silence of a few is
// theirs; silence of most is that of a link.
struct Census {
  HeardCount all;
  std::map<std::string, HeardCount> zones;
  // Of those that are asked before their next report is overdue.
  std::map<std::string, HeardCount> asked_early;

  const HeardCount& zone(const std::string& name) const { return of(zones, name); }
  const HeardCount& early(const std::string& name) const { return of(asked_early, name); }

 private:
  static const HeardCount& of(const std::map<std::string, HeardCount>& counts,
                              const std::string& name) {
    static const HeardCount none;
    const auto found = counts.find(name);
    return found == counts.end() ? none : found->second;
  }
};

}  // namespace scheduler::links
