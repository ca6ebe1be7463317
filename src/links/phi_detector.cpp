#include "links/phi_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace scheduler::links {

PhiDetector::PhiDetector(Ms expected_interval)
    : expected_interval_(static_cast<double>(expected_interval)) {
  // The expected interval fills the window until real intervals replace it.
  intervals_.fill(expected_interval_);
  const auto n = static_cast<double>(kIntervalWindow);
  sum_ = n * expected_interval_;
  sum_of_squares_ = n * expected_interval_ * expected_interval_;
}

void PhiDetector::on_message(Ms now) {
  const Ms previous = std::exchange(last_message_at_, std::max(now, last_message_at_));
  if (previous == 0) return;
  const auto interval = static_cast<double>(last_message_at_ - previous);
  if (interval > kOutlierIntervalFactor * expected_interval_) return;
  double& oldest = intervals_.at(interval_count_++ % kIntervalWindow);
  sum_ += interval - oldest;
  sum_of_squares_ += interval * interval - oldest * oldest;
  oldest = interval;
}

void PhiDetector::on_pause(Ms now) {
  if (last_message_at_ != 0) last_message_at_ = now;
}

double PhiDetector::mean() const { return sum_ / static_cast<double>(kIntervalWindow); }

double PhiDetector::std_dev() const {
  const double average = mean();
  const double variance =
      sum_of_squares_ / static_cast<double>(kIntervalWindow) - average * average;
  return std::max(kMinStdDevMs, std::sqrt(std::max(0.0, variance)));
}

double PhiDetector::suspicion(Ms now) const {
  if (last_message_at_ == 0) return 0;
  const double y = (static_cast<double>(now - last_message_at_) - mean()) / std_dev();
  // A logistic function that is within 0.02% of the normal distribution (Bowling et al., 2009).
  constexpr double kCubic = 0.070566;
  constexpr double kLinear = 1.5976;
  const double exponent = y * (kLinear + kCubic * y * y);
  // log10 of 1 + e^x, without overflow for large x.
  const double log_of_sum =
      exponent > 0 ? exponent + std::log1p(std::exp(-exponent)) : std::log1p(std::exp(exponent));
  return log_of_sum / std::log(10.0);
}

Status PhiDetector::status(Ms now) const {
  if (last_message_at_ == 0) return Status::unknown;
  return suspicion(now) < kSuspicionThreshold ? Status::up : Status::down;
}

}  // namespace scheduler::links
