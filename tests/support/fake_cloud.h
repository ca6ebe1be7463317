// Replies of a fake cloud to the controller or component under test, in the format of PROTOCOL.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "sim/fake_state_service.h"
#include "wire/json.h"

namespace scheduler {

// A cloud with one machine type, "g". It runs the given machines, which it lists in zone "a", and
// has no capacity for others.
struct FakeCloud {
  int cpus = 8;  // CPUs of the machine type
  int memory_gb = 32;
  std::map<std::string, std::string> machines;  // status in the cloud's list, by machine id
  std::vector<std::string> zones{"a"};          // in which machines may be requested

  [[nodiscard]] std::string catalog() const {
    std::string zone_names;
    for (const auto& zone : zones)
      zone_names += std::string(zone_names.empty() ? "" : ",") + '"' + zone + '"';
    return R"({"fleets":[{"label":"g","cpus":)" + std::to_string(cpus) + R"(,"gpus":0,"memGb":)" +
           std::to_string(memory_gb) +
           R"(,"localGb":50,"fetchGbPerS":1,"rate":1,"marketPrice":0.3,"readyS":3,"yards":[)" +
           zone_names + "]}]}";
  }

  [[nodiscard]] std::string list() const {
    std::string entries;
    for (const auto& [id, status] : machines) {
      sim::JsonObjectBuilder machine;
      machine.str("id", id);
      machine.str("endpoint", id + ":1");
      machine.str("fleet", "g");
      machine.str("yard", "a");
      machine.raw("standby", "false");
      machine.str("status", status);
      machine.raw("heldS", "9");
      entries += (entries.empty() ? "" : ",") + machine.done();
    }
    return R"({"rigs":[)" + entries + R"(],"hasNext":false})";
  }

  static HttpResult no_capacity() { return {503, R"({"error":"no capacity"})"}; }
};

}  // namespace scheduler
