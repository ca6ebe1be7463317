// A machine of this controller's shard, as this controller knows it beyond the records.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "allocation/placement.h"
#include "base/types.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler {

// An attempt of a task on a machine as last reported.
struct ReportedTask {
  std::uint64_t attempt = 0;
  wire::TaskState state = wire::TaskState::fetching;
  wire::ExitCause cause = wire::ExitCause::none;
  bool checkpointed = false;
  Ms running_since = 0;  // 0: not known to have run
};

// A task that its machine is to stop.
struct StopRequest {
  std::uint64_t attempt = 0;
  double grace_s = 0;  // seconds that it has to write a checkpoint
};

// Incarnation of an agent and sequence of its heartbeat, by which its messages are ordered.
struct HeartbeatCounters {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  auto operator<=>(const HeartbeatCounters&) const = default;
};

struct Machine {
  std::string id, address, type, zone;
  bool spot = false;
  std::uint64_t owned_since_epoch = 0;

  // ---- tokens ----
  // It has shown a token of ours: no other answer counts for it.
  bool token_confirmed = false;
  std::uint64_t fence = 0;
  std::uint64_t highest_token_seen = 0;
  std::uint64_t start_token = 0;  // highest token with which a start was sent
  // Starts that it has not listed yet, with the last token that carried them.
  std::map<wire::TaskId, std::uint64_t> unconfirmed_starts;

  // ---- heartbeats ----
  std::uint64_t incarnation = 0, sequence = 0;
  HeartbeatCounters last_heartbeat_counters;  // of the newest one
  Ms last_contact = 0;                        // by a heartbeat or a direct reply
  Ms last_heartbeat = 0;                      // only these renew its lease
  bool heartbeat_answered = false;            // one of them, since it is of our shard
  bool suspect = false;  // heartbeats look old: late copies, or it has restarted
  std::map<wire::TaskId, ReportedTask> tasks;
  std::vector<std::string> images;
  bool preemption_notice = false;
  Ms preemption_at = 0;

  // ---- lease ----
  Ms lease_granted_at = 0;  // no reply that counts was given after this
  bool lease_known = false;

  // ---- records ----
  bool recorded = false;
  // With a state of ours that is still to be written.
  wire::MachineState state = wire::MachineState::ready;

  // ---- reachability ----
  // Heartbeats show that a machine is there, not that anything reaches it. Only what it received
  // does: a reply to a direct message, a task that we started, a token that only we had given.
  Ms unreachable_since = 0;              // 0: no sign that it is out of reach
  std::uint64_t reachability_token = 0;  // it can only show this if something reached it since

  // ---- commands ----
  std::map<wire::TaskId, StopRequest> stop_requests;
  std::map<wire::TaskId, Ms> start_blocked_since;  // starts without capacity, though none is freed
  Ms full_until = 0;                               // it refused a start for lack of capacity
  bool commands_in_flight = false;
  bool resend_commands = false;
  Ms next_command_at = 0;
  Ms next_command_check = 0;  // when to look whether it needs a direct message
  int unanswered_commands = 0;
  bool relayed_command_unanswered = false;  // nor did it answer what a peer passed on
  Ms direct_command_failed_at = 0;  // the last one that was not passed on; 0: it was answered

  // ---- placement (scheduling/candidate_cache.h) ----
  // The machine as placement sees it; made anew when something about it changes.
  mutable Candidate candidate;
  mutable bool candidate_known = false;
  // Taken by placements that are being written.
  Resources reserved;

  HeartbeatCounters counters() const { return {incarnation, sequence}; }
  // Seconds for which the attempt has run; 0 if it is not known to run here.
  double run_time_s(Ms now, const wire::TaskId& task, std::uint64_t attempt) const {
    const auto reported = tasks.find(task);
    if (reported == tasks.end() || reported->second.attempt != attempt ||
        reported->second.running_since == 0)
      return 0;
    return static_cast<double>(now - reported->second.running_since) / 1000.0;
  }
  // The attempt is to be stopped.
  bool stop_requested(const wire::TaskId& task, std::uint64_t attempt) const {
    const auto request = stop_requests.find(task);
    return request != stop_requests.end() && request->second.attempt == attempt;
  }
};

}  // namespace scheduler
