#include "state/state_connection.h"

#include <algorithm>

namespace scheduler {

namespace {

// Milliseconds until an unanswered request counts as such; replies take 10 ms, rarely hundreds.
constexpr std::int64_t kRequestTimeoutMs = 2000;
// Milliseconds without transactions after a 429.
constexpr std::int64_t kThrottledPauseMs = 250;

}  // namespace

void StateConnection::request(Ms now, std::string method, std::string path, std::string body,
                              ResultHandler done) {
  send_(Target::state, "", std::move(method), std::move(path), std::move(body), kRequestTimeoutMs,
        [this, sent = now, pauses = pauses_, done = std::move(done)](
            Ms at, const HttpResult& http_result) {
          take_evidence(at, sent, pauses, http_result.status);
          done(at, http_result);
        });
}

void StateConnection::long_poll(std::string path, Ms timeout, ResultHandler done) {
  send_(Target::state, "", "GET", std::move(path), "", timeout, std::move(done));
}

void StateConnection::take_evidence(Ms now, Ms sent, std::uint64_t pauses, int status) {
  if (status == 429) {
    throttled_until_ = std::max(throttled_until_, now + kThrottledPauseMs);
    return;
  }
  if (pauses != pauses_) return;
  if (status == kNoReply) {
    // Guards against taking single replies that were lost for a service that is down: what was
    // asked later has been answered.
    if (link_.last_answer() <= sent) link_.unanswered(now);
  } else if (status == 503) {
    link_.refused(now);
  } else {
    link_.answered(now);
  }
}

void StateConnection::on_pause(Ms now) {
  ++pauses_;
  link_.on_pause(now, kStateProbeMs);
}

}  // namespace scheduler
