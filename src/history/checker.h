// Checks in a history that every job has exactly one final state, and that no reply contradicts it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "history/event.h"

namespace scheduler::history {

enum class Fault : std::uint8_t {
  two_results,        // the state service recorded a second result that differs from the first
  result_removed,     // a recorded result was removed
  result_changed,     // users received two different results
  older_answer,       // a reply was staler than one that was received before the request was sent
  answer_unrecorded,  // users received a result that differs from the recorded one
  done_too_early,     // a job was recorded or reported as done before all its tasks completed
  ran_twice,          // a task began on one machine while it ran on another
  started_cancelled,  // a task began after a user received the reply that its job is cancelled
  cancelled_unasked,  // a job was reported as cancelled although no user had requested it
  no_result           // an accepted job had no recorded result at the end
};

std::string_view name(Fault fault);

struct Finding {
  Fault fault;
  Ms at = 0;
  std::string what;  // job or task, with a description of the fault
};

// Checks events, which must be added in order of time. Memory use grows with the number of jobs and
// of running tasks, not with the number of events.
class Checker {
 public:
  void add(Ms at, const Event& event);
  // Ends the history, and checks that every accepted job has a recorded result.
  void finish(Ms at);

  [[nodiscard]] const std::vector<Finding>& findings() const { return findings_; }
  // Number of accepted jobs, and of recorded results.
  [[nodiscard]] std::size_t accepted() const { return accepted_; }
  [[nodiscard]] std::size_t results() const { return results_; }

 private:
  enum class Result : std::uint8_t { done, cancelled };

  struct JobHistory {
    bool accepted = false, service = false, cancel_requested = false;
    std::uint32_t tasks = 0;
    Ms accepted_at = 0, reported_at = 0;
    std::optional<Result> reported, recorded;
    std::set<std::uint32_t> completed;
  };

  void apply(Ms at, const JobAccepted& event);
  void apply(Ms at, const JobStateReported& event);
  void apply(Ms at, const JobUnknownReported& event);
  void apply(Ms at, const CancelRequested& event);
  void apply(Ms at, const TaskStarted& event);
  void apply(Ms at, const TaskEnded& event);
  void apply(Ms at, const ResultRecorded& event);
  void apply(Ms at, const ResultRemoved& event);
  void check_all_tasks_completed(Ms at, const std::string& id, const JobHistory& job);
  void add_finding(Fault fault, Ms at, std::string description);

  std::map<std::string, JobHistory> jobs_;
  std::map<wire::TaskId, std::set<std::string>>
      machines_by_task_;  // machines that run the task, by task
  std::vector<Finding> findings_;
  std::size_t accepted_ = 0, results_ = 0;
};

}  // namespace scheduler::history
