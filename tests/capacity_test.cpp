// Limits that are computed from the settings.
#include "base/capacity.h"

#include <gtest/gtest.h>

#include "wire/state_service.h"

namespace scheduler {
namespace {

Settings large_deployment() {
  Settings settings;
  settings.memory_mb = 136;
  settings.sockets = 2500;
  settings.value_kb = 8;
  settings.txn_ops = 16;
  settings.cloud_rps = 8;
  return settings;
}

TEST(Capacity, GrowsWithProcessLimits) {
  const Capacity large = capacity_of(large_deployment());
  Settings small_settings = large_deployment();
  small_settings.memory_mb = 56;
  small_settings.sockets = 600;
  const Capacity small = capacity_of(small_settings);
  EXPECT_GT(large.unfinished_jobs, small.unfinished_jobs);
  EXPECT_GE(small.unfinished_jobs, 4000U);
  EXPECT_GT(large.waiting_requests, small.waiting_requests);
  EXPECT_GT(large.direct_messages, small.direct_messages);
  EXPECT_GT(large.probes, small.probes);
  EXPECT_GT(large.response_bytes, small.response_bytes);
  // A page of the state service, of up to 512 KiB, is always accepted.
  EXPECT_GT(small.response_bytes, 512U * 1024U);
}

// If a transaction of the fleet coordinator exceeded a limit of the state service, every retry
// would be refused.
TEST(Capacity, MachineGroupsFitIntoOneTransaction) {
  for (const double value_kb : {1.0, 2.0, 8.0, 16.0, 60.0}) {
    for (const int txn_ops : {4, 8, 16, 24}) {
      Settings settings = large_deployment();
      settings.value_kb = value_kb;
      settings.txn_ops = txn_ops;
      const auto groups = capacity_of(settings).machine_groups_per_transaction;
      EXPECT_GE(groups, 1U);
      EXPECT_LE(groups, static_cast<std::size_t>(txn_ops));
      if (groups > 1) {
        EXPECT_LE(static_cast<double>(groups) * value_kb * 1024.0,
                  static_cast<double>(wire::kMaxTransactionBytes));
      }
    }
  }
}

TEST(Capacity, ProblemsNameTheUndersizedSettings) {
  Settings settings = large_deployment();
  EXPECT_TRUE(capacity_problems(settings).empty());  // expected_machines is not set
  settings.expected_machines = 6000;
  EXPECT_TRUE(capacity_problems(settings).empty());
  settings.sockets = 200;
  settings.memory_mb = 20;
  const auto problems = capacity_problems(settings);
  ASSERT_EQ(problems.size(), 2U);
  EXPECT_NE(problems[0].find("fd_limit is 200; at least 600"), std::string::npos) << problems[0];
  EXPECT_NE(problems[1].find("ram_mb is 20; at least"), std::string::npos) << problems[1];
}

}  // namespace
}  // namespace scheduler
