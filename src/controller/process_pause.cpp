// Standing still: the processor was taken from us, or the whole machine stopped, while clocks ran
// on. Guards against taking our own absence for the silence of others, and what we knew before for
// what is: a lease we did not renew may have been renewed by who took our place, a view may be long
// over, answers that waited for us are as old as our absence.
#include <algorithm>

#include "base/constants.h"
#include "controller/controller.h"

namespace scheduler {

namespace k = constants;

void Controller::detect_pause(Ms now) {
  const Ms gap = now - last_input_at_;
  last_input_at_ = std::max(last_input_at_, now);
  if (gap > k::kPauseMs && store_.loaded()) on_pause(now, gap);
}

void Controller::on_pause(Ms now, Ms gap) {
  log(LogLevel::info, "stood still for " + std::to_string(gap) + " ms");
  ++pauses_;
  catching_up_until_ = now + k::kCatchUpMs;
  store_.on_pause(now);
  view_member_.on_pause();
  links_.on_pause(now);
  reachable_at_ = std::max(reachable_at_, now + silent_after());
  for (auto& [id, m] : machines_) {
    m.heard_at = m.reported_at = now;
    m.lease_from = now;
    m.lease_known = false;
    if (m.unreached_since != 0) m.unreached_since = now;
  }
  fleet_.on_pause(now, gap);
  caught_up(now, pauses_);
}

// Everything written while we were away is known once a read asked for after it has been passed.
void Controller::caught_up(Ms now, std::uint64_t wake) {
  store_.barrier(now, 0, [this, wake](Ms at, bool ok) {
    if (wake != pauses_) return;
    if (!ok) {
      caught_up(at, wake);
      return;
    }
    catching_up_until_ = 0;
    dirty_ = true;
  });
}

}  // namespace scheduler
