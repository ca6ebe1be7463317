// Sends requests to the state service and derives the state of the link from their outcomes.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>

#include "base/types.h"
#include "links/request_link.h"

namespace scheduler {

// Milliseconds between probes while the service does not answer, and before a failed request is
// retried.
constexpr std::int64_t kStateProbeMs = 400;

// Next tick time that means that nothing is due.
constexpr Ms kNever = std::numeric_limits<Ms>::max();

// Owns the evidence of the link to the state service: whether the service answers, and until when
// no transactions may be sent because the service throttled them.
class StateConnection {
 public:
  using Send = std::function<void(Target, std::string address, std::string method, std::string path,
                                  std::string body, Ms timeout, ResultHandler)>;

  explicit StateConnection(Send send) : send_(std::move(send)) {}

  // Sends a request. Its outcome is recorded as evidence of the link before `done` is called.
  void request(Ms now, std::string method, std::string path, std::string body, ResultHandler done);
  // Sends a request that the service answers only when there is something to report. Its outcome is
  // not evidence of the link by itself; the caller calls answered() for a valid reply.
  void long_poll(std::string path, Ms timeout, ResultHandler done);
  // Records that a reply to a long poll has arrived.
  void answered(Ms now) { link_.answered(now); }

  // Makes the service count as not answering until a request sent after the process pause is
  // answered. Guards against taking replies to earlier requests as evidence of the current state of
  // the link.
  void on_pause(Ms now);
  // Number of process pauses so far. If it has grown since a request was sent, the request was sent
  // before a pause.
  [[nodiscard]] std::uint64_t pause_count() const { return pause_count_; }

  [[nodiscard]] const links::RequestLink& link() const { return link_; }
  // Time before which no transaction may be sent.
  [[nodiscard]] Ms throttled_until() const { return throttled_until_; }

 private:
  void record_outcome(Ms now, Ms sent_at, std::uint64_t pause_count, int status);

  Send send_;
  links::RequestLink link_;
  Ms throttled_until_ = 0;
  std::uint64_t pause_count_ = 0;
};

}  // namespace scheduler
