// Queue of the transactions to be sent to the state service.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/types.h"
#include "state/rate_shares.h"
#include "state/replica_feed.h"
#include "state/session_lease.h"
#include "state/state_connection.h"
#include "state/state_loader.h"
#include "state/state_log.h"
#include "state/transaction.h"
#include "state/transaction_group.h"
#include "state/write_budget.h"

namespace scheduler {

// Sends transactions in the order of submission, urgent ones first, in groups and within the rates.
// Owns the waiting transactions, the number of groups in flight, and the transactions that the
// service has rejected. Each transaction's `done` is called exactly once. If a group has a
// conflict, only the members whose conditions failed receive the conflict; the others are sent
// again.
class TransactionQueue {
 public:
  // The components that the queue reads from and that its results act on.
  struct Components {
    const Settings& settings;
    const RateShares& rates;
    StateConnection& connection;
    ReplicaFeed& feed;
    const StateLoader& loader;
    SessionLease& lease;
    const StateLog& log;
  };

  explicit TransactionQueue(const Components& components)
      : components_(components), budget_(components.rates) {}

  void start(Ms now) { budget_.start(now); }
  // Queues the transaction; a later tick sends it.
  void submit(Transaction transaction);
  // Sends the transactions that may be sent now and reports the results that are due.
  void tick(Ms now);
  // Time at which the next group may be sent; kNever if no transaction waits or the maximum number
  // of groups is in flight.
  [[nodiscard]] Ms next_tick(Ms now) const;

  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  // Whether no transaction waits and enough of the write rate is left for background writes.
  [[nodiscard]] bool has_write_headroom(Ms now) const;
  // Number of replies that rejected a request with status 400, usually because a transaction is
  // over the service's limits (not counting expired leases), and of replies with status 429, which
  // means that the service's rate was exceeded.
  [[nodiscard]] std::uint64_t rejections() const { return rejections_; }
  [[nodiscard]] std::uint64_t throttles() const { return throttles_; }

 private:
  // Whether a transaction can be sent with the group that is being formed.
  enum class Fit : std::uint8_t {
    joins,
    send_later,  // depends on the group and is sent later; later transactions may still join
    group_full,  // does not fit, and no later transaction may join either
    too_large    // over the service's limits even alone
  };
  struct Rejected {
    Ms release_at = 0;
    Transaction transaction;
  };

  void flush(Ms now);
  void refuse_unsendable(Ms now, links::Status link);
  TransactionGroup form_group(std::vector<Transaction>& oversize);
  [[nodiscard]] Fit fit(const TransactionGroup& group, const Transaction& transaction,
                        const TransactionGroup::Addition& addition) const;
  Transaction remove_from_queue(std::size_t index);

  void send(Ms now, std::vector<Transaction> group);
  void on_reply(Ms now, Ms sent_at, std::vector<Transaction> group, const HttpResult& http_result);
  void on_committed(Ms now, std::vector<Transaction> group, std::uint64_t revision);
  void on_conflict(Ms now, std::vector<Transaction> group,
                   const wire::Decoded<wire::Conflict>& conflict);
  void on_throttled(std::vector<Transaction> group);
  void on_bad_request(Ms now, std::vector<Transaction> group, const std::string& reason);
  void requeue(std::vector<Transaction> group);
  void reject(Ms now, Transaction transaction);
  void release_rejected(Ms now);

  Components components_;
  WriteBudget budget_;
  std::deque<Transaction> queue_;
  int in_flight_ = 0;  // number of groups in flight
  Ms send_after_ = 0;
  std::vector<Rejected> rejected_;  // in the order of release_at
  std::uint64_t rejections_ = 0, throttles_ = 0;
};

}  // namespace scheduler
