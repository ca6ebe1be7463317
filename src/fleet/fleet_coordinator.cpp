#include "fleet/fleet_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet/cloud_inventory.h"
#include "wire/messages.h"

namespace scheduler {

namespace {

// Milliseconds between catalog reads.
constexpr std::int64_t kCatalogIntervalMs = 60'000;
// Milliseconds between decisions about the size of the fleet.
constexpr std::int64_t kResizeIntervalMs = 1000;
// Milliseconds between checks of what is free on each machine, which cost more than other
// decisions.
constexpr std::int64_t kRoomCheckIntervalMs = 5000;
// The surplus divided by this is the number of machines drained per second, but at least one
// machine. Most of a surplus of any size is thus returned within ten minutes.
constexpr int kSurplusDivisor = 300;
// The divisor for an idle fleet (at least one machine per second). Most of a large fleet is
// returned within a minute, and a job that is submitted meanwhile still finds machines.
constexpr int kIdleSurplusDivisor = 30;
// A machine that is still booting after this many nominal boot times plus this many seconds counts
// as stuck.
constexpr double kStuckBootTimes = 4.0;
constexpr double kStuckBootMarginS = 30.0;
// Assumed boot time in seconds of machine types that the catalog doesn't contain.
constexpr double kDefaultBootS = 60.0;
// Milliseconds between checks for machines to return.
constexpr std::int64_t kScaleInCheckIntervalMs = 500;
// Milliseconds added to three times the list lag. The record of a terminated machine is kept for
// this time, since an outdated list may still contain the machine, and a recorded machine may be
// missing from the list for this time before it counts as lost.
constexpr std::int64_t kListLagMarginMs = 60'000;

}  // namespace

using wire::MachineState;

namespace {

// Sets `since` to the time since which the condition has held without interruption, or to 0 if it
// does not hold.
void update_since(Ms& since, bool holds, Ms now) {
  if (!holds) {
    since = 0;
  } else if (since == 0) {
    since = now;
  }
}

// Whether some job has waited for machines so long that only what is free on them counts.
bool any_crowded(const std::vector<Demand>& demand) {
  return std::any_of(demand.begin(), demand.end(),
                     [](const Demand& work) { return work.waited_ms >= kCrowdedWaitMs; });
}

}  // namespace

FleetCoordinator::FleetCoordinator(const Context& context)
    : context_(context),
      demand_(context),
      sizer_(context.settings),
      record_writer_(
          context,
          [this](const std::vector<std::string>& removed) { scale_out_requests_.forget(removed); }),
      inventory_(context, [this](Ms now) { on_list_complete(now); }),
      scale_out_requests_(context, sizer_,
                          [this](Ms now, const wire::ScaleOutRequest& request,
                                 const std::vector<std::string>& machines) {
                            on_scaled_out(now, request, machines);
                          }) {}

void FleetCoordinator::tick(Ms now) {
  if (!is_leader()) {
    // Another controller is the fleet leader now. Transactions in flight fail because their
    // condition on the view no longer holds.
    inventory_.clear();
    record_writer_.clear();
    scale_out_requests_.clear();
    unlisted_since_.clear();
    demand_.clear();
    surplus_since_ = idle_since_ = 0;
    return;
  }
  if (!context_.can_write(now)) {
    inventory_.clear();
    return;
  }
  if (!reading_catalog_ && now >= next_catalog_read_) read_catalog(now);
  inventory_.tick(now);
  if (now >= next_resize_) resize(now);
  scale_out_requests_.tick(now);
  if (!return_in_flight_ && now >= next_return_) return_drained(now);
  record_writer_.write(now);
}

void FleetCoordinator::on_pause(Ms now, Ms gap) {
  // The time for which a machine has been missing from the list must not include the pause.
  inventory_.on_pause(now);
  for (auto& [id, since] : unlisted_since_) since += gap;
  for (auto& [id, since] : terminated_since_) since += gap;
  demand_.clear();
  surplus_since_ = 0;
  idle_since_ = 0;
}

// ---- the catalog ----

void FleetCoordinator::read_catalog(Ms now) {
  reading_catalog_ = true;
  next_catalog_read_ = now + kCatalogIntervalMs;
  context_.send_request(
      Target::cloud, "", "GET", wire::kCatalogPath, "", kCloudTimeoutMs,
      [this](Ms at, const HttpResult& http_result) { on_catalog(at, http_result); });
}

void FleetCoordinator::on_catalog(Ms now, const HttpResult& http_result) {
  reading_catalog_ = false;
  const auto types = http_result.status == 200 ? wire::parse_catalog(http_result.body)
                                               : wire::decode_error("status", "200");
  if (!types || types->empty()) {
    next_catalog_read_ = now + kResizeIntervalMs;
    return;
  }
  const Replica& replica = context_.replica;
  const std::string body = wire::catalog_body(*types);
  if (replica.has_catalog() && body == wire::catalog_body(replica.catalog())) return;
  const std::string key(wire::kCatalogKey);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  transaction.writes = {{key, body, std::nullopt}};
  transaction.done = [this](Ms at, TxnResult result, const auto&) {
    if (result != TxnResult::committed) next_catalog_read_ = at + kResizeIntervalMs;
  };
  context_.state_client.submit(std::move(transaction));
}

// ---- the list of machines ----

void FleetCoordinator::on_list_complete(Ms now) {
  if (!context_.can_write(now) || !is_leader()) return;
  std::vector<std::string> failed_machines;
  for (const auto& [id, listed] : inventory_.machines()) {
    if (check_listed(id, listed)) failed_machines.push_back(id);
  }
  if (adopted_count_ > 0)
    context_.log(LogLevel::info, "adopting " + std::to_string(adopted_count_) + " machines");
  adopted_count_ = 0;
  if (!failed_machines.empty()) return_machines(std::move(failed_machines));
  check_unlisted(now);
}

bool FleetCoordinator::check_listed(const std::string& id, const wire::CloudMachine& listed) {
  const bool failed = listed.state == wire::CloudState::failed;
  const wire::MachineRecord* record = context_.replica.machine(id);
  if (!record) {
    if (terminated_since_.contains(id) || record_writer_.is_pending(id))
      return false;  // the list is outdated
    if (failed) return true;
    // No known request has rented this machine, or the machine is not recorded yet. It is paid for,
    // so it is recorded, and then used or returned like any other.
    context_.log(LogLevel::debug, "adopting machine " + id);
    ++adopted_count_;
    wire::MachineRecord new_record;
    new_record.address = listed.address;
    new_record.type = listed.type;
    new_record.zone = listed.zone;
    new_record.spot = listed.spot;
    record_writer_.set_state(id, new_record, MachineState::ready);
    return false;
  }
  if (record->state == MachineState::terminated || record->state == MachineState::lost)
    return false;
  if (failed) {
    context_.log(LogLevel::info, "machine " + id + " has failed");
    record_writer_.set_state(id, *record, MachineState::terminated);
    return true;
  }
  const wire::MachineType* type = context_.replica.type(listed.type);
  const double boot_s = type ? type->boot_s : kDefaultBootS;
  if (listed.state == wire::CloudState::booting && record->incarnation == 0 &&
      listed.rented_for_s > kStuckBootTimes * boot_s + kStuckBootMarginS) {
    context_.log(LogLevel::info, "machine " + id + " has not finished booting in time");
    record_writer_.set_state(id, *record, MachineState::lost);
  }
  return false;
}

// Marks recorded machines as lost if they never sent a heartbeat and the list has not contained
// them for longer than its lag explains.
void FleetCoordinator::check_unlisted(Ms now) {
  const Replica& replica = context_.replica;
  const Ms unlisted_timeout =
      static_cast<Ms>(context_.settings.list_lag_s * 3000.0) + kListLagMarginMs;
  std::erase_if(terminated_since_, [&](const auto& entry) {
    return !replica.machine(entry.first) && now - entry.second > 2 * unlisted_timeout;
  });
  std::erase_if(unlisted_since_,
                [this](const auto& unlisted) { return inventory_.contains(unlisted.first); });
  const auto overdue = [&](const std::string& id) {
    return now - unlisted_since_.emplace(id, now).first->second > unlisted_timeout;
  };
  for (const auto& [id, record] : replica.machines()) {
    if (inventory_.contains(id) || record.state != MachineState::ready) continue;
    if (overdue(id) && record.incarnation == 0) {  // it never sent a heartbeat
      context_.log(LogLevel::info, "machine " + id + " is missing from the cloud's machine list");
      record_writer_.set_state(id, record, MachineState::lost);
    }
  }
  // A machine with placements that is neither recorded nor listed is marked as lost and thus
  // returned, which proves that its tasks have ended. Otherwise no controller could ever release
  // them.
  for (const auto& id : replica.unrecorded_machines()) {
    if (inventory_.contains(id) || record_writer_.is_pending(id)) continue;
    if (overdue(id)) record_writer_.set_state(id, {}, MachineState::lost);
  }
}

// ---- size ----

void FleetCoordinator::resize(Ms now) {
  next_resize_ = now + kResizeIntervalMs;
  if (!context_.replica.has_catalog() || !inventory_.has_list()) return;
  const auto machines = demand_.machines();
  const auto demand = demand_.jobs(now);
  if (scale_out_requests_.idle()) scale_out(now, demand, machines);
  scale_in(now, demand, machines);
}

void FleetCoordinator::scale_out(Ms now, const std::vector<Demand>& demand,
                                 const MachineCounts& held) {
  std::vector<MachineRoom> rooms;
  if (now >= next_room_check_) {
    next_room_check_ = now + kRoomCheckIntervalMs;
    if (any_crowded(demand)) rooms = demand_.rooms();
  }
  for (auto& request : sizer_.next_scale_out(now, demand, context_.replica.catalog(), held, rooms))
    scale_out_requests_.request(std::move(request));
}

// Drains some of the empty machines each second if the surplus has lasted long enough. Without any
// unfinished job, draining starts sooner and takes more machines at a time.
void FleetCoordinator::scale_in(Ms now, const std::vector<Demand>& demand,
                                const MachineCounts& held) {
  const auto surplus = sizer_.surplus(now, demand, context_.replica.catalog(), held);
  int total = 0;
  for (const auto& [type, count] : surplus) total += std::max(0, count);
  update_since(surplus_since_, total > 0, now);
  update_since(idle_since_, demand.empty(), now);
  if (total == 0) return;
  if (idle_since_ != 0 && now - idle_since_ >= kIdleScaleInDelayMs) {
    drain_empty(surplus, std::max(1, total / kIdleSurplusDivisor), demand, held);
  } else if (now - surplus_since_ >= kScaleInDelayMs) {
    drain_empty(surplus, std::max(1, total / kSurplusDivisor), demand, held);
  }
}

void FleetCoordinator::drain_empty(std::map<std::string, int> surplus, int count,
                                   const std::vector<Demand>& demand, MachineCounts held) {
  std::set<MachineKind> kept;
  std::vector<MachineRoom> rooms;
  if (any_crowded(demand)) {
    rooms = demand_.rooms();
    count = std::min(count, 1);  // `rooms` doesn't show what this call drains
  }
  for (const auto& [id, record] : context_.replica.machines()) {
    if (count == 0) return;
    const auto of_type = surplus.find(record.type);
    if (of_type == surplus.end() || of_type->second <= 0) continue;
    const bool usable = record.incarnation != 0 && record.state == MachineState::ready;
    if (!usable || !context_.replica.placed_on(id).empty()) continue;
    const MachineKind kind{record.type, record.zone, record.spot};
    if (kept.contains(kind)) continue;
    if (FleetSizer::needed_by_waiting_work(kind, demand, context_.replica.catalog(), held, rooms)) {
      kept.insert(kind);
      continue;
    }
    context_.log(LogLevel::info, "returning idle machine " + id);
    record_writer_.set_state(id, record, MachineState::draining);
    --held[kind];
    --of_type->second;
    --count;
  }
}

void FleetCoordinator::on_scaled_out(Ms now, const wire::ScaleOutRequest& request,
                                     const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    if (context_.replica.machine(id) || record_writer_.is_pending(id))
      continue;  // already adopted from the list
    wire::MachineRecord record;
    record.type = request.type;
    record.zone = request.zone;
    record.spot = request.spot;
    record_writer_.set_state(id, record, MachineState::ready);
  }
  record_writer_.settle_scale_out(request.name, {machines.begin(), machines.end()});
  record_writer_.write(now);
}

// ---- returning machines ----

void FleetCoordinator::return_drained(Ms now) {
  next_return_ = now + kScaleInCheckIntervalMs;
  std::vector<std::string> ids;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record_writer_.is_pending(id)) continue;
    const bool empty = context_.replica.placed_on(id).empty();
    switch (record.state) {
      case MachineState::lost:
        ids.push_back(id);
        break;
      case MachineState::draining:
      case MachineState::quarantined:
        if (empty) ids.push_back(id);
        break;
      case MachineState::terminated: {
        const Ms since = terminated_since_.emplace(id, now).first->second;
        const Ms retention =
            kListLagMarginMs + static_cast<Ms>(context_.settings.list_lag_s * 3000.0);
        if (empty && now - since >= retention && !inventory_.contains(id))
          record_writer_.remove(id);
        break;
      }
      case MachineState::ready:
        break;
    }
  }
  if (!ids.empty()) return_machines(std::move(ids));
}

void FleetCoordinator::return_machines(std::vector<std::string> ids) {
  if (ids.size() > kMaxMachinesPerScaleIn) ids.resize(kMaxMachinesPerScaleIn);
  return_in_flight_ = true;
  const std::string body = wire::scale_in_body(ids);
  context_.send_request(Target::cloud, "", "POST", wire::kScaleInPath, body, kCloudTimeoutMs,
                        [this, ids = std::move(ids)](Ms at, const HttpResult& http_result) {
                          on_returned(at, ids, http_result);
                        });
}

void FleetCoordinator::on_returned(Ms now, const std::vector<std::string>& ids,
                                   const HttpResult& http_result) {
  return_in_flight_ = false;
  next_return_ = now + kScaleInCheckIntervalMs;
  if (http_result.status != 200) return;
  // The cloud has confirmed that the machines are terminated, and thus all tasks on them.
  for (const auto& id : ids) {
    terminated_since_[id] = now;
    unlisted_since_.erase(id);
    const wire::MachineRecord* record = context_.replica.machine(id);
    if (record && record->state != MachineState::terminated && context_.can_write(now))
      record_writer_.set_state(id, *record, MachineState::terminated);
  }
}

}  // namespace scheduler
