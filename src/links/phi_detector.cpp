#include "links/phi_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace scheduler::links {

PhiDetector::PhiDetector(Ms expected_interval) : expected_(static_cast<double>(expected_interval)) {
  // Until enough intervals have been seen the expected one stands for them.
  intervals_.fill(expected_);
  const auto n = static_cast<double>(kIntervals);
  sum_ = n * expected_;
  sum_of_squares_ = n * expected_ * expected_;
}

void PhiDetector::heard(Ms now) {
  const Ms before = std::exchange(last_heard_, std::max(now, last_heard_));
  if (before == 0) return;
  const auto interval = static_cast<double>(last_heard_ - before);
  if (interval > kLongestInterval * expected_) return;
  double& oldest = intervals_.at(count_++ % kIntervals);
  sum_ += interval - oldest;
  sum_of_squares_ += interval * interval - oldest * oldest;
  oldest = interval;
}

void PhiDetector::on_pause(Ms now) {
  if (last_heard_ != 0) last_heard_ = now;
}

double PhiDetector::mean() const { return sum_ / static_cast<double>(kIntervals); }

double PhiDetector::spread() const {
  const double average = mean();
  const double variance = sum_of_squares_ / static_cast<double>(kIntervals) - average * average;
  return std::max(kLeastSpreadMs, std::sqrt(std::max(0.0, variance)));
}

double PhiDetector::suspicion(Ms now) const {
  if (last_heard_ == 0) return 0;
  const double y = (static_cast<double>(now - last_heard_) - mean()) / spread();
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
  if (last_heard_ == 0) return Status::unknown;
  return suspicion(now) < kSuspicion ? Status::up : Status::down;
}

}  // namespace scheduler::links
