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
void World::machine_dies(Worker& w) {
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

void World::trouble() {
  const auto n = any_node();
  const Ms lasts = chance(0.2) ? 10'000 + random(30'000) : 2000 + random(14'000);
  trouble(static_cast<Trouble>(random(static_cast<int>(options_.mix_before))), n, lasts);
}

void World::hang(Worker& w, Ms lasts) {
  w.hanging = true;
  w.reporting = false;
  at(now_ + lasts, [this, id = w.id] { workers_.at(id)->hanging = false; });
}

// Users cancel many jobs that run and have long to go; most of their machines hang.
void World::cancel_running(Ms lasts) {
  constexpr std::size_t kMostJobs = 20, kMostMachines = 8;
  constexpr double kLongMs = 3000;
  std::set<std::string> jobs;
  std::vector<Worker*> machines;
  for (auto& [id, w] : workers_) {
    if (!w->up || w->dead) continue;
    bool concerned = false;
    for (const auto& [task, t] : w->tasks) {
      const UserJob& j = jobs_.at(task.job);
      if (!t.present || !j.accepted || j.work_ms - t.work_ms < kLongMs || jobs.size() >= kMostJobs)
        continue;
      concerned = jobs.insert(task.job).second || concerned;
    }
    if (concerned && machines.size() < kMostMachines) machines.push_back(w.get());
  }
  for (const auto& id : jobs) at(now_ + random(200), [this, id] { cancel(id, 0); });
  for (Worker* w : machines) {
    if (!chance(0.7)) continue;
    ++result_.cancelled_hanging;
    hang(*w, lasts);
  }
}

void World::trouble(Trouble kind, std::size_t n, Ms lasts) {
  if (calm_) return;
  auto machine = [this]() -> Worker* {
    std::vector<Worker*> up;
    for (auto& [id, w] : workers_)
      if (w->up && !w->dead) up.push_back(w.get());
    return up.empty() ? nullptr : up[static_cast<std::size_t>(random(static_cast<int>(up.size())))];
  };
  trace("trouble " + std::to_string(static_cast<int>(kind)) + " node " + std::to_string(n) +
        " for " + std::to_string(lasts));
  switch (kind) {
    case Trouble::crash_one:
      crash_node(n);
      break;
    case Trouble::crash_all:
      for (std::size_t i = 0; i < nodes_.size(); ++i) crash_node(i);
      break;
    case Trouble::quick_restart:
      // Again while it joins.
      crash_node(n, 30 + random(300));
      at(now_ + 350 + random(500), [this, n] {
        if (!calm_) crash_node(n, 30 + random(300));
      });
      break;
    case Trouble::state_outage:
      state_->outage = true;
      at(now_ + lasts / 2, [this] {
        if (state_->outage)  // every lease has its full time again
          for (auto& [p, h] : state_->holds) h.first = now_ + h.second;
        state_->outage = false;
      });
      if (options_.troubles && chance(0.4)) crash_node(n);
      break;
    case Trouble::state_refuses_one:
      nodes_[n]->refused_by_state = true;
      at(now_ + lasts, [this, n] { nodes_[n]->refused_by_state = false; });
      break;
    case Trouble::cut_from_state:
      nodes_[n]->cut_from_state = true;
      at(now_ + lasts, [this, n] { nodes_[n]->cut_from_state = false; });
      break;
    case Trouble::isolated:
      nodes_[n]->cut_from_state = nodes_[n]->cut_from_peers = true;
      nodes_[n]->isolated_since = now_;
      at(now_ + lasts, [this, n] {
        nodes_[n]->cut_from_state = nodes_[n]->cut_from_peers = false;
        nodes_[n]->isolated_since = 0;
      });
      break;
    case Trouble::cut_from_workers:
      nodes_[n]->cut_from_workers = true;
      at(now_ + lasts, [this, n] { nodes_[n]->cut_from_workers = false; });
      break;
    case Trouble::zones_apart:
      zones_apart_ = true;
      at(now_ + lasts, [this] { zones_apart_ = false; });
      break;
    case Trouble::stands_still:
      nodes_[n]->still = true;
      at(now_ + lasts, [this, n, generation = nodes_[n]->generation] {
        if (nodes_[n]->generation == generation) wake_node(n);
      });
      break;
    case Trouble::zone_cut:
      // Zone c has no controller, a two, b one.
      cut_zone_ = kZones[(n + 2) % 3];
      at(now_ + lasts, [this] { cut_zone_.clear(); });
      break;
    case Trouble::peers_refuse:
      peers_refuse_ = true;
      at(now_ + lasts, [this] { peers_refuse_ = false; });
      break;
    case Trouble::state_slow:
      state_slower_ = 20;
      at(now_ + lasts, [this] { state_slower_ = 1; });
      break;
    case Trouble::spot_wave:
      for (auto& [id, w] : workers_)
        if (w->spot && w->up && !w->dead && chance(0.33))
          w->notice_ends = now_ + (chance(0.3) ? 1 : 1000 + random(4000));
      break;
    case Trouble::rolling_restart:
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        at(now_ + static_cast<Ms>(i) * 5000, [this, i] {
          if (!calm_) crash_node(i);
        });
      break;
    case Trouble::job_burst:
      for (Ms t = 0; t < lasts / 2; t += 400)
        at(now_ + t, [this] {
          if (!calm_) new_job();
        });
      break;
    case Trouble::late_copies:
      late_copies_until_ = now_ + lasts;
      break;
    case Trouble::machine_hangs:
      if (Worker* w = machine()) hang(*w, lasts);
      break;
    case Trouble::machine_mute:
      if (Worker* w = machine(); w && w->mute_since == 0) {
        w->mute_since = now_;
        at(now_ + lasts, [this, id = w->id] { workers_.at(id)->mute_since = 0; });
      }
      break;
    case Trouble::reports_held:
      reports_held_until_ = now_ + lasts;
      break;
    case Trouble::links_slow:
      links_slow_ = true;
      at(now_ + lasts, [this] { links_slow_ = false; });
      break;
    case Trouble::cancel_now:
      cancel_running(lasts);
      break;
    case Trouble::cancel_at_end:
      cancel_at_end_until_ = now_ + lasts;
      break;
    case Trouble::odd_requests:
      for (Ms t = 0; t < lasts; t += 100) at(now_ + t, [this] { odd_request(); });
      break;
    case Trouble::state_reorders:
      state_reorders_until_ = now_ + lasts;
      break;
    case Trouble::watch_lags:
      watch_lags_until_ = now_ + lasts;
      break;
    case Trouble::answers_lost:
      answers_lost_until_ = now_ + lasts;
      break;
    case Trouble::close_looks:
      close_looks_until_ = now_ + lasts;
      break;
    case Trouble::machine_deaf:
      if (Worker* w = machine(); w && w->deaf_since == 0) {
        w->deaf_since = now_;
        at(now_ + lasts, [this, id = w->id] { workers_.at(id)->deaf_since = 0; });
      }
      break;
    case Trouble::machine_restarts:
      if (Worker* w = machine()) {
        w->up = w->reporting = false;
        clear_tasks(*w);
        w->incarnation = 1;
        w->sequence = w->token = 0;
        ++w->report_number;
        ++w->life;
        at(now_ + 50 + random(600), [this, id = w->id] {
          Worker& x = *workers_.at(id);
          if (x.dead) return;
          x.up = true;
          x.lease_from = now_;
          x.report_at = x.waits_until = now_;
          worker_tick(id, x.life);
        });
      }
      break;
    case Trouble::machine_dies:
      if (Worker* w = machine()) machine_dies(*w);
      break;
    case Trouble::machine_noticed:
      if (Worker* w = machine()) w->notice_ends = now_ + 2000 + random(3000);
      break;
    case Trouble::machine_sick:
      if (Worker* w = machine()) w->sick = true;
      break;
    case Trouble::late_writes:
      late_writes_until_ = now_ + lasts;
      break;
    case Trouble::all_away:
      // Back one after the other.
      for (std::size_t i = 0; i < nodes_.size(); ++i)
        keep_away((n + i) % nodes_.size(), lasts + static_cast<Ms>(i) * 300);
      break;
    case Trouble::away:
      keep_away(n, lasts);
      break;
    case Trouble::views_change:
      for (std::size_t i = 0; i < 10; ++i)
        at(now_ + static_cast<Ms>(i) * lasts / 10, [this, i, n] {
          if (!calm_) crash_node((n + i) % nodes_.size());
        });
      break;
    case Trouble::hand_back:
      // Its hold ends, so that others take over, and it takes its part back.
      keep_away(n, 6500);
      at(now_ + 9000, [this, n, lasts] {
        if (calm_) return;
        keep_away(n, 100 + random(800));
        for (std::size_t i = 1; i < nodes_.size(); ++i) keep_away((n + i) % nodes_.size(), lasts);
      });
      break;
    case Trouble::refused_then_out:
      nodes_[n]->refused_by_state = true;
      at(now_ + 1000, [this, lasts] {
        if (!calm_) outage(lasts);
      });
      at(now_ + 1000 + lasts, [this, n] { nodes_[n]->refused_by_state = false; });
      break;
    case Trouble::cloud_outage:
    case Trouble::count:
      cloud_->outage = true;
      at(now_ + lasts, [this] { cloud_->outage = false; });
      break;
  }
}

// Holds wait meanwhile, and have their full time again afterwards (PROTOCOL).
void World::outage(Ms lasts) {
  state_->outage = state_->holds_wait = true;
  at(now_ + lasts, [this] {
    if (state_->outage)
      for (auto& [p, h] : state_->holds) h.first = now_ + h.second;
    state_->outage = state_->holds_wait = false;
  });
}

void World::count_served() {
  constexpr Ms kBeginWithin = 240'000;  // PROTOCOL's additions: four minutes
  std::map<std::string, std::vector<const UserJob*>> classes;
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
  auto count = [this](const std::string& what, const UserJob& j) {
    auto& [all, done] = result_.served[what];
    ++all;
    done += j.told_done ? 1 : 0;
  };
  for (auto& [name, list] : classes) {
    std::sort(list.begin(), list.end(), [](const UserJob* a, const UserJob* b) {
      return a->spec.tasks * a->spec.cpus * a->work_ms > b->spec.tasks * b->spec.cpus * b->work_ms;
    });
    for (const auto* j : list) {
      count("class " + name, *j);
      count("team " + j->spec.team, *j);
    }
    for (std::size_t i = 0; i < (list.size() + 9) / 10; ++i) {
      const UserJob& j = *list[i];
      count("largest " + name, j);
      ++result_.largest_seen;
      if (j.begun_at == 0 || j.begun_at - j.submitted_at > kBeginWithin) ++result_.largest_late;
    }
  }
}

void World::probe_health() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!options_.link_cuts.empty() && !calm_ && nodes_[i]->controller)
      ask_node(i, {"GET", "/healthz", ""}, "", [this, i](int status, const std::string&) {
        result_.unhealthy[nodes_[i]->name] += status != 200;
      });
    const bool isolated = nodes_[i]->isolated_since && now_ - nodes_[i]->isolated_since > 10'000;
    const bool outage = state_->outage;
    if (!isolated && !outage) continue;
    ask_node(i, {"GET", "/healthz", ""}, "", [this, isolated](int status, const std::string&) {
      if (status == 0) return;
      (isolated ? (status == 200 ? result_.isolated_healthy : result_.isolated_unhealthy)
                : (status == 200 ? result_.outage_healthy : result_.outage_unhealthy)) += 1;
    });
  }
}

}  // namespace scheduler::sim
