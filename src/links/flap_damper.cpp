#include "links/flap_damper.h"

#include <algorithm>
#include <cmath>

#include "links/constants.h"

namespace scheduler::links {

namespace {
// Below half a failure a link is as good as one that never failed.
constexpr double kForgottenPenalty = 0.5;
}  // namespace

double FlapDamper::penalty_at(Ms now) const {
  return penalty_ * std::exp2(-static_cast<double>(now - counted_at_) / kFlapHalfLifeMs);
}

void FlapDamper::failed(Ms now) {
  penalty_ = penalty_at(now) + 1.0;
  counted_at_ = now;
}

Ms FlapDamper::steady_ms(Ms now) const {
  const double penalty = penalty_at(now);
  const double counted = penalty - free_failures_;
  if (counted < kForgottenPenalty) return 0;
  const double steady = static_cast<double>(kSteadyMs) * (std::exp2(counted) - 1.0);
  return std::min(kSteadyMostMs, static_cast<Ms>(steady));
}

}  // namespace scheduler::links
