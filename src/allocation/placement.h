// Chooses the machine of a task by sampling machines and predicting the finish time.
#pragma once

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/resources.h"
#include "base/types.h"
#include "wire/messages.h"

namespace scheduler {

// Machines sampled per task. Two is the default of the paper that describes the method; eight gave
// the same results (docs/results.md).
constexpr int kSampledMachines = 2;
// Remaining seconds assumed for a task that runs longer than its estimate.
constexpr double kOverrunAllowanceS = 10.0;

// Resources of a booked task and its expected end by the estimate.
struct BookedTask {
  Resources resources;
  Ms ends_at = 0;
};

// A machine as seen by placement: the state of its last heartbeat plus tasks started since.
struct Candidate {
  std::string id;
  std::string zone;
  std::string type;
  bool spot = false;
  bool local = true;  // in this controller's shard
  std::uint64_t incarnation = 0;
  Resources free;
  double fetch_gb_per_s = 1;
  std::vector<std::string> images;  // images on the machine or being fetched by it
  std::vector<BookedTask> booked;

  [[nodiscard]] bool fits(const wire::JobSpec& job) const;
  // Books the task's resources. Returns true if the task's image was not yet in `images`.
  bool book(const wire::JobSpec& job, Ms ends_at);
  // Undoes the last booking.
  void unbook(const wire::JobSpec& job, bool image_was_new);
};

// Whether the job's constraints allow a machine of this type and zone, spot or not.
bool allowed(const wire::JobSpec& job, const std::string& type, const std::string& zone, bool spot);
// Whether an empty machine of this type has room for a task of the job.
bool type_fits(const wire::JobSpec& job, const wire::MachineType& type);

// Returns the expected end, by the estimate, of a task that starts at `from`. Services have no
// predictable end; the result is then far in the future.
Ms predicted_end(Ms from, const wire::JobSpec& spec);

// Returns the remaining seconds of a task that should end at `ends_at`, or kOverrunAllowanceS if
// that time has passed.
double remaining_s(Ms now, Ms ends_at);

// Returns the predicted finish in seconds from now: the sum of the wait for free capacity, the
// image fetch and the estimate.
double predict_finish(Ms now, const Candidate& machine, const wire::JobSpec& job);

// Returns the index of the machine on which the task can start now, or -1 if it must wait. Samples
// two eligible machines and takes the one with the earlier predicted finish; if neither has
// capacity, scans all eligible machines.
int pick_of_two(Ms now, const std::vector<Candidate*>& machines, const wire::JobSpec& job,
                const std::vector<int>& eligible, pcg32& random);

}  // namespace scheduler
