#include "scheduling/pending_order.h"

#include <algorithm>
#include <cstdint>
#include <numeric>

namespace scheduler {

namespace {

// Maximum rounds for choosing which of its class's objectives each waiting job is to meet; classes
// have two to four objectives.
constexpr int kMaxObjectiveRounds = 4;

// Orders one list of jobs; jobs are identified by their index in the list.
class DeadlineOrder {
 public:
  // `rate`: CPU seconds of work completed per second.
  DeadlineOrder(const std::vector<PendingJob>& jobs, double rate)
      : jobs_(jobs),
        rate_(rate),
        timeliness_(jobs.size(), Timeliness::in_time),
        objective_(jobs.size(), 0),
        slot_(jobs.size(), 0) {
    for (std::size_t job = 0; job < jobs.size(); ++job)
      if (jobs[job].latest_starts_s.empty()) timeliness_[job] = Timeliness::misses_every_objective;
  }

  std::vector<std::size_t> positions() {
    // A job that misses one objective may still meet a later one; each round defers such jobs to
    // their next objective.
    for (int round = 0; round < kMaxObjectiveRounds; ++round)
      if (!defer_late_jobs()) break;
    assign_slots();
    std::vector<std::size_t> order(jobs_.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [this](std::size_t a, std::size_t b) { return goes_before(a, b); });
    std::vector<std::size_t> out(jobs_.size());
    for (std::size_t position = 0; position < order.size(); ++position)
      out[order[position]] = position;
    return out;
  }

 private:
  enum class Timeliness : std::uint8_t { in_time, late, misses_every_objective };

  // Seconds from now by which the job's tasks must have started to meet its current objective.
  [[nodiscard]] double due_s(std::size_t job) const {
    return jobs_[job].latest_starts_s[objective_[job]];
  }

  [[nodiscard]] std::vector<std::size_t> jobs_in_time() const {
    std::vector<std::size_t> open;
    for (std::size_t job = 0; job < jobs_.size(); ++job)
      if (timeliness_[job] == Timeliness::in_time) open.push_back(job);
    return open;
  }

  // Applies Moore and Hodgson's rule: whenever a job would be late, the job with the most work per
  // weight is deferred to its next objective, or marked as late if it has no further objective.
  // Returns false if no job was deferred.
  bool defer_late_jobs() {
    std::vector<std::size_t> open = jobs_in_time();
    std::sort(open.begin(), open.end(), [this](std::size_t a, std::size_t b) {
      if (jobs_[a].priority != jobs_[b].priority) return jobs_[a].priority > jobs_[b].priority;
      return due_s(a) != due_s(b) ? due_s(a) < due_s(b) : a < b;
    });
    const auto less_work_per_weight = [this](std::size_t a, std::size_t b) {
      return jobs_[a].work_cpu_s / jobs_[a].weight < jobs_[b].work_cpu_s / jobs_[b].weight;
    };
    std::vector<std::size_t> accepted;  // max-heap by work per weight
    double busy_s = 0;
    int priority = 0;
    bool deferred = false;
    for (const std::size_t job : open) {
      if (accepted.empty() || jobs_[job].priority != priority) {
        // Jobs of higher priority are not deferred for jobs of lower priority.
        accepted.clear();
        priority = jobs_[job].priority;
      }
      accepted.push_back(job);
      std::push_heap(accepted.begin(), accepted.end(), less_work_per_weight);
      busy_s += jobs_[job].work_cpu_s / rate_;
      if (busy_s <= due_s(job)) continue;
      std::pop_heap(accepted.begin(), accepted.end(), less_work_per_weight);
      busy_s -= jobs_[accepted.back()].work_cpu_s / rate_;
      defer(accepted.back());
      accepted.pop_back();
      deferred = true;
    }
    return deferred;
  }

  void defer(std::size_t job) {
    if (++objective_[job] < jobs_[job].latest_starts_s.size()) return;
    objective_[job] = 0;
    timeliness_[job] = Timeliness::late;
  }

  // Orders the jobs that are in time by ascending work as far as all of them stay in time (Smith's
  // rule, applied from the end: the largest job that may be last is put last). Finishing jobs early
  // protects them from forecast errors and from work submitted later.
  void assign_slots() {
    std::vector<std::size_t> open = jobs_in_time();
    std::sort(open.begin(), open.end(), [this](std::size_t a, std::size_t b) {
      if (jobs_[a].priority != jobs_[b].priority) return jobs_[a].priority < jobs_[b].priority;
      return due_s(a) != due_s(b) ? due_s(a) > due_s(b) : a < b;
    });
    double ends_s = 0;
    for (const std::size_t job : open) ends_s += jobs_[job].work_cpu_s / rate_;
    const auto less_work = [this](std::size_t a, std::size_t b) {
      return jobs_[a].work_cpu_s != jobs_[b].work_cpu_s ? jobs_[a].work_cpu_s < jobs_[b].work_cpu_s
                                                        : a < b;
    };
    std::vector<std::size_t> last_slot_candidates;  // max-heap by work
    auto next = open.begin();
    for (std::size_t slot = open.size(); slot > 0; --slot) {
      // The heap holds jobs of one priority only. If rounding leaves no job that may be last, the
      // job with the latest due time is taken.
      while (next != open.end() &&
             (last_slot_candidates.empty() ||
              (jobs_[*next].priority == jobs_[last_slot_candidates.front()].priority &&
               due_s(*next) >= ends_s))) {
        last_slot_candidates.push_back(*next++);
        std::push_heap(last_slot_candidates.begin(), last_slot_candidates.end(), less_work);
      }
      std::pop_heap(last_slot_candidates.begin(), last_slot_candidates.end(), less_work);
      slot_[last_slot_candidates.back()] = slot;
      ends_s -= jobs_[last_slot_candidates.back()].work_cpu_s / rate_;
      last_slot_candidates.pop_back();
    }
  }

  [[nodiscard]] bool goes_before(std::size_t a, std::size_t b) const {
    const PendingJob& x = jobs_[a];
    const PendingJob& y = jobs_[b];
    const bool x_misses = timeliness_[a] == Timeliness::misses_every_objective;
    const bool y_misses = timeliness_[b] == Timeliness::misses_every_objective;
    if (x_misses != y_misses) return y_misses;
    if (x.priority != y.priority) return x.priority > y.priority;
    if (x_misses) return x.age_s != y.age_s ? x.age_s > y.age_s : a < b;
    if (timeliness_[a] != timeliness_[b]) return timeliness_[a] < timeliness_[b];
    if (timeliness_[a] == Timeliness::in_time) return slot_[a] < slot_[b];
    return x.work_cpu_s != y.work_cpu_s ? x.work_cpu_s < y.work_cpu_s : a < b;
  }

  const std::vector<PendingJob>& jobs_;
  double rate_;
  std::vector<Timeliness> timeliness_;
  std::vector<std::size_t> objective_;  // index of the objective that each job is to meet
  std::vector<std::size_t> slot_;       // position among the jobs that are in time
};

}  // namespace

std::vector<std::size_t> order_by_deadline(const std::vector<PendingJob>& jobs, double cpus) {
  return DeadlineOrder(jobs, std::max(cpus * kForecastCpuShare, 1.0)).positions();
}

}  // namespace scheduler
