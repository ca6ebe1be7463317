// Failure detector for messages at regular intervals, after Hayashibara, Défago, Yared and
// Katayama, "The phi accrual failure detector" (2004).
#pragma once

#include <array>
#include <cstddef>

#include "links/constants.h"
#include "links/types.h"

namespace scheduler::links {

// Computes how unlikely the time since the last message is, given the previous intervals.
class PhiDetector {
 public:
  explicit PhiDetector(Ms expected_interval);

  void on_message(Ms now);
  // Restarts the silence timer after a pause of this process.
  void on_pause(Ms now);
  // Negative decimal logarithm of the probability that a message still arrives; 0 before the first
  // message.
  [[nodiscard]] double suspicion(Ms now) const;
  [[nodiscard]] Status status(Ms now) const;
  [[nodiscard]] Ms last_message_at() const { return last_message_at_; }

 private:
  [[nodiscard]] double mean() const;
  [[nodiscard]] double std_dev() const;

  double expected_interval_;
  std::array<double, kIntervalWindow> intervals_{};
  std::size_t interval_count_ = 0;  // intervals seen so far; only the newest are kept
  double sum_ = 0, sum_of_squares_ = 0;
  Ms last_message_at_ = 0;  // 0: never
};

}  // namespace scheduler::links
