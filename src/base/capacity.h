// Limits on what one controller keeps in memory or has in progress at once, computed from the
// settings. Limits that a large fleet would exceed if they were fixed numbers are computed here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/types.h"

namespace scheduler {

struct Capacity {
  // Unfinished jobs in memory. Submissions over the limit receive 429 with `Retry-After`.
  std::size_t unfinished_jobs = 0;
  // User requests that wait for the state service. Requests over the limit receive 429.
  std::size_t waiting_requests = 0;
  // Direct messages in progress, each on its own socket: `direct_messages` to machines that answer,
  // and `probes` to machines that do not. Messages over the limit are queued.
  int direct_messages = 0;
  int probes = 0;
  // Scale-out requests in progress. Requests over the limit are queued.
  std::size_t scale_out_requests = 0;
  // Machine groups that the fleet leader writes in one transaction. It writes further groups in the
  // next transaction.
  std::size_t machine_groups_per_transaction = 0;
  // Maximum size of an accepted response, in bytes. If the reply to a watch is longer, the
  // controller treats the watch as having fallen behind and reads the state again in pages, which
  // are shorter.
  std::size_t response_bytes = 0;
};

Capacity capacity_of(const Settings& settings);

// Checks whether the process limits in the settings suffice for the expected number of machines.
// Returns one line per problem, which names the setting and the required value.
std::vector<std::string> capacity_problems(const Settings& settings);

// Sockets, and megabytes of memory, that a controller needs for managing this number of machines.
int sockets_needed(int machines);
double memory_needed_mb(int machines);

}  // namespace scheduler
