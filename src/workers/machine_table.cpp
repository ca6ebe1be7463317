#include "workers/machine_table.h"

#include <algorithm>

#include "workers/timing.h"

namespace scheduler {

namespace {

// Heartbeat intervals without a heartbeat after which a machine gets nothing new; heartbeats come
// at up to 1.25 intervals, so this allows one to be lost.
constexpr double kUnresponsiveIntervals = 2.6;
// Heartbeat intervals without a heartbeat after which it is asked directly; just above the longest.
constexpr double kOverdueIntervals = 1.4;
// Share of a worker lease without a heartbeat after which a machine gets nothing new though it
// answers direct messages: its lease is about to end. After a crash of its controller it finds the
// next in 5 s as a rule, well within.
constexpr double kHeartbeatsMissingLeaseShare = 0.6;

}  // namespace

MachineTable::Map::iterator MachineTable::add(Ms now, const std::string& id) {
  const auto added = machines_.try_emplace(id).first;
  Machine& machine = added->second;
  machine.id = id;
  machine.owned_since_epoch = context_.cluster_view.epoch();
  machine.last_contact = machine.last_heartbeat =
      now;  // no decision before it had time to reach us
  refresh_from_records(machine);
  return added;
}

void MachineTable::refresh_from_records(Machine& m) const {
  const auto* record = context_.replica.machine(m.id);
  m.recorded = record != nullptr;
  if (!record) return;
  m.state = std::max(m.state, record->state);
  if (m.address.empty()) m.address = record->address;
  if (m.type.empty()) {
    m.type = record->type;
    m.zone = record->zone;
    m.spot = record->spot;
  }
  if (m.sequence > 0) return;
  // Not heard yet: the newest incarnation that anybody has recorded, or placed something in. Later
  // ones can only mean that even more of its tasks are gone.
  m.incarnation = std::max(m.incarnation, record->incarnation);
  for (const TaskRef& ref : context_.replica.placed_on(m.id))
    if (const auto* p = context_.replica.placement(ref))
      m.incarnation = std::max(m.incarnation, p->incarnation);
}

Ms MachineTable::unresponsive_after() const {
  return to_ms(context_.settings.heartbeat_interval_s * kUnresponsiveIntervals);
}

Ms MachineTable::overdue_after() const {
  return to_ms(context_.settings.heartbeat_interval_s * kOverdueIntervals);
}

Ms MachineTable::probe_after(const Machine& machine) const {
  return context_.replica.hosts_service(machine.id) ? std::min(overdue_after(), kServiceOverdueMs)
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
         now - known->second.last_contact <= std::min(overdue_after(), kServiceOverdueMs);
}

bool MachineTable::usable(Ms now, const Machine& machine) const {
  return machine.recorded && machine.state == wire::MachineState::ready && machine.sequence > 0 &&
         machine.token_confirmed && machine.unreachable_since == 0 && !machine.preemption_notice &&
         now - machine.last_contact < unresponsive_after() && !heartbeats_missing(now, machine) &&
         now >= machine.full_until;
}

}  // namespace scheduler
