#include "scheduling/pending_order.h"

#include <algorithm>
#include <numeric>

namespace scheduler {

namespace {

// Rounds in which it is settled which of its class's objectives each waiting job is to meet;
// classes have two to four.
constexpr int kOrderRounds = 4;

}  // namespace

std::vector<std::size_t> order_by_deadline(const std::vector<PendingJob>& jobs, double cpus) {
  enum Class : int { in_time, late, misses_every_objective };
  const std::size_t n = jobs.size();
  std::vector<int> kind(n, in_time);
  std::vector<std::size_t> objective(n, 0);  // the objective that the job is to meet
  std::vector<std::size_t> order(n);
  std::iota(order.begin(), order.end(), 0);
  for (std::size_t i = 0; i < n; ++i)
    if (jobs[i].latest_starts.empty()) kind[i] = misses_every_objective;
  auto due = [&](std::size_t i) { return jobs[i].latest_starts[objective[i]]; };
  const double rate = std::max(cpus * kForecastShare, 1.0);
  // A job that misses an objective may still meet the next; each round settles who does.
  for (int round = 0; round < kOrderRounds; ++round) {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < n; ++i)
      if (kind[i] == in_time) open.push_back(i);
    std::sort(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
      if (jobs[a].priority != jobs[b].priority) return jobs[a].priority > jobs[b].priority;
      return due(a) != due(b) ? due(a) < due(b) : a < b;
    });
    auto costlier = [&](std::size_t a, std::size_t b) {
      return jobs[a].work / jobs[a].weight < jobs[b].work / jobs[b].weight;
    };
    std::vector<std::size_t> chosen;  // a heap, the costliest first
    double busy_s = 0;
    int priority = 0;
    bool put_off = false;
    for (const std::size_t i : open) {
      if (chosen.empty() || jobs[i].priority != priority) {
        // What has a higher priority is not put off for what has a lower one.
        chosen.clear();
        priority = jobs[i].priority;
      }
      chosen.push_back(i);
      std::push_heap(chosen.begin(), chosen.end(), costlier);
      busy_s += jobs[i].work / rate;
      if (busy_s <= due(i)) continue;
      std::pop_heap(chosen.begin(), chosen.end(), costlier);
      const std::size_t worst = chosen.back();
      chosen.pop_back();
      busy_s -= jobs[worst].work / rate;
      put_off = true;
      if (++objective[worst] >= jobs[worst].latest_starts.size()) {
        objective[worst] = 0;
        kind[worst] = late;
      }
    }
    if (!put_off) break;
  }
  // Those in time: the least work first as far as all stay in time (Smith's rule, from the end: of
  // those that may be last, the largest is). Forecasts err, and work comes that nobody knows of
  // yet; what is done early is safe from both.
  std::vector<std::size_t> slot(n, 0);
  {
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < n; ++i)
      if (kind[i] == in_time) open.push_back(i);
    std::sort(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
      if (jobs[a].priority != jobs[b].priority) return jobs[a].priority < jobs[b].priority;
      return due(a) != due(b) ? due(a) > due(b) : a < b;
    });
    double ends_s = 0;
    for (const std::size_t i : open) ends_s += jobs[i].work / rate;
    auto smaller = [&](std::size_t a, std::size_t b) {
      return jobs[a].work != jobs[b].work ? jobs[a].work < jobs[b].work : a < b;
    };
    std::vector<std::size_t> may;  // be next from the end; a heap, the largest first
    auto next = open.begin();
    for (std::size_t at = open.size(); at > 0; --at) {
      // Of one priority only; rounding may leave none that may, then the latest due goes.
      while (next != open.end() &&
             (may.empty() ||
              (jobs[*next].priority == jobs[may.front()].priority && due(*next) >= ends_s))) {
        may.push_back(*next++);
        std::push_heap(may.begin(), may.end(), smaller);
      }
      std::pop_heap(may.begin(), may.end(), smaller);
      slot[may.back()] = at;
      ends_s -= jobs[may.back()].work / rate;
      may.pop_back();
    }
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const PendingJob &x = jobs[a], &y = jobs[b];
    if ((kind[a] == misses_every_objective) != (kind[b] == misses_every_objective))
      return kind[b] == misses_every_objective;
    if (kind[a] == misses_every_objective) {
      if (x.priority != y.priority) return x.priority > y.priority;
      return x.age != y.age ? x.age > y.age : a < b;
    }
    if (x.priority != y.priority) return x.priority > y.priority;
    if (kind[a] != kind[b]) return kind[a] < kind[b];
    if (kind[a] == in_time) return slot[a] < slot[b];
    return x.work != y.work ? x.work < y.work : a < b;
  });
  std::vector<std::size_t> out(n);
  for (std::size_t at = 0; at < n; ++at) out[order[at]] = at;
  return out;
}

}  // namespace scheduler
