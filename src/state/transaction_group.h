// Transactions that are sent to the state service in one request.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "state/transaction.h"

namespace scheduler {

// Collects transactions that can be committed in one request: together they are within the
// service's limits on a transaction, and none reads or writes a key that an earlier one writes.
// Guards against spending a request of the limited rate on each of many small changes.
class TransactionGroup {
 public:
  // The size that a transaction would add to the group.
  struct Addition {
    std::size_t writes = 0;
    std::size_t conditions = 0;  // on keys without a condition in the group
    std::size_t bytes = 0;       // size in the request body
  };

  // `max_writes`: the service's limit on the writes of one transaction.
  explicit TransactionGroup(std::size_t max_writes) : max_writes_(max_writes) {}

  [[nodiscard]] bool empty() const { return members_.empty(); }
  [[nodiscard]] std::size_t writes() const { return writes_; }

  [[nodiscard]] Addition measure(const Transaction& transaction) const;
  // Whether the group stays within the limits with the addition.
  [[nodiscard]] bool has_room_for(const Addition& addition) const;
  // Whether the group or the transaction must be sent alone.
  [[nodiscard]] bool excludes(const Transaction& transaction) const;
  // Whether the transaction compares or writes a key that the group writes, so that it must be sent
  // later.
  [[nodiscard]] bool depends_on_group(const Transaction& transaction) const;
  void add(Transaction transaction, const Addition& addition);

  // Returns the members in the order in which they were added and empties the group.
  std::vector<Transaction> take_members() { return std::exchange(members_, {}); }

 private:
  std::size_t max_writes_;
  std::vector<Transaction> members_;
  std::set<std::string> written_keys_;   // keys that the group writes
  std::set<std::string> compared_keys_;  // keys with a condition
  std::size_t writes_ = 0;
  std::size_t bytes_ = 0;
};

// Body of the request that contains all members.
std::string group_body(const std::vector<Transaction>& members);

}  // namespace scheduler
