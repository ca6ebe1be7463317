// Index of task placements by machine, and of the resources that they use.
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

// Identifies a task by its range and its index.
struct TaskRef {
  RangeId range;
  std::uint32_t index = 0;
  auto operator<=>(const TaskRef&) const = default;
};

struct Usage {
  double cpus = 0, gpus = 0;
};

// Indexes the placements in the range records by machine, and the resources they use by team and
// quota lease. A placement is listed on its machine as soon as its range is known. Its resources
// are counted only once the job's record is known too, since that record states them.
class PlacementIndex {
 public:
  void add(TaskRef task, const wire::Placement& placement);
  void remove(const TaskRef& task, const wire::Placement& placement);
  // Adds or subtracts the resources that a placement of this job uses.
  void add_usage(const wire::JobSpec& spec, const wire::Placement& placement) {
    change_usage(spec, placement, 1);
  }
  void remove_usage(const wire::JobSpec& spec, const wire::Placement& placement) {
    change_usage(spec, placement, -1);
  }

  const std::set<TaskRef>& placed_on(const std::string& machine) const;
  // Placed tasks by machine; only machines with at least one placement.
  const std::unordered_map<std::string, std::set<TaskRef>>& by_machine() const {
    return placed_on_;
  }
  // Whether replicas of services are placed on the machine.
  bool hosts_service(const std::string& machine) const {
    return service_replicas_on_.contains(machine);
  }
  // Resources that a team's placements use: those charged to one quota holder (the controller whose
  // quota lease they use), and all of them.
  Usage usage(const std::string& team, const std::string& quota_holder) const;
  Usage usage(const std::string& team) const;

 private:
  void change_usage(const wire::JobSpec& spec, const wire::Placement& placement, int sign);

  std::unordered_map<std::string, std::set<TaskRef>> placed_on_;  // machine -> tasks; no empty sets
  std::unordered_map<std::string, int> service_replicas_on_;      // machine -> number; no zeros
  std::map<std::string, std::map<std::string, Usage>> usage_;     // team -> quota holder
};

}  // namespace scheduler
