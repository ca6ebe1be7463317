#include "quota/service_reserve.h"

namespace scheduler {

void ServiceReserve::recount() {
  reserves_.clear();
  for (const auto& [id, job] : context_.replica.jobs()) {
    const wire::JobSpec& spec = job.record.spec;
    if (!job.known || !spec.is_service() || job.record.cancelled) continue;
    for (const auto& [number, range] : job.ranges) {
      const std::string key = wire::range_key(id, number);
      if (context_.cluster_view.range_owner(key, range.owner) != context_.settings.name) continue;
      const auto missing =
          static_cast<double>(range.end - range.begin) - static_cast<double>(range.placed.size());
      Usage& reserve = reserves_[spec.team];
      reserve.cpus += missing * spec.cpus;
      reserve.gpus += missing * spec.gpus;
    }
  }
}

Usage ServiceReserve::for_team(const std::string& team) const {
  const auto reserve = reserves_.find(team);
  return reserve == reserves_.end() ? Usage{} : reserve->second;
}

}  // namespace scheduler
