// Tells failing machines from faulty jobs.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/types.h"

namespace scheduler {

// Milliseconds after which errors are forgotten.
constexpr std::int64_t kFailureMemoryMs = 180'000;
// Milliseconds a failing job waits at first; doubles up to the most.
constexpr std::int64_t kJobBackoffMs = 1000;
constexpr std::int64_t kJobBackoffMostMs = 30'000;

class FailureTracker {
 public:
  // A task of `job` failed on `machine`. True when the machine is quarantined now.
  bool failed(Ms now, const std::string& machine, const std::string& job);
  // A replica of a service ended at once without being stopped. Says nothing against the machine;
  // the job is backed off if it goes on.
  void on_early_exit(Ms now, const std::string& machine, const std::string& job);
  // The worker keeps a result of this replica, and would end each further attempt of it at once.
  // Other replicas of the job run there as on any machine.
  void on_result_kept(Ms now, const std::string& machine, const wire::TaskId& replica);
  [[nodiscard]] bool has_kept_result(Ms now, const std::string& machine,
                                     const wire::TaskId& replica) const;
  // A replica has run for a while: the job is not at fault.
  void on_stable(const std::string& job);
  // A task of `job` completed on `machine`: neither is at fault.
  void completed(const std::string& machine, const std::string& job);
  // Earliest time at which the job's tasks may be started again.
  [[nodiscard]] Ms next_attempt_at(const std::string& job) const;
  // The machine failed a task of this job lately: others are tried first.
  [[nodiscard]] bool has_failed_on(Ms now, const std::string& machine, const std::string& job,
                                   Ms failure_memory = kFailureMemoryMs) const;
  [[nodiscard]] bool is_faulty_job(const std::string& job) const;
  // A task of the job failed somewhere.
  [[nodiscard]] bool has_failed(const std::string& job) const { return jobs_.contains(job); }
  void forget_job(const std::string& job);
  void forget_machine(const std::string& machine);

 private:
  void note_error(Ms now, const std::string& machine, const std::string& job);

  struct JobErrors {
    std::map<std::string, Ms> machines;
    int in_a_row = 0;
    Ms next_attempt_at = 0;
  };
  static void back_off(Ms now, JobErrors& errors);

  std::map<std::string, JobErrors> jobs_;
  std::map<std::string, std::map<std::string, Ms>> machines_;  // machine -> job -> last error
  std::map<std::string, std::map<wire::TaskId, Ms>> results_;  // machine -> replica -> its end
};

}  // namespace scheduler
