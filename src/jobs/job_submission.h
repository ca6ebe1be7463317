// Submission of jobs: checks whether a job can be admitted, and writes its record.
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

// Why a job can never run in this cluster. The user receives the reason with status 422.
struct AdmissionError {
  std::string_view reason;
};

// Submissions are idempotent: the reply to a repeated submission of an accepted job is the job's
// state, whatever has changed since. A job is accepted once its record, with its first ranges, is
// written.
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
  // The reason why the job can never run; std::nullopt if it can.
  [[nodiscard]] std::optional<AdmissionError> admission_error(const wire::JobSpec& spec) const;
  [[nodiscard]] std::optional<AdmissionError> placement_error(const wire::JobSpec& spec,
                                                              std::size_t zones) const;
  // If the job is a service and some controller may be unable to read its record, replies with an
  // error and returns true.
  [[nodiscard]] bool refuse_unsupported_service(std::uint64_t request,
                                                const wire::JobSpec& spec) const;
  void reply_state(std::uint64_t request, const std::string& id, wire::JobState state) const;
  // Replies with the state of the job if it was accepted before. Otherwise replies 422 with the
  // reason, or 503 if there is none.
  void reply_known_or_refuse(Ms now, std::uint64_t request, const std::string& id,
                             std::optional<AdmissionError> error);
  // The encoded record of the job; std::nullopt if it is too large to be stored.
  std::optional<std::string> record_value(Ms now, const wire::JobSpec& spec);
  void write_job(Ms now, std::uint64_t request, const std::string& id, std::string value,
                 const std::string& body);
  void on_write_conflict(Ms now, std::uint64_t request, const std::string& id,
                         const std::string& body, const std::vector<std::string>& failed);
  // Called when the job's record is written. The reply of the state service may be late, and users
  // may have received newer states of the job meanwhile, so the reply must not be older than those.
  void on_job_recorded(Ms now, std::uint64_t request, const std::string& id);

  const Context& context_;
  const ControllerStatus& status_;
  JobReader& reader_;
  WaitingRequests& waiting_requests_;
  RangePlanner& planner_;
};

}  // namespace scheduler
