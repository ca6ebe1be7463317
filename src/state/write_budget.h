// Token bucket for the writes of a second.
#pragma once

#include "state/rate_shares.h"

namespace scheduler {

// Holds at most a second's writes. Guards against transactions being throttled by the service, and
// against background writes using up what users wait for.
class WriteBudget {
 public:
  enum class Priority : std::uint8_t {
    background,  // leaves a share of the bucket untouched
    urgent       // may take all of it
  };

  explicit WriteBudget(const RateShares& rates) : rates_(rates) {}

  // The bucket is half full at first.
  void start(Ms now);
  void refill(Ms now);
  // Whether that many writes may be made now.
  [[nodiscard]] bool allows(std::size_t writes, Priority priority) const;
  // Nearly a second's writes are left: even a transaction of more writes than that may go, since
  // waiting longer would not help it.
  [[nodiscard]] bool full() const;
  void take(std::size_t writes);
  // The service has throttled: nothing is left of this second.
  void drain();
  // Whether enough is left at that time for writes that can wait.
  [[nodiscard]] bool has_headroom(Ms now) const;

 private:
  // Writes left, with what has been refilled by that time.
  [[nodiscard]] double available(Ms now) const;

  const RateShares& rates_;
  double tokens_ = 0;  // writes
  Ms refilled_at_ = 0;
};

}  // namespace scheduler
