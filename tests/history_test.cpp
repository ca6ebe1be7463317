// The checker of histories detects each fault in a forged history, and none in a valid one.
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

// A job of two tasks, of which the second loses its machine and restarts elsewhere.
std::vector<std::pair<Ms, Event>> good() {
  return {{100, Accepted{kJob, 2, false}},
          {200, TaskBegan{kFirst, "n-1"}},
          {210, TaskBegan{kSecond, "n-2"}},
          {300, Answered{kJob, JobState::running, 290}},
          {400, TaskEnded{kSecond, "n-2", false}},
          {500, TaskBegan{kSecond, "n-3"}},
          {600, TaskEnded{kFirst, "n-1", true}},
          {700, TaskEnded{kSecond, "n-3", true}},
          {720, ResultRecorded{kJob, true}},
          {800, Answered{kJob, JobState::done, 790}},
          {810, Answered{kJob, JobState::running, 650}}};  // asked before, answered late
}

std::vector<std::pair<Ms, Event>> cancelled() {
  return {{100, Accepted{kJob, 2, false}},
          {200, TaskBegan{kFirst, "n-1"}},
          {300, CancelAsked{kJob}},
          {400, TaskEnded{kFirst, "n-1", false}},
          {410, Answered{kJob, JobState::cancelled, 300}},
          {450, ResultRecorded{kJob, false}}};
}

std::vector<Fault> faults(const std::vector<std::pair<Ms, Event>>& history) {
  Checker checker;
  for (const auto& [at, event] : history) checker.add(at, event);
  checker.finish(history.back().first + 1);
  std::vector<Fault> out;
  for (const auto& finding : checker.findings()) out.push_back(finding.fault);
  return out;
}

bool only(const std::vector<std::pair<Ms, Event>>& history, Fault fault) {
  const auto all = faults(history);
  return !all.empty() &&
         std::all_of(all.begin(), all.end(), [fault](Fault f) { return f == fault; });
}

std::vector<std::pair<Ms, Event>> with(std::vector<std::pair<Ms, Event>> history, Ms at,
                                       Event event) {
  const auto later = std::find_if(history.begin(), history.end(),
                                  [at](const auto& entry) { return entry.first > at; });
  history.insert(later, {at, std::move(event)});
  return history;
}

TEST(HistoryChecker, AcceptsValidHistories) {
  EXPECT_TRUE(faults(good()).empty());
  EXPECT_TRUE(faults(cancelled()).empty());
  // The same reply and the same record again, from another controller.
  auto again = with(good(), 900, Answered{kJob, JobState::done, 850});
  EXPECT_TRUE(faults(with(again, 910, ResultRecorded{kJob, true})).empty());
}

TEST(HistoryChecker, DetectsTwoResults) {
  EXPECT_TRUE(only(with(good(), 730, ResultRecorded{kJob, false}), Fault::two_results));
}

TEST(HistoryChecker, DetectsARemovedResult) {
  EXPECT_TRUE(only(with(good(), 900, ResultRemoved{kJob}), Fault::result_removed));
}

TEST(HistoryChecker, DetectsAChangedResult) {
  const auto asked = with(good(), 640, CancelAsked{kJob});
  const auto found = faults(with(asked, 900, Answered{kJob, JobState::cancelled, 890}));
  EXPECT_EQ(found, (std::vector<Fault>{Fault::result_changed, Fault::answer_unrecorded}));
}

TEST(HistoryChecker, DetectsAReplyThatIsNotTheRecordedResult) {
  auto history = cancelled();
  history.back().second = ResultRecorded{kJob, true};
  const auto found = faults(history);
  EXPECT_NE(std::find(found.begin(), found.end(), Fault::answer_unrecorded), found.end());
}

TEST(HistoryChecker, DetectsStaleReplies) {
  EXPECT_TRUE(only(with(good(), 950, Answered{kJob, JobState::running, 940}), Fault::older_answer));
  EXPECT_TRUE(only(with(good(), 950, AnsweredUnknown{kJob, 940}), Fault::older_answer));
  EXPECT_TRUE(faults(with(good(), 950, AnsweredUnknown{kJob, 90})).empty());  // asked before
}

TEST(HistoryChecker, DetectsDoneBeforeEveryTaskHasCompleted) {
  EXPECT_TRUE(only(with(good(), 650, ResultRecorded{kJob, true}), Fault::done_too_early));
  EXPECT_TRUE(only(with(good(), 650, Answered{kJob, JobState::done, 640}), Fault::done_too_early));
}

TEST(HistoryChecker, DetectsATaskThatRunsTwice) {
  EXPECT_TRUE(only(with(good(), 550, TaskBegan{kSecond, "n-4"}), Fault::ran_twice));
}

TEST(HistoryChecker, DetectsAStartAfterAConfirmedCancellation) {
  EXPECT_TRUE(only(with(cancelled(), 420, TaskBegan{kSecond, "n-2"}), Fault::started_cancelled));
}

TEST(HistoryChecker, DetectsAnUnrequestedCancellation) {
  auto history = cancelled();
  history.erase(history.begin() + 2);
  EXPECT_TRUE(only(history, Fault::cancelled_unasked));
}

TEST(HistoryChecker, DetectsAJobWithoutAResult) {
  auto history = cancelled();
  history.pop_back();
  EXPECT_TRUE(only(history, Fault::no_result));
}

}  // namespace
}  // namespace scheduler::history
