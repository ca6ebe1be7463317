// Barrier reads, and waits for a revision.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/types.h"
#include "state/rate_shares.h"
#include "state/replica_feed.h"
#include "state/state_connection.h"
#include "state/state_loader.h"
#include "state/state_log.h"

namespace scheduler {

// A barrier read asks the service for its current revision and waits until the replica holds every
// change up to it: what is then read from the replica is linearizable with what was written before
// the barrier read began. Reads that are asked for meanwhile share one request. Owns those that are
// still to be sent and those that wait for the watch. While nothing else is asked, the same request
// probes the link.
class BarrierReads {
 public:
  using Done = std::function<void(Ms now, bool passed)>;

  BarrierReads(const RateShares& rates, StateConnection& connection, ReplicaFeed& feed,
               const StateLoader& loader, const StateLog& log)
      : rates_(rates), connection_(connection), feed_(feed), loader_(loader), log_(log) {}

  // Calls back once the replica holds everything written before this call, or with false: at the
  // deadline (0: none), when the request fails, and after a process pause.
  void read(Ms now, Ms deadline, Done done);
  // The same without failing: tries again for as long as it takes.
  void read_until_passed(Ms now, std::function<void(Ms now)> done);
  // Calls back once the replica holds every change up to the revision, or with false: at the
  // deadline (0: none), and after a process pause.
  void wait_for_revision(Ms now, std::uint64_t revision, Ms deadline, Done done);

  // Sends what is due, or a probe.
  void send_due(Ms now);
  // Calls back with false where the deadline has passed.
  void expire(Ms now);
  // Calls back where the replica has come far enough.
  void release(Ms now);
  // Guards against taking a revision from before a process pause for a current one: fails all.
  void on_pause(Ms now);
  // When the next request may be sent; kNever if none waits for that.
  [[nodiscard]] Ms next_tick(Ms now) const;

 private:
  struct Waiter {
    Ms deadline = 0;  // 0: none
    Done done;
  };
  struct RevisionWait {
    std::uint64_t revision = 0;
    Waiter waiter;
  };

  [[nodiscard]] bool may_send(Ms now) const { return !in_flight_ && now >= send_after_; }
  void send(Ms now);
  void on_reply(Ms now, Ms sent, std::uint64_t pauses, std::vector<Waiter> batch,
                const HttpResult& http_result);

  const RateShares& rates_;
  StateConnection& connection_;
  ReplicaFeed& feed_;
  const StateLoader& loader_;
  const StateLog& log_;

  std::vector<Waiter> queued_;         // to be sent
  std::vector<RevisionWait> waiting_;  // the revision is known; waiting for the watch
  bool in_flight_ = false;
  Ms send_after_ = 0;
};

}  // namespace scheduler
