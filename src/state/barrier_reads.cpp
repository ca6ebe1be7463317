#include "state/barrier_reads.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "state/session_lease.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// This key is never written. Reading it returns the current revision of the service.
constexpr std::string_view kBarrierKey = "barrier";

// Removes the items that `predicate` selects from the list and returns them in order.
template <typename Item, typename Predicate>
std::vector<Item> extract_if(std::vector<Item>& list, const Predicate& predicate) {
  std::vector<Item> extracted;
  for (std::size_t i = 0; i < list.size();) {
    if (predicate(list[i])) {
      extracted.push_back(std::move(list[i]));
      list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  return extracted;
}

}  // namespace

void BarrierReads::read(Ms now, Ms deadline, Done done) {
  queued_.push_back({deadline, std::move(done)});
  if (loader_.pages_read() && may_send(now)) send(now);
}

void BarrierReads::read_with_retries(Ms now, std::function<void(Ms)> done) {
  read(now, 0, [this, done = std::move(done)](Ms at, bool succeeded) {
    if (succeeded) {
      done(at);
      return;
    }
    read_with_retries(at, done);
  });
}

void BarrierReads::wait_for_revision(Ms now, std::uint64_t revision, Ms deadline, Done done) {
  waiting_.push_back({revision, {deadline, std::move(done)}});
  release(now);
}

void BarrierReads::send_due(Ms now) {
  const links::RequestLink& link = connection_.link();
  const Ms idle_ms = now - link.last_event_at();
  const bool probe = idle_ms > (link.answering(now) ? kLeaseRenewalMs : kStateProbeMs);
  if ((probe || !queued_.empty()) && may_send(now)) send(now);
}

void BarrierReads::send(Ms now) {
  in_flight_ = true;
  send_after_ = now + rates_.barrier_read_interval();
  auto batch = std::make_shared<std::vector<Waiter>>(std::exchange(queued_, {}));
  connection_.request(now, "GET", wire::item_path(kBarrierKey), "",
                      [this, batch, sent_at = now, pause_count = connection_.pause_count()](
                          Ms at, const HttpResult& http_result) {
                        on_reply(at, sent_at, pause_count, std::move(*batch), http_result);
                      });
}

void BarrierReads::on_reply(Ms now, Ms sent_at, std::uint64_t pause_count,
                            std::vector<Waiter> batch, const HttpResult& http_result) {
  in_flight_ = false;
  const auto revision = wire::parse_revision(http_result.body);
  if (pause_count != connection_.pause_count() || http_result.status != 404 || !revision) {
    for (auto& waiter : batch) waiter.done(now, false);
    return;
  }
  feed_.record_revision(now, *revision);
  log_.read(now, sent_at, "barrier", *revision, batch.size());
  for (auto& waiter : batch) waiting_.push_back({*revision, std::move(waiter)});
  release(now);
}

void BarrierReads::release(Ms now) {
  if (!loader_.complete()) return;
  const std::uint64_t applied = feed_.applied_revision();
  auto ready =
      extract_if(waiting_, [applied](const RevisionWait& w) { return w.revision <= applied; });
  for (auto& wait : ready) wait.waiter.done(now, true);
}

void BarrierReads::expire(Ms now) {
  const auto has_expired = [now](const Waiter& w) { return w.deadline != 0 && now >= w.deadline; };
  auto unsent = extract_if(queued_, has_expired);
  auto unreached =
      extract_if(waiting_, [&has_expired](const RevisionWait& w) { return has_expired(w.waiter); });
  for (auto& waiter : unsent) waiter.done(now, false);
  for (auto& wait : unreached) wait.waiter.done(now, false);
}

void BarrierReads::on_pause(Ms now) {
  send_after_ = now;
  auto unsent = std::exchange(queued_, {});
  auto unreached = std::exchange(waiting_, {});
  for (auto& waiter : unsent) waiter.done(now, false);
  for (auto& wait : unreached) wait.waiter.done(now, false);
}

Ms BarrierReads::next_tick(Ms now) const {
  return queued_.empty() || in_flight_ ? kNever : std::max(send_after_, now);
}

}  // namespace scheduler
