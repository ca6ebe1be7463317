#include "links/flap_damper.h"

#include <algorithm>
#include <cmath>

#include "links/constants.h"

namespace scheduler::links {

namespace {
// Penalty below which past failures are ignored: half of that of one failure.
constexpr double kNegligiblePenalty = 0.5;
}  // namespace

double FlapDamper::penalty_at(Ms now) const {
  return penalty_ * std::exp2(-static_cast<double>(now - updated_at_) / kFlapHalfLifeMs);
}

void FlapDamper::on_failure(Ms now) {
  penalty_ = penalty_at(now) + 1.0;
  updated_at_ = now;
}

Ms FlapDamper::required_stable_ms(Ms now) const {
  const double penalty = penalty_at(now);
  const double excess = penalty - free_failures_;
  if (excess < kNegligiblePenalty) return 0;
  const double stable_ms = static_cast<double>(kMinStableMs) * (std::exp2(excess) - 1.0);
  return std::min(kMaxStableMs, static_cast<Ms>(stable_ms));
}

}  // namespace scheduler::links
