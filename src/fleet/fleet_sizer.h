// Computes how many machines the fleet needs and which to rent next, without I/O or clock.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/types.h"
#include "fleet/kind_availability.h"
#include "fleet/machine_kind.h"
#include "fleet/waiting_work.h"
#include "wire/records.h"

namespace scheduler {

// Name of the duty of managing the fleet. The fleet leader is determined by the hash of this name,
// so it must be equal in the version in production and in this one.
constexpr std::string_view kFleetDuty = "cloud";

class FleetSizer {
 public:
  explicit FleetSizer(const Settings& settings) : settings_(settings) {}

  // Number of tasks of the job that must run in parallel to meet its objective.
  [[nodiscard]] double parallel_tasks(const Demand& demand) const;
  // Number of machines of a type that the fleet needs. Only machines in `zone` count ("": any
  // zone), and if `non_spot_only` is set, spot machines don't count.
  struct Need {
    std::string type, zone;
    bool non_spot_only = false;
    bool allows_spot = false;  // some of the work may use spot machines
    double machines = 0;
  };
  // The most specific needs come first. Every job counts in the general needs; a job that is bound
  // to a zone or may not use spot machines counts in the matching specific needs as well. A job
  // counts for the type with the lowest price per task; if that is used up, the tasks that the held
  // machines can't take count for the next type.
  [[nodiscard]] std::vector<Need> needs(Ms now, const std::vector<Demand>& demand,
                                        const std::vector<wire::MachineType>& catalog,
                                        const MachineCounts& held) const;
  // The requests to send now, limited to a few per kind: machines without which waiting jobs can't
  // run (fleet/waiting_work.h), and then those that the needs lack in number. `held` counts the
  // machines that are ready or requested already. `rooms`: the same machines with what is free on
  // each, for jobs that have waited for long; if it is empty, these are tried on empty machines as
  // well. Kinds that the cloud refused recently are left out.
  [[nodiscard]] std::vector<wire::ScaleOutRequest> next_scale_out(
      Ms now, const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog,
      const MachineCounts& held, const std::vector<MachineRoom>& rooms = {}) const;
  // Machines held beyond the need, by type and summed over zones; negative if machines are missing.
  [[nodiscard]] std::map<std::string, int> surplus(Ms now, const std::vector<Demand>& demand,
                                                   const std::vector<wire::MachineType>& catalog,
                                                   const MachineCounts& held) const;
  // Whether waiting jobs would lack machines if one empty machine of this kind were returned.
  [[nodiscard]] static bool needed_by_waiting_work(const MachineKind& kind,
                                                   const std::vector<Demand>& demand,
                                                   const std::vector<wire::MachineType>& catalog,
                                                   MachineCounts held,
                                                   std::vector<MachineRoom> rooms = {});
  // The cloud had no machines of this kind, or fewer than requested.
  void on_refused(Ms now, const MachineKind& kind) { availability_.on_refused(now, kind); }
  // The cloud had all machines that were requested.
  void on_filled(const MachineKind& kind) { availability_.on_filled(kind); }

 private:
  struct NeedSums;
  struct ScaleOutPlan;

  // Whether every kind of this type that the job may use is used up.
  [[nodiscard]] bool is_used_up(Ms now, const wire::JobSpec& job,
                                const wire::MachineType& type) const;
  // Adds the machines that the job needs, by type.
  void add_need(Ms now, const Demand& work, const std::vector<wire::MachineType>& catalog,
                const MachineCounts& held_machines, NeedSums& sums) const;
  // Adds the machines without which waiting jobs can't run.
  void plan_for_waiting_work(Ms now, const std::vector<Demand>& demand,
                             const std::vector<wire::MachineType>& catalog,
                             const std::vector<MachineRoom>& rooms, ScaleOutPlan& plan) const;
  // Number of machines among `counts` that count for the need.
  static double matching_count(const Need& need, const MachineCounts& counts);
  // The kind of the next machine to rent for the need; std::nullopt if no more may be requested.
  std::optional<MachineKind> next_kind(Ms now, const Need& need, const wire::MachineType& type,
                                       ScaleOutPlan& plan) const;

  const Settings& settings_;
  KindAvailability availability_;
};

}  // namespace scheduler
