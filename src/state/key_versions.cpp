#include "state/key_versions.h"

#include "wire/record_keys.h"

namespace scheduler {

std::uint64_t KeyVersions::version(const std::string& key) const {
  auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second;
}

bool KeyVersions::record_if_newer(const wire::StoredItem& item) {
  if (auto tombstone = tombstones_.find(item.key); tombstone != tombstones_.end()) {
    if (item.version <= tombstone->second) return false;
    if (item.value) tombstones_.erase(tombstone);
  }
  auto current = versions_.find(item.key);
  if (current != versions_.end() && item.version <= current->second) return false;
  if (item.value) {
    versions_[item.key] = item.version;
  } else {
    versions_.erase(item.key);
    // The watch may still deliver older events of this key; they must not recreate it.
    tombstones_[item.key] = item.version;
  }
  return true;
}

void KeyVersions::drop_tombstones(std::uint64_t revision) {
  std::erase_if(tombstones_, [revision](const auto& t) { return t.second <= revision; });
}

std::vector<std::string> KeyVersions::remove_missing(const std::set<std::string>& found_keys,
                                                     std::uint64_t revision) {
  std::vector<std::string> keys;
  for (const auto& [key, version] : versions_) {
    if (version <= revision && !found_keys.contains(key) &&
        !key.starts_with(wire::kFinalStatePrefix))
      keys.push_back(key);
  }
  for (const auto& key : keys) {
    versions_.erase(key);
    tombstones_[key] = revision;
  }
  return keys;
}

}  // namespace scheduler
