// Which controllers are live, which of them owns each machine and range, and the tokens that prove
// ownership. Pure functions of the view.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "wire/records.h"

namespace scheduler {

// Returns the candidate that the key is assigned to by rendezvous hashing (highest random weight),
// or an empty string if there is none. With `shares`, each candidate gets keys in proportion to its
// share. `shares` is empty, or has one entry for each candidate of which at least one is above
// zero.
std::string pick_by_rendezvous_hash(std::string_view key,
                                    const std::vector<std::string>& candidates,
                                    const std::vector<double>& shares = {});

class ClusterView {
 public:
  explicit ClusterView(const Settings& settings);

  void update(const wire::ViewRecord& view);
  // Whether any view has been read.
  bool has_view() const { return has_view_; }
  std::uint64_t epoch() const { return epoch_; }
  const std::vector<std::string>& live() const { return live_; }
  // Live controllers that may own machines and ranges.
  const std::vector<std::string>& owners() const { return owners_; }
  bool is_live(const std::string& name) const;

  // A machine is owned by a live controller of its own zone if there is one: when zones are
  // partitioned from each other, only a controller on the machine's side can renew its lease.
  // Machines of zones without a controller are divided among all owners; an owner with fewer
  // machines in its own zone gets more of them.
  const std::string& machine_owner(const std::string& machine, const std::string& zone) const;
  // A range stays with the recorded controller as long as that controller may own ranges; after
  // that the owner is chosen by rendezvous hashing of the key.
  std::string range_owner(const std::string& key, const std::string& recorded) const;
  // The live controller that performs a duty of the whole cluster.
  std::string leader_of(std::string_view duty) const {
    return pick_by_rendezvous_hash(duty, live_);
  }

  static std::uint64_t token(std::uint64_t epoch, std::uint64_t fence);
  static std::uint64_t epoch_of(std::uint64_t token);
  static std::uint64_t fence_of(std::uint64_t token);

 private:
  std::map<std::string, std::string> zone_of_;
  bool has_view_ = false;
  std::uint64_t epoch_ = 0;
  std::vector<std::string> live_;
  // The live controllers that workers can reach; all live controllers if workers can reach none.
  std::vector<std::string> owners_;
  std::map<std::string, std::vector<std::string>> by_zone_;
  std::vector<std::string> zones_;
  // For each of owners_, its share of the machines in zones without a controller.
  std::vector<double> shares_;
  mutable std::map<std::string, std::string> owner_cache_;
};

}  // namespace scheduler
