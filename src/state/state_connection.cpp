#include "state/state_connection.h"

#include <algorithm>

namespace scheduler {

namespace {

// Timeout of a request, milliseconds; replies usually take 10 ms and rarely several hundred.
constexpr std::int64_t kRequestTimeoutMs = 2000;
// Milliseconds without transactions after a reply with status 429.
constexpr std::int64_t kThrottledPauseMs = 250;

}  // namespace

void StateConnection::request(Ms now, std::string method, std::string path, std::string body,
                              ResultHandler done) {
  send_(Target::state, "", std::move(method), std::move(path), std::move(body), kRequestTimeoutMs,
        [this, sent_at = now, pause_count = pause_count_, done = std::move(done)](
            Ms at, const HttpResult& http_result) {
          record_outcome(at, sent_at, pause_count, http_result.status);
          done(at, http_result);
        });
}

void StateConnection::long_poll(std::string path, Ms timeout, ResultHandler done) {
  send_(Target::state, "", "GET", std::move(path), "", timeout, std::move(done));
}

void StateConnection::record_outcome(Ms now, Ms sent_at, std::uint64_t pause_count, int status) {
  if (status == 429) {
    throttled_until_ = std::max(throttled_until_, now + kThrottledPauseMs);
    return;
  }
  if (pause_count != pause_count_) return;
  if (status == kNoReply) {
    // Ignore the timeout if a request sent later has been answered. Guards against treating a
    // single lost reply as an outage of the service.
    if (link_.last_answer() <= sent_at) link_.unanswered(now);
  } else if (status == 503) {
    link_.refused(now);
  } else {
    link_.answered(now);
  }
}

void StateConnection::on_pause(Ms now) {
  ++pause_count_;
  link_.on_pause(now, kStateProbeMs);
}

}  // namespace scheduler
