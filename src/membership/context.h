// What the components of one controller have in common: its settings, its replica of the records,
// the state service, and the ways to send requests, to reply and to log. Components keep a
// reference to it; it outlives them.
#pragma once

#include <algorithm>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "base/capacity.h"
#include "base/types.h"
#include "links/decision.h"
#include "membership/cluster_view.h"
#include "state/replica.h"
#include "state/state_client.h"

namespace scheduler {

struct Context {
  using Reply =
      std::function<void(std::uint64_t request, int status, std::string body, int retry_after_s)>;

  const Settings& settings;
  const Capacity& capacity;
  // Components only read it. What is learned of a final state beside the watch is added by
  // JobReader.
  Replica& replica;
  StateClient& state_client;
  const ClusterView& cluster_view;
  // Name of this run of the program; no two runs of any controller share one.
  const std::string& incarnation;
  StateClient::Send call;
  StateClient::Log log;
  // Whether transactions may be submitted: in the view, resynchronised, and the state service
  // answers.
  std::function<bool(Ms now)> can_write;
  // Answers a request of a user or a worker; used through reply(). Empty in tests of components
  // that have no requests.
  Reply send_reply = {};

  // Answers a request. `retry_after_s`: seconds of the header Retry-After; 0: none.
  void reply(std::uint64_t request, int status, std::string body, int retry_after_s = 0) const {
    send_reply(request, status, std::move(body), retry_after_s);
  }
  // 503: it can't be said or done now, by this controller.
  void reply_unavailable(std::uint64_t request, int retry_after_s) const;

  // Condition that nothing has changed in the view since it was last read.
  [[nodiscard]] wire::Compare view_unchanged() const {
    return state_client.unchanged(std::string(wire::kViewKey));
  }
  // Whether this incarnation is a member of the view.
  [[nodiscard]] bool is_member() const;
  // Whether this controller is the one that carries out the duty.
  [[nodiscard]] bool is_leader_of(std::string_view duty) const {
    return cluster_view.leader_of(duty) == settings.name;
  }
  // Bytes that a value may take, now and after an announced change of the limits.
  [[nodiscard]] double value_bytes() const { return settings.value_kb * 1024.0; }
  // Bytes that a value written by the former version may take; ours may too until all controllers
  // run the new one.
  [[nodiscard]] double stored_value_bytes() const {
    const double now = services_enabled() ? 0.0 : settings.stored_value_kb * 1024.0;
    return std::max(now, value_bytes());
  }
  // Whether services may be accepted: every controller reads their records.
  [[nodiscard]] bool services_enabled() const { return replica.format() >= wire::kServiceFormat; }
  // The team, or nullptr if the settings don't name it.
  [[nodiscard]] const Team* team(const std::string& name) const;
  // Lines of level debug are built only if this is true.
  [[nodiscard]] bool logs_debug() const { return settings.log_debug; }
  // Logs a decision that rests on the links, with its evidence.
  void log_decision(std::string_view subject, const links::Decision& decision) const;
};

}  // namespace scheduler
