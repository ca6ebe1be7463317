#include "links/zone_links.h"

#include <algorithm>

#include "links/constants.h"

namespace scheduler::links {

void ZoneLinks::set_expected_workers(Ms now, std::size_t workers) {
  workers_ = workers;
  if (workers == 0) {
    expected_since_ = 0;
  } else if (expected_since_ == 0) {
    expected_since_ = now;
    unanswered_rounds_ = 0;
    commands_suspected_ = false;
  }
}

void ZoneLinks::answered(Ms now) {
  last_answer_ = now;
  unanswered_rounds_ = 0;
  commands_suspected_ = false;
}

void ZoneLinks::on_pause(Ms now) {
  if (last_heartbeat_ != 0) last_heartbeat_ = now;
  if (expected_since_ != 0) expected_since_ = now;
  unanswered_rounds_ = 0;
}

Ms ZoneLinks::silent_for(Ms now) const { return now - std::max(last_heartbeat_, expected_since_); }

Ms ZoneLinks::silence_limit(std::size_t workers) const {
  const double lost_heartbeat_allowance = (kSilentWorkerIntervals - kMaxHeartbeatGapIntervals) /
                                          static_cast<double>(std::max<std::size_t>(1, workers));
  const double intervals = kMaxHeartbeatGapIntervals + lost_heartbeat_allowance;
  return static_cast<Ms>(static_cast<double>(heartbeat_interval_) * intervals) + kHeartbeatMarginMs;
}

Status ZoneLinks::heartbeats(Ms now) const {
  if (expected_since_ == 0) {
    const bool recent = last_heartbeat_ != 0 && now - last_heartbeat_ <= silence_limit(1);
    return recent ? Status::up : Status::unknown;
  }
  // Unanswered probes confirm the silence; without them the longer limit for a single worker
  // applies.
  const Ms limit = silence_limit(unanswered_rounds_ > 0 ? workers_ : 1);
  if (silent_for(now) > limit) return Status::down;
  return last_heartbeat_ != 0 ? Status::up : Status::unknown;
}

Status ZoneLinks::commands(Ms /*now*/) const {
  if (unanswered_rounds_ >= kUnansweredRoundsUntilDown) return Status::down;
  return last_answer_ != 0 ? Status::up : Status::unknown;
}

bool ZoneLinks::usable(Ms now) const {
  return heartbeats(now) != Status::down && commands(now) != Status::down;
}

bool ZoneLinks::probe_due(Ms now) const {
  if (workers_ == 0 || (last_probe_ != 0 && now - last_probe_ < kWorkerProbeIntervalMs))
    return false;
  if (commands_suspected_ || unanswered_rounds_ > 0) return true;
  const Ms earliest =
      static_cast<Ms>(static_cast<double>(heartbeat_interval_) * kProbeAfterIntervals);
  const Ms before_limit = silence_limit(workers_) - kProbeTimeoutMs - kHeartbeatMarginMs / 2;
  return silent_for(now) > std::max(earliest, before_limit);
}

}  // namespace scheduler::links
