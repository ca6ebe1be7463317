// Linearizable reads of jobs: what users are told of a job, and which revision of the state service
// that rests on.
//
// The replica holds every change up to `StateClient::applied_revision()`, and beyond it only what
// this controller has written itself, as soon as that is answered. Between two replies of the watch
// it can thus be a state that never existed: a later write of our own known, an earlier one not. So
// every reply about a job that is not over is the job's state at the applied revision, and it is
// given only when the replica holds nothing newer of this job (`wait_until_job_settled`). The
// applied revision never falls, so no reply is older than one that this controller gave before; a
// barrier read that was asked for after the question makes it no older than what any controller had
// told by then. Final states never change and are told from whatever names them.
//
// Two replies rest on our own newest write, ahead of the watch, and are true at its revision:
// - A submission that has just been written: the job is queued.
// - A cancellation whose record the watch has passed: from then on placements of the job can only
//   go, each by its owner's write. If the replica holds none, there is none.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "jobs/waiting_requests.h"
#include "membership/context.h"
#include "membership/controller_status.h"

namespace scheduler {

// What is known of a job at one revision.
struct JobStatus {
  bool known = false;  // false: nobody ever submitted it
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done = 0, running = 0;  // tasks
};

class JobReader {
 public:
  using OnJobRead = std::function<void(Ms now, const JobStatus& status)>;

  JobReader(const Context& context, const ControllerStatus& status, WaitingRequests& waiting)
      : context_(context), status_(status), waiting_requests_(waiting) {}

  void on_poll(Ms now, std::uint64_t request, const std::string& id);
  // Reads the job as of now or later. Whoever cannot be told is answered 503 or 429 at once, or at
  // the deadline.
  void read_job(Ms now, std::uint64_t request, const std::string& id, Ms deadline,
                const OnJobRead& on_job_read);
  // Calls `then` once the replica is the job's state at the applied revision, with nothing newer.
  // At the deadline the request is answered 503 instead.
  void wait_until_job_settled(Ms now, std::uint64_t request, const std::string& id, Ms deadline,
                              const std::function<void(Ms now)>& then);
  // A cancellation is told once nothing of the job is left on any machine, by the records. Guards
  // against tasks that run on in a zone partitioned together with a controller, which renews their
  // leases and cannot know: nobody was told that they are gone.
  static wire::JobState state_of(const Job& job);
  static JobStatus final_status(const wire::FinalStateRecord& record);
  // For the log: which revision a reply about a job rests on.
  void log_job_reply(const std::string& id, wire::JobState state) const;
  // Replies that have waited for the watch so far.
  [[nodiscard]] std::uint64_t replies_delayed() const { return replies_delayed_; }

 private:
  // What the replica holds of the job is settled.
  void read_settled_job(Ms now, std::uint64_t request, const std::string& id,
                        const OnJobRead& on_job_read);
  void on_final_state_read(Ms now, std::uint64_t request, const std::string& id,
                           const HttpResult& http_result, const OnJobRead& on_job_read);

  const Context& context_;
  const ControllerStatus& status_;
  WaitingRequests& waiting_requests_;
  std::uint64_t replies_delayed_ = 0;
};

}  // namespace scheduler
