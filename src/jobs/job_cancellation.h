// Cancellations of jobs. A cancellation is recorded by one conditional write and confirmed to the
// user once no task of the job is left on any machine.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jobs/job_reader.h"
#include "jobs/waiting_requests.h"
#include "membership/context.h"
#include "workers/machine_table.h"

namespace scheduler {

class JobCancellation {
 public:
  JobCancellation(const Context& context, JobReader& reader, WaitingRequests& waiting,
                  const MachineTable& machines)
      : context_(context), reader_(reader), waiting_requests_(waiting), machines_(machines) {}

  void on_cancel(Ms now, std::uint64_t request, const std::string& job) {
    cancel(now, request, job, 0);
  }
  // Replies to pending cancellations: 200 if the end of the job is recorded, 503 if it can't be
  // confirmed soon or the deadline has passed.
  void tick(Ms now);
  // Whether a request waits for the end of the job.
  [[nodiscard]] bool has_pending_request(const std::string& job) const {
    return pending_.contains(job);
  }

 private:
  struct PendingCancellation {
    std::uint64_t request = 0;
    Ms deadline = 0;
  };

  void cancel(Ms now, std::uint64_t request, const std::string& id, int retries);
  void write_cancelled(Ms now, std::uint64_t request, const std::string& id, int retries);
  // Called once the cancellation is recorded. Replies 200 as soon as the records show that no task
  // of the job is left on any machine, which takes a stop command and a write. Replies 503 with
  // Retry-After at the deadline, or at once if a machine of this controller's shard that still has
  // tasks of the job, or the state service, is known not to answer.
  void wait_until_cancelled(Ms now, std::uint64_t request, const std::string& id);
  // If the job is done or cancelled, replies with that state and returns true.
  bool reply_if_cancelled(std::uint64_t request, const std::string& id);
  // False if this controller can't write, or if a machine of its shard that still has tasks of the
  // job is known not to answer. Machines of other shards are not considered.
  [[nodiscard]] bool can_be_confirmed_soon(Ms now, const std::string& id) const;

  const Context& context_;
  JobReader& reader_;
  WaitingRequests& waiting_requests_;
  const MachineTable& machines_;
  std::map<std::string, std::vector<PendingCancellation>> pending_;  // by job
};

}  // namespace scheduler
