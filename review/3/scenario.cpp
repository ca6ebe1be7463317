// A job of which a task failed once on a sick machine, which is well again and has room.
#include "../stand-ins/cluster.h"

using namespace review;

namespace {

constexpr Ms kLongestWaitMs = 90'000;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  WorldSettings settings;
  settings.binary = argv[1];
  settings.folder = argv[2];
  settings.record = argv[3];
  settings.seed = std::random_device{}();
  settings.controller_zones = {"rosslyn", "silverton", "rosslyn"};
  settings.zones = {"rosslyn", "silverton"};
  settings.teams = {{"fleet-desk-00", 0, 0}, {"fleet-desk-01", 0, 0}};
  settings.report_s = 3;
  settings.lease_s = 22;
  settings.cancel_s = 42;
  settings.rps = 200;
  settings.write_rps = 50;
  settings.value_kb = 8;
  settings.cloud_rps = 6;
  settings.list_lag_s = 10;
  settings.memory_mb = 104;
  settings.sockets = 3000;
  settings.machine_type = "yard-node";
  settings.machine_cpus = 4;
  settings.machine_gb = 16;
  World world(settings);
  for (int i = 0; i < 3; ++i) world.add_worker("rosslyn", false);
  for (int i = 0; i < 2; ++i) world.add_worker("silverton", false);
  for (auto& controller : world.controllers) controller->start();
  world.run_for(5000);

  // One of the two machines of silverton gets a long task.
  JobSpec longer;
  longer.id = "req-100000";
  longer.team = "fleet-desk-00";
  longer.cpus = 4;
  longer.memory = 9;
  longer.zone = "silverton";
  longer.run_s = 300;
  world.submit(longer);
  for (int i = 0; i < 50 && world.task_starts == 0; ++i) world.run_for(100);
  if (world.task_starts != 1) return 2;
  Worker* other = nullptr;
  for (auto& [id, worker] : world.workers)
    if (worker->zone == "silverton" && !worker->tasks.contains(longer.id + "/0"))
      other = worker.get();

  // The other one is sick until the first task of the next job has failed there.
  JobSpec job = longer;
  job.id = "req-100001";
  job.team = "fleet-desk-01";
  job.run_s = 5;
  if (trouble) {
    world.record.line("SICK " + other->id);
    other->sick = true;
  }
  world.submit(job);
  for (int i = 0; i < 50 && world.task_starts == 1; ++i) world.run_for(100);
  if (world.task_starts != 2) return 2;
  if (trouble) {
    world.run_for(1000);
    world.record.line("SICK no more " + other->id);
    other->sick = false;
  }

  const Truth& truth = world.jobs[job.id];
  Ms waited = 0;
  while (truth.told_done == 0 && waited < kLongestWaitMs && world.record.elapsed() < 112'000) {
    world.run_for(500);
    world.watch_waiting();
    const Ms since = world.waiting_since[job.id];
    waited = since == 0 ? 0 : steady_ms() - since;
    if (world.record.elapsed() / 500 % 10 == 0) {
      world.poll(job.id, world.pick(world.controllers.size()));
      world.record.line(job.id + " has waited for " + std::to_string(waited) +
                        " ms while a machine that fits has room");
    }
  }
  if (waited >= kLongestWaitMs)
    world.violation("waiting: " + job.id + " has waited for 90 s while " + other->id +
                    " has room");
  world.record.line("job done: " + std::to_string(truth.told_done != 0) + ", violations " +
                    std::to_string(world.violations.size()));
  for (auto& controller : world.controllers) controller->end();
  if (truth.told_done == 0 && world.violations.empty()) return 2;
  return world.exit_code("waiting");
}
