#include "workers/machine_table.h"

#include <algorithm>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Heartbeat intervals without contact after which a machine gets no new tasks. Workers send
// heartbeats at intervals of up to 1.25 times the nominal one, so this tolerates one lost
// heartbeat.
constexpr double kUnresponsiveIntervals = 2.6;
// Heartbeat intervals without contact after which a machine is probed; just above the longest
// interval between two heartbeats.
constexpr double kOverdueIntervals = 1.4;
// Share of a worker lease without a heartbeat after which a machine gets no new tasks although it
// answers direct messages: its lease is about to end. A worker whose controller has crashed usually
// finds the next one within 5 s, which is well below this limit.
constexpr double kHeartbeatsMissingLeaseShare = 0.6;

}  // namespace

MachineTable::Map::iterator MachineTable::add(Ms now, const std::string& id) {
  const auto added = machines_.try_emplace(id).first;
  Machine& machine = added->second;
  machine.id = id;
  machine.owned_since_epoch = context_.cluster_view.epoch();
  machine.last_contact = machine.last_heartbeat =
      now;  // gives the machine time for its first heartbeat before any decision
  refresh_from_records(machine);
  return added;
}

void MachineTable::refresh_from_records(Machine& machine) const {
  const auto* record = context_.replica.machine(machine.id);
  machine.recorded = record != nullptr;
  if (!record) return;
  machine.state = std::max(machine.state, record->state);
  if (machine.address.empty()) machine.address = record->address;
  if (machine.type.empty()) {
    machine.type = record->type;
    machine.zone = record->zone;
    machine.spot = record->spot;
  }
  if (machine.sequence > 0) return;
  // No heartbeat received yet: assume the newest incarnation that any controller has recorded or
  // has placed a task in. A later incarnation can only mean that more of the tasks are gone.
  machine.incarnation = std::max(machine.incarnation, record->incarnation);
  for (const TaskRef& ref : context_.replica.placed_on(machine.id))
    if (const auto* placement = context_.replica.placement(ref))
      machine.incarnation = std::max(machine.incarnation, placement->incarnation);
}

Ms MachineTable::unresponsive_after() const {
  return to_ms(context_.settings.heartbeat_interval_s * kUnresponsiveIntervals);
}

Ms MachineTable::overdue_after() const {
  return to_ms(context_.settings.heartbeat_interval_s * kOverdueIntervals);
}

Ms MachineTable::probe_after(const Machine& machine) const {
  return context_.replica.hosts_service(machine.id)
             ? std::min(overdue_after(), kServiceProbeAfterMs)
             : overdue_after();
}

bool MachineTable::heartbeats_missing(Ms now, const Machine& machine) const {
  return now - machine.last_heartbeat >
         std::max(unresponsive_after(),
                  to_ms(context_.settings.lease_s * kHeartbeatsMissingLeaseShare));
}

bool MachineTable::contacted_recently(Ms now, const std::string& machine) const {
  const auto known = machines_.find(machine);
  return known != machines_.end() &&
         now - known->second.last_contact <= std::min(overdue_after(), kServiceProbeAfterMs);
}

bool MachineTable::usable(Ms now, const Machine& machine) const {
  return machine.recorded && machine.state == wire::MachineState::ready && machine.sequence > 0 &&
         machine.token_confirmed && machine.unreachable_since == 0 && !machine.preemption_notice &&
         now - machine.last_contact < unresponsive_after() && !heartbeats_missing(now, machine) &&
         now >= machine.full_until;
}

}  // namespace scheduler
