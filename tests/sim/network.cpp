// The network of the simulated world: which links are up, and how messages travel, wait and get
// lost.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "workers/timing.h"

namespace scheduler::sim {

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
      if (w->up && !w->dead) w->unserved_since = now_;
  });
  at(cut.at + cut.lasts, [this, cut] {
    link_cuts_.restore(cut.from, cut.to);
    for (auto& [id, w] : workers_) served(*w);
  });
}

// A controller's word reached the worker: it has its lease again, or has carried out commands.
void SimulatedCluster::served(SimulatedWorker& w) {
  if (w.unserved_since == 0 || w.dead) return;
  result_.unserved_ms.push_back(now_ - w.unserved_since);
  w.unserved_since = 0;
}

void SimulatedCluster::flap(const LinkCut& cut, Ms until) {
  if (recovering_ || now_ >= until) return;
  const auto turn = [this, &cut] {
    return cut.flap_least + random(static_cast<int>(cut.flap_most - cut.flap_least + 1));
  };
  const Ms down = turn(), up = turn();
  link_cuts_.cut(cut.from, cut.to);
  at(now_ + down, [this, cut] { link_cuts_.restore(cut.from, cut.to); });
  at(now_ + down + up, [this, cut, until] { flap(cut, until); });
}

std::string SimulatedCluster::end_of(const Call& call) {
  if (call.target == Target::state) return "state";
  if (call.target == Target::cloud) return "cloud";
  const SimulatedWorker* w = worker_at(call.address);
  return w ? "workers/" + w->zone : "workers";
}

void SimulatedCluster::send(std::size_t i, const Call& call) {
  SimulatedController& n = *controllers_[i];
  const std::uint64_t generation = n.generation;
  auto answered = std::make_shared<bool>(false);
  auto finish = [this, i, generation, answered, id = call.id](int status, std::string body) {
    if (*answered || controllers_[i]->generation != generation) return;
    if (body.size() > capacity_.response_bytes) {
      ++result_.too_large;
      status = kReplyTooLarge;
      body.clear();
    }
    input(i, [this, answered, id, status, body = std::move(body)](Controller& c) {
      if (*answered) return;
      *answered = true;
      c.on_result(now_, id, {status, body});
    });
  };
  at(now_ + call.timeout, [finish] { finish(0, ""); });
  const std::string far_end = end_of(call);
  auto blocked = [this, i, call, far_end] {
    const SimulatedController& node = *controllers_[i];
    if (link_cuts_.down(node.name, far_end)) return true;
    if (call.target == Target::state) return node.cut_from_state || partitioned(node.zone, "");
    if (call.target == Target::cloud) return partitioned(node.zone, "");
    if (call.target == Target::worker) {
      if (const SimulatedWorker* w = worker_at(call.address))
        return node.cut_from_workers || w->unreachable_since != 0 ||
               partitioned(node.zone, w->zone);
    }
    return false;
  };
  if (blocked() || chance(0.003)) {
    // Held back, sometimes for good; delivered some time after the way is open again.
    if (chance(0.6)) {
      auto later = std::make_shared<std::function<void()>>();
      *later = [this, i, call, blocked, later] {
        if (blocked() && !recovering_) {
          at(now_ + 1000, *later);
          return;
        }
        execute(call, i, [](int, const std::string&) {});
        at(now_, [later] { *later = nullptr; });  // it holds itself
      };
      at(now_ + 1000 + random(25'000), *later);
    }
    return;
  }
  if (call.path == "/multi" && now_ < late_writes_until_ && chance(0.3)) {
    carry_out_late(i, call);
    return;
  }
  const int slower = call.target == Target::state ? state_slower_ : 1;
  const bool worker = call.target == Target::worker;
  // Of an answer; a cut of the way there alone doesn't hold it up.
  auto lost = [this, i, blocked, far_end] {
    const SimulatedController& node = *controllers_[i];
    if (link_cuts_.down(far_end, node.name)) return true;
    return !link_cuts_.down(node.name, far_end) && blocked();
  };
  at(now_ + (worker ? worker_network_delay() : network_delay() * slower),
     [this, i, call, lost, finish, slower, worker] {
       execute(call, i, [this, call, lost, finish, slower, worker](int status, std::string body) {
         if (lost() || chance(0.003)) return;  // the answer is lost
         if (call.path == "/multi" && now_ < answers_lost_until_ && chance(0.05)) return;
         const Ms way =
             worker ? worker_network_delay() : network_delay() * slower + state_answer_delay(call);
         at(now_ + way, [finish, status, body] { finish(status, body); });
       });
     });
  // Repeats of requests that were carried out.
  if (call.method == "POST" && chance(options_.repeated))
    at(now_ + 50 + random(15'000),
       [this, i, call] { execute(call, i, [](int, const std::string&) {}); });
}

Ms SimulatedCluster::state_answer_delay(const Call& call) {
  if (call.target != Target::state) return 0;
  const bool watch = call.path.starts_with("/changes");
  const bool delays = now_ < state_reorders_until_ || (watch && now_ < watch_lags_until_);
  return delays && chance(0.3) ? 50 + random(450) : 0;
}

// The service has the transaction already: neither a cut nor the end of its sender holds it up.
void SimulatedCluster::carry_out_late(std::size_t i, const Call& call) {
  auto later = std::make_shared<std::function<void()>>();
  *later = [this, i, call, later] {
    if (state_->outage && !recovering_) {
      at(now_ + 1000, *later);
      return;
    }
    trace("late: " + controllers_[i]->name + " " + call.body);
    state_->serve(now_, call, i, [this](int status, const std::string&) {
      ++(status == 200 ? result_.late_applied : result_.late_void);
    });
    at(now_, [later] { *later = nullptr; });  // it holds itself
  };
  at(now_ + 2000 + random(10'000), *later);
}

void SimulatedCluster::execute(const Call& call, std::size_t from, Respond respond) {
  trace("executed: " + controllers_[from]->name + " " + call.address + call.path + " " + call.body);
  if (call.target == Target::state) {
    if (state_->outage || controllers_[from]->refused_by_state) {
      if (call.path.starts_with("/changes")) {
        state_->serve(now_, call, from, respond);  // waits
        return;
      }
      respond(503, "{}");
      return;
    }
    state_->serve(now_, call, from, respond);
    return;
  }
  if (call.target == Target::worker) {
    SimulatedWorker* w = worker_at(call.address);
    if (w && w->up && !w->dead && !w->unreachable_since) {
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
      served(*w);
      execute_commands(*w, doc["orders"]);
      respond(200, heartbeat_body(*w));
      return;
    }
    return;
  }
  if (cloud_->outage) return respond(503, R"({"error":"trouble"})");
  if (options_.enforces_rates && !cloud_->allows(now_, options_.cloud_rps)) {
    ++result_.cloud_throttled;
    return respond(429, "{}");
  }
  if (call.path == "/catalog") {
    respond(200,
            R"({"fleets":[{"label":"t","cpus":8,"gpus":0,"memGb":32,"localGb":50,)"
            R"("fetchGbPerS":1,"rate":1,"marketPrice":0.3,"readyS":3,"yards":["a","b","c"]}]})");
  } else if (call.path == "/hosts") {
    rapidjson::Document doc;
    wire::parse_object(call.body, doc);
    const std::string scale_out_name = doc["hire"].GetString();
    if (!cloud_->scale_outs.contains(scale_out_name)) {
      int running = 0;
      for (const auto& [id, m] : cloud_->machines)
        running += m.zone == doc["yard"].GetString() && m.spot == doc["standby"].GetBool();
      const int want =
          std::min<int>(static_cast<int>(doc["number"].GetUint()), options_.capacity - running);
      if (want <= 0) return respond(503, R"({"error":"no capacity"})");
      cloud_->scale_outs[scale_out_name];
      for (int k = 0; k < want; ++k)
        add_machine(doc["yard"].GetString(), doc["standby"].GetBool(),
                    chance(0.05) ? now_ + 1'000'000'000 : now_ + 1000 + random(4000),
                    scale_out_name);
    }
    std::string list;
    for (const auto& id : cloud_->scale_outs[scale_out_name])
      list += (list.empty() ? "\"" : ",\"") + id + "\"";
    respond(200, R"({"rigs":[)" + list + "]}");
  } else if (call.path == "/hosts/return") {
    std::vector<std::string> ids;
    rapidjson::Document doc;
    wire::parse_object(call.body, doc);
    for (const auto& r : doc["rigs"].GetArray()) {
      cloud_->machines.erase(r.GetString());
      if (auto w = workers_.find(r.GetString()); w != workers_.end()) {
        const SimulatedWorker& x = *w->second;
        if (!recovering_ && x.up && !x.dead && !x.hanging && !x.sick && !x.unreachable_since &&
            !x.notice_ends)
          ++result_.live_returns;
        if (!recovering_ && x.up && !x.dead && !x.hanging && !x.sick && !x.notice_ends)
          result_.running_returned += static_cast<int>(std::count_if(
              x.tasks.begin(), x.tasks.end(), [](const auto& t) { return t.second.present; }));
        w->second->dead = true;
        clear_tasks(*w->second);
      }
    }
    respond(200, "{}");
  } else {
    ++result_.list_pages;
    std::string list;
    auto asked = query(call.path);
    const std::size_t most = asked["most"].empty() ? 500 : std::stoul(asked["most"]);
    std::size_t listed = 0;
    bool more = false;
    for (auto at = cloud_->machines.upper_bound(asked["after"]); at != cloud_->machines.end();
         ++at) {
      const auto& [id, m] = *at;
      if (m.listed > now_) continue;
      if (listed++ == most) {
        more = true;
        break;
      }
      Put p;
      p.str("id", id);
      p.str("endpoint", workers_.at(id)->address);
      p.str("fleet", "t");
      p.str("yard", m.zone);
      p.raw("standby", m.spot ? "true" : "false");
      p.str("status", m.failed ? "failed" : m.up > now_ ? "starting" : "running");
      p.raw("heldS", std::to_string(static_cast<double>(now_ - m.rented) / 1000.0));
      list += (list.empty() ? "" : ",") + p.done();
    }
    respond(200, R"({"rigs":[)" + list + R"(],"hasNext":)" + (more ? "true}" : "false}"));
  }
}

void SimulatedCluster::send_to_controller(std::size_t i, const Request& request,
                                          const std::string& from_zone, Respond respond) {
  SimulatedController& n = *controllers_[i];
  const bool worker = !from_zone.empty();
  if (worker && slow_links_)
    respond = [this, respond](int status, const std::string& body) {
      at(now_ + worker_network_delay(), [respond, status, body] { respond(status, body); });
    };
  const std::string worker_end = "workers/" + from_zone;
  if (worker && link_cuts_.down(worker_end, n.name)) {
    at(now_ + kHeartbeatReplyMs, [respond] { respond(0, ""); });
    return;
  }
  if (worker)
    respond = [this, i, worker_end, respond, asked = now_](int status, const std::string& body) {
      if (!link_cuts_.down(controllers_[i]->name, worker_end)) return respond(status, body);
      at(asked + kHeartbeatReplyMs, [respond] { respond(0, ""); });  // the answer is lost
    };
  if (!worker && options_.forge)
    respond = [this, request, respond](int status, std::string body) {
      options_.forge(request, now_, status, body);
      respond(status, std::move(body));
    };
  if (!n.controller || (worker && n.cut_from_workers) || partitioned(from_zone, n.zone)) {
    // A report may still arrive long after it was given up.
    if (worker && n.controller && chance(0.3)) {
      at(now_ + 2000 + random(15'000), [this, i, request] {
        input(i, [this, request](Controller& c) { c.on_request(now_, next_request_++, request); });
      });
    }
    respond(0, "");
    return;
  }
  const std::uint64_t id = next_request_++;
  auto once = std::make_shared<bool>(false);
  const bool controller_isolated =
      !worker && n.isolated_since != 0 && request.path.starts_with("/v1/");
  auto finish = [this, controller_isolated, once, respond](int status, std::string body) {
    if (*once) return;
    *once = true;
    if (controller_isolated && status != 0) ++result_.users_at_isolated;
    respond(status, std::move(body));
  };
  n.asked[id] = {request.path, finish};
  trace(n.name + " <- " + request.path + " " + request.body);
  at(now_ + kHeartbeatReplyMs, [finish] { finish(0, ""); });
  input(i, [this, id, request](Controller& c) { c.on_request(now_, id, request); });
}

}  // namespace scheduler::sim
