// A fixture for tests of one controller that submit jobs and read them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "support/single_controller_test.h"

namespace scheduler {

class SingleControllerJobs : public SingleControllerTest {
 protected:
  std::uint64_t post(const std::string& body) {
    const std::uint64_t request = next_++;
    controller_->on_request(now_, request, {"POST", "/v1/jobs", body});
    pump();
    return request;
  }
  std::string poll(const std::string& id) {
    const std::uint64_t request = next_++;
    controller_->on_request(now_, request, {"GET", "/v1/jobs/" + id, ""});
    run(200);
    return answers_[request].body;
  }
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
