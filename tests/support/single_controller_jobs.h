// A test fixture for a single controller whose settings differ between tests.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "support/single_controller_test.h"

namespace scheduler {

class SingleControllerJobs : public SingleControllerTest {
 protected:
  // The body of the controller's reply to a read of the job.
  std::string read_job_body(const std::string& id) {
    const std::uint64_t request = send_request("GET", "/v1/jobs/" + id);
    run(200);
    return replies_[request].body;
  }

  // Replaces the state service by an empty one and starts a controller with these settings.
  void start_with_empty_state(const Settings& settings) {
    settings_ = settings;
    timeouts_.clear();
    state_ = sim::FakeStateService();
    controller_ = std::make_unique<Controller>(settings_, 9);
    controller_->start(now_, now_);
    run(3000);
    executes_commands_ = true;
    heartbeat(50);
    run(1000);
  }
};

}  // namespace scheduler
