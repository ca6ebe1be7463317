// Standing still: the processor was taken from us, or the whole machine stopped, while clocks ran
// on. Guards against taking our own absence for the silence of others, and what we knew before for
// what is: a lease we did not renew may have been renewed by who took our place, a view may be long
// over, answers that waited for us are as old as our absence.
#include <algorithm>

#include "controller/controller.h"

namespace scheduler {

namespace {

// Milliseconds without any input or look at the time after which a controller takes itself for
// having stood still: twenty looks of kIdleLookMs; a busy processor delays them by less than a
// second.
constexpr std::int64_t kPauseMs = 2000;
// Milliseconds after that within which the state service is to say what has changed meanwhile; then
// it counts as out of reach, and the controller renews its workers' leases as in an outage.
constexpr std::int64_t kResynchroniseMs = 1500;

}  // namespace

void Controller::detect_pause(Ms now) {
  const Ms gap = now - last_input_at_;
  last_input_at_ = std::max(last_input_at_, now);
  if (gap > kPauseMs && state_client_.loaded()) on_pause(now, gap);
}

void Controller::on_pause(Ms now, Ms gap) {
  log(LogLevel::info, "stood still for " + std::to_string(gap) + " ms");
  ++pauses_;
  resynchronising_until_ = now + kResynchroniseMs;
  state_client_.on_pause(now);
  membership_manager_.on_pause();
  links_.on_pause(now);
  next_reachability_check_ = std::max(next_reachability_check_, now + unresponsive_after());
  for (auto& [id, m] : machines_) {
    m.last_contact = m.last_heartbeat = now;
    m.lease_granted_at = now;
    m.lease_known = false;
    if (m.unreachable_since != 0) m.unreachable_since = now;
  }
  fleet_.on_pause(now, gap);
  wait_until_resynchronised(now, pauses_);
}

// Everything written while we were away is known once a read asked for after it has been passed.
void Controller::wait_until_resynchronised(Ms now, std::uint64_t resume) {
  state_client_.barrier_read(now, 0, [this, resume](Ms at, bool ok) {
    if (resume != pauses_) return;
    if (!ok) {
      wait_until_resynchronised(at, resume);
      return;
    }
    resynchronising_until_ = 0;
    dirty_ = true;
  });
}

}  // namespace scheduler
