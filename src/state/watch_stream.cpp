#include "state/watch_stream.h"

#include <algorithm>

#include "wire/state_service.h"

namespace scheduler {

namespace {

// Milliseconds that a watch is left open by the service.
constexpr std::int64_t kWatchMs = 10000;
// Milliseconds beyond that after which a watch counts as lost.
constexpr std::int64_t kWatchGraceMs = 2500;
// Milliseconds for which the watch may be behind what other replies name before it is reopened;
// it usually takes a few tens.
constexpr std::int64_t kWatchBehindMs = 800;

}  // namespace

// Guards against a watch whose reply was lost: other replies name revisions that it should have
// brought long ago.
bool WatchStream::lost(Ms now) const {
  return open_ &&
         (feed_.behind_for(now, kWatchBehindMs) || now - opened_at_ > kWatchMs + kWatchGraceMs);
}

void WatchStream::tick(Ms now) {
  if (lost(now)) {
    ++generation_;
    open_ = false;
    feed_.restart_behind_timer(now);
  }
  if (!open_ && now >= open_after_) open(now);
}

Ms WatchStream::next_tick(Ms now) const { return open_ ? kNever : std::max(open_after_, now); }

void WatchStream::open(Ms now) {
  open_ = true;
  opened_at_ = now;
  const std::uint64_t generation = ++generation_;
  connection_.long_poll(
      wire::watch_path(feed_.applied_revision(), kWatchMs), kWatchMs + kWatchGraceMs,
      [this, generation, pauses = connection_.pauses()](Ms at, const HttpResult& http_result) {
        on_reply(at, generation, pauses, http_result);
      });
}

void WatchStream::on_reply(Ms now, std::uint64_t generation, std::uint64_t pauses,
                           const HttpResult& http_result) {
  if (generation != generation_) return;
  open_ = false;
  open_after_ = std::max(now, opened_at_ + rates_.between_watches());
  // Guards against asking for ever for a reply that is longer each time, after a long cut.
  if (http_result.status == 410 || http_result.status == kReplyTooLarge) {
    log_.info("watch fell behind; reading the state again");
    events_.on_fell_behind(now);
    return;
  }
  const auto events = wire::parse_events(http_result.body);
  if (http_result.status != 200 || !events) {
    open_after_ = now + kStateProbeMs;
    return;
  }
  if (pauses == connection_.pauses()) connection_.answered(now);
  for (const auto& item : events->items) feed_.apply(now, item);
  feed_.advance(events->revision);
  log_.read(now, opened_at_, "watch", events->revision, events->items.size());
  events_.on_applied(now);
  if (now >= open_after_) open(now);
}

}  // namespace scheduler
