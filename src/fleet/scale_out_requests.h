// Requests to the cloud to scale out.
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

// Each request is recorded before it is sent, and repeated under its name until the cloud answers:
// a repeat rents nothing twice, and a successor of this controller finds it. This guards against
// machines that were rented and that nobody knows of.
class ScaleOutRequests {
 public:
  // `answered` is called with the machines that a request has brought.
  using Answered = std::function<void(Ms now, const wire::ScaleOutRequest& request,
                                      const std::vector<std::string>& machines)>;
  ScaleOutRequests(const Context& context, FleetSizer& fleet, Answered answered);

  // Sends what is recorded and not under way.
  void tick(Ms now);
  // Records a request; it is sent once the replica shows it.
  void request(wire::ScaleOutRequest request);
  // No request is recorded or being recorded.
  [[nodiscard]] bool idle() const {
    return being_recorded_ == 0 && context_.replica.scale_out_requests().empty();
  }
  // The records of these requests have been removed.
  void forget(const std::vector<std::string>& names);
  // Another controller is the fleet leader now.
  void clear() { under_way_.clear(); }

 private:
  void send(const wire::ScaleOutRequest& request);
  void on_result(Ms now, const wire::ScaleOutRequest& request, const HttpResult& http_result);

  const Context& context_;
  FleetSizer& fleet_;
  Answered answered_;
  std::set<std::string> under_way_;  // sent, or answered and still recorded
  std::size_t sent_ = 0;             // and not answered
  int being_recorded_ = 0;
  std::uint64_t last_number_ = 0;  // of the names given so far
  Ms send_at_ = 0;
};

}  // namespace scheduler
