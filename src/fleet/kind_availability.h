// Which kinds of machines the cloud has refused lately.
#pragma once

#include <map>

#include "base/types.h"
#include "fleet/machine_kind.h"

namespace scheduler {

// Milliseconds for which a kind of machine is not requested again after the cloud refused it.
constexpr std::int64_t kRefusedKindRetryDelayMs = 15'000;
// Longest time in milliseconds for which a kind counts as used up after the last refusal.
constexpr std::int64_t kMaxUsedUpMs = 240'000;

// The cloud doesn't publish its capacity; only refusals show that it has none left of a kind. A
// refused kind may be requested again after a fixed time, so that new capacity is found soon. It
// counts as used up for longer, twice as long with each further refusal, so that other kinds are
// used meanwhile.
class KindAvailability {
 public:
  // The cloud had no machines of this kind, or fewer than requested.
  void on_refused(Ms now, const MachineKind& kind);
  // The cloud had all machines that were requested.
  void on_filled(const MachineKind& kind) { refusals_.erase(kind); }

  [[nodiscard]] bool may_request(Ms now, const MachineKind& kind) const;
  [[nodiscard]] bool is_used_up(Ms now, const MachineKind& kind) const;

 private:
  struct Refusal {
    Ms retry_at = 0;       // when the kind may be requested again
    Ms used_up_until = 0;  // when it counts as available again
    Ms used_up_ms = 0;     // for how long it counted as used up after the last refusal
  };

  std::map<MachineKind, Refusal> refusals_;
};

}  // namespace scheduler
