#include "state/barrier_reads.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "state/session_lease.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Never written: asking for it tells the current revision.
constexpr std::string_view kBarrierKey = "barrier";

// Takes out of the list what `due` selects, in order.
template <typename Item, typename Due>
std::vector<Item> extract_if(std::vector<Item>& list, const Due& due) {
  std::vector<Item> out;
  for (std::size_t i = 0; i < list.size();) {
    if (due(list[i])) {
      out.push_back(std::move(list[i]));
      list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  return out;
}

}  // namespace

void BarrierReads::read(Ms now, Ms deadline, Done done) {
  queued_.push_back({deadline, std::move(done)});
  if (loader_.pages_read() && may_send(now)) send(now);
}

void BarrierReads::read_until_passed(Ms now, std::function<void(Ms)> done) {
  read(now, 0, [this, done = std::move(done)](Ms at, bool passed) {
    if (passed) {
      done(at);
      return;
    }
    read_until_passed(at, done);
  });
}

void BarrierReads::wait_for_revision(Ms now, std::uint64_t revision, Ms deadline, Done done) {
  waiting_.push_back({revision, {deadline, std::move(done)}});
  release(now);
}

void BarrierReads::send_due(Ms now) {
  const links::RequestLink& link = connection_.link();
  const Ms quiet = now - link.last_word();
  const bool probe = quiet > (link.answering(now) ? kLeaseRenewalMs : kStateProbeMs);
  if ((probe || !queued_.empty()) && may_send(now)) send(now);
}

void BarrierReads::send(Ms now) {
  in_flight_ = true;
  send_after_ = now + rates_.between_barrier_reads();
  auto batch = std::make_shared<std::vector<Waiter>>(std::exchange(queued_, {}));
  connection_.request(now, "GET", wire::item_path(kBarrierKey), "",
                      [this, batch, sent = now, pauses = connection_.pauses()](
                          Ms at, const HttpResult& http_result) {
                        on_reply(at, sent, pauses, std::move(*batch), http_result);
                      });
}

void BarrierReads::on_reply(Ms now, Ms sent, std::uint64_t pauses, std::vector<Waiter> batch,
                            const HttpResult& http_result) {
  in_flight_ = false;
  const auto revision = wire::parse_revision(http_result.body);
  if (pauses != connection_.pauses() || http_result.status != 404 || !revision) {
    for (auto& waiter : batch) waiter.done(now, false);
    return;
  }
  feed_.learn_revision(now, *revision);
  log_.read(now, sent, "barrier", *revision, batch.size());
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
  const auto late = [now](const Waiter& w) { return w.deadline != 0 && now >= w.deadline; };
  auto unsent = extract_if(queued_, late);
  auto behind = extract_if(waiting_, [&late](const RevisionWait& w) { return late(w.waiter); });
  for (auto& waiter : unsent) waiter.done(now, false);
  for (auto& wait : behind) wait.waiter.done(now, false);
}

void BarrierReads::on_pause(Ms now) {
  send_after_ = now;
  auto unsent = std::exchange(queued_, {});
  auto behind = std::exchange(waiting_, {});
  for (auto& waiter : unsent) waiter.done(now, false);
  for (auto& wait : behind) wait.waiter.done(now, false);
}

Ms BarrierReads::next_tick(Ms now) const {
  return queued_.empty() || in_flight_ ? kNever : std::max(send_after_, now);
}

}  // namespace scheduler
