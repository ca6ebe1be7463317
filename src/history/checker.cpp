#include "history/checker.h"

#include <utility>

namespace scheduler::history {

std::string_view name(Fault fault) {
  switch (fault) {
    case Fault::two_results:
      return "two_results";
    case Fault::result_removed:
      return "result_removed";
    case Fault::result_changed:
      return "result_changed";
    case Fault::older_answer:
      return "older_answer";
    case Fault::answer_unrecorded:
      return "answer_unrecorded";
    case Fault::done_too_early:
      return "done_too_early";
    case Fault::ran_twice:
      return "ran_twice";
    case Fault::started_cancelled:
      return "started_cancelled";
    case Fault::cancelled_unasked:
      return "cancelled_unasked";
    case Fault::no_result:
      return "no_result";
  }
  return "";
}

void Checker::add_finding(Fault fault, Ms at, std::string description) {
  findings_.push_back({fault, at, std::move(description)});
}

void Checker::add(Ms at, const Event& event) {
  std::visit([this, at](const auto& e) { apply(at, e); }, event);
}

void Checker::apply(Ms at, const JobAccepted& event) {
  JobHistory& job = jobs_[event.job];
  if (job.accepted) return;
  job.accepted = true;
  job.accepted_at = at;
  job.tasks = event.tasks;
  job.service = event.service;
  ++accepted_;
}

// A request that was sent before a user received the final state may still be answered with an
// unfinished state afterwards; that is no fault.
void Checker::apply(Ms at, const JobStateReported& event) {
  JobHistory& job = jobs_[event.job];
  const bool done = event.state == wire::JobState::done;
  const bool cancelled = event.state == wire::JobState::cancelled;
  if (!done && !cancelled) {
    if (job.reported && event.request_sent_at > job.reported_at)
      add_finding(Fault::older_answer, at,
                  event.job + " is reported as unfinished after its final state was reported");
    return;
  }
  const Result result = done ? Result::done : Result::cancelled;
  if (job.reported && *job.reported != result)
    add_finding(Fault::result_changed, at,
                event.job + " is reported both as done and as cancelled");
  if (job.recorded && *job.recorded != result)
    add_finding(Fault::answer_unrecorded, at,
                event.job + ": the reported result differs from the recorded one");
  if (cancelled && !job.cancel_requested) add_finding(Fault::cancelled_unasked, at, event.job);
  if (done) check_all_tasks_completed(at, event.job, job);
  if (job.reported) return;
  job.reported = result;
  job.reported_at = at;
}

void Checker::apply(Ms at, const JobUnknownReported& event) {
  const JobHistory& job = jobs_[event.job];
  if (job.accepted && event.request_sent_at > job.accepted_at)
    add_finding(Fault::older_answer, at,
                event.job + " is reported as unknown after it was accepted");
}

void Checker::apply(Ms /*at*/, const CancelRequested& event) {
  jobs_[event.job].cancel_requested = true;
}

void Checker::apply(Ms at, const TaskStarted& event) {
  const std::string task = wire::task_name(event.task.job, event.task.index);
  std::set<std::string>& machines = machines_by_task_[event.task];
  for (const auto& other : machines)
    if (other != event.machine)
      add_finding(Fault::ran_twice, at,
                  task + " begins on " + event.machine + " while on " + other);
  machines.insert(event.machine);
  const JobHistory& job = jobs_[event.task.job];
  if (job.reported == Result::cancelled)
    add_finding(Fault::started_cancelled, at, task + " begins on " + event.machine);
}

void Checker::apply(Ms /*at*/, const TaskEnded& event) {
  const auto running = machines_by_task_.find(event.task);
  if (running != machines_by_task_.end()) {
    running->second.erase(event.machine);
    if (running->second.empty()) machines_by_task_.erase(running);
  }
  if (event.done) jobs_[event.task.job].completed.insert(event.task.index);
}

void Checker::check_all_tasks_completed(Ms at, const std::string& id, const JobHistory& job) {
  // The number of tasks is known only after the reply to the submission.
  const bool complete = !job.accepted || job.completed.size() >= job.tasks;
  if (job.service || !complete)
    add_finding(Fault::done_too_early, at,
                id + " with " + std::to_string(job.completed.size()) + " of " +
                    std::to_string(job.tasks) + " tasks completed");
}

void Checker::apply(Ms at, const ResultRecorded& event) {
  JobHistory& job = jobs_[event.job];
  const Result result = event.done ? Result::done : Result::cancelled;
  if (job.recorded && *job.recorded != result)
    add_finding(Fault::two_results, at, event.job + " is recorded both as done and as cancelled");
  if (job.reported && *job.reported != result)
    add_finding(Fault::answer_unrecorded, at,
                event.job + ": the recorded result differs from the reported one");
  if (event.done) check_all_tasks_completed(at, event.job, job);
  if (job.recorded) return;
  job.recorded = result;
  ++results_;
}

void Checker::apply(Ms at, const ResultRemoved& event) {
  add_finding(Fault::result_removed, at, event.job);
}

void Checker::finish(Ms at) {
  for (const auto& [id, job] : jobs_)
    if (job.accepted && !job.recorded) add_finding(Fault::no_result, at, id);
}

}  // namespace scheduler::history
