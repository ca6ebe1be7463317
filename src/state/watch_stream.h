// The watch: a long poll that delivers every change of the state service in order.
#pragma once

#include <cstdint>
#include <functional>

#include "base/types.h"
#include "state/rate_shares.h"
#include "state/replica_feed.h"
#include "state/state_connection.h"
#include "state/state_log.h"

namespace scheduler {

// Keeps one watch open and applies the changes that it delivers, so that the replica follows the
// service without gaps. Owns the one open request and the time at which the next one may be opened.
class WatchStream {
 public:
  struct Events {
    std::function<void(Ms now)> on_applied;      // changes have been applied, possibly none
    std::function<void(Ms now)> on_fell_behind;  // all records have to be read again
  };

  WatchStream(const RateShares& rates, StateConnection& connection, ReplicaFeed& feed,
              const StateLog& log, Events events)
      : rates_(rates),
        connection_(connection),
        feed_(feed),
        log_(log),
        events_(std::move(events)) {}

  // Opens the watch if none is open, and reopens it if it counts as lost.
  void tick(Ms now);
  // Time at which the watch may be opened; kNever while it is open.
  [[nodiscard]] Ms next_tick(Ms now) const;

 private:
  [[nodiscard]] bool is_lost(Ms now) const;
  void open(Ms now);
  void on_reply(Ms now, std::uint64_t generation, std::uint64_t pause_count,
                const HttpResult& http_result);

  const RateShares& rates_;
  StateConnection& connection_;
  ReplicaFeed& feed_;
  const StateLog& log_;
  Events events_;

  // Number of the newest watch request; replies to earlier ones are ignored.
  std::uint64_t generation_ = 0;
  bool open_ = false;
  Ms opened_at_ = 0;
  Ms open_after_ = 0;
};

}  // namespace scheduler
