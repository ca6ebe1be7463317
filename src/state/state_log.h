// Log lines of the state client.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "state/replica_feed.h"

namespace scheduler {

// Writes debug lines with the reply of the state service, its revision and the milliseconds since
// the request was sent at `sent_at` (listed in docs/operations.md). The lines are built only if
// debug logging is enabled, since building them costs processor time.
class StateLog {
 public:
  using Log = std::function<void(LogLevel, std::string)>;

  StateLog(const Settings& settings, const ReplicaFeed& feed, Log log)
      : settings_(settings), feed_(feed), log_(std::move(log)) {}

  void info(std::string text) const { log_(LogLevel::info, std::move(text)); }
  void error(std::string text) const { log_(LogLevel::error, std::move(text)); }

  // `kind`: "watch" or "barrier"; `count`: number of events received, or of reads that share the
  // request.
  void read(Ms now, Ms sent_at, std::string_view kind, std::uint64_t revision,
            std::size_t count) const;
  // `revision`: 0 if the transaction was not committed; `first_key`: key of its first write.
  void transaction(Ms now, Ms sent_at, int status, std::uint64_t revision,
                   std::string_view first_key) const;
  void conflict(const std::vector<std::string>& failed_keys) const;

 private:
  const Settings& settings_;
  const ReplicaFeed& feed_;
  Log log_;
};

}  // namespace scheduler
