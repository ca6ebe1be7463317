// Tests that the invariant checker detects violations: each test disables a safeguard of the
// simulation or alters the replies of controllers, and expects the matching violation.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

TEST(InvariantChecker, DetectsUnconditionalWrites) {
  Options options;
  options.state_ignores_conditions = true;
  EXPECT_GT(runs_with_violations(options, "", 10), 0);
}

TEST(InvariantChecker, DetectsCommandsUnderStaleTokens) {
  Options options;
  options.workers_ignore_tokens = true;
  options.workers_ignore_incarnations = true;
  options.duplicated_requests = 0.5;
  EXPECT_GT(runs_with_violations(options, "ran_twice", 10), 0);
}

TEST(InvariantChecker, DetectsLeasesCountedTooShort) {
  Options options;
  options.controller_lease_factor = 0.2;
  EXPECT_GT(runs_with_violations(options, "ran_twice", 10), 0);
}

// Options of a run without faults in which `forge` alters the controllers' replies to users, to
// simulate a fault of the controller.
Options forged_replies(std::function<void(const Request&, Ms, int&, std::string&)> forge) {
  Options options;
  options.faults = false;
  options.fault_ms = 60'000;
  options.recovery_ms = 120'000;
  options.forge_reply = std::move(forge);
  return options;
}

bool is_cancellation(const Request& request) { return request.path.ends_with("/withdraw"); }

std::string reply_of(const std::string& path, const std::string& status) {
  const std::string id = path.substr(std::string("/v1/jobs/").size(), 10);
  return R"({"id":")" + id + R"(","status":")" + status + R"("})";
}

// Changes the 503 that delays the confirmation of a cancellation to a confirmation, so that users
// get it before the tasks have stopped.
Options early_confirmations() {
  return forged_replies([](const Request& request, Ms, int& status, std::string& body) {
    if (!is_cancellation(request) || status != 503) return;
    status = 200;
    body = reply_of(request.path, "withdrawn");
  });
}

// Reads of pending jobs get the reply "withdrawn", and the jobs start afterwards.
TEST(InvariantChecker, DetectsStartsAfterCancellation) {
  Options options = forged_replies([](const Request& request, Ms, int& status, std::string& body) {
    if (request.method == "GET" && status == 200 && body.find("pending") != std::string::npos)
      body = reply_of(request.path, "withdrawn");
  });
  EXPECT_GT(runs_with_violations(options, "started_cancelled", 3), 0);
}

// Machines hang while they run cancelled tasks, and resume within their lease.
TEST(InvariantChecker, DetectsCancelledTasksOnHangingMachines) {
  Options options = early_confirmations();
  options.cancel_s = 3;  // the altered 503 arrives up to a second after the request
  options.longest_task_s = 20;
  for (Ms at = 10'000; at < 55'000; at += 4000)
    options.planned_faults.push_back({at, Fault::cancel_now, 0, 7600});
  EXPECT_GE(runs_with_violations(options, "ran_cancelled", 24), 12);
  for (auto& p : options.planned_faults) p.duration_ms = 100;
  // With hangs of only 100 ms there are hardly any violations.
  EXPECT_LT(runs_with_violations(options, "ran_cancelled", 24), 2);
}

TEST(InvariantChecker, DetectsStaleReplies) {
  // Stale reply to a repeated submission.
  EXPECT_GT(runs_with_violations(
                forged_replies([](const Request& request, Ms, int& status, std::string& body) {
                  if (request.method != "POST" || is_cancellation(request) || status != 200) return;
                  const auto at = body.find("done");
                  if (at != std::string::npos) body.replace(at, 4, "pending");
                }),
                "went_back", 3),
            0);
  // Wrong reply to a cancellation of a done job, which can't be cancelled any more.
  Options options = forged_replies([](const Request& request, Ms, int& status, std::string& body) {
    const auto at = body.find("\"done\"");
    if (is_cancellation(request) && status == 200 && at != std::string::npos)
      body = reply_of(request.path, "withdrawn");
  });
  options.planned_faults = {{10'000, Fault::invalid_requests, 0, 40'000}};
  EXPECT_GT(runs_with_violations(options, "went_back", 3), 0);
  // Stale reply to one read in a hundred.
  int reads = 0;
  EXPECT_GT(runs_with_violations(forged_replies([reads](const Request& request, Ms, int& status,
                                                        std::string& body) mutable {
                                   if (request.method != "GET" || status != 200 || ++reads % 100)
                                     return;
                                   body = reply_of(request.path, "running");
                                 }),
                                 "went_back", 3),
            0);
}

TEST(InvariantChecker, DetectsAcceptedJobsThatCannotRun) {
  for (const int refusal : {400, 422}) {
    Options options =
        forged_replies([refusal](const Request& request, Ms, int& status, std::string& body) {
          if (request.path != "/v1/jobs" || status != refusal) return;
          status = 201;
          body = R"({"id":"req-000001","status":"pending"})";
        });
    options.planned_faults = {{10'000, Fault::invalid_requests, 0, 40'000}};
    EXPECT_EQ(runs_with_violations(options, "accepted_wrong", 2), 2) << refusal;
  }
}

TEST(InvariantChecker, DetectsRepliesAboutUnknownJobs) {
  Options options = forged_replies([](const Request& request, Ms, int& status, std::string& body) {
    if (status != 404) return;
    status = 200;
    body = reply_of(request.path, "pending");
  });
  options.planned_faults = {{10'000, Fault::invalid_requests, 0, 40'000}};
  EXPECT_EQ(runs_with_violations(options, "invented", 2), 2);
}

TEST(InvariantChecker, DetectsForgottenJobs) {
  EXPECT_GT(runs_with_violations(
                forged_replies([](const Request& request, Ms now, int& status, std::string&) {
                  if (now > 55'000 && (request.path.find("req-000005") != std::string::npos ||
                                       request.body.find("req-000005") != std::string::npos))
                    status = 503;
                }),
                "forgotten", 3),
            0);
}

TEST(InvariantChecker, DetectsJobsWaitingDespiteFreeCapacity) {
  Options options;
  options.faults = false;
  options.fault_ms = 60'000;
  options.recovery_ms = 150'000;
  EXPECT_EQ(runs_with_violations(options, "waited", 3), 0);
  options.starts_ignored_from = 55'000;
  EXPECT_EQ(runs_with_violations(options, "waited", 3), 3);
}

}  // namespace
}  // namespace scheduler::sim
