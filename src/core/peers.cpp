// Hints between controllers. Nothing here may decide anything that the rules depend on.
#include <algorithm>

#include "core/constants.h"
#include "core/controller.h"

namespace puffinhaven::core {

namespace k = constants;

void Controller::tell_peers(Ms now) {
  if (now < peers_at_) return;
  peers_at_ = now + k::kHintEveryMs;
  wire::PeerHint hint;
  hint.from = settings_.name;
  hint.incarnation = incarnation_;
  hint.epoch = std::max(membership_.epoch(), newest_epoch_);
  hint.state_answers = store_.loaded() && store_.answering(now) && waking_until_ == 0;
  for (const auto& [id, m] : machines_) {
    if (usable(now, m)) hint.free_cpus += std::max(0.0, candidate(now, m).cpus);
  }
  hint.cancelled = cancel_told_;
  hint.sent_ms = static_cast<std::uint64_t>(now + wall_offset_);
  const std::string bytes = encode(hint);
  for (const auto& p : settings_.peers) out_.peers.push_back({p.name, bytes});
}

void Controller::on_peer(Ms now, std::string_view bytes) {
  look(now);
  wire::PeerHint hint;
  if (!decode(bytes, hint)) {
    log(LogLevel::info, "unreadable hint from a peer");
    return;
  }
  const bool known = std::any_of(settings_.peers.begin(), settings_.peers.end(),
                                 [&](const auto& p) { return p.name == hint.from; });
  if (!known) return;
  // Whatever its age, that a view exists stays true; the rest is of its moment. Guards against a
  // copy that comes late and passes for a peer's word.
  newest_epoch_ = std::max(newest_epoch_, hint.epoch);
  if (now + wall_offset_ - static_cast<Ms>(hint.sent_ms) > 2 * k::kStateSilentMs) return;
  PeerState& p = peers_[hint.from];
  p.heard_at = now;
  if (p.incarnation != hint.incarnation) {
    p.incarnation = hint.incarnation;
    p.since = now;
    p.told_nothing_until = 0;
  }
  if (!hint.state_answers && hint.cancelled <= store_.watched_revision()) {
    const Ms sent = static_cast<Ms>(hint.sent_ms) - wall_offset_ - k::kClocksApartMs;
    p.told_nothing_until = std::max(p.told_nothing_until, std::min(now, sent));
  }
  if (hint.state_answers && !p.state_answers) p.answers_since = now;
  p.state_answers = hint.state_answers;
  p.epoch = hint.epoch;
}

// Guards against tasks of a cancelled job that run on because a controller cut off with their
// machines keeps renewing leases: a cancellation that we cannot know of was told at the earliest
// right after what we know, and the tasks must be gone in time by their leases. In an outage that
// all share nobody can cancel: that counts as known as long as every peer says that it lacks the
// service too and has told nobody of a cancellation that we have not seen.
bool Controller::may_renew(Ms now) const {
  const Ms most = std::max<Ms>(
      0, to_ms(settings_.cancel_s - settings_.lease_s * (1 + k::kClockDrift)) - k::kRenewMarginMs);
  if (now - store_.known_until() <= most) return true;
  if (settings_.peers.empty()) return true;
  return std::all_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& peer) {
    auto p = peers_.find(peer.name);
    return p != peers_.end() && p->second.since <= store_.known_until() &&
           now - p->second.told_nothing_until <= most;
  });
}

bool Controller::superseded(Ms now) const {
  return newest_epoch_ > membership_.epoch() && !store_.answering(now);
}

}  // namespace puffinhaven::core
