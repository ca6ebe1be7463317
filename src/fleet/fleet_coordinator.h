// The fleet leader decides which machines there are to be. One controller of the view
// does this, the one that the duty is hashed to.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "fleet/cloud_inventory.h"
#include "fleet/fleet_record_writer.h"
#include "fleet/fleet_sizer.h"
#include "fleet/scale_out_requests.h"
#include "membership/context.h"
#include "wire/records.h"

namespace scheduler {

// Milliseconds for which the fleet must have been larger than wanted before machines are returned.
constexpr std::int64_t kScaleInAfterMs = 300'000;
// The same while no job is unfinished: the pause between two submissions is shorter on any busy
// day, and a machine is back within a boot.
constexpr std::int64_t kScaleInIdleAfterMs = 30'000;

// Rents what the unfinished work needs, adopts machines that nobody expected, and returns those
// that are lost, quarantined, drained or not needed.
class FleetCoordinator {
 public:
  explicit FleetCoordinator(const Context& context);

  void tick(Ms now);
  // This process was paused for `gap` milliseconds.
  void on_pause(Ms now, Ms gap);
  // The link to the cloud; known only while this controller is the fleet leader.
  [[nodiscard]] const links::RequestLink& cloud_link() const { return list_.link(); }

 private:
  [[nodiscard]] bool is_leader() const { return context_.is_leader_of(kFleetDuty); }
  [[nodiscard]] std::vector<Demand> demand() const;
  [[nodiscard]] std::map<MachineKind, int> held() const;

  void read_catalog(Ms now);
  void on_catalog(Ms now, const HttpResult& http_result);

  void on_list(Ms now);
  // A machine of the list. True when it is to be returned although it is not recorded as lost.
  bool check_listed(const std::string& id, const wire::CloudMachine& listed);
  void check_unlisted(Ms now);

  void resize(Ms now);
  void scale_out(Ms now, const std::vector<Demand>& work, const std::map<MachineKind, int>& held);
  void scale_in(Ms now, const std::vector<Demand>& work, const std::map<MachineKind, int>& held);
  // Drains up to `count` empty machines of those types that there are too many of.
  void drain_empty(std::map<std::string, int> surplus, int count);
  void on_scaled_out(Ms now, const wire::ScaleOutRequest& request,
                     const std::vector<std::string>& machines);

  void return_drained(Ms now);
  void return_machines(std::vector<std::string> ids);
  void on_returned(Ms now, const std::vector<std::string>& ids, const HttpResult& http_result);

  const Context& context_;
  FleetSizer fleet_;
  FleetRecordWriter records_;
  CloudInventory list_;
  ScaleOutRequests scale_out_;

  int adopted_ = 0;  // machines of the list that is being looked through
  bool reading_catalog_ = false;
  Ms catalog_at_ = 0;
  Ms resize_at_ = 0;
  Ms surplus_since_ = 0;  // 0: no more machines than wanted
  Ms idle_since_ = 0;     // 0: some job is unfinished
  bool returning_ = false;
  Ms return_at_ = 0;
  std::map<std::string, Ms> gone_since_;      // machines that the cloud has taken back
  std::map<std::string, Ms> unlisted_since_;  // recorded machines that the list lacks
};

}  // namespace scheduler
