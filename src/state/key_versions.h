// Tracks which version of each key the replica holds.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "wire/state_service.h"

namespace scheduler {

// Owns the version of every existing key, and a tombstone for each recently deleted key. Changes of
// a key arrive in three ways that may overtake each other: pages of a full read, the watch, and
// replies to this controller's own transactions. The version of a key only ever increases. Guards
// against an older value replacing a newer one, and against an older change recreating a deleted
// key.
class KeyVersions {
 public:
  // Version of the key; 0 if the key doesn't exist.
  std::uint64_t version(const std::string& key) const;
  // Records the version of the item. Returns false if the item is not newer than the recorded
  // version or tombstone; the caller must then ignore the item.
  bool record_if_newer(const wire::StoredItem& item);
  // Drops the tombstones up to the revision. The watch has delivered every change up to it, so no
  // older change can arrive any more.
  void drop_tombstones(std::uint64_t revision);
  // Removes the keys whose version is at or below the revision and that are not in `found_keys`,
  // the keys found by a full read that began at that revision, and returns them. A key may exist
  // again from the next revision on. Skips final states, since a full read doesn't cover them.
  std::vector<std::string> remove_missing(const std::set<std::string>& found_keys,
                                          std::uint64_t revision);

 private:
  std::unordered_map<std::string, std::uint64_t> versions_;
  std::unordered_map<std::string, std::uint64_t> tombstones_;  // key -> revision of its deletion
};

}  // namespace scheduler
