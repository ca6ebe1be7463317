// What users, workers and the state service saw of jobs: the events of a history.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "wire/messages.h"

namespace scheduler::history {

using Ms = std::int64_t;  // milliseconds since the history began, by one clock

// A user was told that the job is accepted.
struct Accepted {
  std::string job;
  std::uint32_t tasks = 0;
  bool service = false;  // runs until it is cancelled
};

// A user was told the state of a job, in answer to a question sent at `asked`.
struct Answered {
  std::string job;
  wire::JobState state = wire::JobState::queued;
  Ms asked = 0;
};

// A user was told that nobody ever submitted the job.
struct AnsweredUnknown {
  std::string job;
  Ms asked = 0;
};

// A user asked for the first time to cancel the job.
struct CancelAsked {
  std::string job;
};

// A worker has a task on its machine, with its image.
struct TaskBegan {
  wire::TaskId task;
  std::string machine;
};

// The task is no longer on the machine, for whatever reason.
struct TaskEnded {
  wire::TaskId task;
  std::string machine;
  bool done = false;  // completed
};

// The state service holds the job's final state, written or removed in that change.
struct ResultRecorded {
  std::string job;
  bool done = false;  // false: cancelled
};
struct ResultRemoved {
  std::string job;
};

using Event = std::variant<Accepted, Answered, AnsweredUnknown, CancelAsked, TaskBegan, TaskEnded,
                           ResultRecorded, ResultRemoved>;

}  // namespace scheduler::history
