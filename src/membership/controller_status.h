// Whether this controller may act: it is in the view, has resynchronised after a pause of its
// process, and no newer view that it can't read has replaced its own.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/types.h"
#include "links/monitor.h"
#include "membership/context.h"

namespace scheduler {

// Owns the clocks, the number of process pauses and the newest epoch named in any message;
// everything else is read from the components that own it. Only the controller reports inputs to
// it.
class ControllerStatus {
 public:
  explicit ControllerStatus(const Context& context) : context_(context) {}

  // Whether this controller is in the view and has read every record.
  [[nodiscard]] bool ready() const;
  [[nodiscard]] bool can_write(Ms now) const {
    return ready() && context_.state_client.answering(now) && resynchronised();
  }
  // Whether a newer view exists that this controller can't read. The owners that the newer view
  // names then send the commands to the workers.
  [[nodiscard]] bool deposed(Ms now) const;

  // ---- process pauses ----
  // Records an input: a tick, request, reply or peer message. Returns the milliseconds since the
  // last input if they mean that the process was paused: the process got no processor time, or the
  // whole machine stopped, while clocks ran on.
  std::optional<Ms> observe_input(Ms now);
  // Records a detected pause and returns its number, counted from one.
  std::uint64_t begin_resynchronising(Ms now);
  // Records that the state service has reported what changed during the pause.
  void finish_resynchronising() { resynchronising_until_ = 0; }
  // Whether the process was paused and the state service has not yet reported what changed in the
  // meantime. Limited in time; then the state service counts as unreachable.
  [[nodiscard]] bool resynchronising(Ms now) const {
    return resynchronising_until_ != 0 && now < resynchronising_until_;
  }
  [[nodiscard]] bool resynchronised() const { return resynchronising_until_ == 0; }
  // Number of pauses so far. Replies to requests sent before the last pause are no evidence of the
  // current state.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }
  [[nodiscard]] Ms last_input_at() const { return last_input_at_; }

  // ---- clocks ----
  void start(Ms now, Ms wall);
  void set_wall_clock(Ms now, Ms wall) { wall_offset_ = wall - now; }
  // Time of day in milliseconds.
  [[nodiscard]] Ms wall(Ms now) const { return now + wall_offset_; }
  [[nodiscard]] links::Moment moment(Ms now) const { return {now, wall(now)}; }
  // Seconds since a time of day in milliseconds, such as the time of a submission.
  [[nodiscard]] double age_s(Ms now, std::int64_t wall_time) const {
    return static_cast<double>(wall(now) - wall_time) / 1000.0;
  }

  // ---- epochs ----
  // Records an epoch named in a heartbeat or a gossip message.
  void record_epoch(std::uint64_t epoch) {
    newest_epoch_seen_ = std::max(newest_epoch_seen_, epoch);
  }
  [[nodiscard]] std::uint64_t newest_epoch_seen() const { return newest_epoch_seen_; }

 private:
  const Context& context_;
  Ms wall_offset_ = 0;  // time of day minus steady clock
  Ms last_input_at_ = 0;
  Ms resynchronising_until_ = 0;  // 0: resynchronised
  std::uint64_t pauses_ = 0;
  std::uint64_t newest_epoch_seen_ = 0;
};

}  // namespace scheduler
