// Passes every record that was read or written to the replica, and keeps the replica from going
// back to an older version of a key.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/types.h"
#include "state/key_versions.h"

namespace scheduler {

// Owns the version of each key, the revision up to which the replica holds every change, and the
// newest revision that any reply has named. Passes an item to the replica only if it is newer than
// the version of the key that the replica holds.
class ReplicaFeed {
 public:
  using Apply = std::function<void(Ms now, const wire::StoredItem&)>;

  explicit ReplicaFeed(Apply apply) : apply_(std::move(apply)) {}

  std::uint64_t version(const std::string& key) const { return versions_.version(key); }
  // Revision up to which the replica holds every change. Of later revisions the replica holds only
  // this controller's own writes.
  std::uint64_t applied_revision() const { return applied_revision_; }
  // Newest revision that any reply of the service has named.
  std::uint64_t newest_known_revision() const { return newest_known_revision_; }

  // Passes the item to the replica, unless the replica holds this version of the key or a newer
  // one.
  void apply(Ms now, const wire::StoredItem& item);
  // Records that every change up to the revision has been applied.
  void advance_to(std::uint64_t revision);
  // Completes a full read that began at the revision. Deletes from the replica every key up to that
  // revision that is not in `found_keys`, the keys that the full read found: such a key was deleted
  // in the meantime. The applied revision becomes the given one.
  void finish_full_read(Ms now, std::uint64_t revision, const std::set<std::string>& found_keys);

  // Records a revision that a reply has named.
  void record_revision(Ms now, std::uint64_t revision);
  // Whether the replica has lacked a revision named by a reply for more than `limit_ms`
  // milliseconds.
  bool is_behind_longer_than(Ms now, Ms limit_ms) const {
    return newest_known_revision_ > applied_revision_ && now - behind_since_ > limit_ms;
  }
  // Restarts the measurement of how long the replica has been behind.
  void restart_behind_timer(Ms now) { behind_since_ = now; }

 private:
  Apply apply_;
  KeyVersions versions_;
  std::uint64_t applied_revision_ = 0;
  std::uint64_t newest_known_revision_ = 0;
  Ms behind_since_ = 0;
};

}  // namespace scheduler
