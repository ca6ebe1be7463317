// A gang's start is held up on its way while the gang is stopped and begun again elsewhere.
#include "../stand-ins/cluster.h"

using namespace review;

namespace {

constexpr double kShareTaken = 0.6;  // most cheap machines that the wave takes

struct Scenario {
  World& world;
  bool trouble;
  std::string gang = "req-100001";
  std::size_t taken = 0;
  std::size_t cheap = 0;
  Worker* held = nullptr;
  std::string held_task;

  void take_back(Worker& worker) {
    ++taken;
    worker.warning_s = 25;
    worker.note_change();
    world.record.line("NOTICE " + worker.id + " is taken back in 25 s");
    world.after(25'000, [&worker] { worker.die(); });
  }

  // A machine that runs or gathers a task of the gang and has no notice.
  Worker* member_besides(const Worker* other) {
    for (auto& [id, worker] : world.workers) {
      if (worker.get() == other || !worker->up || worker->warning_s) continue;
      for (auto& [name, task] : worker->tasks)
        if (name.starts_with(gang) && task.on_machine()) return worker.get();
    }
    return nullptr;
  }

  // Whether the message starts a task of the gang of which an earlier attempt is still listed here.
  std::string restarted_task(const Worker& worker, const std::string& body) const {
    Document document;
    if (document.Parse(body.c_str()).HasParseError() || !document.HasMember("orders")) return "";
    for (const auto& order : document["orders"].GetArray()) {
      const std::string name = order["load"].GetString();
      if (std::string(order["verb"].GetString()) != "start" || !name.starts_with(gang)) continue;
      const auto task = worker.tasks.find(name);
      if (task != worker.tasks.end() && task->second.status == "exited" &&
          task->second.attempt < order["try"].GetUint64())
        return name;
    }
    return "";
  }

  void run() {
    JobSpec spec;
    spec.id = gang;
    spec.shape = "ensemble";
    spec.tasks = 6;
    spec.cpus = 15;
    spec.memory = 26;
    spec.run_s = 20;
    spec.zone = "soshanguve";
    world.submit(spec);
    world.run_for(6000);
    if (!trouble) {
      world.run_for(30'000);
      return;
    }
    world.before_orders = [this](Worker& worker, const std::string& body) {
      if (held || worker.warning_s || !worker.has_reported()) return;
      held_task = restarted_task(worker, body);
      if (held_task.empty()) return;
      held = &worker;
      world.record.line("CUT what controllers send to " + worker.id + " is held back: " + body);
      worker.hold_back(true);
    };
    while (!held && static_cast<double>(taken) < kShareTaken * static_cast<double>(cheap) - 2) {
      if (Worker* worker = member_besides(nullptr)) take_back(*worker);
      for (int i = 0; i < 15 && !held; ++i) world.run_for(100);
    }
    if (!held) return;
    world.run_for(300);
    for (int i = 0; i < 20; ++i) {
      if (Worker* worker = member_besides(held)) {
        take_back(*worker);
        break;
      }
      world.run_for(100);
    }
    // The interruption ends once the task is on another machine, after 12 s at the latest.
    for (int i = 0; i < 120 && !on_another_machine(); ++i) world.run_for(100);
    world.record.line("CUT ends");
    held->hold_back(false);
    world.run_for(5000);
  }

  bool on_another_machine() const {
    return std::any_of(world.workers.begin(), world.workers.end(), [this](const auto& entry) {
      const auto task = entry.second->tasks.find(held_task);
      return entry.second.get() != held && task != entry.second->tasks.end() &&
             task->second.on_machine();
    });
  }
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  WorldSettings settings;
  settings.binary = argv[1];
  settings.folder = argv[2];
  settings.record = argv[3];
  settings.seed = std::random_device{}();
  settings.controller_zones = {"mamelodi", "soshanguve", "atteridgeville"};
  settings.zones = {"mamelodi", "soshanguve", "atteridgeville"};
  settings.report_s = 5;
  settings.lease_s = 29;
  settings.gang_wait_s = 50;
  settings.gang_peer_s = 8;
  settings.cancel_s = 54;
  settings.rps = 150;
  settings.write_rps = 20;
  settings.value_kb = 8;
  settings.txn_ops = 16;
  settings.cloud_rps = 8;
  settings.memory_mb = 136;
  settings.sockets = 2500;
  settings.machine_type = "sorter-box";
  settings.machine_gb = 32;
  World world(settings);
  Scenario scenario{world, std::string(argv[4]) != "0"};
  for (int i = 0; i < 3; ++i) world.add_worker("mamelodi", false);
  for (int i = 0; i < 16; ++i, ++scenario.cheap) world.add_worker("soshanguve", true);
  for (auto& controller : world.controllers) controller->start();
  world.run_for(9000);
  if (world.task_starts != 0) return 2;
  scenario.run();
  const int starts = world.task_starts;
  world.record.line("starts " + std::to_string(starts) + ", held " +
                    (scenario.held ? scenario.held_task : "nothing") + ", violations " +
                    std::to_string(world.violations.size()));
  for (auto& controller : world.controllers) controller->end();
  if (starts == 0 || (scenario.trouble && !scenario.held)) return 2;
  return world.exit_code("ran_twice");
}
