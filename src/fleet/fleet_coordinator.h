// The fleet leader decides which machines to rent and which to return. One controller of the view
// is the leader: the one that the hash of the name kFleetDuty selects.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "fleet/cloud_inventory.h"
#include "fleet/fleet_demand.h"
#include "fleet/fleet_record_writer.h"
#include "fleet/fleet_sizer.h"
#include "fleet/scale_out_requests.h"
#include "membership/context.h"
#include "wire/records.h"

namespace scheduler {

// Milliseconds for which the fleet must be larger than needed before machines are returned.
constexpr std::int64_t kScaleInDelayMs = 300'000;
// Milliseconds without an unfinished job after which surplus machines are returned. On a busy day
// the time between two submissions is shorter than that, and a returned machine can be replaced
// within one boot time.
constexpr std::int64_t kIdleScaleInDelayMs = 30'000;

// Rents machines for the unfinished jobs, adopts listed machines that have no record, and returns
// machines that are lost, quarantined, drained or not needed.
class FleetCoordinator {
 public:
  explicit FleetCoordinator(const Context& context);

  void tick(Ms now);
  // Called when this process was paused for `gap` milliseconds.
  void on_pause(Ms now, Ms gap);
  // The link to the cloud. It has evidence only while this controller is the fleet leader.
  [[nodiscard]] const links::RequestLink& cloud_link() const { return inventory_.link(); }

 private:
  [[nodiscard]] bool is_leader() const { return context_.is_leader_of(kFleetDuty); }
  void read_catalog(Ms now);
  void on_catalog(Ms now, const HttpResult& http_result);

  void on_list_complete(Ms now);
  // Compares a listed machine with its record. Returns true if the machine has failed and must be
  // returned although no record says that it is lost.
  bool check_listed(const std::string& id, const wire::CloudMachine& listed);
  void check_unlisted(Ms now);

  void resize(Ms now);
  void scale_out(Ms now, const std::vector<Demand>& demand, const MachineCounts& held);
  void scale_in(Ms now, const std::vector<Demand>& demand, const MachineCounts& held);
  // Drains up to `count` machines without tasks, of the types in `surplus` with a positive count.
  // Machines that waiting jobs need are kept.
  void drain_empty(std::map<std::string, int> surplus, int count, const std::vector<Demand>& demand,
                   MachineCounts held);
  void on_scaled_out(Ms now, const wire::ScaleOutRequest& request,
                     const std::vector<std::string>& machines);

  void return_drained(Ms now);
  void return_machines(std::vector<std::string> ids);
  void on_returned(Ms now, const std::vector<std::string>& ids, const HttpResult& http_result);

  const Context& context_;
  FleetDemand demand_;
  FleetSizer sizer_;
  FleetRecordWriter record_writer_;
  CloudInventory inventory_;
  ScaleOutRequests scale_out_requests_;

  int adopted_count_ = 0;  // machines adopted from the list that is being processed
  bool reading_catalog_ = false;
  Ms next_catalog_read_ = 0;
  Ms next_resize_ = 0;
  Ms next_room_check_ = 0;
  Ms surplus_since_ = 0;  // 0: no more machines than needed
  Ms idle_since_ = 0;     // 0: some job is unfinished
  bool return_in_flight_ = false;
  Ms next_return_ = 0;
  std::map<std::string, Ms> terminated_since_;  // by machine that the cloud has terminated
  std::map<std::string, Ms> unlisted_since_;    // by machine that is missing from the list
};

}  // namespace scheduler
