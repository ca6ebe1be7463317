#include "membership/membership_manager.h"

#include <algorithm>
#include <utility>

#include "state/state_client.h"

namespace scheduler {

namespace {

// Milliseconds for which a member's session lease must have been missing before another member
// removes it from the view.
constexpr std::int64_t kMemberRemovalDelayMs = 400;
// Additional milliseconds for each live controller that precedes this one in the order of names, so
// that usually only one controller writes the removal.
constexpr std::int64_t kMemberRemovalStaggerMs = 300;

}  // namespace

MembershipManager::MembershipManager(const Context& context, links::Monitor& links,
                                     std::function<void(Ms now)> on_joined)
    : context_(context), links_(links), on_joined_(std::move(on_joined)) {}

void MembershipManager::tick(Ms now) {
  const bool member = context_.is_member();
  if (std::exchange(was_member_, member) && !member) links_.on_removed_from_view(now);
  if (!member) {
    join(now);
    return;
  }
  links_.on_joined_view();
  acknowledge(now);
  remove_expired_members(now);
}

bool MembershipManager::another_member_is_live() const {
  const auto& records = context_.replica.live();
  const auto& live = context_.replica.view().live;
  return std::any_of(live.begin(), live.end(), [&](const auto& member) {
    const auto record = records.find(member.first);
    return member.first != context_.settings.name && record != records.end() &&
           record->second.incarnation == member.second;
  });
}

std::string MembershipManager::live_key() const {
  return std::string(wire::kLivePrefix) + context_.settings.name;
}

wire::Write MembershipManager::live_record(std::uint64_t epoch) const {
  wire::LiveRecord live;
  live.incarnation = context_.incarnation;
  live.epoch = epoch;
  live.format = context_.settings.record_format;
  return {live_key(), encode(live), context_.state_client.lease_id()};
}

void MembershipManager::join(Ms now) {
  StateClient& state_client = context_.state_client;
  if (joining_ || !state_client.lease_valid() || !state_client.answering(now) || now < join_after_)
    return;
  // Guards against a view that changes each time an unstable link fails and recovers.
  if (!links_.may_join(now, another_member_is_live()).allowed) return;
  joining_ = true;
  const std::string& name = context_.settings.name;
  wire::ViewRecord next_view = context_.replica.view();
  ++next_view.epoch;
  // Only one process at a time runs under this controller's name, so the previous incarnation has
  // ended.
  next_view.live[name] = context_.incarnation;
  next_view.departing.erase(name);
  next_view.unreachable.erase(name);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), state_client.unchanged(live_key())};
  transaction.writes = {{std::string(wire::kViewKey), encode(next_view), std::nullopt},
                        live_record(next_view.epoch)};
  transaction.urgent = true;
  transaction.done = [this](Ms at, TxnResult result, const auto&) {
    join_after_ = at + kStateProbeMs / 4;
    if (result == TxnResult::committed) {
      joining_ = false;
      on_joined_(at);
      return;
    }
    context_.state_client.barrier_read_with_retries(at, [this](Ms) { joining_ = false; });
  };
  state_client.submit(std::move(transaction));
}

// Writes this controller's live record, which shows the other controllers that it acts on the
// current view and no longer answers workers that the view assigned to another controller. The
// record is attached to the session lease, so it must be written again after the lease has expired.
void MembershipManager::acknowledge(Ms now) {
  StateClient& state_client = context_.state_client;
  if (acknowledging_ || !state_client.lease_valid() || !state_client.answering(now)) return;
  const auto& records = context_.replica.live();
  const auto own = records.find(context_.settings.name);
  if (own != records.end() && own->second.incarnation == context_.incarnation &&
      own->second.epoch == context_.cluster_view.epoch())
    return;
  acknowledging_ = true;
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), state_client.unchanged(live_key())};
  transaction.writes = {live_record(context_.cluster_view.epoch())};
  transaction.done = [this](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      acknowledging_ = false;
      return;
    }
    context_.state_client.barrier_read_with_retries(at, [this](Ms) { acknowledging_ = false; });
  };
  state_client.submit(std::move(transaction));
}

Ms MembershipManager::removal_delay() const {
  Ms delay = kMemberRemovalDelayMs;
  for (const auto& name : context_.cluster_view.live()) {
    if (name == context_.settings.name) break;
    delay += kMemberRemovalStaggerMs;
  }
  return delay;
}

void MembershipManager::remove_expired_members(Ms now) {
  if (!context_.can_write(now) || removing_) return;
  const auto& records = context_.replica.live();
  for (const auto& [name, incarnation] : context_.replica.view().live) {
    const auto record = records.find(name);
    const bool holds_lease = record != records.end() && record->second.incarnation == incarnation;
    if (holds_lease || name == context_.settings.name) {
      lease_missing_since_.erase(name);
      continue;
    }
    const auto [since, added] = lease_missing_since_.emplace(name, now);
    if (now - since->second < removal_delay()) continue;
    remove(name, incarnation);
    return;
  }
}

void MembershipManager::remove(const std::string& name, const std::string& incarnation) {
  wire::ViewRecord next_view = context_.replica.view();
  ++next_view.epoch;
  next_view.live.erase(name);
  next_view.unreachable.erase(name);
  // The removed controller may still be running and answering workers; it stays listed as departing
  // until it joins again.
  next_view.departing[name] = incarnation;
  context_.log(LogLevel::info, "removing " + name + " from the view");
  removing_ = true;
  lease_missing_since_.erase(name);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged()};
  transaction.writes = {{std::string(wire::kViewKey), encode(next_view), std::nullopt}};
  transaction.urgent = true;
  transaction.done = [this](Ms at, TxnResult, const auto&) {
    context_.state_client.barrier_read_with_retries(at, [this](Ms) { removing_ = false; });
  };
  context_.state_client.submit(std::move(transaction));
}

}  // namespace scheduler
