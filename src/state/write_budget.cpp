#include "state/write_budget.h"

#include <algorithm>

namespace scheduler {

namespace {

// Share of the writes of one second that is reserved for urgent writes.
constexpr double kUrgentShare = 0.25;
// Share of the writes of one second that must be left before background writes are made.
constexpr double kHeadroomShare = 0.5;

}  // namespace

void WriteBudget::start(Ms now) {
  refilled_at_ = now;
  tokens_ = rates_.writes_per_s() / 2;
}

double WriteBudget::available(Ms now) const {
  return tokens_ + rates_.writes_per_s() * static_cast<double>(now - refilled_at_) / 1000.0;
}

void WriteBudget::refill(Ms now) {
  tokens_ = std::min(rates_.writes_per_s(), available(now));
  refilled_at_ = now;
}

bool WriteBudget::allows(std::size_t writes, Priority priority) const {
  const double reserved = priority == Priority::urgent ? 0.0 : rates_.writes_per_s() * kUrgentShare;
  return tokens_ - reserved >= static_cast<double>(writes);
}

bool WriteBudget::is_full() const { return tokens_ >= rates_.writes_per_s() - 1; }

void WriteBudget::spend(std::size_t writes) { tokens_ -= static_cast<double>(writes); }

void WriteBudget::drain() { tokens_ = std::min(tokens_, 0.0); }

bool WriteBudget::has_headroom(Ms now) const {
  return available(now) >= rates_.writes_per_s() * kHeadroomShare;
}

}  // namespace scheduler
