// The simulated network: which links are up, and how messages are delayed, lost and duplicated.
#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

// ---- links ----

bool SimulatedCluster::partitioned(const std::string& a, const std::string& b) const {
  if (!cut_zone_.empty() && (a == cut_zone_) != (b == cut_zone_)) return true;
  return zones_partitioned_ && a != b && (a == "a" || a == "b") && (b == "a" || b == "b");
}

void SimulatedCluster::plan_link_cut(const LinkCut& cut) {
  if (cut.flap_most > 0) {
    at(cut.at, [this, cut] { flap(cut, cut.at + cut.lasts); });
    return;
  }
  at(cut.at, [this, cut] {
    if (recovering_) return;
    link_cuts_.cut(cut.from, cut.to);
    for (auto& [id, w] : workers_)
      if (w->up && !w->dead) w->without_contact_since = now_;
  });
  at(cut.at + cut.lasts, [this, cut] {
    link_cuts_.restore(cut.from, cut.to);
    for (auto& [id, w] : workers_) note_contact(*w);
  });
}

void SimulatedCluster::note_contact(SimulatedWorker& w) {
  if (w.without_contact_since == 0 || w.dead) return;
  result_.without_contact_ms.push_back(now_ - w.without_contact_since);
  w.without_contact_since = 0;
}

void SimulatedCluster::flap(const LinkCut& cut, Ms until) {
  if (recovering_ || now_ >= until) return;
  const auto turn = [this, &cut] {
    return cut.flap_least + random(static_cast<int>(cut.flap_most - cut.flap_least + 1));
  };
  const Ms down = turn();
  const Ms up = turn();
  link_cuts_.cut(cut.from, cut.to);
  at(now_ + down, [this, cut] { link_cuts_.restore(cut.from, cut.to); });
  at(now_ + down + up, [this, cut, until] { flap(cut, until); });
}

SimulatedCluster::SimulatedWorker* SimulatedCluster::worker_at(const std::string& address) {
  const auto found = workers_.find(address.substr(0, address.find(':')));
  return found == workers_.end() ? nullptr : found->second.get();
}

std::string SimulatedCluster::far_end_of(const Call& call) {
  if (call.target == Target::state) return "state";
  if (call.target == Target::cloud) return "cloud";
  const SimulatedWorker* w = worker_at(call.address);
  return w ? "workers/" + w->zone : "workers";
}

// ---- calls of controllers ----

void SimulatedCluster::send(std::size_t i, const Call& call) {
  const auto flight = std::make_shared<CallInFlight>();
  flight->from = i;
  flight->generation = controllers_[i]->generation;
  flight->call = call;
  flight->far_end = far_end_of(call);
  flight->slower = call.target == Target::state ? state_slower_ : 1;
  at(now_ + call.timeout, [this, flight] { deliver_reply(flight, 0, ""); });
  if (blocked(*flight) || chance(0.003)) {
    // Lost, or delivered some time after the link is up again.
    if (chance(0.6))
      at(now_ + 1000 + random(25'000), [this, flight] { execute_once_unblocked(flight); });
    return;
  }
  if (call.path == "/multi" && now_ < late_writes_until_ && chance(0.3)) {
    at(now_ + 2000 + random(10'000), [this, flight] { execute_late(flight); });
    return;
  }
  const bool worker = call.target == Target::worker;
  at(now_ + (worker ? worker_network_delay() : network_delay() * flight->slower), [this, flight] {
    execute(flight->call, flight->from, [this, flight](int status, const std::string& body) {
      send_reply(flight, status, body);
    });
  });
  if (call.method == "POST" && chance(options_.duplicated_requests))
    at(now_ + 50 + random(15'000),
       [this, flight] { execute(flight->call, flight->from, [](int, const std::string&) {}); });
}

bool SimulatedCluster::blocked(const CallInFlight& flight) {
  const SimulatedController& node = *controllers_[flight.from];
  if (link_cuts_.down(node.name, flight.far_end)) return true;
  switch (flight.call.target) {
    case Target::state:
      return node.cut_from_state || partitioned(node.zone, "");
    case Target::cloud:
      return partitioned(node.zone, "");
    case Target::worker:
      break;
  }
  const SimulatedWorker* w = worker_at(flight.call.address);
  return w &&
         (node.cut_from_workers || w->unreachable_since != 0 || partitioned(node.zone, w->zone));
}

// A cut of the way there alone doesn't delay the reply.
bool SimulatedCluster::reply_blocked(const CallInFlight& flight) {
  const SimulatedController& node = *controllers_[flight.from];
  if (link_cuts_.down(flight.far_end, node.name)) return true;
  return !link_cuts_.down(node.name, flight.far_end) && blocked(flight);
}

Ms SimulatedCluster::state_reply_delay(const Call& call) {
  if (call.target != Target::state) return 0;
  const bool watch = call.path.starts_with("/changes");
  const bool delays = now_ < state_reorders_until_ || (watch && now_ < watch_lags_until_);
  return delays && chance(0.3) ? 50 + random(450) : 0;
}

void SimulatedCluster::send_reply(const std::shared_ptr<CallInFlight>& flight, int status,
                                  const std::string& body) {
  if (reply_blocked(*flight) || chance(0.003)) return;  // lost
  const Call& call = flight->call;
  if (call.path == "/multi" && now_ < answers_lost_until_ && chance(0.05)) return;
  Ms delay = 0;
  if (call.target == Target::worker) {
    delay = worker_network_delay();
  } else {
    delay = network_delay() * flight->slower;
    delay += state_reply_delay(call);
  }
  at(now_ + delay, [this, flight, status, body] { deliver_reply(flight, status, body); });
}

// Status 0: the call has timed out. Only the first of all replies counts, and none after the
// sender's process has ended.
void SimulatedCluster::deliver_reply(const std::shared_ptr<CallInFlight>& flight, int status,
                                     std::string body) {
  if (flight->finished || controllers_[flight->from]->generation != flight->generation) return;
  if (body.size() > capacity_.response_bytes) {
    ++result_.oversized_replies;
    status = kReplyTooLarge;
    body.clear();
  }
  input(flight->from, [this, flight, status, body = std::move(body)](Controller& c) {
    if (flight->finished) return;
    flight->finished = true;
    c.on_result(now_, flight->call.id, {status, body});
  });
}

void SimulatedCluster::execute_once_unblocked(const std::shared_ptr<CallInFlight>& flight) {
  if (blocked(*flight) && !recovering_) {
    at(now_ + 1000, [this, flight] { execute_once_unblocked(flight); });
    return;
  }
  execute(flight->call, flight->from, [](int, const std::string&) {});
}

// The state service has received the transaction: neither a partition nor a crash of its sender
// prevents its execution.
void SimulatedCluster::execute_late(const std::shared_ptr<CallInFlight>& flight) {
  if (state_->outage && !recovering_) {
    at(now_ + 1000, [this, flight] { execute_late(flight); });
    return;
  }
  trace("late: " + controllers_[flight->from]->name + " " + flight->call.body);
  state_->serve(now_, flight->call, flight->from, [this](int status, const std::string&) {
    ++(status == 200 ? result_.late_txns_applied : result_.late_txns_failed);
  });
}

// ---- execution at the far end ----

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

// Watches wait for the end of an outage; all else is refused.
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
  if (w->hanging) {  // executed when it resumes
    ++result_.late_commands;
    at(now_ + 500, [this, call, from, respond] { execute(call, from, respond); });
    return;
  }
  expire_worker_lease(*w);
  if (call.path == "/status") return respond(200, heartbeat_body(*w));
  rapidjson::Document doc;
  if (!wire::parse_object(call.body, doc)) return respond(400, "{}");
  const std::uint64_t token = doc["baton"].GetUint64();
  const bool same_incarnation =
      doc["shift"].GetUint64() == w->incarnation || options_.workers_ignore_incarnations;
  if ((token < w->token && !options_.workers_ignore_tokens) || !same_incarnation)
    return respond(409, heartbeat_body(*w));
  w->token = std::max(w->token, token);
  note_contact(*w);
  execute_commands(*w, doc["orders"]);
  respond(200, heartbeat_body(*w));
}

// ---- requests of workers and users ----

void SimulatedCluster::send_to_controller(std::size_t i, const Request& request,
                                          const std::string& from_zone, Respond respond) {
  SimulatedController& n = *controllers_[i];
  const bool worker = !from_zone.empty();
  if (worker) {
    if (link_cuts_.down("workers/" + from_zone, n.name)) {
      respond = delayed_by_slow_links(std::move(respond));
      at(now_ + kHeartbeatReplyMs, [respond] { respond(0, ""); });
      return;
    }
    respond = reply_to_worker(i, from_zone, delayed_by_slow_links(std::move(respond)));
  } else if (options_.forge_reply) {
    respond = [this, request, respond](int status, std::string body) {
      options_.forge_reply(request, now_, status, body);
      respond(status, std::move(body));
    };
  }
  if (!n.controller || (worker && n.cut_from_workers) || partitioned(from_zone, n.zone)) {
    // A heartbeat may still arrive long after its sender has given it up.
    if (worker && n.controller && chance(0.3))
      at(now_ + 2000 + random(15'000), [this, i, request] { deliver_request(i, request); });
    respond(0, "");
    return;
  }
  await_reply(i, request, worker, std::move(respond));
}

void SimulatedCluster::deliver_request(std::size_t i, const Request& request) {
  input(i, [this, request](Controller& c) { c.on_request(now_, next_request_++, request); });
}

// The reply or, after four seconds, none: whichever is first.
void SimulatedCluster::await_reply(std::size_t i, const Request& request, bool worker,
                                   Respond respond) {
  SimulatedController& n = *controllers_[i];
  const std::uint64_t id = next_request_++;
  const bool controller_isolated =
      !worker && n.isolated_since != 0 && request.path.starts_with("/v1/");
  auto finish = [this, controller_isolated, once = std::make_shared<bool>(false),
                 respond = std::move(respond)](int status, std::string body) {
    if (std::exchange(*once, true)) return;
    if (controller_isolated && status != 0) ++result_.reads_at_isolated;
    respond(status, std::move(body));
  };
  n.pending_requests[id] = finish;
  trace(n.name + " <- " + request.path + " " + request.body);
  at(now_ + kHeartbeatReplyMs, [finish] { finish(0, ""); });
  input(i, [this, id, request](Controller& c) { c.on_request(now_, id, request); });
}

Respond SimulatedCluster::delayed_by_slow_links(Respond respond) {
  if (!slow_links_) return respond;
  return [this, respond = std::move(respond)](int status, const std::string& body) {
    at(now_ + worker_network_delay(), [respond, status, body] { respond(status, body); });
  };
}

// A reply on a link that is down is lost: the worker gives up after four seconds.
Respond SimulatedCluster::reply_to_worker(std::size_t i, const std::string& zone, Respond respond) {
  return [this, i, zone, respond = std::move(respond), asked = now_](int status,
                                                                     const std::string& body) {
    if (!link_cuts_.down(controllers_[i]->name, "workers/" + zone)) return respond(status, body);
    at(asked + kHeartbeatReplyMs, [respond] { respond(0, ""); });
  };
}

}  // namespace scheduler::sim
