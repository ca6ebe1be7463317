// Objects shared by the components of one controller: its settings, its replica of the records, the
// state service, and the functions to send requests, to reply and to log. Components keep a
// reference to the context, which outlives them.
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
  // Read-only for components, except for JobReader, which adds final states that it reads without
  // the watch.
  Replica& replica;
  StateClient& state_client;
  const ClusterView& cluster_view;
  // Identifies this run of the program; unique among all runs of all controllers.
  const std::string& incarnation;
  StateClient::Send send_request;
  StateClient::Log log;
  // Whether transactions may be submitted: this controller is in the view, is resynchronised after
  // a process pause, and the state service answers.
  std::function<bool(Ms now)> can_write;
  // Answers a request of a user or a worker; called through reply(). Empty in tests of components
  // that receive no requests.
  Reply send_reply = {};

  // Answers a request. `retry_after_s`: seconds in the header Retry-After; 0: no such header.
  void reply(std::uint64_t request, int status, std::string body, int retry_after_s = 0) const {
    send_reply(request, status, std::move(body), retry_after_s);
  }
  // Answers with status 503: this controller can't serve the request at the moment.
  void reply_unavailable(std::uint64_t request, int retry_after_s) const;

  // Condition that the view still has the version that the replica holds.
  [[nodiscard]] wire::Compare view_unchanged() const {
    return state_client.unchanged(std::string(wire::kViewKey));
  }
  // Whether this incarnation of the controller is in the view.
  [[nodiscard]] bool is_member() const;
  // Whether this controller is responsible for the duty.
  [[nodiscard]] bool is_leader_of(std::string_view duty) const {
    return cluster_view.leader_of(duty) == settings.name;
  }
  // Maximum size of a value in bytes, both now and after an announced change of the service's
  // limits.
  [[nodiscard]] double value_bytes() const { return settings.value_kb * 1024.0; }
  // Maximum size in bytes of a record that can't be split. While controllers of the previous
  // version may run, this is the service's current limit, up to which they write records;
  // afterwards value_bytes().
  [[nodiscard]] double unsplit_value_bytes() const {
    const double current_limit = services_enabled() ? 0.0 : settings.current_value_kb * 1024.0;
    return std::max(current_limit, value_bytes());
  }
  // Whether services may be accepted, because every controller can read their records.
  [[nodiscard]] bool services_enabled() const { return replica.format() >= wire::kServiceFormat; }
  // The team, or nullptr if the settings don't name it.
  [[nodiscard]] const Team* team(const std::string& name) const;
  // Whether debug logging is enabled; debug lines are built only then.
  [[nodiscard]] bool logs_debug() const { return settings.log_debug; }
  // Logs a decision that is based on the state of the links, with its evidence.
  void log_decision(std::string_view subject, const links::Decision& decision) const;
};

}  // namespace scheduler
