// One scheduling pass: machines as they are booked while tasks are placed.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "core/controller.h"

namespace puffinhaven::core {

struct Controller::Pass {
  Ms now = 0;
  std::vector<Candidate*> pool;   // usable machines of our part, then others' if added
  std::size_t own_machines = 0;   // of `pool`, which has them first
  std::deque<Candidate> foreign;  // what `pool` points to for machines of other parts
  bool foreign_added = false;
  int left = 0;
  int writes = 0;                                         // that may still be asked for
  std::map<std::string, wire::QuotaRecord::Amount> used;  // of our grants, by team
  std::map<std::string, Usage> team_usage;                // of all parts, as of the pass's start
  std::set<int> reserved;                    // machines kept free for what waits to begin
  std::vector<const wire::JobSpec*> failed;  // shapes that found no room
  // Tasks of a shape that our part has room for: cpus, gpus, memory, spot, types, zone.
  using Shape = std::tuple<double, double, double, bool, std::vector<std::string>, std::string>;
  std::map<Shape, double> room;
};

}  // namespace puffinhaven::core
