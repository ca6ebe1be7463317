// Whether this controller may act: in the view, resynchronised after a pause of its process, and
// not deposed by a newer view.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/types.h"
#include "links/monitor.h"
#include "membership/context.h"

namespace scheduler {

// Owns the clocks, the count of process pauses and the newest epoch heard of; the rest is read from
// the components that own it. Only the controller tells it of inputs.
class ControllerStatus {
 public:
  explicit ControllerStatus(const Context& context) : context_(context) {}

  // In the view, and every record has been read.
  [[nodiscard]] bool ready() const;
  // Whether transactions may be submitted.
  [[nodiscard]] bool can_write(Ms now) const {
    return ready() && context_.state_client.answering(now) && resynchronised();
  }
  // A newer view exists that this controller can't read: whoever it names gives the commands now.
  [[nodiscard]] bool deposed(Ms now) const;

  // ---- process pauses ----
  // Takes note of an input. The milliseconds since the last one if they mean that the process had
  // been paused: the processor was taken from it, or the whole machine stopped, while clocks ran
  // on.
  std::optional<Ms> observe_input(Ms now);
  // A pause has been found; its number.
  std::uint64_t begin_resynchronising(Ms now);
  // The state service has told what changed during the pause.
  void finish_resynchronising() { resynchronising_until_ = 0; }
  // Paused, and not heard yet from the state service what changed meanwhile; for a while only, then
  // the state service counts as out of reach.
  [[nodiscard]] bool resynchronising(Ms now) const {
    return resynchronising_until_ != 0 && now < resynchronising_until_;
  }
  [[nodiscard]] bool resynchronised() const { return resynchronising_until_ == 0; }
  // Pauses so far. What was asked before the last one says nothing about now.
  [[nodiscard]] std::uint64_t pauses() const { return pauses_; }
  [[nodiscard]] Ms last_input_at() const { return last_input_at_; }

  // ---- clocks ----
  void start(Ms now, Ms wall);
  void set_wall_clock(Ms now, Ms wall) { wall_offset_ = wall - now; }
  // Time of day, milliseconds.
  [[nodiscard]] Ms wall(Ms now) const { return now + wall_offset_; }
  [[nodiscard]] links::Moment moment(Ms now) const { return {now, wall(now)}; }
  // Seconds since a time of day, such as that of a submission.
  [[nodiscard]] double age_s(Ms now, std::int64_t since_wall) const {
    return static_cast<double>(wall(now) - since_wall) / 1000.0;
  }

  // ---- epochs ----
  // Takes note of an epoch that a heartbeat or a gossip message names.
  void see_epoch(std::uint64_t epoch) { newest_epoch_seen_ = std::max(newest_epoch_seen_, epoch); }
  [[nodiscard]] std::uint64_t newest_epoch_seen() const { return newest_epoch_seen_; }

 private:
  const Context& context_;
  Ms wall_offset_ = 0;  // time of day minus steady time
  Ms last_input_at_ = 0;
  Ms resynchronising_until_ = 0;  // 0: resynchronised
  std::uint64_t pauses_ = 0;
  std::uint64_t newest_epoch_seen_ = 0;
};

}  // namespace scheduler
