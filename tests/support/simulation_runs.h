// Helpers for tests with simulated runs: matchers of results, fault plans, and the settings that a
// test run reads from environment variables:
//   SIM_TRACE=TEXT  prints the trace lines that contain TEXT ("*": all) to standard error
//   SIM_SEEDS=N     runs the tests by seed with seeds 1 to N instead of the number used in CI
//   SIM_ONLY=SEED   runs only this seed in tests that run several, for tracing
//   SIM_MET=1       prints how often the situations occurred that planned faults are meant to cause
//   SEEDS=LIST      runs read_consistency_test.cpp with these seeds: "1,5,9" or "1-1000"
#pragma once

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "sim/simulated_cluster.h"

namespace scheduler::sim {

// ---- results ----

// Prints a run's result in the message of a failed expectation.
inline void PrintTo(const Result& result, std::ostream* out) {
  *out << "a run of " << result.accepted << " accepted jobs, " << result.done << " done, "
       << result.cancelled << " cancelled";
  for (const auto& violation : result.violations) *out << "\n  " << violation;
  for (const auto& job : result.unfinished) *out << "\n  unfinished: " << job;
}

inline testing::Matcher<const Result&> has_no_violations() {
  return testing::Field("violations", &Result::violations, testing::IsEmpty());
}

inline testing::Matcher<const Result&> has_no_unfinished_jobs() {
  return testing::Field("unfinished", &Result::unfinished, testing::IsEmpty());
}

// Runs the simulation with seeds 1 to `seeds` and returns the number of runs that violate an
// invariant whose name starts with `rule`.
inline int runs_with_violations(Options options, const std::string& rule, std::uint64_t seeds) {
  int runs = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    options.seed = seed;
    const Result result = SimulatedCluster(options).run();
    runs += std::any_of(result.violations.begin(), result.violations.end(),
                        [&](const auto& violation) { return violation.starts_with(rule); });
  }
  return runs;
}

// ---- the environment ----

inline std::string trace_from_environment() {
  const char* text = std::getenv("SIM_TRACE");
  return text ? text : "";
}

// The number of seeds to run: SIM_SEEDS if it is set, else `default_seeds`.
inline std::uint64_t seed_count_or(std::uint64_t default_seeds) {
  const char* number = std::getenv("SIM_SEEDS");
  return number ? std::strtoull(number, nullptr, 10) : default_seeds;
}

// The seeds to run: SEEDS if it is set, else `default_seeds`.
inline std::vector<std::uint64_t> seed_list_or(std::vector<std::uint64_t> default_seeds) {
  const char* text = std::getenv("SEEDS");
  if (!text) return default_seeds;
  std::vector<std::uint64_t> seeds;
  char* end = nullptr;
  for (const char* at = text; *at != '\0'; at = *end == ',' ? end + 1 : end) {
    std::uint64_t first = std::strtoull(at, &end, 10);
    const std::uint64_t last = *end == '-' ? std::strtoull(end + 1, &end, 10) : first;
    while (first <= last) seeds.push_back(first++);
  }
  return seeds;
}

inline bool skips_seed(std::uint64_t seed) {
  const char* only = std::getenv("SIM_ONLY");
  return only && std::strtoull(only, nullptr, 10) != seed;
}

inline bool prints_fault_counts() { return std::getenv("SIM_MET") != nullptr; }

// ---- options ----

// Options of a run without random faults. Its second phase is long enough that tasks longer than a
// lease end after the planned faults.
inline Options planned_faults(std::uint64_t seed, std::vector<PlannedFault> faults) {
  Options o;
  o.seed = seed;
  o.faults = false;
  o.longest_task_s = 30;
  o.recovery_ms = 700'000;
  o.planned_faults = std::move(faults);
  o.trace = trace_from_environment();
  return o;
}

// Adds faults of one kind at a fixed interval, until 5 s before the end of the first phase.
inline void add_periodic_faults(Options& o, Fault kind, Ms from, Ms every, Ms duration_ms,
                                std::size_t node = 0) {
  for (Ms at = from; at < o.fault_ms - 5000; at += every)
    o.planned_faults.push_back({at, kind, node, duration_ms});
}

}  // namespace scheduler::sim
