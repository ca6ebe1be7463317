// How much one controller may hold or have under way at once, from the platform's settings. Every
// bound that would otherwise be a fixed number below what a large fleet needs is computed here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "base/types.h"

namespace scheduler {

struct Capacity {
  // Unfinished jobs held in memory. Beyond it submissions are answered 429 with `Retry-After`.
  std::size_t live_jobs = 0;
  // Requests of users that may wait for the state service. Beyond it they are answered 429.
  std::size_t waiting_requests = 0;
  // Direct messages under way, each on a socket of its own: to machines that answer, and to those
  // that do not. Beyond it a message waits for its turn.
  int direct_messages = 0;
  int probes = 0;
  // Rental requests under way. Beyond it they wait for their turn.
  std::size_t scale_out_requests = 0;
  // Groups of machines in one transaction of the fleet leader; the rest go with the
  // next.
  std::size_t machine_groups_at_once = 0;
  // Bytes of one response that is taken in. A longer answer of a watch counts as a watch that fell
  // behind: the state is read again in pages, which are short.
  std::size_t response_bytes = 0;
};

Capacity capacity_of(const Settings& settings);

// What is wrong with the settings for the fleet that they name, one line each; empty: nothing. Each
// line names the setting and what is needed.
std::vector<std::string> capacity_problems(const Settings& settings);

// Sockets and megabytes that a controller needs if it has to look after so many machines.
int sockets_needed(int machines);
double memory_needed_mb(int machines);

}  // namespace scheduler
