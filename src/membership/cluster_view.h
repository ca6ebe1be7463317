// Who is live, who owns which machine, and the tokens that prove it. Pure functions of the view.
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

// The live controller that a name is hashed to (highest random weight), or empty. With shares, each
// gets that part of all names; they are as many as the candidates and not all zero.
std::string rendezvous(std::string_view key, const std::vector<std::string>& candidates,
                       const std::vector<double>& shares = {});

class ClusterView {
 public:
  explicit ClusterView(const Settings& settings);

  void update(const wire::ViewRecord& view);
  // Whether a view has been read.
  bool known() const { return known_; }
  std::uint64_t epoch() const { return epoch_; }
  const std::vector<std::string>& live() const { return live_; }
  // Live controllers that may own machines and ranges.
  const std::vector<std::string>& owners() const { return owners_; }
  bool is_live(const std::string& name) const;

  // Machines go to live controllers of their own zone, if there are any: when zones are partitioned
  // from each other, only a controller on the same side can keep a machine's lease. Those of other
  // zones go to all, more of them to whom its own zone leaves more time.
  const std::string& machine_owner(const std::string& machine, const std::string& zone) const;
  // A range stays with the controller it was given to while that is live.
  std::string range_owner(const std::string& key, const std::string& recorded) const;
  std::string leader_of(std::string_view duty) const { return rendezvous(duty, live_); }

  static std::uint64_t token(std::uint64_t epoch, std::uint64_t fence);
  static std::uint64_t epoch_of(std::uint64_t token);
  static std::uint64_t fence_of(std::uint64_t token);

 private:
  std::map<std::string, std::string> zone_of_;
  bool known_ = false;
  std::uint64_t epoch_ = 0;
  std::vector<std::string> live_;
  std::vector<std::string> owners_;  // of those, the ones that workers can reach
  std::map<std::string, std::vector<std::string>> by_zone_;
  std::vector<std::string> zones_;
  std::vector<double> shares_;  // of the machines of zones without a controller, as owners_
  mutable std::map<std::string, std::string> owner_cache_;
};

}  // namespace scheduler
