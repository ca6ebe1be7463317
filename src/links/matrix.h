// Link states of all other controllers as known to this controller: one row per controller, with
// its age.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "links/types.h"
#include "wire/link_row.h"

namespace scheduler::links {

// Controllers gossip all rows that they have, so a row also arrives when there is no direct link to
// the controller that wrote it. The newest row of a controller is kept, whichever way it came. Its
// age is computed from the time of day. The platform keeps the times of day of all hosts within a
// bound of each other (its setting `clock_off_ms`, which this program does not read).
class Matrix {
 public:
  struct Entry {
    wire::LinkRow row;
    // Local time since which the controller's rows have reported a working link to the state
    // service; 0: they report none.
    Ms state_up_since = 0;
    // By zone, local time since which its rows have reported heartbeats from workers of the zone;
    // zones without heartbeats are missing.
    std::map<std::string, Ms> heartbeats_up_since;
  };

  // `own_name`: name of this controller; its own row is not stored.
  explicit Matrix(std::string own_name) : own_name_(std::move(own_name)) {}

  // Stores a row unless a newer one of the controller is known. `wall`: current time of day.
  void merge(Ms now, Ms wall, const wire::LinkRow& row);
  // Rows that are not older than `max_age_ms`.
  [[nodiscard]] std::vector<const Entry*> fresh(Ms wall, Ms max_age_ms) const;
  [[nodiscard]] const Entry* find(const std::string& controller) const;
  static Ms age(Ms wall, const wire::LinkRow& row);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::string own_name_;
  std::map<std::string, Entry> entries_;
};

}  // namespace scheduler::links
