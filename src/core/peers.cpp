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
  hint.state_answers = store_.loaded() && store_.answering(now) && catching_up_until_ == 0;
  for (const auto& [id, m] : machines_) {
    if (usable(now, m)) hint.free_cpus += std::max(0.0, candidate(now, m).cpus);
  }
  hint.sent_ms = static_cast<std::uint64_t>(now + wall_offset_);
  const std::string bytes = encode(hint);
  for (const auto& p : settings_.peers) out_.peers.push_back({p.name, bytes});
}

void Controller::on_peer(Ms now, std::string_view bytes) {
  detect_pause(now);
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
  if (hint.state_answers && !p.state_answers) p.answers_since = now;
  p.state_answers = hint.state_answers;
  p.epoch = hint.epoch;
}

bool Controller::superseded(Ms now) const {
  return newest_epoch_ > membership_.epoch() && !store_.answering(now);
}

}  // namespace puffinhaven::core
