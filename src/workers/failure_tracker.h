// Distinguishes failing machines from faulty jobs.
#pragma once

#include <map>
#include <set>
#include <string>

#include "base/types.h"

namespace scheduler {

// Milliseconds after which task failures are forgotten.
constexpr std::int64_t kFailureMemoryMs = 180'000;
// Initial and maximum backoff of a failing job in milliseconds; the delay doubles with each further
// failure.
constexpr std::int64_t kInitialJobBackoffMs = 1000;
constexpr std::int64_t kMaxJobBackoffMs = 30'000;

class FailureTracker {
 public:
  // A task of `job` failed on `machine`. Returns true if the machine should be quarantined.
  bool on_task_failed(Ms now, const std::string& machine, const std::string& job);
  // A replica of a service ended at once without being stopped. Does not count against the machine;
  // the job is backed off.
  void on_early_exit(Ms now, const std::string& machine, const std::string& job);
  // The worker keeps a result of this replica and would end each further attempt of it at once.
  // Other replicas of the job are not affected on this machine.
  void on_result_kept(Ms now, const std::string& machine, const wire::TaskId& replica);
  [[nodiscard]] bool has_kept_result(Ms now, const std::string& machine,
                                     const wire::TaskId& replica) const;
  // A replica has run long enough to show that the job is not faulty.
  void on_replica_stable(const std::string& job);
  // A task of `job` completed on `machine`: clears the failures of both.
  void on_task_completed(const std::string& machine, const std::string& job);
  // Earliest time at which the job's tasks may be started again.
  [[nodiscard]] Ms next_attempt_at(const std::string& job) const;
  // Whether a task of this job failed on the machine recently, so that other machines are
  // preferred.
  [[nodiscard]] bool has_failed_on(Ms now, const std::string& machine, const std::string& job,
                                   Ms failure_memory = kFailureMemoryMs) const;
  // Whether tasks of the job have failed on several machines, so that the job and not a machine is
  // most likely at fault.
  [[nodiscard]] bool is_faulty_job(const std::string& job) const;
  // Whether the job has failed on any machine since it last completed a task or had a replica that
  // ran for long enough.
  [[nodiscard]] bool has_failed(const std::string& job) const { return jobs_.contains(job); }
  void forget_job(const std::string& job);
  void forget_machine(const std::string& machine);

 private:
  void record_failure(Ms now, const std::string& machine, const std::string& job);

  struct JobFailures {
    std::map<std::string, Ms> machines;  // machine -> last failure
    int consecutive = 0;
    Ms next_attempt_at = 0;
  };
  static void back_off(Ms now, JobFailures& failures);

  std::map<std::string, JobFailures> jobs_;
  std::map<std::string, std::map<std::string, Ms>> machines_;       // machine -> job -> last error
  std::map<std::string, std::map<wire::TaskId, Ms>> kept_results_;  // machine -> replica -> end
};

}  // namespace scheduler
