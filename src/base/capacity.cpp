#include "base/capacity.h"

#include <algorithm>
#include <cmath>

#include "base/constants.h"

namespace scheduler {

namespace k = constants;

namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

// A bound that grows with the sockets of the process and never falls below `least`.
int of_sockets(int sockets, int one_in, int least, int most) {
  return std::clamp(sockets / one_in, least, most);
}

}  // namespace

Capacity capacity_of(const Settings& settings) {
  Capacity out;
  const double job_bytes = settings.memory_mb * kBytesPerMb * k::kJobMemoryShare;
  out.live_jobs =
      std::max(k::kLiveJobsLeast, static_cast<std::size_t>(job_bytes / k::kBytesPerJob));
  const int sockets = settings.sockets;
  out.waiting_requests = static_cast<std::size_t>(
      std::max(k::kWaitingRequestsLeast, sockets / k::kSocketsPerWaitingRequest));
  out.direct_messages = of_sockets(sockets, k::kSocketsPerDirectMessage, k::kDirectMessagesLeast,
                                   k::kDirectMessagesMost);
  out.probes = of_sockets(sockets, k::kSocketsPerProbe, k::kProbesLeast, k::kProbesMost);
  out.scale_out_requests = static_cast<std::size_t>(
      std::max(1.0, std::floor(settings.cloud_rps * k::kScaleOutRateShare)));
  const double value_bytes = std::max(1.0, settings.value_kb * 1024.0);
  const auto by_size = static_cast<std::size_t>(k::kTransactionBytes / value_bytes);
  const auto by_changes = static_cast<std::size_t>(std::max(1, settings.txn_ops));
  out.machine_groups_at_once = std::max<std::size_t>(1, std::min(by_size, by_changes));
  const auto of_memory =
      static_cast<std::size_t>(settings.memory_mb * kBytesPerMb * k::kResponseMemoryShare);
  out.response_bytes = settings.memory_mb > 0
                           ? std::clamp(of_memory, k::kResponseBytesLeast, k::kResponseBytesMost)
                           : k::kResponseBytesMost;
  return out;
}

int sockets_needed(int machines) {
  const double reporting = machines * k::kConnectionsPerMachine;
  return k::kSocketsBesideWorkers + static_cast<int>(std::ceil(reporting));
}

double memory_needed_mb(int machines) {
  return k::kProcessMb + machines * k::kBytesPerKnownMachine / kBytesPerMb;
}

std::vector<std::string> capacity_problems(const Settings& settings) {
  std::vector<std::string> out;
  const int machines = settings.expected_machines;
  if (machines <= 0) return out;
  const auto fleet = " for " + std::to_string(machines) + " machines";
  if (settings.sockets > 0 && settings.sockets < sockets_needed(machines))
    out.push_back("settings.machine_limits.fd_limit is " + std::to_string(settings.sockets) +
                  "; at least " + std::to_string(sockets_needed(machines)) + " are needed" + fleet);
  const auto megabytes = static_cast<int>(std::ceil(memory_needed_mb(machines)));
  if (settings.memory_mb > 0 && settings.memory_mb < megabytes)
    out.push_back("settings.machine_limits.ram_mb is " +
                  std::to_string(static_cast<int>(settings.memory_mb)) + "; at least " +
                  std::to_string(megabytes) + " are needed" + fleet);
  return out;
}

}  // namespace scheduler
