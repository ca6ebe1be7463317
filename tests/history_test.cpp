// Tests that the history checker detects each fault in an invalid history, and none in a valid one.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "history/checker.h"

namespace scheduler::history {
namespace {

using wire::JobState;

const std::string kJob = "req-000001";
const wire::TaskId kFirst{kJob, 0}, kSecond{kJob, 1};

// A job of two tasks completes. The second task loses its machine and restarts on another.
std::vector<std::pair<Ms, Event>> completed_job() {
  return {{100, JobAccepted{kJob, 2, false}},
          {200, TaskStarted{kFirst, "n-1"}},
          {210, TaskStarted{kSecond, "n-2"}},
          {300, JobStateReported{kJob, JobState::running, 290}},
          {400, TaskEnded{kSecond, "n-2", false}},
          {500, TaskStarted{kSecond, "n-3"}},
          {600, TaskEnded{kFirst, "n-1", true}},
          {700, TaskEnded{kSecond, "n-3", true}},
          {720, ResultRecorded{kJob, true}},
          {800, JobStateReported{kJob, JobState::done, 790}},
          // The request was sent before the job was done, and answered late.
          {810, JobStateReported{kJob, JobState::running, 650}}};
}

std::vector<std::pair<Ms, Event>> cancelled_job() {
  return {{100, JobAccepted{kJob, 2, false}},
          {200, TaskStarted{kFirst, "n-1"}},
          {300, CancelRequested{kJob}},
          {400, TaskEnded{kFirst, "n-1", false}},
          {410, JobStateReported{kJob, JobState::cancelled, 300}},
          {450, ResultRecorded{kJob, false}}};
}

std::vector<Fault> detected_faults(const std::vector<std::pair<Ms, Event>>& history) {
  Checker checker;
  for (const auto& [at, event] : history) checker.add(at, event);
  checker.finish(history.back().first + 1);
  std::vector<Fault> out;
  for (const auto& finding : checker.findings()) out.push_back(finding.fault);
  return out;
}

bool has_only(const std::vector<std::pair<Ms, Event>>& history, Fault fault) {
  const auto all = detected_faults(history);
  return !all.empty() && std::all_of(all.begin(), all.end(), [fault](Fault detected_fault) {
    return detected_fault == fault;
  });
}

std::vector<std::pair<Ms, Event>> with_event(std::vector<std::pair<Ms, Event>> history, Ms at,
                                             Event event) {
  const auto later = std::find_if(history.begin(), history.end(),
                                  [at](const auto& entry) { return entry.first > at; });
  history.insert(later, {at, std::move(event)});
  return history;
}

TEST(HistoryChecker, AcceptsValidHistories) {
  EXPECT_TRUE(detected_faults(completed_job()).empty());
  EXPECT_TRUE(detected_faults(cancelled_job()).empty());
  // Another controller sends an equal reply and writes an equal record.
  auto repeated = with_event(completed_job(), 900, JobStateReported{kJob, JobState::done, 850});
  EXPECT_TRUE(detected_faults(with_event(repeated, 910, ResultRecorded{kJob, true})).empty());
}

TEST(HistoryChecker, DetectsTwoResults) {
  EXPECT_TRUE(
      has_only(with_event(completed_job(), 730, ResultRecorded{kJob, false}), Fault::two_results));
}

TEST(HistoryChecker, DetectsARemovedResult) {
  EXPECT_TRUE(
      has_only(with_event(completed_job(), 900, ResultRemoved{kJob}), Fault::result_removed));
}

TEST(HistoryChecker, DetectsAChangedResult) {
  const auto cancel_requested = with_event(completed_job(), 640, CancelRequested{kJob});
  const auto detected = detected_faults(
      with_event(cancel_requested, 900, JobStateReported{kJob, JobState::cancelled, 890}));
  EXPECT_EQ(detected, (std::vector<Fault>{Fault::result_changed, Fault::answer_unrecorded}));
}

TEST(HistoryChecker, DetectsAReplyThatIsNotTheRecordedResult) {
  auto history = cancelled_job();
  history.back().second = ResultRecorded{kJob, true};
  const auto detected = detected_faults(history);
  EXPECT_NE(std::find(detected.begin(), detected.end(), Fault::answer_unrecorded), detected.end());
}

TEST(HistoryChecker, DetectsStaleReplies) {
  EXPECT_TRUE(
      has_only(with_event(completed_job(), 950, JobStateReported{kJob, JobState::running, 940}),
               Fault::older_answer));
  EXPECT_TRUE(has_only(with_event(completed_job(), 950, JobUnknownReported{kJob, 940}),
                       Fault::older_answer));
  // The request was sent before the job was accepted.
  EXPECT_TRUE(
      detected_faults(with_event(completed_job(), 950, JobUnknownReported{kJob, 90})).empty());
}

TEST(HistoryChecker, DetectsDoneBeforeEveryTaskHasCompleted) {
  EXPECT_TRUE(has_only(with_event(completed_job(), 650, ResultRecorded{kJob, true}),
                       Fault::done_too_early));
  EXPECT_TRUE(
      has_only(with_event(completed_job(), 650, JobStateReported{kJob, JobState::done, 640}),
               Fault::done_too_early));
}

TEST(HistoryChecker, DetectsATaskThatRunsTwice) {
  EXPECT_TRUE(
      has_only(with_event(completed_job(), 550, TaskStarted{kSecond, "n-4"}), Fault::ran_twice));
}

TEST(HistoryChecker, DetectsAStartAfterAConfirmedCancellation) {
  EXPECT_TRUE(has_only(with_event(cancelled_job(), 420, TaskStarted{kSecond, "n-2"}),
                       Fault::started_cancelled));
}

TEST(HistoryChecker, DetectsAnUnrequestedCancellation) {
  auto history = cancelled_job();
  history.erase(history.begin() + 2);
  EXPECT_TRUE(has_only(history, Fault::cancelled_unasked));
}

TEST(HistoryChecker, DetectsAJobWithoutAResult) {
  auto history = cancelled_job();
  history.pop_back();
  EXPECT_TRUE(has_only(history, Fault::no_result));
}

}  // namespace
}  // namespace scheduler::history
