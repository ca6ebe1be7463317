// A fixture for tests of a single controller under settings of their own.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "support/single_controller_test.h"

namespace scheduler {

class SingleControllerJobs : public SingleControllerTest {
 protected:
  // What the controller replies to a question about the job.
  std::string state_of(const std::string& id) {
    const std::uint64_t request = send_request("GET", "/v1/jobs/" + id);
    run(200);
    return answers_[request].body;
  }

  // A cluster without any state, and a controller with these settings.
  void start_anew(const Settings& settings) {
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
