#include "allocation/placement.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "base/resources.h"

namespace scheduler {

namespace {

// Milliseconds for which a booked replica is predicted to run. A service ends only when its user
// cancels it, so the prediction is longer than any array task runs.
constexpr std::int64_t kServiceRunTimeMs = 24LL * 3600 * 1000;

}  // namespace

bool Candidate::fits(const wire::JobSpec& job) const { return free.fits(resources_of(job)); }

bool Candidate::book(const wire::JobSpec& job, Ms ends_at) {
  const Resources taken = resources_of(job);
  free -= taken;
  booked.push_back({taken, ends_at});
  const bool image_is_new = std::find(images.begin(), images.end(), job.image) == images.end();
  if (image_is_new) images.push_back(job.image);
  return image_is_new;
}

void Candidate::unbook(const wire::JobSpec& job, bool image_was_new) {
  free += resources_of(job);
  booked.pop_back();
  if (image_was_new) images.pop_back();
}

bool allowed(const wire::JobSpec& job, const std::string& type, const std::string& zone,
             bool spot) {
  if (spot && !job.spot) return false;
  if (!job.zone.empty() && zone != job.zone) return false;
  return job.types.empty() ||
         std::find(job.types.begin(), job.types.end(), type) != job.types.end();
}

bool type_fits(const wire::JobSpec& job, const wire::MachineType& type) {
  return fit_count(resources_of(job), resources_of(type)) >= 1.0;
}

Ms predicted_end(Ms from, const wire::JobSpec& spec) {
  if (spec.is_service()) return from + kServiceRunTimeMs;
  return from + static_cast<Ms>(spec.estimate_s * 1000.0);
}

double remaining_s(Ms now, Ms ends_at) {
  return now < ends_at ? static_cast<double>(ends_at - now) / 1000.0 : kOverrunAllowanceS;
}

namespace {

// Seconds until enough booked tasks have ended for the demand to fit; kNeverS if they never free
// enough.
double wait_until_fits(Ms now, const Candidate& machine, const Resources& demand) {
  constexpr double kNeverS = 1e9;
  std::vector<BookedTask> by_end = machine.booked;
  std::sort(by_end.begin(), by_end.end(), [now](const BookedTask& a, const BookedTask& b) {
    return remaining_s(now, a.ends_at) < remaining_s(now, b.ends_at);
  });
  Resources free = machine.free;
  for (const BookedTask& booked : by_end) {
    free += booked.resources;
    if (free.fits(demand)) return remaining_s(now, booked.ends_at);
  }
  return kNeverS;
}

}  // namespace

double predict_finish(Ms now, const Candidate& machine, const wire::JobSpec& job) {
  const double wait_s = machine.fits(job) ? 0.0 : wait_until_fits(now, machine, resources_of(job));
  const bool has_image =
      std::find(machine.images.begin(), machine.images.end(), job.image) != machine.images.end();
  const double fetch_s = has_image ? 0.0 : job.image_gb / std::max(0.01, machine.fetch_gb_per_s);
  return wait_s + fetch_s + job.estimate_s;
}

int pick_of_two(Ms now, const std::vector<Candidate*>& machines, const wire::JobSpec& job,
                const std::vector<int>& eligible, pcg32& random) {
  if (eligible.empty()) return -1;
  int best = -1;
  double best_finish = 0;
  // Among equal predictions, the machine with fewer free CPUs is chosen, so that whole machines
  // stay free for large tasks.
  auto consider = [&](int index) {
    const Candidate& candidate = *machines[static_cast<std::size_t>(index)];
    if (!candidate.fits(job)) return;
    const double finish = predict_finish(now, candidate, job);
    if (best >= 0) {
      const bool equal = std::abs(finish - best_finish) <= 1e-9;
      const bool better =
          equal ? candidate.free.cpus < machines[static_cast<std::size_t>(best)]->free.cpus
                : finish < best_finish;
      if (!better) return;
    }
    best = index;
    best_finish = finish;
  };
  std::uniform_int_distribution<std::size_t> draw(0, eligible.size() - 1);
  for (int sample = 0; sample < kSampledMachines; ++sample) consider(eligible[draw(random)]);
  if (best >= 0) return best;
  for (const int index : eligible) consider(index);
  return best;
}

}  // namespace scheduler
