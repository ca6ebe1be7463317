// Linearizable reads of jobs: determines the state of a job that a user receives, and the revision
// of the state service at which that state is valid.
//
// The replica holds every change up to `StateClient::applied_revision()`. Of later changes it holds
// only this controller's own writes, from the moment the state service confirms them. Between two
// replies of the watch the replica can thus be in a state that never existed: it may hold a later
// write of this controller but not an earlier write of another one. Therefore:
// - Every reply about an unfinished job is the job's state at the applied revision. It is sent only
//   when the replica holds nothing newer of this job (`wait_until_job_settled`).
// - The applied revision never decreases, so no reply is older than an earlier reply of this
//   controller.
// - The barrier read starts after the request arrives, so the reply is no older than any reply that
//   any controller sent before the request.
// - Final states never change, so they are sent without waiting, whichever record they come from.
//
// Two replies are based on this controller's own newest write, ahead of the watch, and are valid at
// the revision of that write:
// - A submission that has just been written: the job is queued.
// - A cancellation whose record the watch has delivered: from then on, placements of the job are
//   only removed, each by a write of its owner. If the replica holds no placement, none exists.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "jobs/waiting_requests.h"
#include "membership/context.h"
#include "membership/controller_status.h"

namespace scheduler {

// State of a job at one revision.
struct JobStatus {
  bool known = false;  // false: the job was never submitted
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done = 0, running = 0;  // numbers of tasks
};

class JobReader {
 public:
  using OnJobRead = std::function<void(Ms now, const JobStatus& status)>;

  JobReader(const Context& context, const ControllerStatus& status, WaitingRequests& waiting)
      : context_(context), status_(status), waiting_requests_(waiting) {}

  void on_poll(Ms now, std::uint64_t request, const std::string& id);
  // Reads the state of the job at this moment or later and calls `on_job_read`. If the job can't be
  // read, replies 503 or 429 to the request instead, at once or at the deadline.
  void read_job(Ms now, std::uint64_t request, const std::string& id, Ms deadline,
                const OnJobRead& on_job_read);
  // Calls `on_settled` once the replica holds the job's state at the applied revision and nothing
  // newer. At the deadline, replies 503 to the request instead; 429 at once if too many requests
  // wait.
  void wait_until_job_settled(Ms now, std::uint64_t request, const std::string& id, Ms deadline,
                              const std::function<void(Ms now)>& on_settled);
  // State of an unfinished job. A cancelled job counts as cancelled only once the records show that
  // no task of it is left on any machine. In a zone that is partitioned together with a controller,
  // tasks may go on running: that controller renews their leases and can't read the cancellation.
  // Until the records show that these tasks have ended, users don't receive the state `cancelled`.
  static wire::JobState state_of(const Job& job);
  static JobStatus final_status(const wire::FinalStateRecord& record);
  // Logs the state in a reply about a job and the revision at which it is valid.
  void log_job_reply(const std::string& id, wire::JobState state) const;
  // Number of replies so far that had to wait for the watch.
  [[nodiscard]] std::uint64_t delayed_reply_count() const { return delayed_reply_count_; }

 private:
  // Called when the replica holds nothing of the job beyond the applied revision.
  void read_settled_job(Ms now, std::uint64_t request, const std::string& id,
                        const OnJobRead& on_job_read);
  void on_final_state_read(Ms now, std::uint64_t request, const std::string& id,
                           const HttpResult& http_result, const OnJobRead& on_job_read);

  const Context& context_;
  const ControllerStatus& status_;
  WaitingRequests& waiting_requests_;
  std::uint64_t delayed_reply_count_ = 0;
};

}  // namespace scheduler
