// State of a machine of this controller's shard that goes beyond the stored records.
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

// One attempt of a task. What is known of one attempt says nothing about another one.
struct TaskAttempt {
  wire::TaskId task;
  std::uint64_t attempt = 0;
  auto operator<=>(const TaskAttempt&) const = default;
};

// An attempt of a task as last reported by its machine.
struct ReportedTask {
  wire::TaskState state = wire::TaskState::fetching;
  wire::ExitCause cause = wire::ExitCause::none;
  bool checkpointed = false;
  Ms running_since = 0;  // 0: not seen running
};

// Incarnation of a worker agent and sequence number of its heartbeat. They order the messages of a
// machine.
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
  // The machine has reported a token issued by this controller. Until then its reports prove
  // nothing about the absence of tasks.
  bool token_confirmed = false;
  std::uint64_t fence = 0;  // part of the token; raised so that the worker rejects older messages
  std::uint64_t highest_token_seen = 0;
  std::uint64_t start_token = 0;  // highest token sent with a start
  // Starts that may still be in flight, with the last token that each was sent under: the machine
  // has neither listed the attempt nor reported a higher token.
  std::map<TaskAttempt, std::uint64_t> unconfirmed_starts;

  // ---- heartbeats ----
  std::uint64_t incarnation = 0, sequence = 0;
  HeartbeatCounters last_heartbeat_counters;  // of the newest heartbeat
  Ms last_contact = 0;                        // heartbeat or direct reply
  Ms last_heartbeat = 0;                      // only heartbeats renew the lease
  bool heartbeat_answered = false;            // at least once since the machine is in this shard
  bool suspect = false;  // heartbeats look outdated: delayed copies, or an agent restart
  // All attempts that the machine lists: also exited ones of tasks that it has a later attempt of.
  std::map<TaskAttempt, ReportedTask> tasks;
  std::vector<std::string> images;
  bool preemption_notice = false;
  Ms preemption_at = 0;

  // ---- lease ----
  Ms lease_granted_at = 0;   // latest time at which a reply may have renewed the lease
  bool lease_known = false;  // no former owner can still renew the lease, so its timer runs

  // ---- records ----
  bool recorded = false;
  // Includes a state that this controller has decided and not written yet.
  wire::MachineState state = wire::MachineState::ready;

  // ---- reachability ----
  // Heartbeats show that the machine is alive, not that messages reach it. Proof of that is a reply
  // to a direct message, a task that this controller started, or a token that only this controller
  // has issued.
  Ms unreachable_since = 0;              // 0: not known to be unreachable
  std::uint64_t reachability_token = 0;  // if the machine reports it, it is reachable

  // ---- commands ----
  // Attempts that are to stop, with the seconds that each gets to write a checkpoint.
  std::map<TaskAttempt, double> stop_requests;
  std::map<TaskAttempt, Ms> start_blocked_since;  // starts without capacity
  Ms full_until = 0;  // no new tasks until then: it refused a start for lack of capacity
  bool commands_in_flight = false;
  bool resend_commands = false;
  Ms next_command_at = 0;
  Ms next_command_check = 0;  // when to check whether a direct message is needed
  int unanswered_commands = 0;
  bool relayed_command_unanswered = false;  // the last unanswered command was relayed
  Ms direct_command_failed_at = 0;  // when an unrelayed command last failed; 0: answered since

  // ---- placement (scheduling/candidate_cache.h) ----
  // The machine as placement candidate; rebuilt when `candidate_valid` is false.
  mutable Candidate candidate;
  mutable bool candidate_valid = false;
  // Reserved by placements whose records are being written.
  Resources reserved;

  HeartbeatCounters counters() const { return {incarnation, sequence}; }
  // The attempt as last reported; null if the machine does not list it.
  const ReportedTask* reported(const TaskAttempt& attempt) const {
    const auto found = tasks.find(attempt);
    return found == tasks.end() ? nullptr : &found->second;
  }
  // Seconds that the attempt has run; 0 if it is not known to run on this machine.
  double run_time_s(Ms now, const TaskAttempt& attempt) const {
    const ReportedTask* task = reported(attempt);
    if (!task || task->running_since == 0) return 0;
    return static_cast<double>(now - task->running_since) / 1000.0;
  }
  // Whether a stop of this attempt is requested.
  bool stop_requested(const TaskAttempt& attempt) const { return stop_requests.contains(attempt); }
};

}  // namespace scheduler
