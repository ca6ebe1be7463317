// Measurements of a run besides the invariants: completed jobs and replies to health checks.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

void SimulatedCluster::count_served() {
  constexpr Ms kStartWithinMs = 240'000;  // PROTOCOL: four minutes
  std::map<std::string, std::vector<const SubmittedJob*>> classes;
  for (const auto& [id, j] : jobs_) {
    if (!j.accepted || j.fails_everywhere) continue;
    if (j.spec.is_service()) {
      // A service counts as served once its cancellation was confirmed to the user.
      auto& [all, cancelled] = result_.served["services"];
      ++all;
      cancelled += j.reported_cancelled ? 1 : 0;
      continue;
    }
    // Jobs submitted in the last four minutes may still be running.
    if (j.cancel_requested || now_ - j.submitted_at < kStartWithinMs) continue;
    classes[j.spec.job_class].push_back(&j);
  }
  auto count = [this](const std::string& what, const SubmittedJob& j) {
    auto& [all, done] = result_.served[what];
    ++all;
    done += j.reported_done ? 1 : 0;
  };
  for (auto& [name, list] : classes) {
    std::sort(list.begin(), list.end(), [](const SubmittedJob* a, const SubmittedJob* b) {
      return a->spec.tasks * a->spec.cpus * a->work_ms > b->spec.tasks * b->spec.cpus * b->work_ms;
    });
    for (const auto* j : list) {
      count("class " + name, *j);
      count("team " + j->spec.team, *j);
    }
    for (std::size_t i = 0; i < (list.size() + 9) / 10; ++i) {
      const SubmittedJob& j = *list[i];
      count("largest " + name, j);
      ++result_.large_jobs;
      if (j.first_start_at == 0 || j.first_start_at - j.submitted_at > kStartWithinMs)
        ++result_.large_jobs_late;
    }
  }
}

void SimulatedCluster::probe_health() {
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    if (!options_.link_cuts.empty() && !recovering_ && controllers_[i]->controller)
      send_to_controller(i, {"GET", "/healthz", ""}, "", [this, i](int status, const std::string&) {
        result_.unhealthy[controllers_[i]->name] += status != 200;
      });
    const bool controller_isolated =
        controllers_[i]->isolated_since && now_ - controllers_[i]->isolated_since > 10'000;
    const bool outage = state_->outage;
    if (!controller_isolated && !outage) continue;
    send_to_controller(
        i, {"GET", "/healthz", ""}, "",
        [this, controller_isolated](int status, const std::string&) {
          if (status == 0) return;
          (controller_isolated
               ? (status == 200 ? result_.isolated_healthy : result_.isolated_unhealthy)
               : (status == 200 ? result_.outage_healthy : result_.outage_unhealthy)) += 1;
        });
  }
}

}  // namespace scheduler::sim
