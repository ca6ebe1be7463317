// Sampling and prediction: which machine a task goes to.
#pragma once

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/resources.h"
#include "base/types.h"
#include "wire/messages.h"

namespace scheduler {

// Machines sampled per task. The paper's default; eight changed nothing (docs/results.md).
constexpr int kSampledMachines = 2;
// Seconds in which an overrunning task is counted as ending; the design's starting value.
constexpr double kOverrunAllowanceS = 10.0;

// What a booked task holds, and when it should be through by its estimate.
struct Booked {
  Resources resources;
  Ms ends_at = 0;
};

// A machine as placement sees it: the last heartbeat plus starts since.
struct Candidate {
  std::string id;
  std::string zone;
  std::string type;
  bool spot = false;
  bool local = true;  // of this controller's shard
  std::uint64_t incarnation = 0;
  Resources free;
  double fetch_gb_per_s = 1;
  std::vector<std::string> images;  // known to be there or on their way
  std::vector<Booked> booked;

  [[nodiscard]] bool fits(const wire::JobSpec& job) const;
  // True when the task's image was not counted yet.
  bool book(const wire::JobSpec& job, Ms ends_at);
  // Takes the last booking back.
  void unbook(const wire::JobSpec& job, bool image_was_new);
};

bool allowed(const wire::JobSpec& job, const std::string& type, const std::string& zone, bool spot);
bool type_fits(const wire::JobSpec& job, const wire::MachineType& type);

// When a task that starts at `from` should end, by its estimate; far away for a service, which has
// no end to predict.
Ms predicted_end(Ms from, const wire::JobSpec& spec);

// Remaining seconds of a task that should end at `ends_at`. An overrunning task counts as ending
// within the allowance.
double remaining_s(Ms now, Ms ends_at);

// Predicted finish, seconds from now: the wait until capacity is free, the image fetch, the
// estimate.
double predict_finish(Ms now, const Candidate& machine, const wire::JobSpec& job);

// Index of the machine that takes the task now, or -1 when it has to wait: the lower prediction of
// two sampled machines; if neither has capacity, the lowest of one scan.
int pick_of_two(Ms now, const std::vector<Candidate*>& machines, const wire::JobSpec& job,
                const std::vector<int>& eligible, pcg32& random);

}  // namespace scheduler
