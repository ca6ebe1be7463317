#include "state/transaction_group.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {

// Upper bound on the bytes of field names and numbers in a condition or a write, besides its key
// and value.
constexpr std::size_t kConditionOverheadBytes = 40;
constexpr std::size_t kWriteOverheadBytes = 60;

}  // namespace

TransactionGroup::Addition TransactionGroup::measure(const Transaction& transaction) const {
  Addition addition;
  addition.writes = transaction.writes.size();
  for (const auto& condition : transaction.conditions) {
    // A condition that several transactions share, most often the one on the view, is sent once.
    if (compared_keys_.contains(condition.key)) continue;
    ++addition.conditions;
    addition.bytes += condition.key.size() + kConditionOverheadBytes;
  }
  for (const auto& write : transaction.writes)
    addition.bytes +=
        write.key.size() + kWriteOverheadBytes + (write.value ? write.value->size() : 0);
  return addition;
}

bool TransactionGroup::has_room_for(const Addition& addition) const {
  return writes_ + addition.writes <= max_writes_ &&
         compared_keys_.size() + addition.conditions <= max_writes_ * wire::kConditionsPerWrite &&
         bytes_ + addition.bytes <= wire::kMaxTransactionBytes;
}

bool TransactionGroup::excludes(const Transaction& transaction) const {
  return !empty() && (transaction.exclusive || members_.front().exclusive);
}

bool TransactionGroup::depends_on_group(const Transaction& transaction) const {
  const auto is_written = [this](const auto& entry) { return written_keys_.contains(entry.key); };
  return std::any_of(transaction.conditions.begin(), transaction.conditions.end(), is_written) ||
         std::any_of(transaction.writes.begin(), transaction.writes.end(), is_written);
}

void TransactionGroup::add(Transaction transaction, const Addition& addition) {
  for (const auto& write : transaction.writes) written_keys_.insert(write.key);
  for (const auto& condition : transaction.conditions) compared_keys_.insert(condition.key);
  writes_ += addition.writes;
  bytes_ += addition.bytes;
  members_.push_back(std::move(transaction));
}

std::string group_body(const std::vector<Transaction>& members) {
  std::vector<wire::Compare> conditions;
  std::vector<wire::Write> writes;
  std::set<std::string> compared;
  for (const auto& member : members) {
    for (const auto& condition : member.conditions) {
      // Two conditions on one key with different versions make the whole group fail. Send both, so
      // that the conflict reply shows which members must fail.
      if (compared.insert(condition.key + "#" + std::to_string(condition.version)).second)
        conditions.push_back(condition);
    }
    writes.insert(writes.end(), member.writes.begin(), member.writes.end());
  }
  return wire::transaction_body(conditions, writes);
}

}  // namespace scheduler
