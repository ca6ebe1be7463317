// Timeouts and intervals of the messages between controllers and workers, for use by several
// modules.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler {

// Run time in milliseconds from which on the end of a service replica does not count as a failure
// of its job. Longer than the heartbeat that reports the start takes, so that a job whose replicas
// end at once on every machine is backed off.
constexpr std::int64_t kReplicaStableMs = 5000;
// Milliseconds without contact after which a machine that runs service replicas is probed, unless
// its heartbeat is overdue sooner. Two probes can then time out before the next heartbeat is
// overdue.
constexpr std::int64_t kServiceProbeAfterMs = 3000;
// Milliseconds until a direct command counts as unanswered. Short, because the controller then
// raises the fencing token and sends the command again.
constexpr std::int64_t kCommandTimeoutMs = 1500;
// Milliseconds that a worker waits for the reply to a heartbeat before it tries another controller
// (PROTOCOL). The heartbeats of a worker may be missing for this long because it waits for a
// controller that does not answer.
constexpr std::int64_t kHeartbeatReplyTimeoutMs = 4000;
// Milliseconds between direct messages to a machine that does not answer them.
constexpr std::int64_t kCommandRetryMs = 1000;
// Milliseconds until two commands, sent one after the other, are both unanswered.
constexpr std::int64_t kTwoUnansweredCommandsMs = 2 * kCommandTimeoutMs + kCommandRetryMs;
// Milliseconds between checks of silent machines: a tenth of the shortest heartbeat interval in
// use.
constexpr std::int64_t kMachineCheckIntervalMs = 100;
// Milliseconds within which contact with a machine is recorded. Machines start in batches, and one
// write then covers many of them.
constexpr std::int64_t kContactWriteDelayMs = 1500;

}  // namespace scheduler
