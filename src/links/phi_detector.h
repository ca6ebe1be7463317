// A failure detector for messages that come at intervals, after Hayashibara, Défago, Yared and
// Katayama, "The phi accrual failure detector" (2004).
#pragma once

#include <array>
#include <cstddef>

#include "links/constants.h"
#include "links/types.h"

namespace scheduler::links {

// Tells how unlikely the present silence is, given the intervals so far.
class PhiDetector {
 public:
  explicit PhiDetector(Ms expected_interval);

  void heard(Ms now);
  // This process was paused: silence counts from now on.
  void on_pause(Ms now);
  // Minus the decimal logarithm of the probability that a message still comes; 0 if none ever came.
  [[nodiscard]] double suspicion(Ms now) const;
  [[nodiscard]] Status status(Ms now) const;
  [[nodiscard]] Ms last_heard() const { return last_heard_; }

 private:
  [[nodiscard]] double mean() const;
  [[nodiscard]] double spread() const;

  double expected_;
  std::array<double, kIntervals> intervals_{};
  std::size_t count_ = 0;  // of all intervals so far; the newest ones are kept
  double sum_ = 0, sum_of_squares_ = 0;
  Ms last_heard_ = 0;  // 0: never
};

}  // namespace scheduler::links
