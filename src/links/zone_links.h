// The links between this controller and the workers of one zone, in both directions.
#pragma once

#include <cstddef>

#include "links/types.h"

namespace scheduler::links {

// Heartbeats show one direction, answers to probes and commands the other (and that their answers
// come back). Workers report at intervals with a known bound, so silence is judged by that bound
// and by how many workers are silent at once; a sample of them is probed as soon as that looks
// unusual.
class ZoneLinks {
 public:
  explicit ZoneLinks(Ms heartbeat_interval) : heartbeat_interval_(heartbeat_interval) {}

  // So many workers of the zone report to this controller, as far as it knows.
  void expect(Ms now, std::size_t workers);
  void heartbeat_received(Ms now) { last_heartbeat_ = now; }
  // A worker has answered a command or a probe.
  void answered(Ms now);
  // None of a sample of workers has answered.
  void sample_unanswered() { ++unanswered_rounds_; }
  // A command to a worker that had reported lately was not answered: that one, or its zone.
  void suspect_commands() { suspected_ = true; }
  void on_pause(Ms now);

  [[nodiscard]] Status reports(Ms now) const;
  [[nodiscard]] Status commands(Ms now) const;
  // Both directions work, as far as anybody knows.
  [[nodiscard]] bool usable(Ms now) const;
  // A sample of workers should be probed now.
  [[nodiscard]] bool probe_due(Ms now) const;
  void probe_sent(Ms now) { probed_at_ = now; }
  [[nodiscard]] Ms last_heartbeat() const { return last_heartbeat_; }
  [[nodiscard]] std::size_t workers() const { return workers_; }

 private:
  [[nodiscard]] Ms silent_for(Ms now) const;
  // Milliseconds without a heartbeat after which so many workers count as silent.
  [[nodiscard]] Ms silence_limit(std::size_t workers) const;

  Ms heartbeat_interval_;
  std::size_t workers_ = 0;
  Ms expected_since_ = 0;  // 0: no worker is expected to report
  Ms last_heartbeat_ = 0;  // 0: never
  Ms last_answer_ = 0;
  Ms probed_at_ = 0;
  int unanswered_rounds_ = 0;  // in a row
  bool suspected_ = false;
};

}  // namespace scheduler::links
