// The only machine of a zone fails what it starts for a few seconds; a job is bound to that zone.
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
  d.report_s = 3;
  d.cloud_latency_ms = 250;
  World w(d, argc, argv);
  for (std::size_t i = 0; i < 3; ++i) w.start_controller(i);
  Machine& faulty = w.cloud.rent("yard-node", "centurion", false, true);
  for (int i = 0; i < 4; ++i)
    w.cloud.rent("yard-node", i % 2 ? "rosslyn" : "silverton", false, true);

  Job job;
  job.id = "req-000701";
  job.job_class = "route-plan";
  job.team = "fleet-desk-00";
  job.tasks = 1;
  job.memory_gb = 3.4;
  job.image = "img-02";
  job.image_gb = 0.7;
  job.zone = "centurion";
  job.estimate_s = 20;
  job.run_s = 20;
  job.due_s = 60;
  w.after(5, [&] {
    if (w.trouble) {
      w.note("TROUBLE: " + faulty.id + " in centurion fails every task that it starts");
      faulty.fails_tasks = true;
    }
    w.submit(job);
  });
  constexpr double kOverAt = 15;
  w.after(kOverAt, [&] {
    if (!faulty.fails_tasks) return;
    w.note("TROUBLE over: " + faulty.id + " is sound again");
    faulty.fails_tasks = false;
  });
  // The rule allows 90 s.
  w.after(kOverAt + 95, [&] {
    if (!w.violations.empty()) return w.finish(1, "broken: " + w.violations.front());
    const auto& starts = w.starts[job.id];
    if (starts.empty()) return w.finish(2, "the job was never started");
    bool after_trouble = w.done_tasks.contains({job.id, 0}) || w.running_total(job.id) > 0;
    if (after_trouble) return w.finish(0, "the job runs or is done");
    if (!faulty.up) return w.finish(2, "the machine was returned");
    w.finish(1, "broken: the job has waited for 95 s since the trouble ended, while " + faulty.id +
                    " is idle");
  });
  return w.run(118);
}
