// Gives up this controller's shard when its links to all of its machines are down but those of
// another controller are not. Reclaims the shard once the links have been up for long enough.
#pragma once

#include <pcg_random.hpp>

#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "workers/worker_links.h"

namespace scheduler {

// Adds this controller to the set of unreachable controllers in the view record and removes it
// again.
class ShardReachability {
 public:
  ShardReachability(const Context& context, const ControllerStatus& status, links::Monitor& links,
                    WorkerLinks& worker_links, pcg32& random)
      : context_(context),
        status_(status),
        links_(links),
        worker_links_(worker_links),
        probe_random_(random) {}

  void tick(Ms now);
  // After a pause of this process, delays decisions until machines have had time to send
  // heartbeats.
  void on_pause(Ms now, Ms unresponsive_after) {
    next_check_ = std::max(next_check_, now + unresponsive_after);
  }

 private:
  // Probes machines that could belong to this shard, preferably in this controller's own zone, and
  // reclaims the shard if they answer.
  void reclaim_shard(Ms now);
  void set_unreachable(bool unreachable);

  const Context& context_;
  const ControllerStatus& status_;
  links::Monitor& links_;
  WorkerLinks& worker_links_;
  pcg32& probe_random_;
  bool write_in_flight_ = false;
  Ms next_check_ = 0;
};

}  // namespace scheduler
