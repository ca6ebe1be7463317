// The simulated cloud: its catalog, scale-out and scale-in, and the paged list of machines.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

void SimulatedCluster::execute_cloud_call(const Call& call, const Respond& respond) {
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
    scale_out(call, respond);
  } else if (call.path == "/hosts/return") {
    scale_in(call, respond);
  } else {
    list_machines(call, respond);
  }
}

// Idempotent: a repeated request with the same name returns the same machines. One machine in
// twenty never starts.
void SimulatedCluster::scale_out(const Call& call, const Respond& respond) {
  rapidjson::Document doc;
  wire::parse_object(call.body, doc);
  const std::string name = doc["hire"].GetString();
  if (!cloud_->scale_outs.contains(name)) {
    int running = 0;
    for (const auto& [id, m] : cloud_->machines)
      running += m.zone == doc["yard"].GetString() && m.spot == doc["standby"].GetBool();
    const int provided =
        std::min<int>(static_cast<int>(doc["number"].GetUint()), options_.cloud_capacity - running);
    if (provided <= 0) return respond(503, R"({"error":"no capacity"})");
    cloud_->scale_outs[name];
    for (int k = 0; k < provided; ++k)
      add_machine(doc["yard"].GetString(), doc["standby"].GetBool(),
                  chance(0.05) ? now_ + 1'000'000'000 : now_ + 1000 + random(4000), name);
  }
  std::string list;
  for (const auto& id : cloud_->scale_outs[name]) list += (list.empty() ? "\"" : ",\"") + id + "\"";
  respond(200, R"({"rigs":[)" + list + "]}");
}

void SimulatedCluster::scale_in(const Call& call, const Respond& respond) {
  rapidjson::Document doc;
  wire::parse_object(call.body, doc);
  for (const auto& id : doc["rigs"].GetArray()) {
    cloud_->machines.erase(id.GetString());
    const auto found = workers_.find(id.GetString());
    if (found == workers_.end()) continue;
    SimulatedWorker& w = *found->second;
    count_scale_in(w);
    w.dead = true;
    clear_tasks(w);
  }
  respond(200, "{}");
}

void SimulatedCluster::count_scale_in(const SimulatedWorker& w) {
  const bool works = w.up && !w.dead && !w.hanging && !w.fails_tasks && !w.preempted_at;
  if (recovering_ || !works) return;
  if (!w.unreachable_since) ++result_.healthy_scale_ins;
  result_.running_tasks_returned += static_cast<int>(
      std::count_if(w.tasks.begin(), w.tasks.end(), [](const auto& t) { return t.second.active; }));
}

void SimulatedCluster::list_machines(const Call& call, const Respond& respond) {
  constexpr std::size_t kDefaultPageSize = 500;
  ++result_.list_pages;
  auto parameters = query_parameters(call.path);
  const std::size_t most =
      parameters["most"].empty() ? kDefaultPageSize : std::stoul(parameters["most"]);
  std::string list;
  std::size_t listed = 0;
  bool more = false;
  for (auto it = cloud_->machines.upper_bound(parameters["after"]); it != cloud_->machines.end();
       ++it) {
    const auto& [id, m] = *it;
    if (m.listed_from > now_) continue;
    if (listed++ == most) {
      more = true;
      break;
    }
    JsonObjectBuilder p;
    p.str("id", id);
    p.str("endpoint", workers_.at(id)->address);
    p.str("fleet", "t");
    p.str("yard", m.zone);
    p.raw("standby", m.spot ? "true" : "false");
    p.str("status", m.failed ? "failed" : m.running_from > now_ ? "starting" : "running");
    p.raw("heldS", std::to_string(static_cast<double>(now_ - m.requested_at) / 1000.0));
    list += (list.empty() ? "" : ",") + p.done();
  }
  respond(200, R"({"rigs":[)" + list + R"(],"hasNext":)" + (more ? "true}" : "false}"));
}

}  // namespace scheduler::sim
