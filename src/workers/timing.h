// Intervals and timeouts of the traffic with workers that several modules share.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler {

// Milliseconds for which a replica must have run for its end not to count as a failure of its job:
// longer than the heartbeat of a start takes, so that one that ends at once everywhere is backed
// off.
constexpr std::int64_t kServiceSettledMs = 5000;
// Milliseconds without a word from a machine with replicas after which it is asked, if its
// heartbeats come less often: two messages can then go unanswered before its next heartbeat is
// overdue.
constexpr std::int64_t kServiceOverdueMs = 3000;
// Milliseconds until a direct command counts as unanswered. Short, since the token is then raised
// and the command sent again.
constexpr std::int64_t kCommandTimeoutMs = 1500;
// Milliseconds that a worker waits for the answer to a heartbeat before it tries another controller
// (PROTOCOL): so long its heartbeats may be with one that does not answer.
constexpr std::int64_t kHeartbeatReplyMs = 4000;
// Milliseconds between direct messages to a machine that does not answer them.
constexpr std::int64_t kCommandRetryMs = 1000;
// Milliseconds that two unanswered messages take, one after the other.
constexpr std::int64_t kTwoUnansweredCommandsMs = 2 * kCommandTimeoutMs + kCommandRetryMs;
// Milliseconds between checks of silent machines; a tenth of the shortest heartbeat interval known.
constexpr std::int64_t kMachineCheckMs = 100;
// Milliseconds within which it is recorded that a machine was heard: machines come in waves, and
// one write then carries many.
constexpr std::int64_t kContactWriteDelayMs = 1500;

}  // namespace scheduler
