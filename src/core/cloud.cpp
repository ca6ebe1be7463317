// The fleet: renting, adopting, draining and returning machines. One controller of the view does
// this, the one that the duty "cloud" is hashed to.
#include <algorithm>
#include <cmath>

#include "core/constants.h"
#include "core/controller.h"

namespace puffinhaven::core {

namespace k = constants;

namespace {
std::string hire_key(const std::string& name) { return std::string(wire::kHirePrefix) + name; }
}  // namespace

std::vector<Demand> Controller::demand() const {
  std::vector<Demand> out;
  for (const auto& [id, job] : replica_.jobs()) {
    if (!job.known || job.record.cancelled) continue;
    const std::uint64_t done = job.done_tasks();
    if (done < job.record.spec.tasks)
      out.push_back({&job.record.spec, job.record.spec.tasks - done});
  }
  return out;
}

void Controller::keep_cloud(Ms now) {
  if (!can_write(now) || !coordinates_cloud()) {
    listed_.clear();
    listed_at_ = 0;
    if (!coordinates_cloud()) {
      // Somebody else's now; what was under way fails by its view.
      fleet_pending_.clear();
      hires_settled_.clear();
      hires_busy_.clear();
      unlisted_since_.clear();
    }
    return;
  }
  if (!catalog_busy_ && now >= catalog_at_) read_catalog(now);
  if (!list_busy_ && now >= list_at_) {
    list_busy_ = true;
    listing_.clear();
    read_list(now, "");
  }
  if (now >= size_at_) size_fleet(now);
  if (now >= hires_at_) repeat_hires(now);
  if (!return_busy_ && now >= return_at_) return_machines(now);
  write_fleet(now);
}

void Controller::read_catalog(Ms now) {
  catalog_busy_ = true;
  catalog_at_ = now + k::kCatalogEveryMs;
  call(Target::cloud, "", "GET", wire::kCatalogPath, "", k::kCloudTimeoutMs,
       [this](Ms at, const Outcome& outcome) {
         catalog_busy_ = false;
         std::vector<wire::MachineType> types;
         if (outcome.status != 200 || !wire::parse_catalog(outcome.body, types) || types.empty()) {
           catalog_at_ = at + k::kSizeEveryMs;
           return;
         }
         const std::string body = wire::catalog_body(types);
         if (replica_.has_catalog() && body == wire::catalog_body(replica_.catalog())) return;
         const std::string key(wire::kCatalogKey);
         Transaction t;
         t.guards = {view_guard(), store_.guard(key)};
         t.writes = {{key, body, std::nullopt}};
         t.done = [this](Ms then, Committed result, const auto&) {
           if (result != Committed::yes) catalog_at_ = then + k::kSizeEveryMs;
         };
         store_.submit(std::move(t));
       });
}

void Controller::read_list(Ms now, std::string after) {
  call(Target::cloud, "", "GET", wire::machine_list_path(after, k::kListPage), "",
       k::kCloudTimeoutMs, [this, pauses = pauses_](Ms at, const Outcome& outcome) {
         bool more = false;
         // A list that came while we stood still is as old as that, on top of its own lag.
         if (outcome.status != 200 || pauses != pauses_ ||
             !wire::parse_machine_list(outcome.body, listing_, more)) {
           list_busy_ = false;
           list_at_ = at + k::kListEveryMs;
           return;
         }
         if (more && !listing_.empty()) {
           read_list(at, listing_.back().id);
           return;
         }
         list_busy_ = false;
         list_at_ = at + k::kListEveryMs;
         listed_.clear();
         for (auto& m : listing_) listed_[m.id] = std::move(m);
         listing_.clear();
         listed_at_ = at;
         if (can_write(at) && coordinates_cloud()) on_list(at);
       });
  (void)now;
}

void Controller::set_standing(const std::string& id, wire::MachineRecord record,
                              wire::MachineStanding standing) {
  record.standing = standing;
  record.session = 0;
  fleet_pending_[id] = std::move(record);
}

void Controller::on_list(Ms now) {
  std::vector<std::string> unknown_failed;
  for (const auto& [id, m] : listed_) {
    const auto* record = replica_.machine(id);
    if (!record) {
      if (gone_since_.contains(id) || fleet_pending_.contains(id)) continue;  // an old list
      if (m.state == wire::CloudState::failed) {
        unknown_failed.push_back(id);
        continue;
      }
      // Not rented by any request we remember, or not yet recorded: ours to use or to return.
      log(LogLevel::info, "adopting machine " + id);
      wire::MachineRecord fresh;
      fresh.address = m.address;
      fresh.type = m.type;
      fresh.zone = m.zone;
      fresh.spot = m.spot;
      set_standing(id, fresh, wire::MachineStanding::ready);
      continue;
    }
    if (record->standing == wire::MachineStanding::gone ||
        record->standing == wire::MachineStanding::lost)
      continue;
    if (m.state == wire::CloudState::failed) {
      log(LogLevel::info, "machine " + id + " has failed");
      set_standing(id, *record, wire::MachineStanding::gone);
      unknown_failed.push_back(id);
      continue;
    }
    const auto* type = replica_.type(m.type);
    const double boot_s = type ? type->boot_s : 60.0;
    if (m.state == wire::CloudState::booting && record->session == 0 &&
        m.held_s > k::kStuckBoots * boot_s + k::kStuckBootS) {
      log(LogLevel::info, "machine " + id + " does not come up");
      set_standing(id, *record, wire::MachineStanding::lost);
    }
  }
  if (!unknown_failed.empty()) return_now(now, std::move(unknown_failed));
  // Recorded, never heard, and not in the list although it has had time to appear.
  const Ms patience = static_cast<Ms>(settings_.list_lag_s * 3000.0) + k::kGoneKeptMs;
  std::erase_if(gone_since_, [&](const auto& g) {
    return !replica_.machine(g.first) && now - g.second > 2 * patience;
  });
  std::erase_if(unlisted_since_, [this](const auto& u) { return listed_.contains(u.first); });
  for (const auto& [id, record] : replica_.machines()) {
    if (listed_.contains(id) || record.standing != wire::MachineStanding::ready) continue;
    const Ms since = unlisted_since_.emplace(id, now).first->second;
    if (now - since > patience && record.session == 0) {
      log(LogLevel::info, "machine " + id + " is not listed");
      set_standing(id, record, wire::MachineStanding::lost);
    }
  }
  // Placements on a machine that is neither recorded nor listed: it is returned, which proves them
  // gone. Guards against tasks that nobody could ever free.
  for (const auto& id : replica_.unrecorded()) {
    if (listed_.contains(id) || fleet_pending_.contains(id)) continue;
    const Ms since = unlisted_since_.emplace(id, now).first->second;
    if (now - since > patience) set_standing(id, {}, wire::MachineStanding::lost);
  }
}

void Controller::size_fleet(Ms now) {
  size_at_ = now + k::kSizeEveryMs;
  if (!replica_.has_catalog() || listed_at_ == 0) return;
  std::map<MachineKind, int> held;
  for (const auto& [id, record] : replica_.machines()) {
    if (record.standing == wire::MachineStanding::ready)
      ++held[{record.type, record.zone, record.spot}];
  }
  for (const auto& [name, hire] : replica_.hires())
    held[{hire.type, hire.zone, hire.spot}] += static_cast<int>(hire.count);
  const auto work = demand();
  if (replica_.hires().empty() && hires_out_ == 0) {
    for (auto request : fleet_.to_rent(now, work, replica_.catalog(), held)) {
      // Never reused: no two runs of any controller share an incarnation.
      request.name = settings_.name + "-" + incarnation_ + "-" + std::to_string(++hire_number_);
      log(LogLevel::info, "renting " + std::to_string(request.count) + " " + request.type + " in " +
                              request.zone + (request.spot ? " (spot)" : ""));
      Transaction t;
      t.guards = {view_guard(), {hire_key(request.name), 0}};
      t.writes = {{hire_key(request.name), encode(request), std::nullopt}};
      ++hires_out_;
      t.done = [this](Ms at, Committed result, const auto&) {
        hires_at_ = 0;
        auto release = [this](Ms) { --hires_out_; };
        result == Committed::yes ? release(at) : settle(at, release);
      };
      store_.submit(std::move(t));
    }
  }
  // Too many for long: one empty machine at a time is drained and then returned.
  const auto surplus = fleet_.surplus(work, replica_.catalog(), held);
  const bool any =
      std::any_of(surplus.begin(), surplus.end(), [](const auto& s) { return s.second > 0; });
  if (!any) {
    surplus_since_ = 0;
    return;
  }
  if (surplus_since_ == 0) surplus_since_ = now;
  if (now - surplus_since_ < k::kShrinkAfterMs) return;
  for (const auto& [id, record] : replica_.machines()) {
    auto s = surplus.find(record.type);
    if (s == surplus.end() || s->second <= 0 || record.session == 0 ||
        record.standing != wire::MachineStanding::ready || !replica_.placed_on(id).empty())
      continue;
    log(LogLevel::info, "returning idle machine " + id);
    set_standing(id, record, wire::MachineStanding::draining);
    break;
  }
}

void Controller::repeat_hires(Ms now) {
  hires_at_ = now + k::kSizeEveryMs / 4;
  for (const auto& [name, hire] : replica_.hires()) {
    if (!hires_busy_.insert(name).second) continue;
    wire::RentRequest request = hire;
    request.name = name;
    call(Target::cloud, "", "POST", wire::kRentPath, wire::rent_body(request), k::kCloudTimeoutMs,
         [this, request](Ms at, const Outcome& outcome) {
           std::vector<std::string> ids;
           const bool rented = outcome.status == 200 && wire::parse_rented(outcome.body, ids);
           const bool full =
               outcome.status == 503 && outcome.body.find("capacity") != std::string::npos;
           if (full || (rented && ids.size() < request.count))
             fleet_.refused(at, {request.type, request.zone, request.spot});
           if (!rented && !full && outcome.status != 400) {
             // Unanswered or not now: the same name again, which rents nothing twice.
             hires_at_ = at + k::kHireRetryMs;
             hires_busy_.erase(request.name);
             return;
           }
           finish_hire(at, request, ids);
         });
  }
}

void Controller::finish_hire(Ms now, const wire::RentRequest& request,
                             const std::vector<std::string>& ids) {
  if (!coordinates_cloud()) return;
  for (const auto& id : ids) {
    if (replica_.machine(id) || fleet_pending_.contains(id)) continue;  // listed already
    wire::MachineRecord record;
    record.type = request.type;
    record.zone = request.zone;
    record.spot = request.spot;
    set_standing(id, record, wire::MachineStanding::ready);
  }
  hires_settled_[request.name] = {ids.begin(), ids.end()};
  write_fleet(now);
}

void Controller::return_now(Ms now, std::vector<std::string> ids) {
  (void)now;
  if (ids.empty()) return;
  if (ids.size() > k::kReturnMost) ids.resize(k::kReturnMost);
  return_busy_ = true;
  const std::string body = wire::return_body(ids);
  call(Target::cloud, "", "POST", wire::kReturnPath, body, k::kCloudTimeoutMs,
       [this, ids](Ms at, const Outcome& outcome) {
         return_busy_ = false;
         return_at_ = at + k::kReturnEveryMs;
         if (outcome.status != 200) return;
         // The cloud's word: the machines and all on them are gone.
         for (const auto& id : ids) {
           gone_since_[id] = at;
           unlisted_since_.erase(id);
           const auto* record = replica_.machine(id);
           if (record && record->standing != wire::MachineStanding::gone && can_write(at))
             set_standing(id, *record, wire::MachineStanding::gone);
         }
       });
}

void Controller::return_machines(Ms now) {
  return_at_ = now + k::kReturnEveryMs;
  std::vector<std::string> ids;
  for (const auto& [id, record] : replica_.machines()) {
    if (fleet_pending_.contains(id)) continue;
    const bool empty = replica_.placed_on(id).empty();
    switch (record.standing) {
      case wire::MachineStanding::lost:
        ids.push_back(id);
        break;
      case wire::MachineStanding::draining:
      case wire::MachineStanding::sick:
        if (empty) ids.push_back(id);
        break;
      case wire::MachineStanding::gone: {
        auto [since, added] = gone_since_.emplace(id, now);
        const Ms kept = k::kGoneKeptMs + static_cast<Ms>(settings_.list_lag_s * 3000.0);
        if (!empty || now - since->second < kept || listed_.contains(id)) break;
        fleet_pending_[id] = std::nullopt;
        break;
      }
      case wire::MachineStanding::ready:
        break;
    }
  }
  return_now(now, std::move(ids));
}

}  // namespace puffinhaven::core
