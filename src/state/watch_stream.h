// The watch: a long poll that brings every change of the state service in order.
#pragma once

#include <cstdint>
#include <functional>

#include "base/types.h"
#include "state/rate_shares.h"
#include "state/replica_feed.h"
#include "state/state_connection.h"
#include "state/state_log.h"

namespace scheduler {

// Keeps one watch open and applies what it brings, so that the replica follows the service without
// gaps. Owns the one request that is open and when the next may be opened.
class WatchStream {
 public:
  struct Events {
    std::function<void(Ms now)> on_applied;      // changes have been applied, perhaps none
    std::function<void(Ms now)> on_fell_behind;  // everything has to be read again
  };

  WatchStream(const RateShares& rates, StateConnection& connection, ReplicaFeed& feed,
              const StateLog& log, Events events)
      : rates_(rates),
        connection_(connection),
        feed_(feed),
        log_(log),
        events_(std::move(events)) {}

  // Opens the watch again if it has ended or must be given up.
  void tick(Ms now);
  // When it may be opened; kNever while it is open.
  [[nodiscard]] Ms next_tick(Ms now) const;

 private:
  [[nodiscard]] bool lost(Ms now) const;
  void open(Ms now);
  void on_reply(Ms now, std::uint64_t generation, std::uint64_t pauses,
                const HttpResult& http_result);

  const RateShares& rates_;
  StateConnection& connection_;
  ReplicaFeed& feed_;
  const StateLog& log_;
  Events events_;

  // Replies to other generations are ignored.
  std::uint64_t generation_ = 0;
  bool open_ = false;
  Ms opened_at_ = 0;
  Ms open_after_ = 0;
};

}  // namespace scheduler
