// Cancellations that a peer has told this controller of while it can't read the records itself.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "membership/context.h"
#include "workers/machine_table.h"

namespace scheduler {

// Such jobs' tasks are stopped; what that proves is recorded once this controller can write again.
// Nothing is ever started on a peer's word.
class GossipedCancellations {
 public:
  GossipedCancellations(const Context& context, MachineTable& machines)
      : context_(context), machines_(machines) {}

  // A peer has read that these jobs are cancelled.
  void apply(Ms now, const std::vector<std::string>& jobs);
  // Cancelled by the records, or by a peer's word.
  [[nodiscard]] bool is_cancelled(const std::string& id, const Job& job) const {
    return job.record.cancelled || jobs_.contains(id);
  }

 private:
  const Context& context_;
  MachineTable& machines_;
  std::set<std::string> jobs_;
};

}  // namespace scheduler
