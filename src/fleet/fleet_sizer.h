// How many machines to hold, and which to rent next. Pure functions.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/types.h"
#include "wire/records.h"

namespace scheduler {

// Milliseconds for which a refused kind of machine is not asked for again.
constexpr std::int64_t kRefusedPauseMs = 15'000;

// The duty of running the fleet. Its name decides which controller that is, so that the
// production version and this one must hash the same one.
constexpr std::string_view kFleetDuty = "cloud";

struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

// Work that is not finished, as far as sizing cares.
struct Demand {
  const wire::JobSpec* job = nullptr;
  std::uint64_t tasks = 0;  // unfinished
};

class FleetSizer {
 public:
  explicit FleetSizer(const Settings& settings) : settings_(settings) {}

  // Tasks of the job that have to run side by side for its objective.
  [[nodiscard]] double parallel(const Demand& demand) const;
  // The cheapest allowed type that a task fits on; nullptr if none.
  [[nodiscard]] static const wire::MachineType* type_for(
      const wire::JobSpec& job, const std::vector<wire::MachineType>& catalog);
  // A number of machines of a type that must be held, counting only those of the zone ("" for
  // any) and, if set, only ordinary ones.
  struct Need {
    std::string type, zone;
    bool ordinary_only = false;
    double machines = 0;
  };
  // Most specific first. Work that is free to go anywhere counts in the general needs, and work
  // that is not in all that it falls under.
  [[nodiscard]] std::vector<Need> needs(const std::vector<Demand>& demand,
                                        const std::vector<wire::MachineType>& catalog) const;
  // What to rent now, at most a few requests per kind. `held` counts machines that are usable or on
  // their way; `refused` tells until when a kind is not asked for.
  [[nodiscard]] std::vector<wire::ScaleOutRequest> next_scale_out(
      Ms now, const std::vector<Demand>& demand, const std::vector<wire::MachineType>& catalog,
      const std::map<MachineKind, int>& held) const;
  // Machines held beyond what is wanted, in total over zones, per type.
  [[nodiscard]] std::map<std::string, int> surplus(const std::vector<Demand>& demand,
                                                   const std::vector<wire::MachineType>& catalog,
                                                   const std::map<MachineKind, int>& held) const;
  void on_refused(Ms now, const MachineKind& kind);

 private:
  struct ScaleOutPlan;

  [[nodiscard]] bool is_refused(Ms now, const MachineKind& kind) const;
  // Of these, the machines that count for the need.
  static double count_for(const Need& need, const std::map<MachineKind, int>& counts);
  // Which kind the next machine for the need is to be; none: no more may be asked for.
  std::optional<MachineKind> next_kind(Ms now, const Need& need, const wire::MachineType& type,
                                       ScaleOutPlan& plan) const;

  const Settings& settings_;
  std::map<MachineKind, Ms> refused_;
};

}  // namespace scheduler
