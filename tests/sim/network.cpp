// The simulated network: state of the links, and delay, loss and duplication of messages.
#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

// ---- links ----

bool SimulatedCluster::partitioned(const std::string& a, const std::string& b) const {
  if (!cut_zone_.empty() && (a == cut_zone_) != (b == cut_zone_)) return true;
  return zones_partitioned_ && a != b && (a == "a" || a == "b") && (b == "a" || b == "b");
}

void SimulatedCluster::plan_link_cut(const LinkCut& cut) {
  if (cut.flap_max_ms > 0) {
    schedule_event(cut.at, [this, cut] { flap(cut, cut.at + cut.duration_ms); });
    return;
  }
  schedule_event(cut.at, [this, cut] {
    if (recovering_) return;
    link_cuts_.cut(cut.from, cut.to);
    for (auto& [id, w] : workers_)
      if (w->up && !w->dead) w->no_contact_since = now_;
  });
  schedule_event(cut.at + cut.duration_ms, [this, cut] {
    link_cuts_.restore(cut.from, cut.to);
    for (auto& [id, w] : workers_) record_contact(*w);
  });
}

void SimulatedCluster::record_contact(SimulatedWorker& w) {
  if (w.no_contact_since == 0 || w.dead) return;
  result_.without_contact_ms.push_back(now_ - w.no_contact_since);
  w.no_contact_since = 0;
}

void SimulatedCluster::flap(const LinkCut& cut, Ms until) {
  if (recovering_ || now_ >= until) return;
  const auto random_interval = [this, &cut] {
    return cut.flap_min_ms + random(static_cast<int>(cut.flap_max_ms - cut.flap_min_ms + 1));
  };
  const Ms down = random_interval();
  const Ms up = random_interval();
  link_cuts_.cut(cut.from, cut.to);
  schedule_event(now_ + down, [this, cut] { link_cuts_.restore(cut.from, cut.to); });
  schedule_event(now_ + down + up, [this, cut, until] { flap(cut, until); });
}

SimulatedCluster::SimulatedWorker* SimulatedCluster::worker_at(const std::string& address) {
  const auto found = workers_.find(address.substr(0, address.find(':')));
  return found == workers_.end() ? nullptr : found->second.get();
}

std::string SimulatedCluster::remote_end_of(const Call& call) {
  if (call.target == Target::state) return "state";
  if (call.target == Target::cloud) return "cloud";
  const SimulatedWorker* w = worker_at(call.address);
  return w ? "workers/" + w->zone : "workers";
}

// ---- calls of controllers ----

void SimulatedCluster::send(std::size_t i, const Call& call) {
  const auto pending_call = std::make_shared<PendingCall>();
  pending_call->from = i;
  pending_call->generation = controllers_[i]->generation;
  pending_call->call = call;
  pending_call->remote_end = remote_end_of(call);
  pending_call->delay_factor = call.target == Target::state ? state_delay_factor_ : 1;
  schedule_event(now_ + call.timeout, [this, pending_call] { deliver_reply(pending_call, 0, ""); });
  if (blocked(*pending_call) || chance(0.003)) {
    // The call is lost or is executed some time after the link is up again.
    if (chance(0.6))
      schedule_event(now_ + 1000 + random(25'000),
                     [this, pending_call] { execute_once_unblocked(pending_call); });
    return;
  }
  if (call.path == "/multi" && now_ < late_writes_until_ && chance(0.3)) {
    schedule_event(now_ + 2000 + random(10'000),
                   [this, pending_call] { execute_late(pending_call); });
    return;
  }
  const bool worker = call.target == Target::worker;
  schedule_event(
      now_ + (worker ? worker_network_delay() : network_delay() * pending_call->delay_factor),
      [this, pending_call] {
        execute(pending_call->call, pending_call->from,
                [this, pending_call](int status, const std::string& body) {
                  send_reply(pending_call, status, body);
                });
      });
  if (call.method == "POST" && chance(options_.duplicated_requests))
    schedule_event(now_ + 50 + random(15'000), [this, pending_call] {
      execute(pending_call->call, pending_call->from, [](int, const std::string&) {});
    });
}

bool SimulatedCluster::blocked(const PendingCall& pending_call) {
  const SimulatedController& sender = *controllers_[pending_call.from];
  if (link_cuts_.down(sender.name, pending_call.remote_end)) return true;
  switch (pending_call.call.target) {
    case Target::state:
      return sender.cut_from_state || partitioned(sender.zone, "");
    case Target::cloud:
      return partitioned(sender.zone, "");
    case Target::worker:
      break;
  }
  const SimulatedWorker* w = worker_at(pending_call.call.address);
  return w && (sender.cut_from_workers || w->unreachable_since != 0 ||
               partitioned(sender.zone, w->zone));
}

// A link cut of the request's direction alone doesn't block the reply.
bool SimulatedCluster::reply_blocked(const PendingCall& pending_call) {
  const SimulatedController& sender = *controllers_[pending_call.from];
  if (link_cuts_.down(pending_call.remote_end, sender.name)) return true;
  return !link_cuts_.down(sender.name, pending_call.remote_end) && blocked(pending_call);
}

Ms SimulatedCluster::state_reply_delay(const Call& call) {
  if (call.target != Target::state) return 0;
  const bool watch = call.path.starts_with("/changes");
  const bool delays = now_ < state_reorders_until_ || (watch && now_ < watch_lags_until_);
  return delays && chance(0.3) ? 50 + random(450) : 0;
}

void SimulatedCluster::send_reply(const std::shared_ptr<PendingCall>& pending_call, int status,
                                  const std::string& body) {
  if (reply_blocked(*pending_call) || chance(0.003)) return;  // lost
  const Call& call = pending_call->call;
  if (call.path == "/multi" && now_ < replies_lost_until_ && chance(0.05)) return;
  Ms delay = 0;
  if (call.target == Target::worker) {
    delay = worker_network_delay();
  } else {
    delay = network_delay() * pending_call->delay_factor;
    delay += state_reply_delay(call);
  }
  schedule_event(now_ + delay,
                 [this, pending_call, status, body] { deliver_reply(pending_call, status, body); });
}

// Status 0: the call has timed out. Only the first reply or timeout is delivered, and none once the
// calling controller's process has ended.
void SimulatedCluster::deliver_reply(const std::shared_ptr<PendingCall>& pending_call, int status,
                                     std::string body) {
  if (pending_call->finished ||
      controllers_[pending_call->from]->generation != pending_call->generation)
    return;
  if (body.size() > capacity_.response_bytes) {
    ++result_.oversized_replies;
    status = kReplyTooLarge;
    body.clear();
  }
  deliver_input(pending_call->from,
                [this, pending_call, status, body = std::move(body)](Controller& c) {
                  if (pending_call->finished) return;
                  pending_call->finished = true;
                  c.on_result(now_, pending_call->call.id, {status, body});
                });
}

void SimulatedCluster::execute_once_unblocked(const std::shared_ptr<PendingCall>& pending_call) {
  if (blocked(*pending_call) && !recovering_) {
    schedule_event(now_ + 1000, [this, pending_call] { execute_once_unblocked(pending_call); });
    return;
  }
  execute(pending_call->call, pending_call->from, [](int, const std::string&) {});
}

// The state service has already received the transaction, so neither a partition nor a crash of the
// sender prevents its execution.
void SimulatedCluster::execute_late(const std::shared_ptr<PendingCall>& pending_call) {
  if (state_->outage && !recovering_) {
    schedule_event(now_ + 1000, [this, pending_call] { execute_late(pending_call); });
    return;
  }
  trace("late execution: " + controllers_[pending_call->from]->name + " " +
        pending_call->call.body);
  state_->serve(now_, pending_call->call, pending_call->from,
                [this](int status, const std::string&) {
                  ++(status == 200 ? result_.late_txns_applied : result_.late_txns_failed);
                });
}

// ---- execution of calls ----

void SimulatedCluster::execute(const Call& call, std::size_t from, const Respond& respond) {
  trace("executed: " + controllers_[from]->name + " " + call.address + call.path + " " + call.body);
  switch (call.target) {
    case Target::state:
      return execute_state_call(call, from, respond);
    case Target::worker:
      return execute_worker_call(call, from, respond);
    case Target::cloud:
      return execute_cloud_call(call, respond);
  }
}

// During an outage, the state service keeps watches open and refuses all other calls.
void SimulatedCluster::execute_state_call(const Call& call, std::size_t from,
                                          const Respond& respond) {
  const bool refused = state_->outage || controllers_[from]->refused_by_state;
  if (refused && !call.path.starts_with("/changes")) return respond(503, "{}");
  state_->serve(now_, call, from, respond);
}

void SimulatedCluster::execute_worker_call(const Call& call, std::size_t from,
                                           const Respond& respond) {
  SimulatedWorker* w = worker_at(call.address);
  if (!w || !w->up || w->dead || w->unreachable_since) return;
  rapidjson::Document doc;
  if (now_ < restarts_held_until_ && wire::parse_object(call.body, doc)) hold_restart(*w, doc);
  if (!w->incoming_held) return deliver_to_worker(*w, call, from, respond);
  w->held_commands.emplace_back([this, w, call, from, respond] {
    if (w->up && !w->dead) deliver_to_worker(*w, call, from, respond);
  });
}

void SimulatedCluster::deliver_to_worker(SimulatedWorker& w, const Call& call, std::size_t from,
                                         const Respond& respond) {
  if (w.hanging) {  // retried until the machine resumes
    ++result_.late_commands;
    schedule_event(now_ + 500, [this, call, from, respond] { execute(call, from, respond); });
    return;
  }
  expire_worker_lease(w);
  if (call.path == "/status") return respond(200, heartbeat_body(w));
  rapidjson::Document doc;
  if (!wire::parse_object(call.body, doc)) return respond(400, "{}");
  const std::uint64_t token = doc["baton"].GetUint64();
  const bool same_incarnation =
      doc["shift"].GetUint64() == w.incarnation || options_.workers_ignore_incarnations;
  if ((token < w.token && !options_.workers_ignore_tokens) || !same_incarnation)
    return respond(409, heartbeat_body(w));
  w.token = std::max(w.token, token);
  record_contact(w);
  execute_commands(w, doc["orders"]);
  respond(200, heartbeat_body(w));
}

// ---- requests of workers and users ----

void SimulatedCluster::send_to_controller(std::size_t i, const Request& request,
                                          const std::string& from_zone, Respond respond) {
  SimulatedController& process = *controllers_[i];
  const bool worker = !from_zone.empty();
  if (worker) {
    if (link_cuts_.down("workers/" + from_zone, process.name)) {
      respond = delayed_by_slow_links(std::move(respond));
      schedule_event(now_ + kReplyTimeoutMs, [respond] { respond(0, ""); });
      return;
    }
    respond = reply_to_worker(i, from_zone, delayed_by_slow_links(std::move(respond)));
  } else if (options_.forge_reply) {
    respond = [this, request, respond](int status, std::string body) {
      options_.forge_reply(request, now_, status, body);
      respond(status, std::move(body));
    };
  }
  if (!process.controller || (worker && process.cut_from_workers) ||
      partitioned(from_zone, process.zone)) {
    // A heartbeat may still arrive long after its sender has given up waiting for the reply.
    if (worker && process.controller && chance(0.3))
      schedule_event(now_ + 2000 + random(15'000),
                     [this, i, request] { deliver_request(i, request); });
    respond(0, "");
    return;
  }
  await_reply(i, request, worker, std::move(respond));
}

void SimulatedCluster::deliver_request(std::size_t i, const Request& request) {
  deliver_input(i,
                [this, request](Controller& c) { c.on_request(now_, next_request_++, request); });
}

// Passes on the controller's reply, or status 0 if there is none within four seconds.
void SimulatedCluster::await_reply(std::size_t i, const Request& request, bool worker,
                                   Respond respond) {
  SimulatedController& process = *controllers_[i];
  const std::uint64_t id = next_request_++;
  const bool controller_isolated =
      !worker && process.isolated_since != 0 && request.path.starts_with("/v1/");
  auto finish = [this, controller_isolated, once = std::make_shared<bool>(false),
                 respond = std::move(respond)](int status, std::string body) {
    if (std::exchange(*once, true)) return;
    if (controller_isolated && status != 0) ++result_.reads_at_isolated;
    respond(status, std::move(body));
  };
  process.pending_requests[id] = finish;
  trace(process.name + " <- " + request.path + " " + request.body);
  schedule_event(now_ + kReplyTimeoutMs, [finish] { finish(0, ""); });
  deliver_input(i, [this, id, request](Controller& c) { c.on_request(now_, id, request); });
}

Respond SimulatedCluster::delayed_by_slow_links(Respond respond) {
  if (!slow_links_) return respond;
  return [this, respond = std::move(respond)](int status, const std::string& body) {
    schedule_event(now_ + worker_network_delay(),
                   [respond, status, body] { respond(status, body); });
  };
}

// Loses the reply if the link to the worker is down: the worker then times out four seconds after
// sending the request.
Respond SimulatedCluster::reply_to_worker(std::size_t i, const std::string& zone, Respond respond) {
  return [this, i, zone, respond = std::move(respond), requested_at = now_](
             int status, const std::string& body) {
    if (!link_cuts_.down(controllers_[i]->name, "workers/" + zone)) return respond(status, body);
    schedule_event(requested_at + kReplyTimeoutMs, [respond] { respond(0, ""); });
  };
}

}  // namespace scheduler::sim
