// A change of stored records that is made as a whole or not at all.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/state_service.h"

namespace scheduler {

// Milliseconds before a refused write is tried again: an outage is over in a moment or lasts long.
constexpr std::int64_t kRefusedRetryMs = 250;
// Milliseconds before a change that the service has rejected for its size is tried again: it can
// only succeed once something has shrunk.
constexpr std::int64_t kRejectedPauseMs = 5000;

enum class TxnResult : std::uint8_t {
  committed,
  conflict,  // a condition failed; nothing was written
  refused,   // not executed
  rejected,  // over the service's limits: never executed as it is
  unknown    // no reply: executed, or still to be executed, or lost
};

// Writes that take effect together, and only if every compare-and-swap condition holds.
struct Transaction {
  std::vector<wire::Compare> conditions;
  std::vector<wire::Write> writes;
  // Called once. `failed`: keys of the conditions that failed, after a conflict; among them may be
  // keys of other transactions.
  std::function<void(Ms now, TxnResult, const std::vector<std::string>& failed)> done;
  bool urgent = false;     // users wait for it
  Ms deadline = 0;         // 0: never; afterwards it is refused instead of sent
  bool exclusive = false;  // not sent together with others, one of which the service has rejected
};

}  // namespace scheduler
