#include "links/matrix.h"

#include <algorithm>
#include <utility>

#include "links/constants.h"

namespace scheduler::links {

Ms Matrix::age(Ms wall, const wire::LinkRow& row) {
  return std::max<Ms>(0, wall - static_cast<Ms>(row.as_of_ms));
}

void Matrix::merge(Ms now, Ms wall, const wire::LinkRow& row) {
  if (row.controller == own_name_ || age(wall, row) > kStateRowMaxAgeMs) return;
  const auto known = entries_.find(row.controller);
  if (known == entries_.end() && entries_.size() >= kMaxRows) return;
  Entry& entry = known == entries_.end() ? entries_[row.controller] : known->second;
  if (row.as_of_ms <= entry.row.as_of_ms) return;
  const bool interrupted = age(wall, entry.row) > kStateRowMaxAgeMs;
  if (row.state != Status::up) {
    entry.state_up_since = 0;
  } else if (entry.state_up_since == 0 || interrupted) {
    entry.state_up_since = now;
  }
  std::map<std::string, Ms> up_since;
  for (const auto& [zone, links] : row.workers) {
    if (links.heartbeats != Status::up) continue;
    const auto previous = entry.heartbeats_up_since.find(zone);
    const bool uninterrupted = previous != entry.heartbeats_up_since.end() && !interrupted;
    up_since[zone] = uninterrupted ? previous->second : now;
  }
  entry.heartbeats_up_since = std::move(up_since);
  entry.row = row;
}

std::vector<const Matrix::Entry*> Matrix::fresh(Ms wall, Ms max_age_ms) const {
  std::vector<const Entry*> out;
  for (const auto& [name, entry] : entries_)
    if (age(wall, entry.row) <= max_age_ms) out.push_back(&entry);
  return out;
}

const Matrix::Entry* Matrix::find(const std::string& controller) const {
  const auto entry = entries_.find(controller);
  return entry == entries_.end() ? nullptr : &entry->second;
}

}  // namespace scheduler::links
