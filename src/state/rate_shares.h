// How many requests and writes a second this controller may make.
#pragma once

#include <algorithm>

#include "base/types.h"

namespace scheduler {

// Divides the service's limits by the live controllers, which share them, and the requests further
// by purpose. Guards against one purpose leaving nothing for the others: a burst of transactions
// must not keep the watch from being reopened.
class RateShares {
 public:
  explicit RateShares(const Settings& settings)
      : settings_(settings), sharers_(std::max(1, settings.controllers)) {}

  // Live controllers, this one among them.
  void set_sharers(int controllers) { sharers_ = std::max(1, controllers); }

  [[nodiscard]] double writes_per_s() const { return settings_.state_write_rps / sharers_; }

  // Milliseconds from one request to the next of that purpose.
  [[nodiscard]] Ms between_watches() const {
    return interval(planned_requests_per_s() * kWatchShare);
  }
  [[nodiscard]] Ms between_barrier_reads() const {
    return interval(planned_requests_per_s() * kBarrierShare);
  }
  [[nodiscard]] Ms between_transactions() const {
    return interval(planned_requests_per_s() * (1.0 - kWatchShare - kBarrierShare));
  }

 private:
  // Share of the service's request rate that all controllers together plan to use; the rest is for
  // lease renewals and single reads.
  static constexpr double kPlannedShare = 0.85;
  // Of that, the shares for reopening watches and for barrier reads; transactions get the rest.
  static constexpr double kWatchShare = 0.30;
  static constexpr double kBarrierShare = 0.25;
  // Requests a second that are made whatever the limits say.
  static constexpr double kLeastRate = 0.1;

  [[nodiscard]] double planned_requests_per_s() const {
    return settings_.state_rps / sharers_ * kPlannedShare;
  }
  static Ms interval(double per_s) { return static_cast<Ms>(1000.0 / std::max(per_s, kLeastRate)); }

  const Settings& settings_;
  int sharers_;
};

}  // namespace scheduler
