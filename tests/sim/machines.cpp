// Workers: reports, leases, commands, and tasks as they go on.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler::sim {

void SimulatedCluster::add_machine(const std::string& zone, bool spot, Ms up_at,
                                   const std::string& scale_out_name) {
  auto w = std::make_unique<SimulatedWorker>();
  w->id = "n-" + pad(next_machine_++);
  w->zone = zone;
  w->spot = spot;
  w->address = w->id + ":1";
  w->node = any_controller_index();
  cloud_->machines[w->id] = {zone, spot, false, now_, up_at, now_ + random(2000)};
  if (!scale_out_name.empty()) cloud_->scale_outs[scale_out_name].push_back(w->id);
  const int rented = static_cast<int>(cloud_->machines.size());
  result_.most_machines = std::max(result_.most_machines, rented);
  const std::string id = w->id;
  workers_[id] = std::move(w);
  at(up_at, [this, id] {
    SimulatedWorker& x = *workers_.at(id);
    if (x.dead) return;
    x.up = true;
    x.lease_from = now_;
    tick_worker(id, x.life);
  });
}

void SimulatedCluster::expire_worker_lease(SimulatedWorker& w) {
  // The worker's clock may be as much as 0.05% fast or slow; it keeps its tasks a little longer.
  const auto lease = static_cast<Ms>(options_.lease_s * 1000 * 1.0005);
  if (now_ - w.lease_from <= lease) return;
  trace(w.id + " lease over, session " + std::to_string(w.incarnation + 1));
  for (const auto& [task, t] : w.tasks)
    if (t.present && t.state != TaskState::exited) job_lost(task);
  clear_tasks(w);
  ++w.incarnation;
  w.lease_from = now_;
  w.changed = true;
}

void SimulatedCluster::clear_tasks(SimulatedWorker& w) {
  for (const auto& [task, t] : w.tasks)
    if (t.present) history_.add(now_, history::TaskEnded{task, w.id, false});
  w.tasks.clear();
}

void SimulatedCluster::tick_worker(const std::string& id, std::uint64_t life) {
  SimulatedWorker& w = *workers_.at(id);
  if (w.dead || w.life != life) return;
  if (!w.hanging) {
    expire_worker_lease(w);
    step_worker(w);
    const bool due = now_ >= w.next_heartbeat_at;
    if (!w.reporting && now_ >= w.waits_until && due) send_heartbeat(w);
  }
  at(now_ + options_.worker_step_ms, [this, id, life] { tick_worker(id, life); });
}

std::string SimulatedCluster::heartbeat_body(SimulatedWorker& w) {
  Put p;
  p.str("rig", w.id);
  p.str("endpoint", w.address);
  p.str("fleet", "t");
  p.str("yard", w.zone);
  p.raw("standby", w.spot ? "true" : "false");
  p.num("shift", w.incarnation);
  p.num("tally", ++w.sequence);
  p.num("baton", w.token);
  p.raw("warningS", w.notice_ends
                        ? std::to_string(static_cast<double>(w.notice_ends - now_) / 1000.0)
                        : "null");
  static const char* states[] = {"fetching", "gathering", "running", "saving", "exited"};
  static const char* causes[] = {"",      "done",    "stopped", "peers",  "alone",
                                 "error", "no_room", "busy",    "no_such"};
  std::string list;
  for (const auto& [task, t] : w.tasks) {
    Put l;
    l.str("load", wire::task_name(task.job, task.index));
    l.num("try", t.attempt);
    l.str("status", states[static_cast<int>(t.state)]);
    if (t.state == TaskState::exited) l.str("cause", causes[static_cast<int>(t.cause)]);
    if (t.saved) l.raw("saved", "true");
    list += (list.empty() ? "" : ",") + l.done();
  }
  p.raw("loads", "[" + list + "]");
  return p.done();
}

void SimulatedCluster::send_heartbeat(SimulatedWorker& w) {
  w.reporting = true;
  const std::uint64_t number = ++w.heartbeat_number;
  const Ms sent = now_;
  const std::uint64_t incarnation = w.incarnation;
  const std::string id = w.id, body = heartbeat_body(w);
  if (now_ < duplicate_heartbeats_until_ && chance(options_.copied)) {
    at(now_ + 1000 + random(24'000), [this, body] {
      ++result_.old_heartbeats;
      const auto i = any_controller_index();
      input(i, [this, body](Controller& c) {
        c.on_request(now_, next_request_++, {"POST", "/hello", body});
      });
    });
  }
  const bool held = now_ < heartbeats_delayed_until_ && chance(0.4);
  if (held) delay_heartbeat(id, w.token, body, now_ + 40'000);
  // Of those held, half do not arrive in time as well.
  const bool lost = w.heartbeats_lost_since != 0 || (held && chance(0.5));
  at(now_ + worker_network_delay(), [this, id, number, sent, incarnation, body, lost] {
    SimulatedWorker& x = *workers_.at(id);
    if (lost) {
      if (x.dead || number != x.heartbeat_number || !x.reporting) return;
      x.reporting = false;
      x.node = (x.node + 1) % controllers_.size();
      x.next_heartbeat_at = x.waits_until = now_ + 1000;
      return;
    }
    send_to_controller(
        x.node, {"POST", "/hello", body}, x.zone,
        [this, id, number, sent, incarnation](int status, const std::string& answer) {
          SimulatedWorker& me = *workers_.at(id);
          if (me.dead || number != me.heartbeat_number || !me.reporting) return;
          me.reporting = false;
          if (me.hanging) return;
          if (me.unreachable_since) status = 0;
          const Ms interval = to_ms(options_.heartbeat_interval_s);
          me.next_heartbeat_at =
              now_ + (me.changed ? 500 : interval * 3 / 4 + random(interval / 2));
          me.changed = false;
          rapidjson::Document doc;
          if (status == 200 && wire::parse_object(answer, doc) && doc.HasMember("baton")) {
            if (incarnation != me.incarnation || now_ - sent > 4000) return;
            const std::uint64_t token = doc["baton"].GetUint64();
            if (token < me.token && !options_.workers_ignore_tokens) return;
            me.token = std::max(me.token, token);
            me.lease_from = std::max(me.lease_from, sent);
            served(me);
            execute_commands(me, doc["orders"]);
            return;
          }
          if (status == 421 && wire::parse_object(answer, doc) && doc.HasMember("dispatcher")) {
            for (std::size_t j = 0; j < controllers_.size(); ++j) {
              if (controllers_[j]->name == doc["dispatcher"].GetString() && j != me.node) {
                me.node = j;
                me.next_heartbeat_at = me.waits_until = now_ + random(500);
                return;
              }
            }
          }
          me.node = (me.node + 1) % controllers_.size();
          me.next_heartbeat_at = me.waits_until = now_ + 1000;
        });
  });
}

// Arrives once somebody has acted on another view: at all controllers, so at the owner of then.
void SimulatedCluster::delay_heartbeat(const std::string& id, std::uint64_t token,
                                       const std::string& body, Ms until) {
  at(now_ + 20, [this, id, token, body, until] {
    if (newest_epoch_ <= ClusterView::epoch_of(token)) {
      if (now_ < until) delay_heartbeat(id, token, body, until);
      return;
    }
    at(now_ + random(chance(0.5) ? 100 : 3000), [this, body] {
      ++result_.delayed_heartbeats_arrived;
      for (std::size_t i = 0; i < controllers_.size(); ++i)
        input(i, [this, body](Controller& c) {
          c.on_request(now_, next_request_++, {"POST", "/hello", body});
        });
    });
  });
}

void SimulatedCluster::execute_commands(SimulatedWorker& w, const wire::Json& orders) {
  newest_epoch_ = std::max(newest_epoch_, ClusterView::epoch_of(w.token));
  for (const auto& o : orders.GetArray()) {
    const auto name = wire::parse_task_name(o["load"].GetString());
    if (!name) continue;
    const wire::TaskId& task = *name;
    const std::uint64_t attempt = o["try"].GetUint64();
    const std::string verb = o["verb"].GetString();
    auto it = w.tasks.find(task);
    if (verb == "start") {
      if (it != w.tasks.end() && it->second.attempt == attempt) continue;
      if (options_.starts_ignored_from && now_ > options_.starts_ignored_from) continue;
      ++result_.starts;
      if (w.heartbeats_lost_since) ++result_.starts_without_heartbeats;
      if (w.unreachable_since && now_ - w.unreachable_since > 8000) ++result_.quarantined_starts;
      auto job = jobs_.find(task.job);
      SimulatedWorker::Task t;
      t.attempt = attempt;
      t.since = now_;
      double cpus = 0;
      for (const auto& [id, other] : w.tasks)
        if (other.state != TaskState::exited) cpus += jobs_.at(id.job).spec.cpus;
      if (it != w.tasks.end()) {
        // This stand-in keeps one attempt of a task: the refusal is not listed beside it.
        if (it->second.state != TaskState::exited) continue;
        t.state = TaskState::fetching;
      }
      if (job == jobs_.end()) {
        t.state = TaskState::exited;
        t.cause = ExitCause::unknown;
      } else if (cpus + job->second.spec.cpus > 8 + 1e-9) {
        t.state = TaskState::exited;
        t.cause = ExitCause::no_room;
      } else {
        check_cancelled_start(job->second, task, w);
      }
      w.tasks[task] = t;
      started_on_[task].insert(w.id);
      w.changed = true;
    } else if (it == w.tasks.end() || it->second.attempt != attempt) {
      continue;
    } else if (verb == "clear") {
      if (it->second.state == TaskState::exited) w.tasks.erase(it);
    } else {
      auto& t = it->second;
      if (t.state == TaskState::exited) continue;
      auto& job = jobs_.at(task.job);
      const double grace = o["leewayS"].GetDouble();
      const bool saves = job.spec.checkpoint_interval_s > 0 && grace >= job.spec.checkpoint_write_s;
      if (t.state == TaskState::running && saves) {
        if (job.spec.is_gang()) job.gang_first_stop.emplace(attempt, now_);
        t.state = TaskState::checkpointing;
        t.since = now_;
        w.changed = true;
      } else if (t.state != TaskState::checkpointing || grace <= 0) {
        end_task(w, task, attempt, ExitCause::stopped, false);
      }
    }
  }
}

// Its work is to begin elsewhere as soon as that is provable.
void SimulatedCluster::job_lost(const wire::TaskId& task) {
  const SubmittedJob& job = jobs_.at(task.job);
  if (job.spec.is_gang() || job.asked_cancel || job.completed.contains(task.index)) return;
  lost_[task] = now_;
  ++result_.lost_by_lease;
}

void SimulatedCluster::end_task(SimulatedWorker& w, const wire::TaskId& task, std::uint64_t attempt,
                                ExitCause cause, bool saved) {
  auto it = w.tasks.find(task);
  if (it == w.tasks.end() || it->second.attempt != attempt) return;
  history_.add(now_, history::TaskEnded{task, w.id, cause == ExitCause::done});
  it->second.state = TaskState::exited;
  it->second.cause = cause;
  it->second.saved = saved;
  it->second.present = false;
  w.changed = true;
  w.next_heartbeat_at = std::min(w.next_heartbeat_at, now_ + 250);
  if (saved) ++result_.stopped_saved;
}

void SimulatedCluster::step_worker(SimulatedWorker& w) {
  if (w.notice_ends && now_ >= w.notice_ends) {
    w.dead = true;
    clear_tasks(w);
    cloud_->machines.erase(w.id);
    return;
  }
  const std::vector<wire::TaskId> ids = [&] {
    std::vector<wire::TaskId> v;
    for (const auto& [task, t] : w.tasks) v.push_back(task);
    return v;
  }();
  for (const auto& task : ids) {
    auto& t = w.tasks.at(task);
    if (t.state == TaskState::exited) continue;
    auto& job = jobs_.at(task.job);
    switch (t.state) {
      case TaskState::fetching:
        if (now_ - t.since < kFetchMs) break;
        check_start(w, task);
        if (job.begun_at == 0) job.begun_at = now_;
        if (auto lost = lost_.find(task); lost != lost_.end()) {
          result_.back_in_cut += cut_zone_.empty() ? 0 : 1;
          lost_.erase(lost);
        }
        t.present = true;
        history_.add(now_, history::TaskBegan{task, w.id});
        t.since = now_;
        if (w.sick || job.mistake) {
          end_task(w, task, t.attempt, ExitCause::error, false);
        } else if (job.completed.contains(task.index) || w.results_kept.contains(task)) {
          end_task(w, task, t.attempt, ExitCause::done, false);
        } else {
          t.state = job.spec.is_gang() ? TaskState::waiting : TaskState::running;
          t.work_ms = job.progress[task.index];
          if (job.spec.is_service()) replica_begins(w, task);
          w.changed = true;
        }
        break;
      case TaskState::waiting:
        if (now_ - t.since > static_cast<Ms>(settings_.gang_wait_s * 1000))
          end_task(w, task, t.attempt, ExitCause::alone, false);
        break;
      case TaskState::running:
        if (job.spec.is_gang()) break;  // with its peers
        if (t.ends_at != 0 && now_ >= t.ends_at) {
          replica_ends(w, task);
          break;
        }
        t.work_ms += static_cast<double>(options_.worker_step_ms);
        if (job.spec.checkpoint_interval_s > 0) {
          const double interval = job.spec.checkpoint_interval_s * 1000;
          job.progress[task.index] =
              std::max(job.progress[task.index], std::floor(t.work_ms / interval) * interval);
        }
        if (t.work_ms >= job.work_of(task.index)) {
          job.completed.insert(task.index);
          end_task(w, task, t.attempt, ExitCause::done, false);
          if (job.completed.size() == job.spec.tasks) ends(task.job);
        }
        break;
      case TaskState::checkpointing:
        if (now_ - t.since >= static_cast<Ms>(job.spec.checkpoint_write_s * 1000)) {
          job.progress[task.index] = std::max(job.progress[task.index], t.work_ms);
          end_task(w, task, t.attempt, ExitCause::stopped, true);
        }
        break;
      case TaskState::exited:
        break;
    }
  }
}

// Tasks of a gang find one another by attempt, start together, and end together.
void SimulatedCluster::gang_step() {
  using Members = std::vector<std::pair<SimulatedWorker*, wire::TaskId>>;
  std::map<std::string, std::map<std::uint64_t, Members>> gangs;  // by job and attempt
  for (auto& [wid, w] : workers_) {
    if (w->dead || !w->up) continue;
    for (auto& [task, t] : w->tasks)
      if (t.state != TaskState::exited && jobs_.at(task.job).spec.is_gang())
        gangs[task.job][t.attempt].emplace_back(w.get(), task);
  }
  for (auto& [id, attempts] : gangs) {
    SubmittedJob& job = jobs_.at(id);
    for (auto& [attempt, members] : attempts) {
      auto state = [&](const auto& m) -> SimulatedWorker::Task& {
        return m.first->tasks.at(m.second);
      };
      const bool whole = members.size() == job.spec.tasks;
      const auto count = [&](TaskState s) {
        return std::count_if(members.begin(), members.end(),
                             [&](const auto& m) { return state(m).state == s; });
      };
      const bool frozen = std::any_of(members.begin(), members.end(),
                                      [](const auto& m) { return m.first->hanging; });
      if (whole && count(TaskState::waiting) == static_cast<long>(job.spec.tasks) && !frozen) {
        for (auto& m : members) {
          state(m).state = TaskState::running;
          state(m).work_ms = job.gang_progress;
          m.first->changed = true;
        }
      } else if (count(TaskState::running) > 0 && (!whole || frozen)) {
        for (auto& m : members) {
          auto& t = state(m);
          if (t.state != TaskState::running) continue;
          if (t.alone_at == 0) t.alone_at = now_ + static_cast<Ms>(settings_.gang_peer_s * 1000);
          if (now_ >= t.alone_at && !m.first->hanging)
            end_task(*m.first, m.second, attempt, ExitCause::peers, false);
        }
      } else if (whole && count(TaskState::running) == static_cast<long>(job.spec.tasks)) {
        for (auto& m : members) state(m).work_ms += static_cast<double>(options_.check_every_ms);
        const double work = state(members.front()).work_ms;
        if (job.spec.checkpoint_interval_s > 0) {
          const double interval = job.spec.checkpoint_interval_s * 1000;
          job.gang_progress = std::max(job.gang_progress, std::floor(work / interval) * interval);
        }
        if (work >= job.work_ms) {
          for (std::uint32_t i = 0; i < job.spec.tasks; ++i) job.completed.insert(i);
          for (auto& m : members) end_task(*m.first, m.second, attempt, ExitCause::done, false);
          ends(id);
        }
      }
    }
  }
}

}  // namespace scheduler::sim
