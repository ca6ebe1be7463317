#include "fleet/fleet_coordinator.h"

#include <algorithm>
#include <utility>

#include "fleet/cloud_inventory.h"
#include "wire/messages.h"

namespace scheduler {

namespace {

// Milliseconds between catalog reads.
constexpr std::int64_t kCatalogEveryMs = 60'000;
// Milliseconds between decisions about the size of the fleet.
constexpr std::int64_t kSizeEveryMs = 1000;
// Part of that surplus that is returned in a second (one machine at least): whatever its size, most
// of it is gone within ten minutes, and one a second is what small fleets always had.
constexpr int kSurplusParts = 300;
// Part of an idle fleet's surplus that is returned at once (one machine at least), so that a large
// fleet is mostly back within a minute and a submission in between still finds machines.
constexpr int kIdleSurplusParts = 30;
// Nominal boot times after which a machine that is not up counts as stuck, and seconds added.
constexpr double kStuckBoots = 4.0;
constexpr double kStuckBootS = 30.0;
// Seconds that a machine of a type that the catalog doesn't name is taken to need to boot.
constexpr double kUnknownBootS = 60.0;
// Milliseconds between checks for machines to return.
constexpr std::int64_t kScaleInCheckMs = 500;
// Milliseconds that the record of a machine that is gone is kept beyond what old lists may show.
constexpr std::int64_t kGoneKeptMs = 60'000;

}  // namespace

using wire::MachineState;

namespace {

// Keeps the time since which a condition has held; 0 while it does not.
void since(Ms& from, bool holds, Ms now) {
  if (!holds) {
    from = 0;
  } else if (from == 0) {
    from = now;
  }
}

}  // namespace

FleetCoordinator::FleetCoordinator(const Context& context)
    : context_(context),
      fleet_(context.settings),
      records_(context,
               [this](const std::vector<std::string>& forgotten) { scale_out_.forget(forgotten); }),
      list_(context, [this](Ms now) { on_list(now); }),
      scale_out_(context, fleet_,
                 [this](Ms now, const wire::ScaleOutRequest& request,
                        const std::vector<std::string>& machines) {
                   on_scaled_out(now, request, machines);
                 }) {}

void FleetCoordinator::tick(Ms now) {
  if (!is_leader()) {
    // Somebody else's now; what was under way fails by its view.
    list_.clear();
    records_.clear();
    scale_out_.clear();
    unlisted_since_.clear();
    surplus_since_ = idle_since_ = 0;
    return;
  }
  if (!context_.can_write(now)) {
    list_.clear();
    return;
  }
  if (!reading_catalog_ && now >= catalog_at_) read_catalog(now);
  list_.tick(now);
  if (now >= resize_at_) resize(now);
  scale_out_.tick(now);
  if (!returning_ && now >= return_at_) return_drained(now);
  records_.write(now);
}

void FleetCoordinator::on_pause(Ms now, Ms gap) {
  // What the list has not shown for a while gets that time again.
  list_.on_pause(now);
  for (auto& [id, since] : unlisted_since_) since += gap;
  for (auto& [id, since] : gone_since_) since += gap;
  surplus_since_ = 0;
  idle_since_ = 0;
}

std::vector<Demand> FleetCoordinator::demand() const {
  std::vector<Demand> out;
  for (const auto& [id, job] : context_.replica.jobs()) {
    if (!job.known || job.record.cancelled) continue;
    const std::uint64_t done = job.done_tasks();
    if (done < job.record.spec.tasks)
      out.push_back({&job.record.spec, job.record.spec.tasks - done});
  }
  return out;
}

// Machines that are usable or on their way.
std::map<MachineKind, int> FleetCoordinator::held() const {
  std::map<MachineKind, int> held;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record.state == MachineState::ready) ++held[{record.type, record.zone, record.spot}];
  }
  for (const auto& [name, scale_out] : context_.replica.scale_out_requests())
    held[{scale_out.type, scale_out.zone, scale_out.spot}] += static_cast<int>(scale_out.count);
  return held;
}

// ---- the catalog ----

void FleetCoordinator::read_catalog(Ms now) {
  reading_catalog_ = true;
  catalog_at_ = now + kCatalogEveryMs;
  context_.call(Target::cloud, "", "GET", wire::kCatalogPath, "", kCloudTimeoutMs,
                [this](Ms at, const HttpResult& http_result) { on_catalog(at, http_result); });
}

void FleetCoordinator::on_catalog(Ms now, const HttpResult& http_result) {
  reading_catalog_ = false;
  const auto types = http_result.status == 200 ? wire::parse_catalog(http_result.body)
                                               : wire::decode_error("status", "200");
  if (!types || types->empty()) {
    catalog_at_ = now + kSizeEveryMs;
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
    if (result != TxnResult::committed) catalog_at_ = at + kSizeEveryMs;
  };
  context_.state_client.submit(std::move(transaction));
}

// ---- the list of machines ----

void FleetCoordinator::on_list(Ms now) {
  if (!context_.can_write(now) || !is_leader()) return;
  std::vector<std::string> unknown_failed;
  for (const auto& [id, listed] : list_.machines()) {
    if (check_listed(id, listed)) unknown_failed.push_back(id);
  }
  if (adopted_ > 0)
    context_.log(LogLevel::info, "adopting " + std::to_string(adopted_) + " machines");
  adopted_ = 0;
  if (!unknown_failed.empty()) return_machines(std::move(unknown_failed));
  check_unlisted(now);
}

bool FleetCoordinator::check_listed(const std::string& id, const wire::CloudMachine& listed) {
  const bool failed = listed.state == wire::CloudState::failed;
  const wire::MachineRecord* record = context_.replica.machine(id);
  if (!record) {
    if (gone_since_.contains(id) || records_.pending(id)) return false;  // an old list
    if (failed) return true;
    // Not rented by any request we remember, or not yet recorded: ours to use or to return.
    context_.log(LogLevel::debug, "adopting machine " + id);
    ++adopted_;
    wire::MachineRecord fresh;
    fresh.address = listed.address;
    fresh.type = listed.type;
    fresh.zone = listed.zone;
    fresh.spot = listed.spot;
    records_.set_state(id, fresh, MachineState::ready);
    return false;
  }
  if (record->state == MachineState::terminated || record->state == MachineState::lost)
    return false;
  if (failed) {
    context_.log(LogLevel::info, "machine " + id + " has failed");
    records_.set_state(id, *record, MachineState::terminated);
    return true;
  }
  const wire::MachineType* type = context_.replica.type(listed.type);
  const double boot_s = type ? type->boot_s : kUnknownBootS;
  if (listed.state == wire::CloudState::booting && record->incarnation == 0 &&
      listed.held_s > kStuckBoots * boot_s + kStuckBootS) {
    context_.log(LogLevel::info, "machine " + id + " does not come up");
    records_.set_state(id, *record, MachineState::lost);
  }
  return false;
}

// Machines that are recorded and not listed although they have had time to appear.
void FleetCoordinator::check_unlisted(Ms now) {
  const Replica& replica = context_.replica;
  const Ms patience = static_cast<Ms>(context_.settings.list_lag_s * 3000.0) + kGoneKeptMs;
  std::erase_if(gone_since_, [&](const auto& gone) {
    return !replica.machine(gone.first) && now - gone.second > 2 * patience;
  });
  std::erase_if(unlisted_since_,
                [this](const auto& unlisted) { return list_.contains(unlisted.first); });
  const auto overdue = [&](const std::string& id) {
    return now - unlisted_since_.emplace(id, now).first->second > patience;
  };
  for (const auto& [id, record] : replica.machines()) {
    if (list_.contains(id) || record.state != MachineState::ready) continue;
    if (overdue(id) && record.incarnation == 0) {  // never heard
      context_.log(LogLevel::info, "machine " + id + " is not listed");
      records_.set_state(id, record, MachineState::lost);
    }
  }
  // Placements on a machine that is neither recorded nor listed: it is returned, which proves them
  // gone. Guards against tasks that nobody could ever free.
  for (const auto& id : replica.unrecorded_machines()) {
    if (list_.contains(id) || records_.pending(id)) continue;
    if (overdue(id)) records_.set_state(id, {}, MachineState::lost);
  }
}

// ---- size ----

void FleetCoordinator::resize(Ms now) {
  resize_at_ = now + kSizeEveryMs;
  if (!context_.replica.has_catalog() || !list_.known()) return;
  const auto machines = held();
  const auto work = demand();
  if (scale_out_.idle()) scale_out(now, work, machines);
  scale_in(now, work, machines);
}

void FleetCoordinator::scale_out(Ms now, const std::vector<Demand>& work,
                                 const std::map<MachineKind, int>& held) {
  for (auto& request : fleet_.next_scale_out(now, work, context_.replica.catalog(), held))
    scale_out_.request(std::move(request));
}

// Too many machines for long: one empty machine at a time is drained and then returned. With
// nothing to do at all they go sooner, and more at a time.
void FleetCoordinator::scale_in(Ms now, const std::vector<Demand>& work,
                                const std::map<MachineKind, int>& held) {
  const auto surplus = fleet_.surplus(work, context_.replica.catalog(), held);
  int total = 0;
  for (const auto& [type, count] : surplus) total += std::max(0, count);
  since(surplus_since_, total > 0, now);
  since(idle_since_, work.empty(), now);
  if (total == 0) return;
  if (idle_since_ != 0 && now - idle_since_ >= kScaleInIdleAfterMs) {
    drain_empty(surplus, std::max(1, total / kIdleSurplusParts));
  } else if (now - surplus_since_ >= kScaleInAfterMs) {
    drain_empty(surplus, std::max(1, total / kSurplusParts));
  }
}

void FleetCoordinator::drain_empty(std::map<std::string, int> surplus, int count) {
  for (const auto& [id, record] : context_.replica.machines()) {
    if (count == 0) return;
    const auto of_type = surplus.find(record.type);
    if (of_type == surplus.end() || of_type->second <= 0) continue;
    const bool usable = record.incarnation != 0 && record.state == MachineState::ready;
    if (!usable || !context_.replica.placed_on(id).empty()) continue;
    context_.log(LogLevel::info, "returning idle machine " + id);
    records_.set_state(id, record, MachineState::draining);
    --of_type->second;
    --count;
  }
}

void FleetCoordinator::on_scaled_out(Ms now, const wire::ScaleOutRequest& request,
                                     const std::vector<std::string>& machines) {
  for (const auto& id : machines) {
    if (context_.replica.machine(id) || records_.pending(id)) continue;  // listed already
    wire::MachineRecord record;
    record.type = request.type;
    record.zone = request.zone;
    record.spot = request.spot;
    records_.set_state(id, record, MachineState::ready);
  }
  records_.settle_scale_out(request.name, {machines.begin(), machines.end()});
  records_.write(now);
}

// ---- returning machines ----

void FleetCoordinator::return_drained(Ms now) {
  return_at_ = now + kScaleInCheckMs;
  std::vector<std::string> ids;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (records_.pending(id)) continue;
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
        const Ms since = gone_since_.emplace(id, now).first->second;
        const Ms kept = kGoneKeptMs + static_cast<Ms>(context_.settings.list_lag_s * 3000.0);
        if (empty && now - since >= kept && !list_.contains(id)) records_.forget(id);
        break;
      }
      case MachineState::ready:
        break;
    }
  }
  if (!ids.empty()) return_machines(std::move(ids));
}

void FleetCoordinator::return_machines(std::vector<std::string> ids) {
  if (ids.size() > kMachinesPerScaleIn) ids.resize(kMachinesPerScaleIn);
  returning_ = true;
  const std::string body = wire::scale_in_body(ids);
  context_.call(Target::cloud, "", "POST", wire::kScaleInPath, body, kCloudTimeoutMs,
                [this, ids = std::move(ids)](Ms at, const HttpResult& http_result) {
                  on_returned(at, ids, http_result);
                });
}

void FleetCoordinator::on_returned(Ms now, const std::vector<std::string>& ids,
                                   const HttpResult& http_result) {
  returning_ = false;
  return_at_ = now + kScaleInCheckMs;
  if (http_result.status != 200) return;
  // The cloud's word: the machines and all on them are gone.
  for (const auto& id : ids) {
    gone_since_[id] = now;
    unlisted_since_.erase(id);
    const wire::MachineRecord* record = context_.replica.machine(id);
    if (record && record->state != MachineState::terminated && context_.can_write(now))
      records_.set_state(id, *record, MachineState::terminated);
  }
}

}  // namespace scheduler
