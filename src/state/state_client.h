// Client of the state service, the consensus-backed key-value store.
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

// What a controller reads of the stored records and writes to them. Every record is read once, then
// a watch keeps the replica up to date; reads are served from the replica, writes are transactions
// with compare-and-swap conditions. Puts the components together and orders a tick; all state is
// theirs:
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

  // `send` is called for every request, `apply` for every change of the replica, in order.
  StateClient(const Settings& settings, Send send, Apply apply, Log log);
  // Its components and the requests under way refer to it.
  StateClient(const StateClient&) = delete;
  StateClient& operator=(const StateClient&) = delete;

  void start(Ms now);
  void tick(Ms now);
  // When tick() should be called next at the latest.
  Ms next_tick(Ms now) const;
  // Nobody looked at the time or at replies for a while. What was asked before says nothing about
  // now: the service counts as not answering until something asked from here on is answered.
  void on_pause(Ms now);

  // True once every record has been read and the watch has passed all that was read: before that,
  // the replica is a mixture of the moments at which its pages were read.
  bool loaded() const { return loader_.complete(); }
  // True while the service answers.
  bool answering(Ms now) const { return link().answering(now); }
  const links::RequestLink& link() const { return connection_.link(); }
  bool lease_valid() const { return lease_.valid(); }
  std::uint64_t lease_id() const { return lease_.id(); }

  // Version of the key that the replica holds; 0: it doesn't exist.
  std::uint64_t version(const std::string& key) const { return feed_.version(key); }
  // Condition that the key is still as the replica holds it.
  wire::Compare unchanged(const std::string& key) const { return {key, version(key)}; }
  // Revision up to which the replica holds every change. Beyond it, it holds only what this
  // controller has written itself.
  std::uint64_t applied_revision() const { return feed_.applied_revision(); }
  // The replica holds every change up to the newest of this key.
  bool has_applied(const std::string& key) const { return version(key) <= applied_revision(); }

  // Queues a transaction; its `done` is called once.
  void submit(Transaction transaction) { transactions_.submit(std::move(transaction)); }
  std::size_t queued() const { return transactions_.size(); }
  // Replies that a transaction was over the limit on sizes, or on the rate of changes.
  std::uint64_t rejections() const { return transactions_.rejections(); }
  std::uint64_t throttles() const { return transactions_.throttles(); }
  // Nothing waits and enough of the write rate is left: what can wait may be written now.
  bool has_write_headroom(Ms now) const { return transactions_.has_write_headroom(now); }
  // Live controllers share the rates.
  void set_rate_sharers(int controllers) { rates_.set_sharers(controllers); }

  // Barrier read: calls back once the replica holds everything written before this call, or with
  // false; at `deadline` (0: never) at the latest.
  void barrier_read(Ms now, Ms deadline, BarrierReads::Done done) {
    barriers_.read(now, deadline, std::move(done));
  }
  // After a write that did not succeed: calls back once the replica holds whatever was written
  // instead, however long that takes.
  void wait_until_settled(Ms now, std::function<void(Ms now)> done) {
    barriers_.read_until_passed(now, std::move(done));
  }
  // Calls back once the replica holds every change up to the revision; or, at `deadline`, with
  // false.
  void wait_for_revision(Ms now, std::uint64_t revision, Ms deadline, BarrierReads::Done done) {
    barriers_.wait_for_revision(now, revision, deadline, std::move(done));
  }
  // The same for the newest change that any reply has named, our own last write among them.
  void wait_until_current(Ms now, Ms deadline, BarrierReads::Done done) {
    wait_for_revision(now, feed_.newest_known_revision(), deadline, std::move(done));
  }
  // Reads one key from the service itself.
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
