// Link to a service that answers requests: the state service or the cloud.
#pragma once

#include <algorithm>

#include "links/constants.h"
#include "links/types.h"

namespace scheduler::links {

// Stores the time of the newest reply, refusal and failure. A refusal (503) is no usable reply, but
// shows that the service is reachable, which distinguishes an outage of the service from a broken
// link.
class RequestLink {
 public:
  void answered(Ms now) { last_answer_ = now; }
  void refused(Ms now) { last_failure_ = last_refusal_ = now; }
  void unanswered(Ms now) { last_failure_ = now; }
  // After a pause of this process, earlier replies prove nothing. The next probe is due
  // `probe_after` milliseconds after the last failure, which is set so that a probe is sent at
  // once.
  void on_pause(Ms now, Ms probe_after) {
    last_answer_ = last_refusal_ = 0;
    last_failure_ = std::max<Ms>(1, now - probe_after - 1);
  }

  // Whether the latest event was a reply, within kServiceSilentMs.
  [[nodiscard]] bool answering(Ms now) const {
    return last_answer_ > 0 && last_answer_ >= last_failure_ &&
           now - last_answer_ < kServiceSilentMs;
  }
  // Whether neither replies nor refusals arrive.
  [[nodiscard]] bool silent(Ms now) const {
    return now - std::max(last_answer_, last_refusal_) >= kServiceSilentMs;
  }
  [[nodiscard]] Status status(Ms now) const {
    if (last_answer_ == 0 && last_failure_ == 0) return Status::unknown;
    return answering(now) ? Status::up : Status::down;
  }
  [[nodiscard]] Ms last_answer() const { return last_answer_; }
  [[nodiscard]] Ms last_event_at() const { return std::max(last_answer_, last_failure_); }

 private:
  Ms last_answer_ = 0;   // reply other than a refusal; 0: never
  Ms last_failure_ = 0;  // refusal or no reply
  Ms last_refusal_ = 0;
};

}  // namespace scheduler::links
