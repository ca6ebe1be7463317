#include "membership/controller_status.h"

namespace scheduler {

namespace {

// Milliseconds without any input after which the process counts as having been paused: twenty times
// the interval between ticks of an idle controller (100 ms). A busy processor delays an input by
// less than a second.
constexpr Ms kPauseThresholdMs = 2000;
// Milliseconds after a detected pause within which the state service must report what has changed.
// After that the service counts as unreachable, and the controller renews its workers' leases as in
// an outage.
constexpr Ms kResynchroniseTimeoutMs = 1500;

}  // namespace

void ControllerStatus::start(Ms now, Ms wall) {
  set_wall_clock(now, wall);
  last_input_at_ = now;
}

bool ControllerStatus::ready() const {
  return context_.state_client.loaded() && context_.cluster_view.has_view() && context_.is_member();
}

bool ControllerStatus::deposed(Ms now) const {
  return newest_epoch_seen_ > context_.cluster_view.epoch() &&
         !context_.state_client.answering(now);
}

std::optional<Ms> ControllerStatus::observe_input(Ms now) {
  const Ms gap = now - last_input_at_;
  last_input_at_ = std::max(last_input_at_, now);
  if (gap > kPauseThresholdMs && context_.state_client.loaded()) return gap;
  return std::nullopt;
}

std::uint64_t ControllerStatus::begin_resynchronising(Ms now) {
  resynchronising_until_ = now + kResynchroniseTimeoutMs;
  return ++pauses_;
}

}  // namespace scheduler
