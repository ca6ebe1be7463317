// Machines and their agents: start, leases and heartbeats.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler::sim {

void SimulatedCluster::add_machine(const std::string& zone, bool spot, Ms up_at,
                                   const std::string& scale_out_name) {
  auto w = std::make_unique<SimulatedWorker>();
  w->id = options_.machine_name_prefix + six_digits(next_machine_++);
  w->zone = zone;
  w->spot = spot;
  w->address = w->id + ":1";
  w->controller_index = random_controller_index();
  cloud_->machines[w->id] = {zone, spot, false, now_, up_at, now_ + random(2000)};
  if (!scale_out_name.empty()) cloud_->scale_outs[scale_out_name].push_back(w->id);
  const int provided = static_cast<int>(cloud_->machines.size());
  result_.peak_machines = std::max(result_.peak_machines, provided);
  const std::string id = w->id;
  workers_[id] = std::move(w);
  schedule_event(up_at, [this, id] {
    SimulatedWorker& started = *workers_.at(id);
    if (started.dead) return;
    started.up = true;
    started.lease_start = now_;
    tick_worker(id, started.agent_generation);
  });
}

void SimulatedCluster::expire_worker_lease(SimulatedWorker& w) {
  // The worker's clock may be up to 0.05% slow, so that the worker keeps its tasks longer by as
  // much.
  const auto lease = static_cast<Ms>(options_.lease_s * 1000 * 1.0005);
  if (now_ - w.lease_start <= lease) return;
  trace(w.id + " lease expired, incarnation " + std::to_string(w.incarnation + 1));
  for (const auto& [task, t] : w.tasks)
    if (t.active && t.state != TaskState::exited) record_lease_expiry(task);
  clear_tasks(w);
  ++w.incarnation;
  w.lease_start = now_;
  w.changed_since_heartbeat = true;
}

void SimulatedCluster::clear_tasks(SimulatedWorker& w) {
  for (const auto& [task, t] : w.tasks)
    if (t.active) history_.add(now_, history::TaskEnded{task, w.id, false});
  w.tasks.clear();
  w.other_attempts.clear();
}

void SimulatedCluster::tick_worker(const std::string& id, std::uint64_t agent_generation) {
  SimulatedWorker& w = *workers_.at(id);
  if (w.dead || w.agent_generation != agent_generation) return;
  if (!w.hanging) {
    expire_worker_lease(w);
    step_worker(w);
    const bool due = now_ >= w.next_heartbeat_at;
    if (!w.heartbeat_in_flight && now_ >= w.backoff_until && due) send_heartbeat(w);
  }
  schedule_event(now_ + options_.worker_step_ms,
                 [this, id, agent_generation] { tick_worker(id, agent_generation); });
}

std::string SimulatedCluster::heartbeat_body(SimulatedWorker& w) const {
  JsonObjectBuilder p;
  p.str("rig", w.id);
  p.str("endpoint", w.address);
  p.str("fleet", "t");
  p.str("yard", w.zone);
  p.raw("standby", w.spot ? "true" : "false");
  p.num("shift", w.incarnation);
  p.num("tally", ++w.sequence);
  p.num("baton", w.token);
  p.raw("warningS", w.preempted_at
                        ? std::to_string(static_cast<double>(w.preempted_at - now_) / 1000.0)
                        : "null");
  static const char* states[] = {"fetching", "gathering", "running", "saving", "exited"};
  static const char* causes[] = {"",      "done",    "stopped", "peers",  "alone",
                                 "error", "no_room", "busy",    "no_such"};
  std::string list;
  const auto add = [&list](const wire::TaskId& task, const SimulatedWorker::Task& t) {
    JsonObjectBuilder task_json;
    task_json.str("load", wire::task_name(task.job, task.index));
    task_json.num("try", t.attempt);
    task_json.str("status", states[static_cast<int>(t.state)]);
    if (t.state == TaskState::exited) task_json.str("cause", causes[static_cast<int>(t.cause)]);
    if (t.saved) task_json.raw("saved", "true");
    list += (list.empty() ? "" : ",") + task_json.done();
  };
  for (const auto& [task, t] : w.tasks) add(task, t);
  for (const auto& [attempt, t] : w.other_attempts) add(attempt.first, t);
  p.raw("loads", "[" + list + "]");
  return p.done();
}

void SimulatedCluster::send_heartbeat(SimulatedWorker& w) {
  w.heartbeat_in_flight = true;
  const Heartbeat heartbeat{w.id, ++w.heartbeat_number, now_, w.incarnation};
  const Request request{"POST", "/hello", heartbeat_body(w)};
  if (now_ < duplicate_heartbeats_until_ && chance(options_.duplicated_heartbeats)) {
    schedule_event(now_ + 1000 + random(24'000), [this, request] {
      ++result_.duplicate_heartbeats_arrived;
      deliver_request(random_controller_index(), request);
    });
  }
  const bool delayed = now_ < heartbeats_delayed_until_ && chance(0.4);
  if (delayed) delay_heartbeat(w.token, request, now_ + 40'000);
  // Half of the delayed heartbeats arrive only late; of the other half, a copy also arrives in
  // time.
  const bool lost = w.heartbeats_lost_since != 0 || (delayed && chance(0.5));
  schedule_event(now_ + worker_network_delay(), [this, heartbeat, request, lost] {
    SimulatedWorker& sender = *workers_.at(heartbeat.worker);
    if (!lost) {
      send_to_controller(sender.controller_index, request, sender.zone,
                         [this, heartbeat](int status, const std::string& body) {
                           on_heartbeat_reply(heartbeat, status, body);
                         });
      return;
    }
    if (sender.dead || heartbeat.number != sender.heartbeat_number || !sender.heartbeat_in_flight)
      return;
    sender.heartbeat_in_flight = false;
    try_next_controller(sender);
  });
}

void SimulatedCluster::on_heartbeat_reply(const Heartbeat& heartbeat, int status,
                                          const std::string& body) {
  SimulatedWorker& w = *workers_.at(heartbeat.worker);
  if (w.dead || heartbeat.number != w.heartbeat_number || !w.heartbeat_in_flight) return;
  w.heartbeat_in_flight = false;
  if (w.hanging) return;
  if (w.unreachable_since || w.incoming_held) status = 0;
  const Ms interval = to_ms(options_.heartbeat_interval_s);
  w.next_heartbeat_at =
      now_ +
      (w.changed_since_heartbeat ? 500 : interval * 3 / 4 + random(static_cast<int>(interval / 2)));
  w.changed_since_heartbeat = false;
  rapidjson::Document doc;
  if (status == 200 && wire::parse_object(body, doc) && doc.HasMember("baton")) {
    renew_worker_lease(w, heartbeat, doc);
    return;
  }
  const bool redirected =
      status == 421 && wire::parse_object(body, doc) && doc.HasMember("dispatcher");
  if (redirected && follow_redirect(w, doc["dispatcher"].GetString())) return;
  try_next_controller(w);
}

// The lease starts when the worker sends the heartbeat.
void SimulatedCluster::renew_worker_lease(SimulatedWorker& w, const Heartbeat& heartbeat,
                                          const wire::Json& reply) {
  if (heartbeat.incarnation != w.incarnation || now_ - heartbeat.sent_at > kReplyTimeoutMs) return;
  const std::uint64_t token = reply["baton"].GetUint64();
  if (token < w.token && !options_.workers_ignore_tokens) return;
  w.token = std::max(w.token, token);
  w.lease_start = std::max(w.lease_start, heartbeat.sent_at);
  record_contact(w);
  execute_commands(w, reply["orders"]);
}

bool SimulatedCluster::follow_redirect(SimulatedWorker& w, const std::string& owner) {
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    if (controllers_[i]->name != owner || i == w.controller_index) continue;
    w.controller_index = i;
    w.next_heartbeat_at = w.backoff_until = now_ + random(500);
    return true;
  }
  return false;
}

void SimulatedCluster::try_next_controller(SimulatedWorker& w) {
  w.controller_index = (w.controller_index + 1) % controllers_.size();
  w.next_heartbeat_at = w.backoff_until = now_ + 1000;
}

// Delivers the heartbeat once a worker has received a token of a newer view, or not at all if that
// does not happen until the given time. The heartbeat goes to all controllers, so that the
// machine's new owner receives it.
void SimulatedCluster::delay_heartbeat(std::uint64_t token, const Request& request, Ms until) {
  schedule_event(now_ + 20, [this, token, request, until] {
    if (newest_epoch_ <= ClusterView::epoch_of(token)) {
      if (now_ < until) delay_heartbeat(token, request, until);
      return;
    }
    schedule_event(now_ + random(chance(0.5) ? 100 : 3000), [this, request] {
      ++result_.delayed_heartbeats_arrived;
      for (std::size_t i = 0; i < controllers_.size(); ++i) deliver_request(i, request);
    });
  });
}

}  // namespace scheduler::sim
