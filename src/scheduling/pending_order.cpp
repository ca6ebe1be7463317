#include "scheduling/pending_order.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace scheduler {

namespace {

// Maximum rounds for choosing which of its class's objectives each waiting job is to meet; classes
// have two to four objectives.
constexpr int kOrderRounds = 4;

// Orders one list of jobs; jobs are identified by their index in the list.
class DeadlineOrder {
 public:
  // `rate`: CPU seconds of work completed per second.
  DeadlineOrder(const std::vector<PendingJob>& jobs, double rate)
      : jobs_(jobs),
        rate_(rate),
        outlook_(jobs.size(), Outlook::in_time),
        objective_(jobs.size(), 0),
        slot_(jobs.size(), 0) {
    for (std::size_t job = 0; job < jobs.size(); ++job)
      if (jobs[job].latest_starts.empty()) outlook_[job] = Outlook::misses_every_objective;
  }

  std::vector<std::size_t> places() {
    // A job that misses one objective may still meet a later one; each round defers such jobs to
    // their next objective.
    for (int round = 0; round < kOrderRounds; ++round)
      if (!defer_late_jobs()) break;
    fill_slots();
    std::vector<std::size_t> order(jobs_.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [this](std::size_t a, std::size_t b) { return goes_before(a, b); });
    std::vector<std::size_t> out(jobs_.size());
    for (std::size_t place = 0; place < order.size(); ++place) out[order[place]] = place;
    return out;
  }

 private:
  enum class Outlook : std::uint8_t { in_time, late, misses_every_objective };

  // Seconds from now by which the job's tasks must have started to meet its current objective.
  [[nodiscard]] double due(std::size_t job) const {
    return jobs_[job].latest_starts[objective_[job]];
  }

  [[nodiscard]] std::vector<std::size_t> jobs_in_time() const {
    std::vector<std::size_t> open;
    for (std::size_t job = 0; job < jobs_.size(); ++job)
      if (outlook_[job] == Outlook::in_time) open.push_back(job);
    return open;
  }

  // Applies Moore and Hodgson's rule: whenever a job would be late, the job with the most work per
  // weight is deferred to its next objective, or marked as late if it has no further objective.
  // Returns false if no job was deferred.
  bool defer_late_jobs() {
    std::vector<std::size_t> open = jobs_in_time();
    std::sort(open.begin(), open.end(), [this](std::size_t a, std::size_t b) {
      if (jobs_[a].priority != jobs_[b].priority) return jobs_[a].priority > jobs_[b].priority;
      return due(a) != due(b) ? due(a) < due(b) : a < b;
    });
    const auto costlier = [this](std::size_t a, std::size_t b) {
      return jobs_[a].work / jobs_[a].weight < jobs_[b].work / jobs_[b].weight;
    };
    std::vector<std::size_t> chosen;  // max-heap by work per weight
    double busy_s = 0;
    int priority = 0;
    bool deferred = false;
    for (const std::size_t job : open) {
      if (chosen.empty() || jobs_[job].priority != priority) {
        // Jobs of higher priority are not deferred for jobs of lower priority.
        chosen.clear();
        priority = jobs_[job].priority;
      }
      chosen.push_back(job);
      std::push_heap(chosen.begin(), chosen.end(), costlier);
      busy_s += jobs_[job].work / rate_;
      if (busy_s <= due(job)) continue;
      std::pop_heap(chosen.begin(), chosen.end(), costlier);
      busy_s -= jobs_[chosen.back()].work / rate_;
      defer(chosen.back());
      chosen.pop_back();
      deferred = true;
    }
    return deferred;
  }

  void defer(std::size_t job) {
    if (++objective_[job] < jobs_[job].latest_starts.size()) return;
    objective_[job] = 0;
    outlook_[job] = Outlook::late;
  }

  // Orders the jobs that are in time by ascending work as far as all of them stay in time (Smith's
  // rule, applied from the end: the largest job that may be last is put last). Finishing jobs early
  // protects them from forecast errors and from work submitted later.
  void fill_slots() {
    std::vector<std::size_t> open = jobs_in_time();
    std::sort(open.begin(), open.end(), [this](std::size_t a, std::size_t b) {
      if (jobs_[a].priority != jobs_[b].priority) return jobs_[a].priority < jobs_[b].priority;
      return due(a) != due(b) ? due(a) > due(b) : a < b;
    });
    double ends_s = 0;
    for (const std::size_t job : open) ends_s += jobs_[job].work / rate_;
    const auto smaller = [this](std::size_t a, std::size_t b) {
      return jobs_[a].work != jobs_[b].work ? jobs_[a].work < jobs_[b].work : a < b;
    };
    std::vector<std::size_t> may;  // jobs that may take the last free slot; max-heap by work
    auto next = open.begin();
    for (std::size_t slot = open.size(); slot > 0; --slot) {
      // The heap holds jobs of one priority only. If rounding leaves no job that may be last, the
      // job with the latest due time is taken.
      while (next != open.end() &&
             (may.empty() ||
              (jobs_[*next].priority == jobs_[may.front()].priority && due(*next) >= ends_s))) {
        may.push_back(*next++);
        std::push_heap(may.begin(), may.end(), smaller);
      }
      std::pop_heap(may.begin(), may.end(), smaller);
      slot_[may.back()] = slot;
      ends_s -= jobs_[may.back()].work / rate_;
      may.pop_back();
    }
  }

  [[nodiscard]] bool goes_before(std::size_t a, std::size_t b) const {
    const PendingJob& x = jobs_[a];
    const PendingJob& y = jobs_[b];
    const bool x_misses = outlook_[a] == Outlook::misses_every_objective;
    const bool y_misses = outlook_[b] == Outlook::misses_every_objective;
    if (x_misses != y_misses) return y_misses;
    if (x.priority != y.priority) return x.priority > y.priority;
    if (x_misses) return x.age != y.age ? x.age > y.age : a < b;
    if (outlook_[a] != outlook_[b]) return outlook_[a] < outlook_[b];
    if (outlook_[a] == Outlook::in_time) return slot_[a] < slot_[b];
    return x.work != y.work ? x.work < y.work : a < b;
  }

  const std::vector<PendingJob>& jobs_;
  double rate_;
  std::vector<Outlook> outlook_;
  std::vector<std::size_t> objective_;  // index of the objective that each job is to meet
  std::vector<std::size_t> slot_;       // position among the jobs that are in time
};

}  // namespace

std::vector<std::size_t> order_by_deadline(const std::vector<PendingJob>& jobs, double cpus) {
  return DeadlineOrder(jobs, std::max(cpus * kForecastShare, 1.0)).places();
}

}  // namespace scheduler
