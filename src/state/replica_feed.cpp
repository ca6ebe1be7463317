#include "state/replica_feed.h"

#include <algorithm>
#include <optional>

namespace scheduler {

void ReplicaFeed::apply(Ms now, const wire::StoredItem& item) {
  if (versions_.record_if_newer(item)) apply_(now, item);
}

void ReplicaFeed::advance_to(std::uint64_t revision) {
  applied_revision_ = std::max(applied_revision_, revision);
  versions_.drop_tombstones(applied_revision_);
}

void ReplicaFeed::finish_full_read(Ms now, std::uint64_t revision,
                                   const std::set<std::string>& found_keys) {
  for (auto& key : versions_.remove_missing(found_keys, revision))
    apply_(now, {std::move(key), std::nullopt, revision});
  applied_revision_ = revision;
}

void ReplicaFeed::record_revision(Ms now, std::uint64_t revision) {
  if (newest_known_revision_ <= applied_revision_) behind_since_ = now;
  newest_known_revision_ = std::max(newest_known_revision_, revision);
}

}  // namespace scheduler
