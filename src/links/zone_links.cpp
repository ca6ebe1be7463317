#include "links/zone_links.h"

#include <algorithm>

#include "links/constants.h"

namespace scheduler::links {

void ZoneLinks::expect(Ms now, std::size_t workers) {
  workers_ = workers;
  if (workers == 0) {
    expected_since_ = 0;
  } else if (expected_since_ == 0) {
    expected_since_ = now;
    unanswered_rounds_ = 0;
    suspected_ = false;
  }
}

void ZoneLinks::answered(Ms now) {
  last_answer_ = now;
  unanswered_rounds_ = 0;
  suspected_ = false;
}

void ZoneLinks::on_pause(Ms now) {
  if (last_heartbeat_ != 0) last_heartbeat_ = now;
  if (expected_since_ != 0) expected_since_ = now;
  unanswered_rounds_ = 0;
}

Ms ZoneLinks::silent_for(Ms now) const { return now - std::max(last_heartbeat_, expected_since_); }

Ms ZoneLinks::silence_limit(std::size_t workers) const {
  const double several = (kSilentHeartbeats - kLongestHeartbeatGap) /
                         static_cast<double>(std::max<std::size_t>(1, workers));
  const double intervals = kLongestHeartbeatGap + several;
  return static_cast<Ms>(static_cast<double>(heartbeat_interval_) * intervals) + kHeartbeatMarginMs;
}

Status ZoneLinks::reports(Ms now) const {
  if (expected_since_ == 0) {
    const bool lately = last_heartbeat_ != 0 && now - last_heartbeat_ <= silence_limit(1);
    return lately ? Status::up : Status::unknown;
  }
  // That nobody answers a probe either confirms the silence; without that it gets the longer time.
  const Ms limit = silence_limit(unanswered_rounds_ > 0 ? workers_ : 1);
  if (silent_for(now) > limit) return Status::down;
  return last_heartbeat_ != 0 ? Status::up : Status::unknown;
}

Status ZoneLinks::commands(Ms /*now*/) const {
  if (unanswered_rounds_ >= kRoundsUntilDown) return Status::down;
  return last_answer_ != 0 ? Status::up : Status::unknown;
}

bool ZoneLinks::usable(Ms now) const {
  return reports(now) != Status::down && commands(now) != Status::down;
}

bool ZoneLinks::probe_due(Ms now) const {
  if (workers_ == 0 || (probed_at_ != 0 && now - probed_at_ < kWorkerProbeMs)) return false;
  if (suspected_ || unanswered_rounds_ > 0) return true;
  const Ms earliest =
      static_cast<Ms>(static_cast<double>(heartbeat_interval_) * kSuspectHeartbeats);
  const Ms before_limit = silence_limit(workers_) - kProbeTimeoutMs - kHeartbeatMarginMs / 2;
  return silent_for(now) > std::max(earliest, before_limit);
}

}  // namespace scheduler::links
