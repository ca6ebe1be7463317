#include "state/key_versions.h"

#include "wire/record_keys.h"

namespace scheduler {

std::uint64_t KeyVersions::version(const std::string& key) const {
  auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second;
}

bool KeyVersions::advance(const wire::StoredItem& item) {
  if (auto deleted = tombstones_.find(item.key); deleted != tombstones_.end()) {
    if (item.version <= deleted->second) return false;
    if (item.value) tombstones_.erase(deleted);
  }
  auto known = versions_.find(item.key);
  if (known != versions_.end() && item.version <= known->second) return false;
  if (item.value) {
    versions_[item.key] = item.version;
  } else {
    versions_.erase(item.key);
    // Older events of this key may still come from the watch; they must not bring it back.
    tombstones_[item.key] = item.version;
  }
  return true;
}

void KeyVersions::drop_tombstones(std::uint64_t revision) {
  std::erase_if(tombstones_, [revision](const auto& t) { return t.second <= revision; });
}

std::vector<std::string> KeyVersions::missing(const std::set<std::string>& found,
                                              std::uint64_t revision) const {
  std::vector<std::string> keys;
  for (const auto& [key, version] : versions_) {
    if (version <= revision && !found.contains(key) && !key.starts_with(wire::kFinalStatePrefix))
      keys.push_back(key);
  }
  return keys;
}

}  // namespace scheduler
