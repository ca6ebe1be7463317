// Troubles, and what is counted at the end.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler::sim {

// The cloud goes on listing it as running for a while.
void SimulatedCluster::machine_dies(SimulatedWorker& w) {
  for (const auto& [task, t] : w.tasks) {
    const auto& spec = jobs_.at(task.job).spec;
    result_.zone_losses += t.present && (spec.one_zone || !spec.zone.empty());
    if (t.present && spec.is_service()) replica_lost_at_[task] = now_;
  }
  w.dead = true;
  clear_tasks(w);
  at(now_ + options_.dead_listed_ms, [this, id = w.id] {
    const auto machine = cloud_->machines.find(id);
    if (machine != cloud_->machines.end()) machine->second.failed = true;
  });
}

void SimulatedCluster::inject_fault() {
  const auto n = any_controller_index();
  const Ms lasts = chance(0.2) ? 10'000 + random(30'000) : 2000 + random(14'000);
  inject_fault(static_cast<Fault>(random(static_cast<int>(options_.random_faults_before))), n,
               lasts);
}

void SimulatedCluster::hang(SimulatedWorker& w, Ms lasts) {
  w.hanging = true;
  w.reporting = false;
  at(now_ + lasts, [this, id = w.id] { workers_.at(id)->hanging = false; });
}

// Users cancel many jobs that run and have long to go; most of their machines hang.
void SimulatedCluster::cancel_running(Ms lasts) {
  constexpr std::size_t kMostJobs = 20, kMostMachines = 8;
  constexpr double kLongMs = 3000;
  std::set<std::string> jobs;
  std::vector<SimulatedWorker*> machines;
  for (auto& [id, w] : workers_) {
    if (!w->up || w->dead) continue;
    bool concerned = false;
    for (const auto& [task, t] : w->tasks) {
      const SubmittedJob& j = jobs_.at(task.job);
      if (!t.present || !j.accepted || j.work_ms - t.work_ms < kLongMs || jobs.size() >= kMostJobs)
        continue;
      concerned = jobs.insert(task.job).second || concerned;
    }
    if (concerned && machines.size() < kMostMachines) machines.push_back(w.get());
  }
  for (const auto& id : jobs) at(now_ + random(200), [this, id] { cancel(id, 0); });
  for (SimulatedWorker* w : machines) {
    if (!chance(0.7)) continue;
    ++result_.cancelled_hanging;
    hang(*w, lasts);
  }
}

void SimulatedCluster::inject_fault(Fault kind, std::size_t n, Ms lasts) {
  if (recovering_) return;
  auto machine = [this]() -> SimulatedWorker* {
    std::vector<SimulatedWorker*> up;
    for (auto& [id, w] : workers_)
      if (w->up && !w->dead) up.push_back(w.get());
    return up.empty() ? nullptr : up[static_cast<std::size_t>(random(static_cast<int>(up.size())))];
  };
  trace("trouble " + std::to_string(static_cast<int>(kind)) + " node " + std::to_string(n) +
        " for " + std::to_string(lasts));
  switch (kind) {
    case Fault::controller_crash:
      crash_controller(n);
      break;
    case Fault::all_controllers_crash:
      for (std::size_t i = 0; i < controllers_.size(); ++i) crash_controller(i);
      break;
    case Fault::quick_restart:
      // Again while it joins.
      crash_controller(n, 30 + random(300));
      at(now_ + 350 + random(500), [this, n] {
        if (!recovering_) crash_controller(n, 30 + random(300));
      });
      break;
    case Fault::state_outage:
      state_->outage = true;
      at(now_ + lasts / 2, [this] {
        if (state_->outage)  // every lease has its full time again
          for (auto& [p, h] : state_->holds) h.first = now_ + h.second;
        state_->outage = false;
      });
      if (options_.faults && chance(0.4)) crash_controller(n);
      break;
    case Fault::state_refuses_one:
      controllers_[n]->refused_by_state = true;
      at(now_ + lasts, [this, n] { controllers_[n]->refused_by_state = false; });
      break;
    case Fault::cut_from_state:
      controllers_[n]->cut_from_state = true;
      at(now_ + lasts, [this, n] { controllers_[n]->cut_from_state = false; });
      break;
    case Fault::controller_isolated:
      controllers_[n]->cut_from_state = controllers_[n]->cut_from_peers = true;
      controllers_[n]->isolated_since = now_;
      at(now_ + lasts, [this, n] {
        controllers_[n]->cut_from_state = controllers_[n]->cut_from_peers = false;
        controllers_[n]->isolated_since = 0;
      });
      break;
    case Fault::cut_from_workers:
      controllers_[n]->cut_from_workers = true;
      at(now_ + lasts, [this, n] { controllers_[n]->cut_from_workers = false; });
      break;
    case Fault::zones_partitioned:
      zones_partitioned_ = true;
      at(now_ + lasts, [this] { zones_partitioned_ = false; });
      break;
    case Fault::process_pause:
      controllers_[n]->paused = true;
      at(now_ + lasts, [this, n, generation = controllers_[n]->generation] {
        if (controllers_[n]->generation == generation) resume_controller(n);
      });
      break;
    case Fault::zone_cut:
      // Zone c has no controller, a two, b one.
      cut_zone_ = kZones[(n + 2) % 3];
      at(now_ + lasts, [this] { cut_zone_.clear(); });
      break;
    case Fault::peers_refuse:
      peers_refuse_ = true;
      at(now_ + lasts, [this] { peers_refuse_ = false; });
      break;
    case Fault::state_slow:
      state_slower_ = 20;
      at(now_ + lasts, [this] { state_slower_ = 1; });
      break;
    case Fault::spot_wave:
      for (auto& [id, w] : workers_)
        if (w->spot && w->up && !w->dead && chance(0.33))
          w->notice_ends = now_ + (chance(0.3) ? 1 : 1000 + random(4000));
      break;
    case Fault::rolling_restart:
      for (std::size_t i = 0; i < controllers_.size(); ++i)
        at(now_ + static_cast<Ms>(i) * 5000, [this, i] {
          if (!recovering_) crash_controller(i);
        });
      break;
    case Fault::job_burst:
      for (Ms t = 0; t < lasts / 2; t += 400)
        at(now_ + t, [this] {
          if (!recovering_) new_job();
        });
      break;
    case Fault::duplicate_heartbeats:
      duplicate_heartbeats_until_ = now_ + lasts;
      break;
    case Fault::machine_hangs:
      if (SimulatedWorker* w = machine()) hang(*w, lasts);
      break;
    case Fault::machine_heartbeats_lost:
      if (SimulatedWorker* w = machine(); w && w->heartbeats_lost_since == 0) {
        w->heartbeats_lost_since = now_;
        at(now_ + lasts, [this, id = w->id] { workers_.at(id)->heartbeats_lost_since = 0; });
      }
      break;
    case Fault::heartbeats_delayed:
      heartbeats_delayed_until_ = now_ + lasts;
      break;
    case Fault::slow_links:
      slow_links_ = true;
      at(now_ + lasts, [this] { slow_links_ = false; });
      break;
    case Fault::cancel_now:
      cancel_running(lasts);
      break;
    case Fault::cancel_at_end:
      cancel_at_end_until_ = now_ + lasts;
      break;
    case Fault::invalid_requests:
      for (Ms t = 0; t < lasts; t += 100) at(now_ + t, [this] { send_invalid_request(); });
      break;
    case Fault::state_reorders:
      state_reorders_until_ = now_ + lasts;
      break;
    case Fault::watch_lags:
      watch_lags_until_ = now_ + lasts;
      break;
    case Fault::answers_lost:
      answers_lost_until_ = now_ + lasts;
      break;
    case Fault::concurrent_reads:
      concurrent_reads_until_ = now_ + lasts;
      break;
    case Fault::machine_unreachable:
      if (SimulatedWorker* w = machine(); w && w->unreachable_since == 0) {
        w->unreachable_since = now_;
        at(now_ + lasts, [this, id = w->id] { workers_.at(id)->unreachable_since = 0; });
      }
      break;
    case Fault::machine_restarts:
      if (SimulatedWorker* w = machine()) {
        w->up = w->reporting = false;
        clear_tasks(*w);
        w->incarnation = 1;
        w->sequence = w->token = 0;
        ++w->heartbeat_number;
        ++w->life;
        at(now_ + 50 + random(600), [this, id = w->id] {
          SimulatedWorker& x = *workers_.at(id);
          if (x.dead) return;
          x.up = true;
          x.lease_from = now_;
          x.next_heartbeat_at = x.waits_until = now_;
          tick_worker(id, x.life);
        });
      }
      break;
    case Fault::machine_dies:
      if (SimulatedWorker* w = machine()) machine_dies(*w);
      break;
    case Fault::preemption_notice:
      if (SimulatedWorker* w = machine()) w->notice_ends = now_ + 2000 + random(3000);
      break;
    case Fault::machine_fails_tasks:
      if (SimulatedWorker* w = machine()) w->sick = true;
      break;
    case Fault::late_writes:
      late_writes_until_ = now_ + lasts;
      break;
    case Fault::all_controllers_down:
      // Back one after the other.
      for (std::size_t i = 0; i < controllers_.size(); ++i)
        keep_down((n + i) % controllers_.size(), lasts + static_cast<Ms>(i) * 300);
      break;
    case Fault::controller_down:
      keep_down(n, lasts);
      break;
    case Fault::view_changes:
      for (std::size_t i = 0; i < 10; ++i)
        at(now_ + static_cast<Ms>(i) * lasts / 10, [this, i, n] {
          if (!recovering_) crash_controller((n + i) % controllers_.size());
        });
      break;
    case Fault::failback:
      // Its hold ends, so that others take over, and it takes its part back.
      keep_down(n, 6500);
      at(now_ + 9000, [this, n, lasts] {
        if (recovering_) return;
        keep_down(n, 100 + random(800));
        for (std::size_t i = 1; i < controllers_.size(); ++i)
          keep_down((n + i) % controllers_.size(), lasts);
      });
      break;
    case Fault::refused_then_outage:
      controllers_[n]->refused_by_state = true;
      at(now_ + 1000, [this, lasts] {
        if (!recovering_) outage(lasts);
      });
      at(now_ + 1000 + lasts, [this, n] { controllers_[n]->refused_by_state = false; });
      break;
    case Fault::cloud_outage:
    case Fault::count:
      cloud_->outage = true;
      at(now_ + lasts, [this] { cloud_->outage = false; });
      break;
  }
}

// Holds wait meanwhile, and have their full time again afterwards (PROTOCOL).
void SimulatedCluster::outage(Ms lasts) {
  state_->outage = state_->holds_wait = true;
  at(now_ + lasts, [this] {
    if (state_->outage)
      for (auto& [p, h] : state_->holds) h.first = now_ + h.second;
    state_->outage = state_->holds_wait = false;
  });
}

void SimulatedCluster::count_served() {
  constexpr Ms kBeginWithin = 240'000;  // PROTOCOL's additions: four minutes
  std::map<std::string, std::vector<const SubmittedJob*>> classes;
  for (const auto& [id, j] : jobs_) {
    // Those of the last minutes may well be on their way.
    if (!j.accepted || j.mistake) continue;
    if (j.spec.is_service()) {
      // It has been served when its user, who no longer needs it, has been told that it is over.
      auto& [all, over] = result_.served["services"];
      ++all;
      over += j.told_cancelled ? 1 : 0;
      continue;
    }
    if (j.asked_cancel || now_ - j.submitted_at < kBeginWithin) continue;
    classes[j.spec.job_class].push_back(&j);
  }
  auto count = [this](const std::string& what, const SubmittedJob& j) {
    auto& [all, done] = result_.served[what];
    ++all;
    done += j.told_done ? 1 : 0;
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
      ++result_.largest_seen;
      if (j.begun_at == 0 || j.begun_at - j.submitted_at > kBeginWithin) ++result_.largest_late;
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
