// Linearizable reads of the replica (barrier reads), and waits for a revision.
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

// A barrier read requests the current revision from the state service and waits until the replica
// holds every change up to that revision. Reading the replica afterwards is linearizable: it
// returns everything written before the barrier read began. All barrier reads that are queued when
// a request is sent share that request. Owns the queued reads and the reads that wait for the
// watch. If no request to the service has succeeded or failed for kLeaseRenewalMs (kStateProbeMs
// while the service doesn't answer), a barrier request is sent as a probe of the link.
class BarrierReads {
 public:
  using Done = std::function<void(Ms now, bool succeeded)>;

  BarrierReads(const RateShares& rates, StateConnection& connection, ReplicaFeed& feed,
               const StateLoader& loader, const StateLog& log)
      : rates_(rates), connection_(connection), feed_(feed), loader_(loader), log_(log) {}

  // Calls `done` with true once the replica holds everything written before this call. Calls it
  // with false at the deadline (0: no deadline), if the request fails, and after a process pause.
  void read(Ms now, Ms deadline, Done done);
  // Starts a barrier read and repeats it until one succeeds, then calls `done`. Has no deadline.
  void read_with_retries(Ms now, std::function<void(Ms now)> done);
  // Calls `done` with true once the replica holds every change up to the revision. Calls it with
  // false at the deadline (0: no deadline) and after a process pause.
  void wait_for_revision(Ms now, std::uint64_t revision, Ms deadline, Done done);

  // Sends a request if reads are queued or a probe of the link is due.
  void send_due(Ms now);
  // Calls `done` with false for every read whose deadline has passed.
  void expire(Ms now);
  // Calls `done` with true for every read whose revision the replica has reached.
  void release(Ms now);
  // Fails all queued and waiting reads. Guards against treating a revision received before a
  // process pause as the current one.
  void on_pause(Ms now);
  // Time at which the next request may be sent; kNever if no read is queued or a request is in
  // flight.
  [[nodiscard]] Ms next_tick(Ms now) const;

 private:
  struct Waiter {
    Ms deadline = 0;  // 0: no deadline
    Done done;
  };
  struct RevisionWait {
    std::uint64_t revision = 0;
    Waiter waiter;
  };

  [[nodiscard]] bool may_send(Ms now) const { return !in_flight_ && now >= send_after_; }
  void send(Ms now);
  void on_reply(Ms now, Ms sent_at, std::uint64_t pause_count, std::vector<Waiter> batch,
                const HttpResult& http_result);

  const RateShares& rates_;
  StateConnection& connection_;
  ReplicaFeed& feed_;
  const StateLoader& loader_;
  const StateLog& log_;

  std::vector<Waiter> queued_;         // not yet sent
  std::vector<RevisionWait> waiting_;  // revision received; waiting for the watch to reach it
  bool in_flight_ = false;
  Ms send_after_ = 0;
};

}  // namespace scheduler
