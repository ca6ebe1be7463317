// Cancellations of jobs: recorded by one conditional write, and confirmed once nothing of the job
// is left on any machine.
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
  // Replies to cancellations that are proven, or that can't be proven soon.
  void tick(Ms now);
  // Some request waits for the end of the job.
  [[nodiscard]] bool is_waited_for(const std::string& job) const { return pending_.contains(job); }

 private:
  struct PendingCancellation {
    std::uint64_t request = 0;
    Ms deadline = 0;
  };

  void cancel(Ms now, std::uint64_t request, const std::string& id, int tries);
  void write_cancelled(Ms now, std::uint64_t request, const std::string& id, int tries);
  // The cancellation is recorded. It is told as soon as the records say that nothing of the job is
  // left on any machine, which takes a stop and a write. What takes longer is told to come back: at
  // once when a machine of ours is known not to answer, or the state service does not.
  void wait_until_cancelled(Ms now, std::uint64_t request, const std::string& id);
  // Replies when the end of the job is known, whichever it is.
  bool reply_if_cancelled(std::uint64_t request, const std::string& id);
  // Whether the machines of ours that still have tasks of the job answer, as far as we know.
  [[nodiscard]] bool can_be_proven_soon(Ms now, const std::string& id) const;

  const Context& context_;
  JobReader& reader_;
  WaitingRequests& waiting_requests_;
  const MachineTable& machines_;
  std::map<std::string, std::vector<PendingCancellation>> pending_;  // by job
};

}  // namespace scheduler
