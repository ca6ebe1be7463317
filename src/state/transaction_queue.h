// The transactions on their way to the state service.
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

// Sends transactions in the order of their submission, urgent ones first, in groups, within the
// rates. Owns those that wait, the number under way, and those that the service has rejected. Each
// transaction is told its result exactly once. Of a group that had a conflict, only the members
// whose conditions failed are told so; the others are sent again.
class TransactionQueue {
 public:
  // What the queue reads, and what its results act on.
  struct Parts {
    const Settings& settings;
    const RateShares& rates;
    StateConnection& connection;
    ReplicaFeed& feed;
    const StateLoader& loader;
    SessionLease& lease;
    const StateLog& log;
  };

  explicit TransactionQueue(const Parts& parts) : parts_(parts), budget_(parts.rates) {}

  void start(Ms now) { budget_.start(now); }
  // Queues it; it is sent at a later tick.
  void submit(Transaction transaction);
  // Sends what may be sent, and tells the results that are due.
  void tick(Ms now);
  // When the next group may be sent; kNever if none waits for that.
  [[nodiscard]] Ms next_tick(Ms now) const;

  [[nodiscard]] std::size_t size() const { return queue_.size(); }
  // Nothing waits and enough of the write rate is left: what can wait may be written now.
  [[nodiscard]] bool has_write_headroom(Ms now) const;
  // Replies that a transaction was over the limit on sizes, or on the rate of changes.
  [[nodiscard]] std::uint64_t rejections() const { return rejections_; }
  [[nodiscard]] std::uint64_t throttles() const { return throttles_; }

 private:
  // Whether a transaction can be sent with the group that is being formed.
  enum class Fit : std::uint8_t {
    joins,
    follows,     // depends on the group; others may still join
    group_full,  // nor may any behind it
    never        // over the service's limits even by itself
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
  Transaction take(std::size_t index);

  void send(Ms now, std::vector<Transaction> group);
  void on_reply(Ms now, Ms sent, std::vector<Transaction> group, const HttpResult& http_result);
  void on_committed(Ms now, std::vector<Transaction> group, std::uint64_t revision);
  void on_conflict(Ms now, std::vector<Transaction> group,
                   const wire::Decoded<wire::Conflict>& conflict);
  void on_throttled(std::vector<Transaction> group);
  void on_bad_request(Ms now, std::vector<Transaction> group, const std::string& reason);
  void requeue(std::vector<Transaction> group);
  void reject(Ms now, Transaction transaction);
  void release_rejected(Ms now);

  Parts parts_;
  WriteBudget budget_;
  std::deque<Transaction> queue_;
  int in_flight_ = 0;  // groups
  Ms send_after_ = 0;
  std::vector<Rejected> rejected_;  // in the order of release_at
  std::uint64_t rejections_ = 0, throttles_ = 0;
};

}  // namespace scheduler
