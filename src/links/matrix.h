// The links of all controllers as far as this one has heard: one row each, with an age.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "links/types.h"
#include "wire/link_row.h"

namespace scheduler::links {

// Rows spread from controller to controller with the gossip messages, so that a row arrives
// although there is no link to the one that wrote it. Of two rows of one controller the newer
// counts, whichever way it came; its age follows from the time of day, which differs by less than
// `clock_off_ms` (settings).
class Matrix {
 public:
  struct Entry {
    wire::LinkRow row;
    // Since when, by our own clock, its rows have said that the state service answers it. 0: not.
    Ms state_up_since = 0;
    // The same of heartbeats from the workers of a zone; zones that it doesn't hear are missing.
    std::map<std::string, Ms> reports_up_since;
  };

  // `own`: the name of this controller, whose own row is not kept here.
  explicit Matrix(std::string own) : own_(std::move(own)) {}

  // Takes a row in unless a newer one of that controller is known. `wall`: time of day now.
  void merge(Ms now, Ms wall, const wire::LinkRow& row);
  // Rows that are no older than `most_ms`.
  [[nodiscard]] std::vector<const Entry*> fresh(Ms wall, Ms most_ms) const;
  [[nodiscard]] const Entry* find(const std::string& controller) const;
  static Ms age(Ms wall, const wire::LinkRow& row);
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  std::string own_;
  std::map<std::string, Entry> entries_;
};

}  // namespace scheduler::links
