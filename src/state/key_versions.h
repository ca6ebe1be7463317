// Which version of each key the replica holds.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/state_service.h"

namespace scheduler {

// Owns the version of every key that exists, and a tombstone of each key that was deleted a short
// while ago. News of a key come by three ways (pages, the watch, replies to own transactions) that
// overtake each other; a key only ever goes forward. Guards against an older value replacing a
// newer one, and against a deleted key coming back.
class KeyVersions {
 public:
  // 0: the key doesn't exist.
  std::uint64_t version(const std::string& key) const;
  // Records the version of the item. False when it is not newer than what is known: it must then be
  // ignored.
  bool advance(const wire::StoredItem& item);
  // Everything up to the revision has been brought by the watch: no older news can come.
  void drop_tombstones(std::uint64_t revision);
  // Keys up to the revision that are not among those found by a full read at that revision. Final
  // states are left out, since a full read doesn't cover them.
  std::vector<std::string> missing(const std::set<std::string>& found,
                                   std::uint64_t revision) const;

 private:
  std::unordered_map<std::string, std::uint64_t> versions_;
  std::unordered_map<std::string, std::uint64_t> tombstones_;  // key -> revision of its deletion
};

}  // namespace scheduler
