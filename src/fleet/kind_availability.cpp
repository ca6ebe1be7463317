#include "fleet/kind_availability.h"

#include <algorithm>

namespace scheduler {

void KindAvailability::on_refused(Ms now, const MachineKind& kind) {
  Refusal& refusal = refusals_[kind];
  // Several requests for a kind may be under way; their refusals count as one.
  const bool counted = now < refusal.retry_at;
  refusal.retry_at = now + kRefusedKindRetryDelayMs;
  if (counted) return;
  refusal.used_up_ms = std::clamp(2 * refusal.used_up_ms, kRefusedKindRetryDelayMs, kMaxUsedUpMs);
  refusal.used_up_until = now + refusal.used_up_ms;
}

bool KindAvailability::may_request(Ms now, const MachineKind& kind) const {
  const auto refusal = refusals_.find(kind);
  return refusal == refusals_.end() || now >= refusal->second.retry_at;
}

bool KindAvailability::is_used_up(Ms now, const MachineKind& kind) const {
  const auto refusal = refusals_.find(kind);
  return refusal != refusals_.end() && now < refusal->second.used_up_until;
}

}  // namespace scheduler
