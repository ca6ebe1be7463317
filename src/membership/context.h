// What the components of one controller have in common: its settings, its replica of the records,
// the state service, and the ways to send requests and to log. Components keep a reference to it;
// it outlives them.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/capacity.h"
#include "base/types.h"
#include "membership/cluster_view.h"
#include "state/replica.h"
#include "state/state_client.h"

namespace scheduler {

struct Context {
  const Settings& settings;
  const Capacity& capacity;
  const Replica& replica;
  StateClient& state_client;
  const ClusterView& cluster_view;
  // Name of this run of the program; no two runs of any controller share one.
  const std::string& incarnation;
  StateClient::Send call;
  StateClient::Log log;
  // Whether transactions may be submitted: in the view, caught up, and the state service answers.
  std::function<bool(Ms now)> can_write;

  // Condition that nothing has changed in the view since it was last read.
  wire::Compare view_unchanged() const {
    return state_client.unchanged(std::string(wire::kViewKey));
  }
  // Whether this controller is the one that carries out the duty.
  bool is_leader_of(std::string_view duty) const {
    return cluster_view.leader_of(duty) == settings.name;
  }
  // Bytes that a value may take, now and after an announced change of the limits.
  double value_bytes() const { return settings.value_kb * 1024.0; }
  // Whether services may be accepted: every controller reads their records.
  bool services_enabled() const { return replica.format() >= wire::kServiceFormat; }
};

}  // namespace scheduler
