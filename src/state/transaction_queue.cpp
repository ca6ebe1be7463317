#include "state/transaction_queue.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "wire/record_keys.h"

namespace scheduler {

namespace {

// Maximum number of groups in flight: one slow reply must not hold up all other groups.
constexpr int kMaxGroupsInFlight = 3;
// Milliseconds between ticks while transactions are queued. More frequent ticks would cost more
// processor time for waking up than for the work.
constexpr std::int64_t kBusyTickMs = 20;

void report_result(Ms now, std::vector<Transaction>& transactions, TxnResult result,
                   const std::vector<std::string>& failed_keys = {}) {
  for (auto& t : transactions) t.done(now, result, failed_keys);
}

bool has_failed_condition(const Transaction& transaction,
                          const std::vector<std::string>& failed_keys) {
  return std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                     [&](const wire::Compare& condition) {
                       return std::find(failed_keys.begin(), failed_keys.end(), condition.key) !=
                              failed_keys.end();
                     });
}

std::string over_limits_text(const TransactionGroup::Addition& size) {
  return "a transaction over the service's limits: " + std::to_string(size.writes) + " writes, " +
         std::to_string(size.conditions) + " conditions, " + std::to_string(size.bytes) + " bytes";
}

}  // namespace

void TransactionQueue::submit(Transaction transaction) {
  if (transaction.urgent) {
    auto at = std::find_if(queue_.begin(), queue_.end(), [](const auto& t) { return !t.urgent; });
    queue_.insert(at, std::move(transaction));
  } else {
    queue_.push_back(std::move(transaction));
  }
}

void TransactionQueue::tick(Ms now) {
  release_rejected(now);
  flush(now);
}

Ms TransactionQueue::next_tick(Ms now) const {
  if (queue_.empty() || in_flight_ >= kMaxGroupsInFlight) return kNever;
  return std::max({send_after_, components_.connection.throttled_until(), now + kBusyTickMs});
}

bool TransactionQueue::has_write_headroom(Ms now) const {
  return queue_.empty() && in_flight_ < kMaxGroupsInFlight && budget_.has_headroom(now);
}

// ---- forming groups ----

void TransactionQueue::flush(Ms now) {
  if (queue_.empty()) return;
  const links::Status link = components_.connection.link().status(now);
  refuse_unsendable(now, link);
  if (link == links::Status::down || !components_.loader.complete() ||
      now < components_.connection.throttled_until())
    return;

  budget_.refill(now);
  std::vector<Transaction> oversize;
  while (!queue_.empty() && in_flight_ < kMaxGroupsInFlight && now >= send_after_) {
    TransactionGroup group = form_group(oversize);
    if (group.empty()) break;
    budget_.spend(group.writes());
    send_after_ = now + components_.rates.transaction_interval();
    send(now, group.take_members());
  }
  for (auto& t : oversize) reject(now, std::move(t));
}

// Refuses at once the transactions that can't be sent: all of them while the service doesn't
// answer, otherwise those past their deadline. The submitter decides whether to retry.
void TransactionQueue::refuse_unsendable(Ms now, links::Status link) {
  std::vector<Transaction> refused;
  for (std::size_t i = 0; i < queue_.size();) {
    const Ms deadline = queue_[i].deadline;
    if (link == links::Status::down || (deadline != 0 && now >= deadline)) {
      refused.push_back(remove_from_queue(i));
    } else {
      ++i;
    }
  }
  report_result(now, refused, TxnResult::refused);
}

// Moves the transactions that can be sent together now from the queue into the returned group, and
// those that can never be sent into `oversize`.
TransactionGroup TransactionQueue::form_group(std::vector<Transaction>& oversize) {
  TransactionGroup group(static_cast<std::size_t>(std::max(1, components_.settings.txn_ops)));
  for (std::size_t i = 0; i < queue_.size();) {
    const TransactionGroup::Addition addition = group.measure(queue_[i]);
    switch (fit(group, queue_[i], addition)) {
      case Fit::joins:
        group.add(remove_from_queue(i), addition);
        break;
      case Fit::send_later:
        ++i;
        break;
      case Fit::group_full:
        return group;
      case Fit::too_large:
        // Guards against a transaction that can never be sent holding up all later ones.
        components_.log.error(over_limits_text(addition));
        oversize.push_back(remove_from_queue(i));
        break;
    }
  }
  return group;
}

TransactionQueue::Fit TransactionQueue::fit(const TransactionGroup& group,
                                            const Transaction& transaction,
                                            const TransactionGroup::Addition& addition) const {
  if (group.excludes(transaction)) return Fit::group_full;
  if (!group.has_room_for(addition)) return group.empty() ? Fit::too_large : Fit::group_full;
  // Background writes leave a part of the rate for urgent ones.
  const auto priority =
      transaction.urgent ? WriteBudget::Priority::urgent : WriteBudget::Priority::background;
  const bool affordable = budget_.allows(group.writes() + addition.writes, priority) ||
                          (group.empty() && budget_.is_full());
  if (!affordable) return Fit::group_full;
  return group.depends_on_group(transaction) ? Fit::send_later : Fit::joins;
}

Transaction TransactionQueue::remove_from_queue(std::size_t index) {
  Transaction transaction = std::move(queue_[index]);
  queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
  return transaction;
}

// ---- sending, and results ----

void TransactionQueue::send(Ms now, std::vector<Transaction> group) {
  ++in_flight_;
  std::string body = group_body(group);
  auto shared_group = std::make_shared<std::vector<Transaction>>(std::move(group));
  components_.connection.request(
      now, "POST", wire::kTransactionPath, std::move(body),
      [this, shared_group, sent_at = now](Ms at, const HttpResult& http_result) {
        on_reply(at, sent_at, std::move(*shared_group), http_result);
      });
}

void TransactionQueue::on_reply(Ms now, Ms sent_at, std::vector<Transaction> group,
                                const HttpResult& http_result) {
  --in_flight_;
  const int status = http_result.status;
  const auto revision = wire::parse_revision(http_result.body);
  const bool committed = status == 200 && revision;
  const auto& writes = group.front().writes;
  components_.log.transaction(now, sent_at, status, committed ? *revision : 0,
                              writes.empty() ? "-" : writes.front().key);
  if (committed) {
    on_committed(now, std::move(group), *revision);
  } else if (status == 409) {
    on_conflict(now, std::move(group), wire::parse_conflict(http_result.body));
  } else if (status == 429) {
    on_throttled(std::move(group));
  } else if (status == 400) {
    on_bad_request(now, std::move(group), http_result.body);
  } else {
    report_result(now, group, status == 503 ? TxnResult::refused : TxnResult::unknown);
  }
}

void TransactionQueue::on_committed(Ms now, std::vector<Transaction> group,
                                    std::uint64_t revision) {
  components_.feed.record_revision(now, revision);
  // Guards against recreating a key whose deletion the watch has already delivered: if the watch
  // has passed this revision, the reply contains nothing new.
  if (revision > components_.feed.applied_revision()) {
    for (const auto& t : group) {
      for (const auto& write : t.writes) {
        // The view is applied only by the watch, after everything written before it. Otherwise a
        // controller that the new view makes an owner could act on records older than that view.
        if (write.key != wire::kViewKey)
          components_.feed.apply(now, {write.key, write.value, revision});
      }
    }
  }
  report_result(now, group, TxnResult::committed);
  flush(now);
}

void TransactionQueue::on_conflict(Ms now, std::vector<Transaction> group,
                                   const wire::Decoded<wire::Conflict>& conflict) {
  if (!conflict) {
    report_result(now, group, TxnResult::unknown);
    return;
  }
  components_.log.conflict(conflict->failed_keys);
  std::vector<Transaction> conflicted;
  std::vector<Transaction> unaffected;
  for (auto& t : group)
    (has_failed_condition(t, conflict->failed_keys) ? conflicted : unaffected)
        .push_back(std::move(t));
  // Guards against endlessly sending the group again if the reply names no key that the group
  // compares.
  if (conflicted.empty()) conflicted.swap(unaffected);
  requeue(std::move(unaffected));
  report_result(now, conflicted, TxnResult::conflict, conflict->failed_keys);
  flush(now);
}

// The rate was exceeded by this controller or by another one that shares it.
void TransactionQueue::on_throttled(std::vector<Transaction> group) {
  ++throttles_;
  budget_.drain();
  requeue(std::move(group));
}

void TransactionQueue::on_bad_request(Ms now, std::vector<Transaction> group,
                                      const std::string& reason) {
  // A lease that has expired is no error of the transaction: the submitter writes its record again
  // with the next lease.
  if (reason.find("no such lease") != std::string::npos) {
    components_.log.info("the state service rejected a transaction: " + reason);
    components_.lease.mark_expired(now);
    report_result(now, group, TxnResult::refused);
    return;
  }
  ++rejections_;
  if (group.size() > 1) {
    // Guards against one transaction that is too large failing all others in its group: each is
    // sent alone.
    for (auto& t : group) t.exclusive = true;
    requeue(std::move(group));
    flush(now);
    return;
  }
  components_.log.error("the state service rejected a transaction: " + reason);
  for (auto& t : group) reject(now, std::move(t));
}

// Puts the transactions back at the head of the queue in their previous order.
void TransactionQueue::requeue(std::vector<Transaction> group) {
  while (!group.empty()) {
    queue_.push_front(std::move(group.back()));
    group.pop_back();
  }
}

// Reports the rejection after a delay, so that the submitter doesn't retry the transaction at once
// and endlessly. A transaction with a deadline, for which a user waits, is reported at once.
void TransactionQueue::reject(Ms now, Transaction transaction) {
  if (transaction.deadline != 0) {
    transaction.done(now, TxnResult::rejected, {});
    return;
  }
  rejected_.push_back({now + kRejectedRetryDelayMs, std::move(transaction)});
}

void TransactionQueue::release_rejected(Ms now) {
  std::vector<Transaction> due;
  while (!rejected_.empty() && now >= rejected_.front().release_at) {
    due.push_back(std::move(rejected_.front().transaction));
    rejected_.erase(rejected_.begin());
  }
  report_result(now, due, TxnResult::rejected);
}

}  // namespace scheduler
