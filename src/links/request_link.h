// The link to a service that answers requests: the state service, the cloud.
#pragma once

#include <algorithm>

#include "links/constants.h"
#include "links/types.h"

namespace scheduler::links {

// Keeps the newest evidence of each kind. A refusal (503) shows that the service is there, which an
// outage and a cut are told apart by, but it is no answer.
class RequestLink {
 public:
  void answered(Ms now) { last_answer_ = now; }
  void refused(Ms now) { last_failure_ = last_refusal_ = now; }
  void unanswered(Ms now) { last_failure_ = now; }
  // This process was paused: what was answered before says nothing about now. The next probe is due
  // `probe_after` milliseconds after the last failure, so that one is sent at once.
  void on_pause(Ms now, Ms probe_after) {
    last_answer_ = last_refusal_ = 0;
    last_failure_ = std::max<Ms>(1, now - probe_after - 1);
  }

  // The last word was an answer, and it is not old.
  [[nodiscard]] bool answering(Ms now) const {
    return last_answer_ > 0 && last_answer_ >= last_failure_ && now - last_answer_ < kSilentMs;
  }
  // Nothing at all comes, not even a refusal.
  [[nodiscard]] bool silent(Ms now) const {
    return now - std::max(last_answer_, last_refusal_) >= kSilentMs;
  }
  [[nodiscard]] Status status(Ms now) const {
    if (last_answer_ == 0 && last_failure_ == 0) return Status::unknown;
    return answering(now) ? Status::up : Status::down;
  }
  [[nodiscard]] Ms last_answer() const { return last_answer_; }
  [[nodiscard]] Ms last_word() const { return std::max(last_answer_, last_failure_); }

 private:
  Ms last_answer_ = 0;   // any real answer; 0: never
  Ms last_failure_ = 0;  // a refusal, or no answer
  Ms last_refusal_ = 0;
};

}  // namespace scheduler::links
