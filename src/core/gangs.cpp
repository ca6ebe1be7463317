// Gangs: whole or not at all.
#include <algorithm>
#include <cmath>

#include "core/controller.h"
#include "core/pass.h"

namespace puffinhaven::core {

void Controller::place_gang(Pass& pass, const RangeId& id, const Job& job,
                            const wire::RangeRecord& range, bool begun) {
  const auto& spec = job.record.spec;
  RangeWork& w = work_[id];
  // The next attempt starts when nothing of the last is left anywhere.
  if (!range.placed.empty() || !w.placing.empty() || range.done_count() > 0) return;
  const Team* t = team(spec.team);
  if (!t) return;
  if (limited(*t)) {
    wire::JobSpec all = spec;
    all.cpus *= spec.tasks;
    all.gpus *= spec.tasks;
    if (!grant_allows(pass, all)) {
      need_quota(all, 1);
      return;
    }
  }
  // Our own part first; if it cannot hold the gang, other parts' machines too.
  for (const bool foreign : {false, true}) {
    if (foreign) add_foreign(pass);
    std::set<std::string> zones;
    for (const auto* c : pass.pool) zones.insert(c->zone);
    std::vector<std::string> tries;
    if (spec.one_zone) {
      tries.assign(zones.begin(), zones.end());
    } else {
      tries.emplace_back();
    }
    for (const auto& only : tries) {
      const std::vector<int> chosen = hold_gang(pass, spec, foreign, only);
      if (chosen.empty()) continue;
      for (std::uint32_t task = 0; task < spec.tasks; ++task)
        assign(pass, w, job, range.begin + task, range.next_attempt, chosen[task], true);
      return;
    }
  }
  if (!begun) reserve(pass, spec, spec.tasks);
}

// Books a machine for every task of the gang, or nothing.
std::vector<int> Controller::hold_gang(Pass& pass, const wire::JobSpec& spec, bool foreign,
                                       const std::string& only) {
  std::vector<int> open;
  for (std::size_t i = 0; i < pass.pool.size(); ++i) {
    const Candidate& c = *pass.pool[i];
    if ((c.own || foreign) && allowed(spec, c.type, c.zone, c.spot) &&
        (only.empty() || c.zone == only))
      open.push_back(static_cast<int>(i));
  }
  std::map<std::string, std::uint32_t> in_zone;
  std::vector<std::pair<int, bool>> booked;  // machine, whether the image was new there
  while (booked.size() < spec.tasks) {
    const int at = choose(pass.now, pass.pool, spec, open, random_);
    if (at < 0) break;
    Candidate& c = *pass.pool[static_cast<std::size_t>(at)];
    booked.emplace_back(at, c.book(spec, ends_at(pass.now, spec)));
    const std::string zone = c.zone;
    if (spec.spread && ++in_zone[zone] + 1 > (spec.tasks + 1) / 2)
      std::erase_if(open,
                    [&](int i) { return pass.pool[static_cast<std::size_t>(i)]->zone == zone; });
  }
  std::vector<int> chosen;
  if (booked.size() == spec.tasks) {
    for (const auto& [at, fresh] : booked) chosen.push_back(at);
    return chosen;
  }
  for (auto it = booked.rbegin(); it != booked.rend(); ++it)
    pass.pool[static_cast<std::size_t>(it->first)]->unbook(spec, it->second);
  return chosen;
}

}  // namespace puffinhaven::core
