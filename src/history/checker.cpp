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

void Checker::found(Fault fault, Ms at, std::string what) {
  findings_.push_back({fault, at, std::move(what)});
}

void Checker::add(Ms at, const Event& event) {
  std::visit([this, at](const auto& e) { on(at, e); }, event);
}

void Checker::on(Ms at, const Accepted& event) {
  JobHistory& job = jobs_[event.job];
  if (job.accepted) return;
  job.accepted = true;
  job.accepted_at = at;
  job.tasks = event.tasks;
  job.service = event.service;
  ++accepted_;
}

// Answers to questions that were sent before a user knew better may come late.
void Checker::on(Ms at, const Answered& event) {
  JobHistory& job = jobs_[event.job];
  const bool done = event.state == wire::JobState::done;
  const bool cancelled = event.state == wire::JobState::cancelled;
  if (!done && !cancelled) {
    if (job.told && event.asked > job.told_at)
      found(Fault::older_answer, at, event.job + " was over, and is called unfinished");
    return;
  }
  const Result result = done ? Result::done : Result::cancelled;
  if (job.told && *job.told != result)
    found(Fault::result_changed, at, event.job + " was called done and cancelled");
  if (job.recorded && *job.recorded != result)
    found(Fault::answer_unrecorded, at, event.job + ": the recorded result is another");
  if (cancelled && !job.cancel_asked) found(Fault::cancelled_unasked, at, event.job);
  if (done) check_complete(at, event.job, job);
  if (job.told) return;
  job.told = result;
  job.told_at = at;
}

void Checker::on(Ms at, const AnsweredUnknown& event) {
  const JobHistory& job = jobs_[event.job];
  if (job.accepted && event.asked > job.accepted_at)
    found(Fault::older_answer, at, event.job + " was accepted, and is called unknown");
}

void Checker::on(Ms /*at*/, const CancelAsked& event) { jobs_[event.job].cancel_asked = true; }

void Checker::on(Ms at, const TaskBegan& event) {
  const std::string task = wire::task_name(event.task.job, event.task.index);
  std::set<std::string>& machines = machines_[event.task];
  for (const auto& other : machines)
    if (other != event.machine)
      found(Fault::ran_twice, at, task + " begins on " + event.machine + " while on " + other);
  machines.insert(event.machine);
  const JobHistory& job = jobs_[event.task.job];
  if (job.told == Result::cancelled)
    found(Fault::started_cancelled, at, task + " begins on " + event.machine);
}

void Checker::on(Ms /*at*/, const TaskEnded& event) {
  const auto running = machines_.find(event.task);
  if (running != machines_.end()) {
    running->second.erase(event.machine);
    if (running->second.empty()) machines_.erase(running);
  }
  if (event.done) jobs_[event.task.job].completed.insert(event.task.index);
}

void Checker::check_complete(Ms at, const std::string& id, const JobHistory& job) {
  // How many tasks there are is known once the submission was answered.
  const bool complete = !job.accepted || job.completed.size() >= job.tasks;
  if (job.service || !complete)
    found(Fault::done_too_early, at,
          id + " with " + std::to_string(job.completed.size()) + " of " +
              std::to_string(job.tasks) + " tasks completed");
}

void Checker::on(Ms at, const ResultRecorded& event) {
  JobHistory& job = jobs_[event.job];
  const Result result = event.done ? Result::done : Result::cancelled;
  if (job.recorded && *job.recorded != result)
    found(Fault::two_results, at, event.job + " is recorded as done and as cancelled");
  if (job.told && *job.told != result)
    found(Fault::answer_unrecorded, at, event.job + ": users were told another result");
  if (event.done) check_complete(at, event.job, job);
  if (job.recorded) return;
  job.recorded = result;
  ++results_;
}

void Checker::on(Ms at, const ResultRemoved& event) { found(Fault::result_removed, at, event.job); }

void Checker::finish(Ms at) {
  for (const auto& [id, job] : jobs_)
    if (job.accepted && !job.recorded) found(Fault::no_result, at, id);
}

}  // namespace scheduler::history
