// The share of the state service's request and write rates that this controller may use.
#pragma once

#include <algorithm>

#include "base/types.h"

namespace scheduler {

// Divides the service's rate limits evenly among the live controllers, and each controller's
// requests further by purpose. Guards against one purpose using up the whole rate: a burst of
// transactions must not prevent the watch from being reopened.
class RateShares {
 public:
  explicit RateShares(const Settings& settings)
      : settings_(settings), live_controllers_(std::max(1, settings.controllers)) {}

  // `controllers`: number of live controllers, including this one.
  void set_live_controllers(int controllers) { live_controllers_ = std::max(1, controllers); }

  [[nodiscard]] double writes_per_s() const {
    return settings_.state_write_rps / live_controllers_;
  }

  // Minimum milliseconds between two requests of the same purpose.
  [[nodiscard]] Ms watch_interval() const {
    return interval_ms(planned_requests_per_s() * kWatchShare);
  }
  [[nodiscard]] Ms barrier_read_interval() const {
    return interval_ms(planned_requests_per_s() * kBarrierShare);
  }
  [[nodiscard]] Ms transaction_interval() const {
    return interval_ms(planned_requests_per_s() * (1.0 - kWatchShare - kBarrierShare));
  }

 private:
  // Share of the service's request rate that all controllers together plan to use. The rest is left
  // for lease renewals and single reads.
  static constexpr double kPlannedShare = 0.85;
  // Shares of the planned request rate for reopening watches and for barrier reads; transactions
  // get the rest.
  static constexpr double kWatchShare = 0.30;
  static constexpr double kBarrierShare = 0.25;
  // Lower bound on the request rate of each purpose, requests per second, even if the limits allow
  // less.
  static constexpr double kMinRequestsPerS = 0.1;

  [[nodiscard]] double planned_requests_per_s() const {
    return settings_.state_rps / live_controllers_ * kPlannedShare;
  }
  static Ms interval_ms(double per_s) {
    return static_cast<Ms>(1000.0 / std::max(per_s, kMinRequestsPerS));
  }

  const Settings& settings_;
  int live_controllers_;
};

}  // namespace scheduler
