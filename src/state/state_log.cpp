#include "state/state_log.h"

#include "base/log_event.h"

namespace scheduler {

void StateLog::read(Ms now, Ms sent_at, std::string_view kind, std::uint64_t revision,
                    std::size_t count) const {
  if (!settings_.log_debug) return;
  LogEvent event(kind);
  event.field("revision", revision).field("applied", feed_.applied_revision());
  event.field("count", count).field("took_ms", now - sent_at);
  log_(LogLevel::debug, event.text());
}

void StateLog::transaction(Ms now, Ms sent_at, int status, std::uint64_t revision,
                           std::string_view first_key) const {
  if (!settings_.log_debug) return;
  LogEvent event("transaction");
  event.field("status", status).field("revision", revision);
  event.field("applied", feed_.applied_revision()).field("first", first_key);
  event.field("took_ms", now - sent_at);
  log_(LogLevel::debug, event.text());
}

void StateLog::conflict(const std::vector<std::string>& failed_keys) const {
  if (!settings_.log_debug) return;
  for (const auto& key : failed_keys) {
    LogEvent event("conflict");
    event.field("key", key).field("version", feed_.version(key));
    event.field("applied", feed_.applied_revision());
    log_(LogLevel::debug, event.text());
  }
}

}  // namespace scheduler
