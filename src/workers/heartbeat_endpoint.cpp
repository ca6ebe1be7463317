#include "workers/heartbeat_endpoint.h"

#include <algorithm>

#include "wire/messages.h"

namespace scheduler {

bool HeartbeatEndpoint::accepts(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                                const std::string& body) {
  if (!context_.state_client.loaded() || !context_.cluster_view.known() || status_.deposed(now) ||
      status_.resynchronising(now)) {
    context_.reply_unavailable(request, kRetryAfterS);
    return false;
  }
  if (ClusterView::epoch_of(heartbeat.token) > context_.cluster_view.epoch()) {
    // Somebody acts on a newer view than we know.
    status_.see_epoch(ClusterView::epoch_of(heartbeat.token));
    context_.reply_unavailable(request, kRetryAfterS);
    return false;
  }
  const std::string& owner = context_.cluster_view.machine_owner(heartbeat.machine, heartbeat.zone);
  if (owner != context_.settings.name) {
    if (owner.empty()) {
      context_.reply_unavailable(request, kRetryAfterS);
    } else {
      worker_links_.redirect_heartbeat(now, request, owner, heartbeat, body);
    }
    return false;
  }
  const auto* record = context_.replica.machine(heartbeat.machine);
  const bool late_copy = record && record->state == wire::MachineState::terminated;
  if (!status_.ready() || late_copy) {
    context_.reply_unavailable(request, kRetryAfterS);
    return false;
  }
  return true;
}

void HeartbeatEndpoint::on_heartbeat(Ms now, std::uint64_t request, const std::string& body) {
  const auto decoded = wire::parse_heartbeat(body);
  if (!decoded) {
    context_.reply(request, 400, wire::error_body("malformed report"));
    return;
  }
  const wire::Heartbeat& heartbeat = *decoded;
  if (!Relay::is_relayed(request)) links_.zone(heartbeat.zone).heartbeat_received(now);
  if (!accepts(now, request, heartbeat, body)) return;
  auto machine = machines_.find(heartbeat.machine);
  if (machine == machines_.end()) machine = machines_.add(now, heartbeat.machine);
  on_own_heartbeat(now, request, machine->second, heartbeat);
}

void HeartbeatEndpoint::on_own_heartbeat(Ms now, std::uint64_t request, Machine& machine,
                                         const wire::Heartbeat& heartbeat) {
  // Guards against a machine that nobody can ask because its address was never recorded.
  if (machine.address.empty()) machine.address = heartbeat.address;
  // Guards against copies from a machine's life before it restarted, whose counters may well be the
  // higher ones: within a life its token never falls, and a later incarnation counts only once the
  // machine has said so in reply to a message of our own. Until then it gets no commands.
  if (machine.incarnation != 0 && heartbeat.incarnation > machine.incarnation &&
      heartbeat.token >= machine.highest_token_seen) {
    machine.suspect = true;
    commands_.send(now, machine);
    machine.lease_granted_at = std::max(machine.lease_granted_at, now);
    context_.reply(request, 200, wire::heartbeat_reply(machines_.token(machine), {}));
    return;
  }
  const HeartbeatCounters counters{heartbeat.incarnation, heartbeat.sequence};
  const bool stale = heartbeat.token < machine.highest_token_seen;
  // A heartbeat may be overtaken by the reply to a direct message; it is genuine all the same.
  const bool fresh = !stale && counters > machine.last_heartbeat_counters;
  if (fresh) {
    machine.last_heartbeat_counters = counters;
    machine.last_heartbeat = now;
  }
  // Guards against replies that the machine drops for ever because this process has forgotten how
  // far it had raised the fence: only the owner of this epoch, ourselves, can have given it.
  if (fresh && ClusterView::epoch_of(heartbeat.token) == context_.cluster_view.epoch())
    machine.fence = std::max(machine.fence, ClusterView::fence_of(heartbeat.token));
  if ((stale || !heartbeat_applier_.apply(now, machine, heartbeat)) &&
      !(fresh && heartbeat.incarnation == machine.incarnation)) {
    // Guards against late copies: they renew nothing and get no commands. A machine that came back
    // with low counters looks the same; its reply to a message of our own tells
    // (CommandDispatcher).
    machine.suspect = true;
    commands_.send(now, machine);
    context_.reply_unavailable(request, kRetryAfterS);
    return;
  }
  const auto list = commands_.commands_for(now, machine);
  const std::uint64_t given = machines_.token(machine);
  machine.heartbeat_answered = true;
  machine.lease_granted_at = std::max(machine.lease_granted_at, now);
  context_.reply(request, 200, wire::heartbeat_reply(given, list));
}

}  // namespace scheduler
