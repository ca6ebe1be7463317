// The state service announces lower limits while arrays that are spread over zones run.
#include "world.h"

using namespace review;

int main(int argc, char** argv) {
  Deployment d;
  d.controller_zones = {"rosslyn", "silverton", "rosslyn"};
  d.zones = {"centurion", "rosslyn", "silverton"};
  d.teams = {{"fleet-desk-00", 0, 0, 0, 0}};
  d.types = {{"yard-node", 4, 0, 16, 0.2, 0.06, 20, 1.0, d.zones}};
  d.objectives =
      "[[settings.objectives]]\nkind = \"deadline\"\nclass = \"route-plan\"\nshare = 0.88\n"
      "times = 1.0\n";
  // PROTOCOL gives machine names no length; these have 20 characters, like n-000000000000000231.
  d.name_digits = 18;
  const char* setting = std::getenv("TROUBLE");
  if (!(setting && std::string(setting) == "0")) {
    d.next_value_kb = 2;
    d.next_txn_ops = 8;
    d.next_write_rps = 35;
  }
  World w(d, argc, argv);
  for (std::size_t i = 0; i < 3; ++i) w.start_controller(i);
  for (int i = 0; i < 180; ++i) w.cloud.rent("yard-node", d.zones[i % 3], false, true);

  unsigned next_id = 400;
  const auto submit = [&](unsigned tasks, double memory_gb, double run_s) {
    Job job;
    job.id = "req-" + std::to_string(1'000'000 + next_id++);
    job.job_class = "route-plan";
    job.team = "fleet-desk-00";
    job.tasks = tasks;
    job.memory_gb = memory_gb;
    job.image = "img-02";
    job.image_gb = 0.1;
    job.scatter = true;
    job.estimate_s = job.run_s = run_s;
    w.submit(job);
  };
  // Arrays of tasks that each take most of a machine's memory, and small ones beside them.
  w.after(8, [&] {
    for (int i = 0; i < 9; ++i) submit(400, 9, 4);
    for (int i = 0; i < 6; ++i) submit(30, 3.4, 4);
    w.every(4, [&] {
      submit(100, 9, 4);
      submit(30, 3.4, 4);
      submit(30, 3.4, 4);
    });
  });
  if (w.trouble) w.after(20, [&] { w.lower_limits(); });
  w.every(0.1, [&] {
    if (!w.violations.empty()) w.finish(1, "broken: " + w.violations.front());
  });
  w.after(110, [&] {
    unsigned accepted = 0, started = 0;
    for (const auto& [id, view] : w.jobs) accepted += view.accepted ? 1 : 0;
    for (const auto& [id, starts] : w.starts) started += static_cast<unsigned>(starts.size());
    w.note("jobs accepted: " + std::to_string(accepted) +
           ", tasks started: " + std::to_string(started));
    w.finish(accepted < 10 || started < 200 ? 2 : 0, "no controller ended by itself");
  });
  return w.run(116);
}
