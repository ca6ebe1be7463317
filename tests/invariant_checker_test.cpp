// The invariant checker must be able to fail: with a safeguard of the simulation taken out, or a
// controller's replies forged, it reports the violation.
#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "support/simulation_runs.h"

namespace scheduler::sim {
namespace {

TEST(InvariantChecker, DetectsUnconditionalWrites) {
  Options o;
  o.state_ignores_conditions = true;
  EXPECT_GT(runs_with_violations(o, "", 10), 0);
}

TEST(InvariantChecker, DetectsCommandsUnderStaleTokens) {
  Options o;
  o.workers_ignore_tokens = true;
  o.workers_ignore_incarnations = true;
  o.duplicated_requests = 0.5;
  EXPECT_GT(runs_with_violations(o, "ran_twice", 10), 0);
}

TEST(InvariantChecker, DetectsLeasesCountedTooShort) {
  Options o;
  o.believed_lease_share = 0.2;
  EXPECT_GT(runs_with_violations(o, "ran_twice", 10), 0);
}

// Replies of controllers to users are changed, as a fault of the controller would.
Options forged(std::function<void(const Request&, Ms, int&, std::string&)> forge) {
  Options o;
  o.faults = false;
  o.fault_ms = 60'000;
  o.recovery_ms = 120'000;
  o.forge_reply = std::move(forge);
  return o;
}

bool cancels(const Request& r) { return r.path.ends_with("/withdraw"); }

std::string reply_of(const std::string& path, const std::string& status) {
  const std::string id = path.substr(std::string("/v1/jobs/").size(), 10);
  return R"({"id":")" + id + R"(","status":")" + status + R"("})";
}

// Cancellations are confirmed at once; the stop commands follow.
Options cancelled_too_early() {
  return forged([](const Request& r, Ms, int& status, std::string& body) {
    if (!cancels(r) || status != 503) return;
    status = 200;
    body = reply_of(r.path, "withdrawn");
  });
}

// Reads of pending jobs are answered "withdrawn", and then the jobs start.
TEST(InvariantChecker, DetectsStartsAfterCancellation) {
  Options o = forged([](const Request& r, Ms, int& status, std::string& body) {
    if (r.method == "GET" && status == 200 && body.find("pending") != std::string::npos)
      body = reply_of(r.path, "withdrawn");
  });
  EXPECT_GT(runs_with_violations(o, "started_cancelled", 3), 0);
}

// A machine hangs with cancelled tasks and resumes within its lease.
TEST(InvariantChecker, DetectsCancelledTasksOnHangingMachines) {
  Options o = cancelled_too_early();
  o.cancel_s = 3;  // the refusals that are forged come up to a second after the request
  o.longest_task_s = 20;
  for (Ms at = 10'000; at < 55'000; at += 4000)
    o.planned_faults.push_back({at, Fault::cancel_now, 0, 7600});
  EXPECT_GE(runs_with_violations(o, "ran_cancelled", 24), 12);
  for (auto& p : o.planned_faults) p.lasts = 100;
  EXPECT_LT(runs_with_violations(o, "ran_cancelled", 24), 2);  // it is the hang that it sees
}

TEST(InvariantChecker, DetectsStaleReplies) {
  // To a repeated submission.
  EXPECT_GT(runs_with_violations(forged([](const Request& r, Ms, int& status, std::string& body) {
                                   if (r.method != "POST" || cancels(r) || status != 200) return;
                                   const auto at = body.find("done");
                                   if (at != std::string::npos) body.replace(at, 4, "pending");
                                 }),
                                 "went_back", 3),
            0);
  // To a request to cancel: what is done is not withdrawn.
  Options o = forged([](const Request& r, Ms, int& status, std::string& body) {
    const auto at = body.find("\"done\"");
    if (cancels(r) && status == 200 && at != std::string::npos)
      body = reply_of(r.path, "withdrawn");
  });
  o.planned_faults = {{10'000, Fault::invalid_requests, 0, 40'000}};
  EXPECT_GT(runs_with_violations(o, "went_back", 3), 0);
  // To one read in a hundred.
  int n = 0;
  EXPECT_GT(runs_with_violations(
                forged([n](const Request& r, Ms, int& status, std::string& body) mutable {
                  if (r.method != "GET" || status != 200 || ++n % 100) return;
                  body = reply_of(r.path, "running");
                }),
                "went_back", 3),
            0);
}

TEST(InvariantChecker, DetectsAcceptedJobsThatCannotRun) {
  for (const int refusal : {400, 422}) {
    Options o = forged([refusal](const Request& r, Ms, int& status, std::string& body) {
      if (r.path != "/v1/jobs" || status != refusal) return;
      status = 201;
      body = R"({"id":"req-000001","status":"pending"})";
    });
    o.planned_faults = {{10'000, Fault::invalid_requests, 0, 40'000}};
    EXPECT_EQ(runs_with_violations(o, "accepted_wrong", 2), 2) << refusal;
  }
}

TEST(InvariantChecker, DetectsJobsNobodySubmitted) {
  Options o = forged([](const Request& r, Ms, int& status, std::string& body) {
    if (status != 404) return;
    status = 200;
    body = reply_of(r.path, "pending");
  });
  o.planned_faults = {{10'000, Fault::invalid_requests, 0, 40'000}};
  EXPECT_EQ(runs_with_violations(o, "invented", 2), 2);
}

TEST(InvariantChecker, DetectsForgottenJobs) {
  EXPECT_GT(
      runs_with_violations(forged([](const Request& r, Ms now, int& status, std::string&) {
                             if (now > 55'000 && (r.path.find("req-000005") != std::string::npos ||
                                                  r.body.find("req-000005") != std::string::npos))
                               status = 503;
                           }),
                           "forgotten", 3),
      0);
}

TEST(InvariantChecker, DetectsWaitingBesideFreeCapacity) {
  Options o;
  o.faults = false;
  o.fault_ms = 60'000;
  o.recovery_ms = 150'000;
  EXPECT_EQ(runs_with_violations(o, "waited", 3), 0);
  o.starts_ignored_from = 55'000;
  EXPECT_EQ(runs_with_violations(o, "waited", 3), 3);
}

}  // namespace
}  // namespace scheduler::sim
