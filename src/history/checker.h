// Finds in a history whether every job has exactly one final answer.
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
  result_changed,     // users were told two different results
  older_answer,       // an answer older than one given before the question was sent
  answer_unrecorded,  // users were told a result that is not the recorded one
  done_too_early,     // done was recorded or told before every task had completed
  ran_twice,          // a task began on one machine while it was on another
  started_cancelled,  // a task began after a user was told that its job is cancelled
  cancelled_unasked,  // cancelled by nobody
  no_result           // accepted, and without a recorded result at the end
};

std::string_view name(Fault fault);

struct Finding {
  Fault fault;
  Ms at = 0;
  std::string what;  // job or task, and what was seen
};

// Takes events in the order of their times. Memory grows with the jobs and the tasks that run, not
// with the number of events.
class Checker {
 public:
  void add(Ms at, const Event& event);
  // The history is complete: every accepted job must have its result.
  void finish(Ms at);

  [[nodiscard]] const std::vector<Finding>& findings() const { return findings_; }
  // Jobs accepted, and results recorded.
  [[nodiscard]] std::size_t accepted() const { return accepted_; }
  [[nodiscard]] std::size_t results() const { return results_; }

 private:
  enum class Result : std::uint8_t { done, cancelled };

  struct JobHistory {
    bool accepted = false, service = false, cancel_asked = false;
    std::uint32_t tasks = 0;
    Ms accepted_at = 0, told_at = 0;
    std::optional<Result> told, recorded;
    std::set<std::uint32_t> completed;
  };

  void on(Ms at, const Accepted& event);
  void on(Ms at, const Answered& event);
  void on(Ms at, const AnsweredUnknown& event);
  void on(Ms at, const CancelAsked& event);
  void on(Ms at, const TaskBegan& event);
  void on(Ms at, const TaskEnded& event);
  void on(Ms at, const ResultRecorded& event);
  void on(Ms at, const ResultRemoved& event);
  void check_complete(Ms at, const std::string& id, const JobHistory& job);
  void found(Fault fault, Ms at, std::string what);

  std::map<std::string, JobHistory> jobs_;
  std::map<wire::TaskId, std::set<std::string>> machines_;  // that have the task
  std::vector<Finding> findings_;
  std::size_t accepted_ = 0, results_ = 0;
};

}  // namespace scheduler::history
