// The way by which everything read or written reaches the replica.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/types.h"
#include "state/key_versions.h"

namespace scheduler {

// Owns what is known of revisions: the version of each key, the revision up to which the replica
// holds every change, and the newest that any reply has named. Hands on to the replica only what is
// newer than what it holds of the key.
class ReplicaFeed {
 public:
  using Apply = std::function<void(Ms now, const wire::StoredItem&)>;

  explicit ReplicaFeed(Apply apply) : apply_(std::move(apply)) {}

  std::uint64_t version(const std::string& key) const { return versions_.version(key); }
  // Revision up to which the replica holds every change. Beyond it, it holds only what this
  // controller has written itself.
  std::uint64_t applied_revision() const { return applied_revision_; }
  // Newest revision that any reply has named.
  std::uint64_t newest_known_revision() const { return newest_known_revision_; }

  // Hands the item on, unless the replica holds this version of the key or a newer one.
  void apply(Ms now, const wire::StoredItem& item);
  // Every change up to the revision has been applied.
  void advance(std::uint64_t revision);
  // A full read at that revision has found these keys: deletes what is known besides, since it was
  // deleted meanwhile, and starts from that revision.
  void restart(Ms now, std::uint64_t revision, const std::set<std::string>& found);

  // A reply has named the revision.
  void learn_revision(Ms now, std::uint64_t revision);
  // Whether changes that other replies have named are missing for longer than that.
  bool behind_for(Ms now, Ms longer_than) const {
    return newest_known_revision_ > applied_revision_ && now - behind_since_ > longer_than;
  }
  // The time of being behind counts from now on.
  void restart_behind_timer(Ms now) { behind_since_ = now; }

 private:
  Apply apply_;
  KeyVersions versions_;
  std::uint64_t applied_revision_ = 0;
  std::uint64_t newest_known_revision_ = 0;
  Ms behind_since_ = 0;
};

}  // namespace scheduler
