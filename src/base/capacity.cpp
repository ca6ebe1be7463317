#include "base/capacity.h"

#include <algorithm>
#include <cmath>

#include "wire/state_service.h"

namespace scheduler {

namespace {

// Fraction of the cloud's requests per second that may be scale-out requests in progress.
constexpr double kScaleOutRateFraction = 0.5;
// Memory that an unfinished job takes with its records and indexes, in bytes, and the fraction of
// the process's memory that jobs may take (docs/scale.md).
constexpr double kBytesPerJob = 6.0 * 1024;
constexpr double kJobMemoryFraction = 0.35;
// Minimum limit on unfinished jobs; 4,000 jobs fit into the smallest known process (56 MB).
constexpr std::size_t kMinUnfinishedJobs = 4000;
// Memory of a process without machines and jobs, in megabytes, and additional memory for each
// machine that the process manages, in bytes (docs/scale.md).
constexpr double kIdleProcessMb = 12.0;
constexpr double kBytesPerMachine = 6.0 * 1024;
// The process's number of sockets divided by each of these gives the limit on waiting requests, on
// direct messages, and on probes (messages to machines that do not answer). The minimums apply to
// processes with few sockets.
constexpr int kSocketsPerWaitingRequest = 4;
constexpr int kMinWaitingRequests = 400;
constexpr int kSocketsPerDirectMessage = 20;
constexpr int kMinDirectMessages = 64;
constexpr int kMaxDirectMessages = 512;
constexpr int kSocketsPerProbe = 64;
constexpr int kMinProbes = 8;
constexpr int kMaxProbes = 64;
// Average number of open connections per machine that sends heartbeats, when each connection is
// closed after the reply: a heartbeat every 5 s, to which even a busy controller replies within
// 0.25 s.
constexpr double kConnectionsPerMachine = 0.05;
// Sockets for users, direct messages, peer links, the state service and the cloud.
constexpr int kSocketsBesidesWorkers = 300;
// Maximum size of an accepted response, as a fraction of the process's memory: decoding a response
// takes about four times its size in addition. The minimum in bytes is large enough for any page of
// the state service (512 KiB) and any heartbeat.
constexpr double kResponseMemoryFraction = 1.0 / 16;
constexpr std::size_t kMinResponseBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

}  // namespace

namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

// Returns a limit proportional to the process's number of sockets, within [min, max].
int limit_by_sockets(int sockets, int sockets_per_item, int min, int max) {
  return std::clamp(sockets / sockets_per_item, min, max);
}

}  // namespace

Capacity capacity_of(const Settings& settings) {
  Capacity capacity;
  const double job_bytes = settings.memory_mb * kBytesPerMb * kJobMemoryFraction;
  capacity.unfinished_jobs =
      std::max(kMinUnfinishedJobs, static_cast<std::size_t>(job_bytes / kBytesPerJob));
  const int sockets = settings.sockets;
  capacity.waiting_requests =
      static_cast<std::size_t>(std::max(kMinWaitingRequests, sockets / kSocketsPerWaitingRequest));
  capacity.direct_messages =
      limit_by_sockets(sockets, kSocketsPerDirectMessage, kMinDirectMessages, kMaxDirectMessages);
  capacity.probes = limit_by_sockets(sockets, kSocketsPerProbe, kMinProbes, kMaxProbes);
  capacity.scale_out_requests = static_cast<std::size_t>(
      std::max(1.0, std::floor(settings.cloud_rps * kScaleOutRateFraction)));
  const double value_bytes = std::max(1.0, settings.value_kb * 1024.0);
  const auto by_size = static_cast<std::size_t>(wire::kMaxTransactionBytes / value_bytes);
  const auto by_operations = static_cast<std::size_t>(std::max(1, settings.txn_ops));
  capacity.machine_groups_per_transaction =
      std::max<std::size_t>(1, std::min(by_size, by_operations));
  const auto by_memory =
      static_cast<std::size_t>(settings.memory_mb * kBytesPerMb * kResponseMemoryFraction);
  capacity.response_bytes = settings.memory_mb > 0
                                ? std::clamp(by_memory, kMinResponseBytes, kMaxResponseBytes)
                                : kMaxResponseBytes;
  return capacity;
}

int sockets_needed(int machines) {
  const double heartbeat_connections = machines * kConnectionsPerMachine;
  return kSocketsBesidesWorkers + static_cast<int>(std::ceil(heartbeat_connections));
}

double memory_needed_mb(int machines) {
  return kIdleProcessMb + machines * kBytesPerMachine / kBytesPerMb;
}

std::vector<std::string> capacity_problems(const Settings& settings) {
  std::vector<std::string> problems;
  const int machines = settings.expected_machines;
  if (machines <= 0) return problems;
  const auto for_machines = " for " + std::to_string(machines) + " machines";
  if (settings.sockets > 0 && settings.sockets < sockets_needed(machines))
    problems.push_back("settings.machine_limits.fd_limit is " + std::to_string(settings.sockets) +
                       "; at least " + std::to_string(sockets_needed(machines)) + " are needed" +
                       for_machines);
  const auto megabytes = static_cast<int>(std::ceil(memory_needed_mb(machines)));
  if (settings.memory_mb > 0 && settings.memory_mb < megabytes)
    problems.push_back("settings.machine_limits.ram_mb is " +
                       std::to_string(static_cast<int>(settings.memory_mb)) + "; at least " +
                       std::to_string(megabytes) + " are needed" + for_machines);
  return problems;
}

}  // namespace scheduler
