// Requests to the state service, and what their outcomes tell of the link to it.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <string>

#include "base/types.h"
#include "links/request_link.h"

namespace scheduler {

// Milliseconds between probes while the service does not answer; also until the next attempt where
// a request has failed.
constexpr std::int64_t kStateProbeMs = 400;

// Time of a next tick: nothing is due.
constexpr Ms kNever = std::numeric_limits<Ms>::max();

// Owns the evidence of the link to the state service: whether it answers, and until when it wants
// to be left alone after throttling.
class StateConnection {
 public:
  using Send = std::function<void(Target, std::string address, std::string method, std::string path,
                                  std::string body, Ms timeout, ResultHandler)>;

  explicit StateConnection(Send send) : send_(std::move(send)) {}

  // Sends a request; its outcome is taken as evidence of the link before `done` is called.
  void request(Ms now, std::string method, std::string path, std::string body, ResultHandler done);
  // Sends a request that the service leaves open. Its outcome says nothing by itself.
  void long_poll(std::string path, Ms timeout, ResultHandler done);
  // A reply to a long poll has come.
  void answered(Ms now) { link_.answered(now); }

  // Guards against replies to requests from before a process pause being taken for evidence of now:
  // the service counts as not answering until something asked from here on is answered.
  void on_pause(Ms now);
  // Process pauses so far. A request during which it has grown was sent before a pause.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }

  [[nodiscard]] const links::RequestLink& link() const { return link_; }
  // No transaction is to be sent before that time.
  [[nodiscard]] Ms throttled_until() const { return throttled_until_; }

 private:
  void take_evidence(Ms now, Ms sent, std::uint64_t pauses, int status);

  Send send_;
  links::RequestLink link_;
  Ms throttled_until_ = 0;
  std::uint64_t pauses_ = 0;
};

}  // namespace scheduler
