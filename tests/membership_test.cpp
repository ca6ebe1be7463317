// Tests of ControllerStatus, which decides whether a controller may act, without a whole
// controller.
#include <gtest/gtest.h>

#include "membership/controller_status.h"
#include "support/component_test.h"

namespace scheduler {
namespace {

class ControllerStatusTest : public ComponentTest {
 protected:
  ControllerStatusTest() { status_.start(now_, now_); }

  ControllerStatus status_{context_};
};

TEST_F(ControllerStatusTest, IsReadyOnceEveryRecordIsReadAndItIsInTheView) {
  EXPECT_FALSE(status_.ready());
  run(1000, [](Ms) {});
  EXPECT_TRUE(status_.ready());
  wire::ViewRecord view_without_controller;
  view_without_controller.epoch = 2;
  put(std::string(wire::kViewKey), encode(view_without_controller));
  run(1000, [](Ms) {});
  EXPECT_FALSE(status_.ready());
}

TEST_F(ControllerStatusTest, IsNotReadyIfTheViewNamesAnotherIncarnation) {
  wire::ViewRecord view_with_other_incarnation;
  view_with_other_incarnation.epoch = 2;
  view_with_other_incarnation.live[kControllerName] = "another";
  put(std::string(wire::kViewKey), encode(view_with_other_incarnation));
  run(1000, [](Ms) {});
  EXPECT_FALSE(status_.ready());
}

TEST_F(ControllerStatusTest, MoreThanTwoSecondsWithoutInputAreAPause) {
  run(1000, [](Ms) {});
  EXPECT_FALSE(status_.observe_input(now_).has_value());
  EXPECT_FALSE(status_.observe_input(now_ + 2000).has_value());
  const auto gap = status_.observe_input(now_ + 4001);
  ASSERT_TRUE(gap.has_value());
  EXPECT_EQ(*gap, 2001);
}

TEST_F(ControllerStatusTest, WritesNothingUntilResynchronisedAfterAPause) {
  run(1000, [](Ms) {});
  EXPECT_TRUE(status_.can_write(now_));
  EXPECT_EQ(status_.begin_resynchronising(now_), 1U);
  EXPECT_TRUE(status_.resynchronising(now_));
  EXPECT_FALSE(status_.can_write(now_));
  // After kResynchroniseTimeoutMs the state service counts as unreachable; writes still wait until
  // it has reported what changed.
  EXPECT_FALSE(status_.resynchronising(now_ + 1500));
  EXPECT_FALSE(status_.can_write(now_ + 1500));
  status_.finish_resynchronising();
  EXPECT_TRUE(status_.can_write(now_));
}

TEST_F(ControllerStatusTest, IsDeposedByANewerEpochWhoseViewItCantRead) {
  run(1000, [](Ms) {});
  status_.record_epoch(2);
  EXPECT_FALSE(status_.deposed(now_)) << "the watch will bring the view";
  state_client_.on_pause(now_);
  EXPECT_TRUE(status_.deposed(now_));
}

}  // namespace
}  // namespace scheduler
