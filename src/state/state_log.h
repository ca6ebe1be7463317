// What the client of the state service logs.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "state/replica_feed.h"

namespace scheduler {

// Lines of level debug say what the state service answered, at which revision, and how long it took
// from `sent` on; docs/operations.md lists them. Building them costs time, so that is done only
// where they are wanted.
class StateLog {
 public:
  using Log = std::function<void(LogLevel, std::string)>;

  StateLog(const Settings& settings, const ReplicaFeed& feed, Log log)
      : settings_(settings), feed_(feed), log_(std::move(log)) {}

  void info(std::string text) const { log_(LogLevel::info, std::move(text)); }
  void error(std::string text) const { log_(LogLevel::error, std::move(text)); }

  // `kind`: "watch" or "barrier"; `count`: events brought, or reads that share the request.
  void read(Ms now, Ms sent, std::string_view kind, std::uint64_t revision,
            std::size_t count) const;
  // `revision`: 0 when it was not committed.
  void transaction(Ms now, Ms sent, int status, std::uint64_t revision,
                   std::string_view first_key) const;
  void conflict(const std::vector<std::string>& failed_keys) const;

 private:
  const Settings& settings_;
  const ReplicaFeed& feed_;
  Log log_;
};

}  // namespace scheduler
