// One machine of a gang whose tasks must be in one zone stops.
#include "world.h"

using namespace review;

int main(int argc, char** argv) {
  const std::vector<std::string> zones = {"akasia", "atteridgeville", "mamelodi", "soshanguve"};
  Deployment d;
  d.controller_zones = {"mamelodi", "soshanguve", "atteridgeville", "akasia", "mamelodi"};
  d.zones = zones;
  d.teams = {{"recovery-crew-00", 1200, 2500, 0, 0}};
  d.types = {{"sorter-box", 16, 0, 32, 0.59, 0.15, 15, 0.15, zones}};
  d.objectives =
      "[[settings.objectives]]\nkind = \"finished\"\nclass = \"baling-shift\"\nwithin_s = 400.0\n"
      "share = 0.92\n";
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
  std::vector<Machine*> akasia;
  for (int i = 0; i < 6; ++i) akasia.push_back(&w.cloud.rent("sorter-box", "akasia", false, true));

  Job gang;
  gang.id = "req-000501";
  gang.job_class = "baling-shift";
  gang.team = "recovery-crew-00";
  gang.shape = "ensemble";
  gang.tasks = 6;
  gang.cpus = 15;
  gang.memory_gb = 26;
  gang.image = "img-03";
  gang.image_gb = 0.3;
  gang.together = true;
  gang.estimate_s = 30;
  gang.checkpoint_s = 60;
  gang.save_s = 4;
  gang.run_s = 30;
  w.after(4, [&] { w.submit(gang); });

  constexpr double kEndsAt = 116;
  Ms stopped_at = 0;
  w.every(0.5, [&] {
    if (stopped_at != 0 || w.running_total(gang.id) != 6 || !w.trouble) return;
    stopped_at = now_ms();
    w.note("TROUBLE: " + akasia.back()->id + " in akasia stops with all that is on it");
    akasia.back()->stop();
  });
  w.after(24, [&] {
    if (w.starts[gang.id].size() < 6) w.finish(2, "the gang did not start");
  });
  w.after(kEndsAt, [&] {
    std::map<std::string, unsigned> held;
    for (const auto& [id, machine] : w.cloud.machines)
      if (machine->up) ++held[machine->zone];
    std::string where;
    for (const auto& [zone, count] : held) where += " " + zone + " " + std::to_string(count);
    w.note("machines up:" + where);
    if (!w.violations.empty()) return w.finish(1, "broken: " + w.violations.front());
    const bool done = w.done_tasks.size() == 6;
    if (done || w.running_total(gang.id) == 6)
      return w.finish(0, done ? "the gang is done" : "the gang runs");
    w.finish(1, "broken: the gang does not run, " + std::to_string((now_ms() - stopped_at) / 1000) +
                    " s after a machine stopped");
  });
  return w.run(120);
}
