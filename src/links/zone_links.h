// The links between this controller and the workers of one zone, in both directions.
#pragma once

#include <cstddef>

#include "links/types.h"

namespace scheduler::links {

// Heartbeats prove that messages from the workers arrive; replies to probes and commands prove that
// messages to the workers arrive as well. Workers send heartbeats at intervals with a known
// maximum, so silence is judged by that maximum and by the number of workers that are silent at
// once. A sample of workers is probed as soon as the silence looks unusual.
class ZoneLinks {
 public:
  explicit ZoneLinks(Ms heartbeat_interval) : heartbeat_interval_(heartbeat_interval) {}

  // Sets the number of workers of the zone that are known to send heartbeats to this controller.
  void set_expected_workers(Ms now, std::size_t workers);
  void heartbeat_received(Ms now) { last_heartbeat_ = now; }
  // A worker has answered a command or a probe.
  void answered(Ms now);
  // No worker of a probed sample has answered.
  void on_sample_unanswered() { ++unanswered_rounds_; }
  // A worker with recent heartbeats left a command unanswered: either this worker or the link to
  // its zone has failed.
  void suspect_commands() { commands_suspected_ = true; }
  void on_pause(Ms now);

  // State of the link from the workers, judged by their heartbeats.
  [[nodiscard]] Status heartbeats(Ms now) const;
  // State of the link to the workers, judged by replies to commands and probes.
  [[nodiscard]] Status commands(Ms now) const;
  // Whether neither direction is known to be down.
  [[nodiscard]] bool usable(Ms now) const;
  // Whether a sample of workers should be probed now.
  [[nodiscard]] bool probe_due(Ms now) const;
  void probe_sent(Ms now) { last_probe_ = now; }
  [[nodiscard]] Ms last_heartbeat() const { return last_heartbeat_; }
  [[nodiscard]] std::size_t workers() const { return workers_; }

 private:
  [[nodiscard]] Ms silent_for(Ms now) const;
  // Milliseconds without any heartbeat after which this number of workers counts as silent.
  [[nodiscard]] Ms silence_limit(std::size_t workers) const;

  Ms heartbeat_interval_;
  std::size_t workers_ = 0;
  Ms expected_since_ = 0;  // 0: no worker is expected to send heartbeats
  Ms last_heartbeat_ = 0;  // 0: never
  Ms last_answer_ = 0;
  Ms last_probe_ = 0;
  int unanswered_rounds_ = 0;  // consecutive
  bool commands_suspected_ = false;
};

}  // namespace scheduler::links
