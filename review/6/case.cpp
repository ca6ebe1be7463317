// A service that is spread over zones loses the only machine of one of them.
#include "world.h"

using namespace review;

int main(int argc, char** argv) {
  Deployment d;
  d.controller_zones = {"rosslyn", "silverton", "rosslyn"};
  d.zones = {"centurion", "rosslyn", "silverton"};
  d.teams = {{"fleet-desk-00", 0, 0, 0, 0}};
  d.types = {{"yard-node", 4, 0, 16, 0.2, 0.06, 20, 1.0, d.zones}};
  d.objectives =
      "[[settings.objectives]]\nkind = \"up\"\nclass = \"bin-tracker\"\nshare = 0.998\n"
      "after_s = 5.0\n";
  World w(d, argc, argv);
  for (std::size_t i = 0; i < 3; ++i) w.start_controller(i);
  for (int i = 0; i < 6; ++i) w.cloud.rent("yard-node", "rosslyn", false, true);
  Machine& lost = w.cloud.rent("yard-node", "silverton", false, true);

  Job service;
  service.id = "req-000413";
  service.job_class = "bin-tracker";
  service.team = "fleet-desk-00";
  service.shape = "daemon";
  service.rank = "production";
  service.tasks = 4;
  service.cpus = 1;
  service.memory_gb = 3.2;
  service.image = "img-09";
  service.image_gb = 1.0;
  service.scatter = true;
  w.after(4, [&] { w.submit(service); });

  constexpr double kTroubleAt = 16;
  constexpr double kEndsAt = 114;
  w.after(kTroubleAt, [&] {
    if (w.running_total(service.id) != 4) return w.finish(2, "the service did not start");
    if (!w.trouble) return;
    w.note("TROUBLE: " + lost.id + " in silverton stops with all that is on it");
    lost.stop();
  });
  w.after(kEndsAt, [&] {
    const auto by_zone = w.running(service.id);
    std::string where;
    for (const auto& [zone, count] : by_zone) where += " " + zone + " " + std::to_string(count);
    w.note("replicas that run:" + where);
    unsigned rented = 0;
    for (const auto& hire : w.cloud.hires)
      if (hire.at > kTroubleAt * 1000) rented += hire.asked;
    w.note("machines asked for since, in any zone: " + std::to_string(rented));
    if (!w.violations.empty()) return w.finish(1, "broken: " + w.violations.front());
    if (w.running_total(service.id) == 4) return w.finish(0, "all replicas run");
    w.finish(1, "broken: " + std::to_string(w.running_total(service.id)) +
                    " of 4 replicas run, 98 s after the machine stopped");
  });
  return w.run(118);
}
