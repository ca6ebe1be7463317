// Messages that controllers tell one another at intervals. Nothing here may decide anything that
// the rules depend on.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "scheduling/candidate_cache.h"
#include "wire/peer.h"
#include "workers/gossiped_cancellations.h"
#include "workers/machine_table.h"

namespace scheduler {

// Milliseconds between gossip messages to the other controllers.
constexpr std::int64_t kGossipIntervalMs = 500;

class Gossip {
 public:
  using Send = std::function<void(const std::string& peer, const std::string& bytes)>;

  Gossip(const Context& context, ControllerStatus& status, links::Monitor& links,
         const MachineTable& machines, const CandidateCache& candidates,
         GossipedCancellations& cancellations, Send send)
      : context_(context),
        status_(status),
        links_(links),
        machines_(machines),
        candidate_cache_(candidates),
        cancellations_(cancellations),
        send_(std::move(send)) {}

  // Tells the peers, if it is time.
  void tick(Ms now);
  void on_message(Ms now, const wire::GossipMessage& message);
  // The job's records have changed: remembers it if it is cancelled now.
  void remember_cancellation(Ms now, const std::string& id);

 private:
  wire::GossipMessage make_message(Ms now);
  // Cancelled jobs are named only while some controller can't read of them.
  std::vector<std::string> recent_cancellations(Ms now);
  void log_link_changes(const wire::LinkRow& row);

  const Context& context_;
  ControllerStatus& status_;
  links::Monitor& links_;
  const MachineTable& machines_;
  const CandidateCache& candidate_cache_;
  GossipedCancellations& cancellations_;
  Send send_;
  Ms next_gossip_ = 0;
  wire::LinkRow last_sent_row_;             // our own links, as last told
  std::map<std::string, Ms> cancelled_at_;  // jobs, by when we read of it
};

}  // namespace scheduler
