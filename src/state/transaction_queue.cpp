#include "state/transaction_queue.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "wire/record_keys.h"

namespace scheduler {

namespace {

// Groups under way at once: one slow reply must not hold up everything.
constexpr int kGroupsInFlight = 3;
// Milliseconds between looks at the queue while something waits. Waking up costs more processor
// time than what is done then.
constexpr std::int64_t kBusyTickMs = 20;

void tell(Ms now, std::vector<Transaction>& transactions, TxnResult result,
          const std::vector<std::string>& failed_keys = {}) {
  for (auto& t : transactions) t.done(now, result, failed_keys);
}

bool has_failed(const Transaction& transaction, const std::vector<std::string>& failed_keys) {
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
  if (queue_.empty() || in_flight_ >= kGroupsInFlight) return kNever;
  return std::max({send_after_, parts_.connection.throttled_until(), now + kBusyTickMs});
}

bool TransactionQueue::has_write_headroom(Ms now) const {
  return queue_.empty() && in_flight_ < kGroupsInFlight && budget_.has_headroom(now);
}

// ---- forming groups ----

void TransactionQueue::flush(Ms now) {
  if (queue_.empty()) return;
  const links::Status link = parts_.connection.link().status(now);
  refuse_unsendable(now, link);
  if (link == links::Status::down || !parts_.loader.complete() ||
      now < parts_.connection.throttled_until())
    return;

  budget_.refill(now);
  std::vector<Transaction> oversize;
  while (!queue_.empty() && in_flight_ < kGroupsInFlight && now >= send_after_) {
    TransactionGroup group = form_group(oversize);
    if (group.empty()) break;
    budget_.take(group.writes());
    send_after_ = now + parts_.rates.between_transactions();
    send(now, group.take_members());
  }
  for (auto& t : oversize) reject(now, std::move(t));
}

// Refuses at once what can't be sent; whoever asked decides whether to come back.
void TransactionQueue::refuse_unsendable(Ms now, links::Status link) {
  std::vector<Transaction> refused;
  for (std::size_t i = 0; i < queue_.size();) {
    const Ms deadline = queue_[i].deadline;
    if (link == links::Status::down || (deadline != 0 && now >= deadline)) {
      refused.push_back(take(i));
    } else {
      ++i;
    }
  }
  tell(now, refused, TxnResult::refused);
}

// Takes from the queue what can be sent together now, and what can never be sent.
TransactionGroup TransactionQueue::form_group(std::vector<Transaction>& oversize) {
  TransactionGroup group(static_cast<std::size_t>(std::max(1, parts_.settings.txn_ops)));
  for (std::size_t i = 0; i < queue_.size();) {
    const TransactionGroup::Addition addition = group.measure(queue_[i]);
    switch (fit(group, queue_[i], addition)) {
      case Fit::joins:
        group.add(take(i), addition);
        break;
      case Fit::follows:
        ++i;
        break;
      case Fit::group_full:
        return group;
      case Fit::never:
        // Guards against one that can never be sent holding up all behind it.
        parts_.log.error(over_limits_text(addition));
        oversize.push_back(take(i));
        break;
    }
  }
  return group;
}

TransactionQueue::Fit TransactionQueue::fit(const TransactionGroup& group,
                                            const Transaction& transaction,
                                            const TransactionGroup::Addition& addition) const {
  if (group.excludes(transaction)) return Fit::group_full;
  if (!group.has_room_for(addition)) return group.empty() ? Fit::never : Fit::group_full;
  // What users wait for finds something left of the rate.
  const auto priority =
      transaction.urgent ? WriteBudget::Priority::urgent : WriteBudget::Priority::background;
  const bool affordable = budget_.allows(group.writes() + addition.writes, priority) ||
                          (group.empty() && budget_.full());
  if (!affordable) return Fit::group_full;
  return group.depends_on_group(transaction) ? Fit::follows : Fit::joins;
}

Transaction TransactionQueue::take(std::size_t index) {
  Transaction transaction = std::move(queue_[index]);
  queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
  return transaction;
}

// ---- sending, and results ----

void TransactionQueue::send(Ms now, std::vector<Transaction> group) {
  ++in_flight_;
  std::string body = group_body(group);
  auto shared = std::make_shared<std::vector<Transaction>>(std::move(group));
  parts_.connection.request(now, "POST", wire::kTransactionPath, std::move(body),
                            [this, shared, sent = now](Ms at, const HttpResult& http_result) {
                              on_reply(at, sent, std::move(*shared), http_result);
                            });
}

void TransactionQueue::on_reply(Ms now, Ms sent, std::vector<Transaction> group,
                                const HttpResult& http_result) {
  --in_flight_;
  const int status = http_result.status;
  const auto revision = wire::parse_revision(http_result.body);
  const bool committed = status == 200 && revision;
  const auto& writes = group.front().writes;
  parts_.log.transaction(now, sent, status, committed ? *revision : 0,
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
    tell(now, group, status == 503 ? TxnResult::refused : TxnResult::unknown);
  }
}

void TransactionQueue::on_committed(Ms now, std::vector<Transaction> group,
                                    std::uint64_t revision) {
  parts_.feed.learn_revision(now, revision);
  // Guards against bringing back what the watch has meanwhile seen deleted: a reply that comes
  // after the watch has passed its revision tells nothing new.
  if (revision > parts_.feed.applied_revision()) {
    for (const auto& t : group) {
      for (const auto& write : t.writes) {
        // The view comes by the watch alone, after everything written before it. Guards against
        // acting as an owner on records from before the view that made us one.
        if (write.key != wire::kViewKey) parts_.feed.apply(now, {write.key, write.value, revision});
      }
    }
  }
  tell(now, group, TxnResult::committed);
  flush(now);
}

void TransactionQueue::on_conflict(Ms now, std::vector<Transaction> group,
                                   const wire::Decoded<wire::Conflict>& conflict) {
  if (!conflict) {
    tell(now, group, TxnResult::unknown);
    return;
  }
  parts_.log.conflict(conflict->failed_keys);
  std::vector<Transaction> conflicted;
  std::vector<Transaction> innocent;
  for (auto& t : group)
    (has_failed(t, conflict->failed_keys) ? conflicted : innocent).push_back(std::move(t));
  // Guards against sending the same group for ever when the reply names no key that it compares.
  if (conflicted.empty()) conflicted.swap(innocent);
  requeue(std::move(innocent));
  tell(now, conflicted, TxnResult::conflict, conflict->failed_keys);
  flush(now);
}

// The rate was exceeded, by us or by others that share it.
void TransactionQueue::on_throttled(std::vector<Transaction> group) {
  ++throttles_;
  budget_.drain();
  requeue(std::move(group));
}

void TransactionQueue::on_bad_request(Ms now, std::vector<Transaction> group,
                                      const std::string& reason) {
  // A lease that has ended meanwhile is no fault: the next one carries the record.
  if (reason.find("no such lease") != std::string::npos) {
    parts_.log.info("the state service rejected a transaction: " + reason);
    parts_.lease.lose(now);
    tell(now, group, TxnResult::refused);
    return;
  }
  ++rejections_;
  if (group.size() > 1) {
    // Guards against one that is too large making all that were sent with it fail.
    for (auto& t : group) t.exclusive = true;
    requeue(std::move(group));
    flush(now);
    return;
  }
  parts_.log.error("the state service rejected a transaction: " + reason);
  for (auto& t : group) reject(now, std::move(t));
}

// To the head of the queue, in the order in which they were.
void TransactionQueue::requeue(std::vector<Transaction> group) {
  while (!group.empty()) {
    queue_.push_front(std::move(group.back()));
    group.pop_back();
  }
}

// Guards against asking for the same again at once and for ever: whoever asked hears of it after a
// pause, unless a user waits.
void TransactionQueue::reject(Ms now, Transaction transaction) {
  if (transaction.deadline != 0) {
    transaction.done(now, TxnResult::rejected, {});
    return;
  }
  rejected_.push_back({now + kRejectedPauseMs, std::move(transaction)});
}

void TransactionQueue::release_rejected(Ms now) {
  std::vector<Transaction> due;
  while (!rejected_.empty() && now >= rejected_.front().release_at) {
    due.push_back(std::move(rejected_.front().transaction));
    rejected_.erase(rejected_.begin());
  }
  tell(now, due, TxnResult::rejected);
}

}  // namespace scheduler
