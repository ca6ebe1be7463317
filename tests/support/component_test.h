// A test fixture for one component without a whole controller: settings, records, a fake state
// service and a context. The fixture keeps calls to the cloud and to workers, and the test replies
// to them.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "membership/context.h"
#include "sim/fake_state_service.h"
#include "support/controller_settings.h"
#include "wire/records.h"
#include "wire/state_service.h"

namespace scheduler {

class ComponentTest : public testing::Test {
 protected:
  // A call of the component that awaits a reply from the test.
  struct PendingCall {
    Call call;
    ResultHandler done;
  };

  static constexpr const char* kControllerName = "puffin-0";
  static constexpr Ms kStepMs = 20;

  static Settings component_settings() {
    Settings settings = single_controller_settings();
    settings.zones = {settings.zone};
    return settings;
  }

  // Returns the function that sends the calls of the component and of its state client.
  StateClient::Send sender() {
    return [this](Target target, std::string address, std::string method, std::string path,
                  std::string body, Ms timeout, ResultHandler done) {
      send({0, target, std::move(address), std::move(method), std::move(path), std::move(body),
            timeout},
           std::move(done));
    };
  }

  ComponentTest()
      : settings_(component_settings()),
        state_client_(
            settings_, sender(), [this](Ms, const wire::StoredItem& item) { apply(item); },
            [](LogLevel, const std::string&) {}),
        cluster_view_(settings_),
        capacity_(capacity_of(settings_)),
        context_{settings_,
                 capacity_,
                 replica_,
                 state_client_,
                 cluster_view_,
                 incarnation_,
                 sender(),
                 [](LogLevel, const std::string&) {},
                 [this](Ms now) {
                   return writable_ && state_client_.loaded() && state_client_.answering(now);
                 }} {
    wire::ViewRecord view;
    view.epoch = 1;
    view.live[kControllerName] = incarnation_;
    put(std::string(wire::kViewKey), encode(view));
  }

  // Writes a record to the state service, as another controller would.
  void put(const std::string& key, const std::string& value) {
    ++state_.revision;
    state_.items[key] = {value, state_.revision, 0};
    state_.change(key, value);
  }

  // Advances time in steps of 20 ms and, once the state is loaded, calls `tick` at each step.
  void run(Ms duration_ms, const std::function<void(Ms)>& tick) {
    if (!started_) state_client_.start(now_);
    started_ = true;
    for (const Ms end = now_ + duration_ms; now_ < end; now_ += kStepMs) {
      state_client_.tick(now_);
      state_.serve_watchers(now_, [](std::size_t) { return true; });
      if (state_client_.loaded()) tick(now_);
    }
  }

  Ms now_ = 1000;
  bool writable_ = true;
  Settings settings_;
  std::string incarnation_ = "0000000000000007";
  sim::FakeStateService state_;
  Replica replica_;
  StateClient state_client_;
  ClusterView cluster_view_;
  Capacity capacity_;
  Context context_;
  std::vector<PendingCall> calls_;

 private:
  void send(Call call, ResultHandler done) {
    if (call.target != Target::state) {
      calls_.push_back({std::move(call), std::move(done)});
      return;
    }
    state_.serve(now_, call, 0,
                 [this, done = std::move(done)](int status, const std::string& body) {
                   done(now_, {status, body});
                 });
  }

  void apply(const wire::StoredItem& item) {
    EXPECT_TRUE(replica_.apply(item)) << item.key;
    if (item.key == wire::kViewKey) cluster_view_.update(replica_.view());
  }

  bool started_ = false;
};

}  // namespace scheduler
