// Messages that controllers send to each other at a fixed interval. Gossip may be lost or outdated,
// so the correctness of placements, leases and cancellations must not depend on it.
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

  // Sends a gossip message to every peer if the interval has passed.
  void tick(Ms now);
  void on_message(Ms now, const wire::GossipMessage& message);
  // Called when the records of the job have changed. Remembers the job if it is cancelled.
  void remember_cancellation(Ms now, const std::string& id);

 private:
  wire::GossipMessage make_message(Ms now);
  // The cancelled jobs to name in the next message. Empty unless some controller can't reach the
  // state service and thus can't read the cancellations from the records.
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
  wire::LinkRow last_sent_row_;             // this controller's row of the previous message
  std::map<std::string, Ms> cancelled_at_;  // by job: when this controller read the cancellation
};

}  // namespace scheduler
