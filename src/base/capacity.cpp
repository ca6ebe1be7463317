#include "base/capacity.h"

#include <algorithm>
#include <cmath>

#include "wire/state_service.h"

namespace scheduler {

namespace {

// Share of the cloud's rate in a second that scale-out requests under way may take.
constexpr double kScaleOutRateShare = 0.5;
// Bytes of memory that an unfinished job takes with its records and indexes, and the share of the
// process's memory that jobs may take (docs/scale.md has the measurement).
constexpr double kBytesPerJob = 6.0 * 1024;
constexpr double kJobMemoryShare = 0.35;
// Unfinished jobs that are held in any case; 4,000 fit into the smallest process known (56 MB).
constexpr std::size_t kLiveJobsLeast = 4000;
// Megabytes of a process that knows no machine and no job, and bytes for each machine that it knows
// and looks after (docs/scale.md has the measurement).
constexpr double kProcessMb = 12.0;
constexpr double kBytesPerKnownMachine = 6.0 * 1024;
// Of all sockets, one in so many is for a waiting request, a direct message, and a message to a
// machine that does not answer; each with the least that small processes have.
constexpr int kSocketsPerWaitingRequest = 4;
constexpr int kWaitingRequestsLeast = 400;
constexpr int kSocketsPerDirectMessage = 20;
constexpr int kDirectMessagesLeast = 64;
constexpr int kDirectMessagesMost = 512;
constexpr int kSocketsPerProbe = 64;
constexpr int kProbesLeast = 8;
constexpr int kProbesMost = 64;
// Connections that a machine that sends heartbeats takes on average while they are closed after
// each answer: a heartbeat every five seconds, answered within a quarter of a second even by a busy
// controller.
constexpr double kConnectionsPerMachine = 0.05;
// Sockets for users, direct messages, links and the two outside services.
constexpr int kSocketsBesideWorkers = 300;
// Bytes of a response that is taken in, by the process's memory: decoding takes about four times as
// much besides. The least holds any page (512 KiB) and any heartbeat.
constexpr double kResponseMemoryShare = 1.0 / 16;
constexpr std::size_t kResponseBytesLeast = std::size_t{1024} * 1024;
constexpr std::size_t kResponseBytesMost = std::size_t{8} * 1024 * 1024;

}  // namespace

namespace {

constexpr double kBytesPerMb = 1024.0 * 1024.0;

// A bound that grows with the sockets of the process and never falls below `least`.
int of_sockets(int sockets, int one_in, int least, int most) {
  return std::clamp(sockets / one_in, least, most);
}

}  // namespace

Capacity capacity_of(const Settings& settings) {
  Capacity out;
  const double job_bytes = settings.memory_mb * kBytesPerMb * kJobMemoryShare;
  out.live_jobs = std::max(kLiveJobsLeast, static_cast<std::size_t>(job_bytes / kBytesPerJob));
  const int sockets = settings.sockets;
  out.waiting_requests = static_cast<std::size_t>(
      std::max(kWaitingRequestsLeast, sockets / kSocketsPerWaitingRequest));
  out.direct_messages =
      of_sockets(sockets, kSocketsPerDirectMessage, kDirectMessagesLeast, kDirectMessagesMost);
  out.probes = of_sockets(sockets, kSocketsPerProbe, kProbesLeast, kProbesMost);
  out.scale_out_requests =
      static_cast<std::size_t>(std::max(1.0, std::floor(settings.cloud_rps * kScaleOutRateShare)));
  const double value_bytes = std::max(1.0, settings.value_kb * 1024.0);
  const auto by_size = static_cast<std::size_t>(wire::kTransactionBytes / value_bytes);
  const auto by_changes = static_cast<std::size_t>(std::max(1, settings.txn_ops));
  out.machine_groups_at_once = std::max<std::size_t>(1, std::min(by_size, by_changes));
  const auto of_memory =
      static_cast<std::size_t>(settings.memory_mb * kBytesPerMb * kResponseMemoryShare);
  out.response_bytes = settings.memory_mb > 0
                           ? std::clamp(of_memory, kResponseBytesLeast, kResponseBytesMost)
                           : kResponseBytesMost;
  return out;
}

int sockets_needed(int machines) {
  const double reporting = machines * kConnectionsPerMachine;
  return kSocketsBesideWorkers + static_cast<int>(std::ceil(reporting));
}

double memory_needed_mb(int machines) {
  return kProcessMb + machines * kBytesPerKnownMachine / kBytesPerMb;
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
