// The cloud has no capacity left of the cheapest of two machine types that a job may use.
#include "world.h"

using namespace review;

int main(int argc, char** argv) {
  const std::vector<std::string> zones = {"akasia", "atteridgeville", "mamelodi", "soshanguve"};
  Deployment d;
  d.controller_zones = {"mamelodi", "soshanguve", "atteridgeville", "akasia", "mamelodi"};
  d.zones = zones;
  d.teams = {{"recovery-crew-00", 1200, 2500, 0, 0}};
  d.types = {{"sorter-box", 16, 0, 32, 0.59, 0.15, 15, 0.15, zones},
             {"vision-box", 16, 2, 64, 4.69, 1.48, 40, 0.1, zones}};
  d.report_s = 5;
  d.lease_s = 29;
  d.gang_wait_s = 50;
  d.gang_peer_s = 8;
  d.cancel_s = 54;
  d.state_rps = 150;
  d.state_write_rps = 20;
  d.txn_ops = 16;
  d.cloud_rps = 8;
  d.list_lag_s = 3;
  d.cpu_share = 0.16;
  d.ram_mb = 136;
  d.fd_limit = 2500;
  d.clock_off_ms = 100;
  d.state_latency_ms = 5;
  d.cloud_latency_ms = 80;
  World w(d, argc, argv);
  for (std::size_t i = 0; i < 5; ++i) w.start_controller(i);
  if (w.trouble) w.cloud.full.insert({"sorter-box", ""});

  Job job;
  job.id = "req-000601";
  job.job_class = "sort-plans";
  job.team = "recovery-crew-00";
  job.tasks = 2;
  job.cpus = 6;
  job.memory_gb = 12;
  job.image = "img-04";
  job.image_gb = 0.5;
  job.standby = true;
  job.estimate_s = 10;
  job.run_s = 10;
  w.after(3, [&] { w.submit(job); });

  w.after(116, [&] {
    unsigned refused = 0, others = 0;
    for (const auto& hire : w.cloud.hires) ++(hire.type == "sorter-box" ? refused : others);
    w.note("requests to rent a sorter-box: " + std::to_string(refused) +
           ", a vision-box: " + std::to_string(others));
    if (!w.violations.empty()) return w.finish(1, "broken: " + w.violations.front());
    if (!w.jobs[job.id].accepted) return w.finish(2, "the job was not accepted");
    if (!w.starts[job.id].empty()) return w.finish(0, "the job was started");
    w.finish(1, "broken: no task was started, 113 s after the submission");
  });
  return w.run(120);
}
