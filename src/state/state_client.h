// Client of the state service, a key-value store replicated by consensus.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/types.h"
#include "links/request_link.h"
#include "state/barrier_reads.h"
#include "state/rate_shares.h"
#include "state/replica_feed.h"
#include "state/session_lease.h"
#include "state/state_connection.h"
#include "state/state_loader.h"
#include "state/state_log.h"
#include "state/transaction.h"
#include "state/transaction_queue.h"
#include "state/watch_stream.h"
#include "wire/state_service.h"

namespace scheduler {

// Reads and writes the stored records for one controller. Every record is read once, then a watch
// keeps the replica up to date. Reads are served from the replica; writes are transactions with
// compare-and-swap conditions. This class connects the components and calls them in order at each
// tick; the state is held by the components:
//
//   StateConnection   requests, evidence of the link
//   ReplicaFeed       revisions, versions of keys
//   StateLoader       full reads
//   WatchStream       the watch
//   SessionLease      the lease
//   BarrierReads      linearizable reads, waits for revisions
//   TransactionQueue  writes
class StateClient {
 public:
  using Send = StateConnection::Send;
  using Apply = ReplicaFeed::Apply;
  using Log = StateLog::Log;

  // `send` is called for every request, `apply` for every change of the replica in order.
  StateClient(const Settings& settings, Send send, Apply apply, Log log);
  // Not copyable: the components and the pending requests refer to this object.
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  void start(Ms now);
  void tick(Ms now);
  // Latest time at which tick() should be called again.
  Ms next_tick(Ms now) const;
  // Handles a process pause, during which no replies were processed. Replies to requests sent
  // before it are no evidence of the link: the service counts as not answering until a request sent
  // after the pause is answered.
  void on_pause(Ms now);

  // True once every record has been read and the watch has passed the newest revision of the pages.
  // Before that, the pages in the replica come from different revisions.
  bool loaded() const { return loader_.complete(); }
  bool answering(Ms now) const { return link().answering(now); }
  const links::RequestLink& link() const { return connection_.link(); }
  bool lease_valid() const { return lease_.valid(); }
  std::uint64_t lease_id() const { return lease_.id(); }

  // Version of the key that the replica holds; 0 if the key doesn't exist.
  std::uint64_t version(const std::string& key) const { return feed_.version(key); }
  // Condition that the key still has the version that the replica holds.
  wire::Compare unchanged(const std::string& key) const { return {key, version(key)}; }
  // Revision up to which the replica holds every change. Of later revisions the replica holds only
  // this controller's own writes.
  std::uint64_t applied_revision() const { return feed_.applied_revision(); }
  // Whether the replica holds every change up to the version of this key.
  bool has_applied(const std::string& key) const { return version(key) <= applied_revision(); }

  // Queues a transaction; its `done` is called exactly once.
  void submit(Transaction transaction) { transactions_.submit(std::move(transaction)); }
  std::size_t queued() const { return transactions_.size(); }
  // Number of replies that rejected a request with status 400, usually because a transaction is
  // over the service's limits (not counting expired leases), and of replies with status 429, which
  // means that the service's rate was exceeded.
  std::uint64_t rejections() const { return transactions_.rejections(); }
  std::uint64_t throttles() const { return transactions_.throttles(); }
  // Whether no transaction waits and enough of the write rate is left for background writes.
  bool has_write_headroom(Ms now) const { return transactions_.has_write_headroom(now); }
  // Sets the number of live controllers, which share the service's rates.
  void set_live_controllers(int controllers) { rates_.set_live_controllers(controllers); }

  // Barrier read: calls `done` with true once the replica holds everything written before this
  // call, or with false if it fails or at `deadline` (0: no deadline).
  void barrier_read(Ms now, Ms deadline, BarrierReads::Done done) {
    barriers_.read(now, deadline, std::move(done));
  }
  // To be called after a write that did not succeed: calls `done` once the replica holds everything
  // written before this call, including what was written instead. Retries without a limit.
  void barrier_read_with_retries(Ms now, std::function<void(Ms now)> done) {
    barriers_.read_with_retries(now, std::move(done));
  }
  // Calls `done` with true once the replica holds every change up to the revision, or with false at
  // `deadline` (0: no deadline).
  void wait_for_revision(Ms now, std::uint64_t revision, Ms deadline, BarrierReads::Done done) {
    barriers_.wait_for_revision(now, revision, deadline, std::move(done));
  }
  // Waits for the newest revision that any reply has named, which includes this controller's own
  // last write.
  void wait_until_current(Ms now, Ms deadline, BarrierReads::Done done) {
    wait_for_revision(now, feed_.newest_known_revision(), deadline, std::move(done));
  }
  // Reads one key from the service instead of the replica.
  void read(Ms now, const std::string& key, ResultHandler done);

 private:
  RateShares rates_;
  StateConnection connection_;
  ReplicaFeed feed_;
  StateLog log_;
  StateLoader loader_;
  WatchStream watch_;
  SessionLease lease_;
  BarrierReads barriers_;
  TransactionQueue transactions_;
};

}  // namespace scheduler
