// Cancellations received from peers by gossip while this controller can't read the records itself.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "membership/context.h"
#include "workers/machine_table.h"

namespace scheduler {

// Stops the tasks of these jobs. Proof that they ended is recorded once this controller can write
// again. Gossip never causes a task to be started.
class GossipedCancellations {
 public:
  GossipedCancellations(const Context& context, MachineTable& machines)
      : context_(context), machines_(machines) {}

  // Handles a peer's message that, by the records it has read, these jobs are cancelled.
  void apply(Ms now, const std::vector<std::string>& jobs);
  // Whether the job is cancelled according to the records or to a peer.
  [[nodiscard]] bool is_cancelled(const std::string& id, const Job& job) const {
    return job.record.cancelled || cancelled_jobs_.contains(id);
  }

 private:
  const Context& context_;
  MachineTable& machines_;
  std::set<std::string> cancelled_jobs_;
};

}  // namespace scheduler
