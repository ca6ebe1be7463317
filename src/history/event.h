// Events of a history: changes of jobs and tasks as users, workers and the state service observed
// them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "wire/messages.h"

namespace scheduler::history {

using Ms = std::int64_t;  // milliseconds since the start of the history; all events use one clock

// A user received the reply that the job is accepted.
struct JobAccepted {
  std::string job;
  std::uint32_t tasks = 0;
  bool service = false;  // runs until it is cancelled
};

// A user received the state of a job, in reply to a request sent at `request_sent_at`.
struct JobStateReported {
  std::string job;
  wire::JobState state = wire::JobState::queued;
  Ms request_sent_at = 0;
};

// A user received the reply that no such job exists, to a request sent at `request_sent_at`.
struct JobUnknownReported {
  std::string job;
  Ms request_sent_at = 0;
};

// A user sent the first request to cancel the job.
struct CancelRequested {
  std::string job;
};

// A worker has begun to run a task, with its image, on its machine.
struct TaskStarted {
  wire::TaskId task;
  std::string machine;
};

// The task no longer runs on the machine; the reason doesn't matter.
struct TaskEnded {
  wire::TaskId task;
  std::string machine;
  bool done = false;  // completed
};

// The state service wrote the job's final state. ResultRemoved: the state service removed it.
struct ResultRecorded {
  std::string job;
  bool done = false;  // false: cancelled
};
struct ResultRemoved {
  std::string job;
};

using Event = std::variant<JobAccepted, JobStateReported, JobUnknownReported, CancelRequested,
                           TaskStarted, TaskEnded, ResultRecorded, ResultRemoved>;

}  // namespace scheduler::history
