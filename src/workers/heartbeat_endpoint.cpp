#include "workers/heartbeat_endpoint.h"

#include <algorithm>

#include "wire/messages.h"

namespace scheduler {

bool HeartbeatEndpoint::accepts(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
                                const std::string& body) {
  if (!context_.state_client.loaded() || !context_.cluster_view.has_view() ||
      status_.deposed(now) || status_.resynchronising(now)) {
    context_.reply_unavailable(request, kRetryAfterS);
    return false;
  }
  if (ClusterView::epoch_of(heartbeat.token) > context_.cluster_view.epoch()) {
    // Some controller acts on a newer view than this one has read.
    status_.record_epoch(ClusterView::epoch_of(heartbeat.token));
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
  on_shard_heartbeat(now, request, machine->second, heartbeat);
}

void HeartbeatEndpoint::on_shard_heartbeat(Ms now, std::uint64_t request, Machine& machine,
                                           const wire::Heartbeat& heartbeat) {
  // Guards against a machine that can't be probed because its address was never recorded.
  if (machine.address.empty()) machine.address = heartbeat.address;
  // Guards against delayed copies of heartbeats sent before a machine restarted, whose counters may
  // be higher than the current ones. Between restarts the machine's token never falls. A later
  // incarnation is accepted only from a reply to a direct message of this controller; until then
  // the machine gets no commands.
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
  // The reply to a direct message may overtake a heartbeat, which is still valid.
  const bool fresh = !stale && counters > machine.last_heartbeat_counters;
  if (fresh) {
    machine.last_heartbeat_counters = counters;
    machine.last_heartbeat = now;
  }
  // Guards against replies that the machine rejects permanently because this process has restarted
  // and lost the fence. Only the owner in the current epoch, this controller, can have issued a
  // token of this epoch.
  if (fresh && ClusterView::epoch_of(heartbeat.token) == context_.cluster_view.epoch())
    machine.fence = std::max(machine.fence, ClusterView::fence_of(heartbeat.token));
  if ((stale || !heartbeat_applier_.apply(now, machine, heartbeat)) &&
      !(fresh && heartbeat.incarnation == machine.incarnation)) {
    // Guards against delayed copies: they don't renew the lease and get no commands. A machine that
    // restarted with lower counters looks alike; its reply to a direct message tells the two apart
    // (CommandDispatcher).
    machine.suspect = true;
    commands_.send(now, machine);
    context_.reply_unavailable(request, kRetryAfterS);
    return;
  }
  const auto commands = planner_.commands_for(now, machine);
  const std::uint64_t token = machines_.token(machine);
  machine.heartbeat_answered = true;
  machine.lease_granted_at = std::max(machine.lease_granted_at, now);
  context_.reply(request, 200, wire::heartbeat_reply(token, commands));
}

}  // namespace scheduler
