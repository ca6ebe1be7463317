// Transactions that are sent to the state service as one.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "state/transaction.h"

namespace scheduler {

// Collects transactions that can be committed together: within the service's limits on one
// transaction, and none reading or writing a key that an earlier one writes. Guards against
// spending one request of the rate on each of many small changes.
class TransactionGroup {
 public:
  // What a transaction would add to the group.
  struct Addition {
    std::size_t writes = 0;
    std::size_t conditions = 0;  // on keys that the group has no condition on yet
    std::size_t bytes = 0;       // of the request
  };

  // `max_writes`: the service's limit on one transaction.
  explicit TransactionGroup(std::size_t max_writes) : max_writes_(max_writes) {}

  [[nodiscard]] bool empty() const { return members_.empty(); }
  [[nodiscard]] std::size_t writes() const { return writes_; }

  [[nodiscard]] Addition measure(const Transaction& transaction) const;
  // Whether the group, with the addition, stays within the limits.
  [[nodiscard]] bool has_room_for(const Addition& addition) const;
  // Whether either must be sent without others.
  [[nodiscard]] bool excludes(const Transaction& transaction) const;
  // The transaction reads or writes what the group writes: it has to come after.
  [[nodiscard]] bool depends_on_group(const Transaction& transaction) const;
  void add(Transaction transaction, const Addition& addition);

  // The members, in the order in which they were added; leaves the group empty.
  std::vector<Transaction> take_members() { return std::exchange(members_, {}); }

 private:
  std::size_t max_writes_;
  std::vector<Transaction> members_;
  std::set<std::string> written_;   // keys
  std::set<std::string> compared_;  // keys of conditions
  std::size_t writes_ = 0;
  std::size_t bytes_ = 0;
};

// The request for all of them.
std::string group_body(const std::vector<Transaction>& members);

}  // namespace scheduler
