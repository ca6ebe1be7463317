#include "workers/gossiped_cancellations.h"

namespace scheduler {

namespace {

// Maximum number of jobs stopped because of gossip; further cancellations are ignored.
constexpr std::size_t kMaxGossipedCancellations = 1000;

}  // namespace

void GossipedCancellations::apply(Ms now, const std::vector<std::string>& jobs) {
  if (context_.state_client.answering(now)) return;
  for (const auto& id : jobs) {
    const Job* job = context_.replica.job(id);
    if (!job || job->record.cancelled || cancelled_jobs_.size() >= kMaxGossipedCancellations)
      continue;
    if (!cancelled_jobs_.insert(id).second) continue;
    context_.log(LogLevel::info, "stopping " + id + ": a peer has read that it is cancelled");
    for (const auto& [number, range] : job->ranges) {
      for (const auto& [task, placement] : range.placed) {
        const auto machine = machines_.find(placement.machine);
        if (machine != machines_.end()) machine->second.resend_commands = true;
      }
    }
  }
}

}  // namespace scheduler
