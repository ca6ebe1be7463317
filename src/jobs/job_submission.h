// Submissions of jobs: admission, and the write that accepts a job.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/job_reader.h"
#include "jobs/waiting_requests.h"
#include "membership/context.h"
#include "scheduling/range_planner.h"

namespace scheduler {

// Why a job can never run here. Users are told the text with 422.
struct AdmissionError {
  std::string_view reason;
};

// Submissions are idempotent: a job that was accepted once is answered with its state, whatever has
// changed since. Accepted means that the job's record, with its first ranges, is written.
class JobSubmission {
 public:
  JobSubmission(const Context& context, const ControllerStatus& status, JobReader& reader,
                WaitingRequests& waiting, RangePlanner& planner)
      : context_(context),
        status_(status),
        reader_(reader),
        waiting_requests_(waiting),
        planner_(planner) {}

  void on_submit(Ms now, std::uint64_t request, const std::string& body);

 private:
  // Why the job can't run; none: it can.
  [[nodiscard]] std::optional<AdmissionError> admission_error(const wire::JobSpec& spec) const;
  [[nodiscard]] std::optional<AdmissionError> placement_error(const wire::JobSpec& spec,
                                                              std::size_t zones) const;
  // A service is submitted while some controller may be unable to read its record. Replies if so.
  [[nodiscard]] bool refuse_early_service(std::uint64_t request, const wire::JobSpec& spec) const;
  void reply_state(std::uint64_t request, const std::string& id, wire::JobState state) const;
  // The job is known, or can't be admitted unless it was accepted before.
  void reply_known_or_refuse(Ms now, std::uint64_t request, const std::string& id,
                             std::optional<AdmissionError> error);
  // The value of the job's record; none if it is too large to be stored.
  std::optional<std::string> record_value(Ms now, const wire::JobSpec& spec);
  void write_job(Ms now, std::uint64_t request, const std::string& id, std::string value,
                 const std::string& body);
  void on_write_conflict(Ms now, std::uint64_t request, const std::string& id,
                         const std::string& body, const std::vector<std::string>& failed);
  // The job is written. The reply may have been on its way for long: what has become of the job
  // since then may have been told already.
  void on_job_recorded(Ms now, std::uint64_t request, const std::string& id);

  const Context& context_;
  const ControllerStatus& status_;
  JobReader& reader_;
  WaitingRequests& waiting_requests_;
  RangePlanner& planner_;
};

}  // namespace scheduler
