// Sends scale-out requests to the cloud.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "fleet/fleet_sizer.h"
#include "membership/context.h"
#include "wire/records.h"

namespace scheduler {

// Each request is recorded before it is sent, and repeated with the same name until the cloud
// answers. The cloud rents machines only once per name, and the next fleet leader finds the request
// in the records. Otherwise machines could be rented that no controller knows of.
class ScaleOutRequests {
 public:
  // `on_answered` is called with the machines that the cloud has rented for a request.
  using OnAnswered = std::function<void(Ms now, const wire::ScaleOutRequest& request,
                                        const std::vector<std::string>& machines)>;
  ScaleOutRequests(const Context& context, FleetSizer& sizer, OnAnswered on_answered);

  // Sends the recorded requests that are not in progress.
  void tick(Ms now);
  // Records a request. It is sent once the replica holds the record.
  void request(wire::ScaleOutRequest request);
  // Whether no request is recorded or being recorded.
  [[nodiscard]] bool idle() const {
    return being_recorded_count_ == 0 && context_.replica.scale_out_requests().empty();
  }
  // Called when the records of these requests have been removed.
  void forget(const std::vector<std::string>& names);
  // Called when another controller is the fleet leader.
  void clear() { in_progress_.clear(); }

 private:
  void send(const wire::ScaleOutRequest& request);
  void on_result(Ms now, const wire::ScaleOutRequest& request, const HttpResult& http_result);

  const Context& context_;
  FleetSizer& sizer_;
  OnAnswered on_answered_;
  std::set<std::string> in_progress_;  // sent, or answered but still recorded
  std::size_t unanswered_count_ = 0;   // number of requests that are sent and not answered
  int being_recorded_count_ = 0;
  std::uint64_t last_number_ = 0;  // used in the name of the last request
  Ms next_send_at_ = 0;
};

}  // namespace scheduler
