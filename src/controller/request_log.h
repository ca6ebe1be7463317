// Logs how long each request of a user took. Active only if the log level is debug.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>

#include "base/log_event.h"
#include "membership/context.h"

namespace scheduler {

class RequestLog {
 public:
  explicit RequestLog(const Context& context) : context_(context) {}

  // Called when a user's request arrives. The text behind `kind` must live until the reply is
  // logged.
  void on_request(Ms now, std::uint64_t request, std::string_view kind) {
    if (context_.logs_debug()) requests_[request] = {kind, now};
  }
  void on_reply(Ms now, std::uint64_t request, int status) {
    const auto entry = requests_.find(request);
    if (entry == requests_.end()) return;
    LogEvent event("reply");
    event.field("request", entry->second.kind).field("status", status);
    event.field("took_ms", now - entry->second.received_at);
    context_.log(LogLevel::debug, event.text());
    requests_.erase(entry);
  }

 private:
  struct UserRequest {
    std::string_view kind;
    Ms received_at = 0;
  };

  const Context& context_;
  std::unordered_map<std::uint64_t, UserRequest> requests_;
};

}  // namespace scheduler
