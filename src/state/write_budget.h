// Token bucket that limits the rate of writes.
#pragma once

#include "state/rate_shares.h"

namespace scheduler {

// Holds up to the writes of one second. Guards against the service throttling transactions, and
// against background writes using up the rate that urgent writes need.
class WriteBudget {
 public:
  enum class Priority : std::uint8_t {
    background,  // leaves a share of the bucket for urgent writes
    urgent       // may use the whole bucket
  };

  explicit WriteBudget(const RateShares& rates) : rates_(rates) {}

  // Starts with a half full bucket.
  void start(Ms now);
  void refill(Ms now);
  // Whether this number of writes may be sent now.
  [[nodiscard]] bool allows(std::size_t writes, Priority priority) const;
  // Whether the bucket is full to within one write. A transaction with more writes than the bucket
  // holds may then be sent too, since waiting longer would not help.
  [[nodiscard]] bool is_full() const;
  void spend(std::size_t writes);
  // Empties the bucket after the service has throttled a transaction.
  void drain();
  // Whether enough is left at `now` for background writes.
  [[nodiscard]] bool has_headroom(Ms now) const;

 private:
  // Writes left at `now`, including those refilled since the last refill().
  [[nodiscard]] double available(Ms now) const;

  const RateShares& rates_;
  double tokens_ = 0;  // writes
  Ms refilled_at_ = 0;
};

}  // namespace scheduler
