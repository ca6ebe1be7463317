// A change of stored records that is applied atomically.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/state_service.h"

namespace scheduler {

// Milliseconds before a refused write is retried. An outage of the service either ends within a
// moment, so that a short delay suffices, or lasts long.
constexpr std::int64_t kRefusedRetryDelayMs = 250;
// Milliseconds before a rejection for size is reported to the submitter, and before a change that
// is too large is retried. A retry can only succeed once the change has become smaller.
constexpr std::int64_t kRejectedRetryDelayMs = 5000;

enum class TxnResult : std::uint8_t {
  committed,
  conflict,  // a condition failed; nothing was written
  refused,   // not executed; may be retried
  rejected,  // over the service's limits; can't succeed unchanged
  unknown    // no reply: executed, still to be executed, or lost
};

// Writes that are applied together, and only if every compare-and-swap condition holds.
struct Transaction {
  std::vector<wire::Compare> conditions;
  std::vector<wire::Write> writes;
  // Called exactly once. `failed`: after a conflict, the keys of all conditions that failed in the
  // request, including those of other transactions sent with this one.
  std::function<void(Ms now, TxnResult, const std::vector<std::string>& failed)> done;
  bool urgent = false;     // a user waits for the result
  Ms deadline = 0;         // 0: no deadline; after it the transaction is refused instead of sent
  bool exclusive = false;  // must be sent alone, since a request that contained it was rejected
};

}  // namespace scheduler
