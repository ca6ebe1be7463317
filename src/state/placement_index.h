// Which tasks are placed where, and what they use.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/records.h"

namespace scheduler {

struct RangeId {
  std::string job;
  std::uint32_t number = 0;
  auto operator<=>(const RangeId&) const = default;
};

// A task within its range.
struct TaskRef {
  RangeId range;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct Usage {
  double cpus = 0, gpus = 0;
};

// Index of the placements that stand in the records of ranges: by machine, and the resources in use
// by team and quota lease. A placement is on its machine as soon as its range is known, but uses
// resources only once the job's record is known too, since that says how much.
class PlacementIndex {
 public:
  void add(TaskRef task, const wire::Placement& placement);
  void remove(const TaskRef& task, const wire::Placement& placement);
  // A placement of this job begins or ends to use resources.
  void count(const wire::JobSpec& spec, const wire::Placement& placement) {
    change_usage(spec, placement, 1);
  }
  void uncount(const wire::JobSpec& spec, const wire::Placement& placement) {
    change_usage(spec, placement, -1);
  }

  const std::set<TaskRef>& placed_on(const std::string& machine) const;
  // Machines with placements.
  const std::unordered_map<std::string, std::set<TaskRef>>& by_machine() const {
    return placed_on_;
  }
  // Whether replicas of services are placed on the machine.
  bool hosts_service(const std::string& machine) const { return replicas_on_.contains(machine); }
  // What a team's placements use, by the controller whose quota lease they use, and in total.
  Usage usage(const std::string& team, const std::string& quota_holder) const;
  Usage usage(const std::string& team) const;

 private:
  void change_usage(const wire::JobSpec& spec, const wire::Placement& placement, int sign);

  std::unordered_map<std::string, std::set<TaskRef>> placed_on_;  // no empty sets
  std::unordered_map<std::string, int> replicas_on_;              // of services; no zeros
  std::map<std::string, std::map<std::string, Usage>> usage_;     // team -> quota holder
};

}  // namespace scheduler
