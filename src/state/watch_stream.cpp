#include "state/watch_stream.h"

#include <algorithm>

#include "wire/state_service.h"

namespace scheduler {

namespace {

// Milliseconds for which the service keeps a watch open.
constexpr std::int64_t kWatchDurationMs = 10000;
// Milliseconds after the end of kWatchDurationMs after which a watch counts as lost.
constexpr std::int64_t kWatchGraceMs = 2500;
// Milliseconds for which the watch may lag behind a revision named by another reply before the
// watch is reopened; the usual lag is a few tens of milliseconds.
constexpr std::int64_t kMaxWatchLagMs = 800;

}  // namespace

// Guards against a watch whose reply was lost: it should have delivered revisions that other
// replies name.
bool WatchStream::is_lost(Ms now) const {
  return open_ && (feed_.is_behind_longer_than(now, kMaxWatchLagMs) ||
                   now - opened_at_ > kWatchDurationMs + kWatchGraceMs);
}

void WatchStream::tick(Ms now) {
  if (is_lost(now)) {
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
  connection_.long_poll(wire::watch_path(feed_.applied_revision(), kWatchDurationMs),
                        kWatchDurationMs + kWatchGraceMs,
                        [this, generation, pause_count = connection_.pause_count()](
                            Ms at, const HttpResult& http_result) {
                          on_reply(at, generation, pause_count, http_result);
                        });
}

void WatchStream::on_reply(Ms now, std::uint64_t generation, std::uint64_t pause_count,
                           const HttpResult& http_result) {
  if (generation != generation_) return;
  open_ = false;
  open_after_ = std::max(now, opened_at_ + rates_.watch_interval());
  // The watch fell behind during a long interruption of the link: the service no longer keeps all
  // changes since the applied revision (status 410), or they exceed the maximum reply size. Read
  // all records again instead of endlessly requesting a reply that only grows.
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
  if (pause_count == connection_.pause_count()) connection_.answered(now);
  for (const auto& item : events->items) feed_.apply(now, item);
  feed_.advance_to(events->revision);
  log_.read(now, opened_at_, "watch", events->revision, events->items.size());
  events_.on_applied(now);
  if (now >= open_after_) open(now);
}

}  // namespace scheduler
