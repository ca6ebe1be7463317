#include "links/monitor.h"

#include <algorithm>
#include <utility>

#include "links/constants.h"

namespace scheduler::links {

Monitor::Monitor(MonitorSettings settings, const RequestLink& state, const RequestLink& cloud)
    : settings_(std::move(settings)), state_(state), cloud_(cloud), matrix_(settings_.name) {
  for (const auto& peer : settings_.peers)
    peers_.emplace(peer, PhiDetector(settings_.gossip_interval));
}

// ---- evidence ----

void Monitor::on_peer_message(Ms now, const std::string& peer) {
  if (const auto known = peers_.find(peer); known != peers_.end()) known->second.on_message(now);
}

void Monitor::merge(const Moment& moment, const wire::LinkRow& row) {
  const bool known = peers_.contains(row.controller);
  if (known) matrix_.merge(moment.now, moment.wall, row);
}

ZoneLinks& Monitor::zone(const std::string& name) {
  const bool fits = zones_.contains(name) || zones_.size() < kMaxRowEntries;
  return zones_.try_emplace(fits ? name : "", settings_.heartbeat_interval).first->second;
}

void Monitor::expect_workers(Ms now, const std::map<std::string, std::size_t>& by_zone) {
  for (const auto& [name, count] : by_zone) zone(name);
  for (auto& [name, links] : zones_) {
    const auto count = by_zone.find(name);
    links.set_expected_workers(now, count == by_zone.end() ? 0 : count->second);
  }
}

void Monitor::tick(Ms now) {
  if (!state_.answering(now)) {
    // Failures while this controller is out of the view count as well; otherwise it would rejoin
    // while the link still flaps.
    if (state_up_since_ != 0 && out_of_view_) state_damper_.on_failure(now);
    state_up_since_ = 0;
  } else if (state_up_since_ == 0) {
    state_up_since_ = now;
  }
}

void Monitor::on_pause(Ms now) {
  for (auto& [name, detector] : peers_) detector.on_pause(now);
  for (auto& [name, links] : zones_) links.on_pause(now);
  state_up_since_ = workers_up_since_ = 0;
}

// ---- gossip ----

Status Monitor::peer(Ms now, const std::string& name) const {
  const auto known = peers_.find(name);
  return known == peers_.end() ? Status::unknown : known->second.status(now);
}

wire::LinkRow Monitor::row(const Moment& moment) const {
  wire::LinkRow row;
  row.controller = settings_.name;
  row.as_of_ms = static_cast<std::uint64_t>(std::max<Ms>(0, moment.wall));
  row.state = state_.status(moment.now);
  row.cloud = cloud_.status(moment.now);
  row.relays = settings_.relays;
  for (const auto& [name, detector] : peers_) {
    if (row.from_peers.size() < kMaxRowEntries) row.from_peers[name] = detector.status(moment.now);
  }
  for (const auto& [name, links] : zones_)
    row.workers[name] = {links.heartbeats(moment.now), links.commands(moment.now),
                         links.last_heartbeat() == 0
                             ? 0
                             : static_cast<std::uint64_t>(std::max<Ms>(
                                   1, moment.wall - (moment.now - links.last_heartbeat())))};
  return row;
}

std::vector<wire::LinkRow> Monitor::rows_to_gossip(const Moment& moment) const {
  std::vector<wire::LinkRow> rows{row(moment)};
  for (const auto* entry : matrix_.fresh(moment.wall, kRowMaxAgeMs)) rows.push_back(entry->row);
  return rows;
}

// ---- decisions ----

// Users are sent elsewhere only if this controller alone can't use the state service, not if there
// is an outage for all controllers. The rows of other controllers, including those received
// indirectly, tell the two cases apart. Without rows, a state service that refuses requests is
// assumed to have an outage, and one that does not respond at all to be cut off from this
// controller.
Decision Monitor::may_serve_users(const Moment& moment) const {
  const Ms age = moment.now - state_.last_answer();
  if (state_.answering(moment.now)) return {true, Reason::link_up, "", age};
  const auto rows = matrix_.fresh(moment.wall, kStateRowMaxAgeMs);
  for (const auto* entry : rows) {
    // When an outage begins or ends, controllers notice at different times.
    const Ms since = std::max(entry->state_up_since, state_.last_answer());
    if (entry->state_up_since != 0 && moment.now - since > kStateUpConfirmMs)
      return {false, Reason::peer_reaches, entry->row.controller,
              Matrix::age(moment.wall, entry->row)};
  }
  if (rows.empty() && !settings_.peers.empty() && state_.silent(moment.now))
    return {false, Reason::isolated, "", age};
  return {true, Reason::outage, "", age};
}

bool Monitor::may_reach(const wire::LinkRow& row, const std::string& zone) {
  const auto links = row.workers.find(zone);
  return links == row.workers.end() ||
         (links->second.heartbeats != Status::down && links->second.commands != Status::down);
}

// Rows describe a past state, and controllers notice the same failure at different times. A zone
// therefore counts as reachable for the other controller only if its last heartbeat there is later
// than `since_wall`, a time after this controller's own last heartbeat. Heartbeats that have only
// just returned after a failure don't count, since this controller's link is then most likely back
// as well.
bool Monitor::reaches_workers_since(const Moment& moment, const Matrix::Entry& entry,
                                    const std::vector<std::string>& zones, Ms since_wall) {
  const wire::LinkRow& row = entry.row;
  const auto zone_reached = [&](const std::string& zone, const wire::ZoneLinkStatus& links) {
    const auto since = entry.heartbeats_up_since.find(zone);
    return since != entry.heartbeats_up_since.end() && moment.now - since->second >= kRowStableMs &&
           links.commands != Status::down && static_cast<Ms>(links.last_heartbeat_ms) > since_wall;
  };
  bool reports_zones = false;
  for (const auto& zone : zones) {
    const auto links = row.workers.find(zone);
    if (links == row.workers.end() || links->second.heartbeats == Status::unknown) continue;
    if (zone_reached(zone, links->second)) return true;
    reports_zones = true;
  }
  if (reports_zones) return false;
  // The controller has no workers in these zones. If it receives heartbeats from other zones, it
  // can most likely reach these as well.
  bool reports_any = false;
  for (const auto& [zone, links] : row.workers) {
    if (zone_reached(zone, links)) return true;
    reports_any = reports_any || links.heartbeats != Status::unknown;
  }
  return !reports_any;
}

// Machines are kept while the links of any zone work. Guards against handing them to a controller
// that can't reach them either: the shard would be passed around all controllers while the workers'
// leases expire.
Decision Monitor::may_keep_machines(const Moment& moment,
                                    const std::vector<std::string>& others) const {
  std::vector<std::string> unusable_zones;
  Ms newest_heartbeat = 0;
  for (const auto& [name, links] : zones_) {
    if (links.workers() == 0) continue;
    if (links.usable(moment.now))
      return {true, Reason::link_up, "", moment.now - links.last_heartbeat()};
    unusable_zones.push_back(name);
    newest_heartbeat = std::max(newest_heartbeat, links.last_heartbeat());
  }
  if (unusable_zones.empty()) return {true, Reason::link_up, "", 0};
  if (others.empty()) return {true, Reason::nobody_else, "", moment.now - newest_heartbeat};
  const Ms silent = moment.now - newest_heartbeat;
  Decision decision{true, Reason::nobody_reaches, "", silent};
  for (const auto& other : others) {
    const auto* entry = matrix_.find(other);
    const bool fresh = entry && Matrix::age(moment.wall, entry->row) <= kRowMaxAgeMs;
    // A controller without a fresh row (an older version, or no contact) is assumed to reach the
    // machines.
    const bool reaches =
        !fresh || reaches_workers_since(moment, *entry, unusable_zones, moment.wall - silent / 2);
    if (!reaches) continue;
    decision = {false, Reason::peer_reaches, other,
                fresh ? Matrix::age(moment.wall, entry->row) : 0};
    if (fresh) break;
  }
  return decision;
}

Decision Monitor::may_reclaim_machines(Ms now) const {
  const Ms up = workers_up_since_ == 0 ? 0 : now - workers_up_since_;
  const bool steady = workers_up_since_ != 0 && up >= workers_damper_.required_stable_ms(now);
  return {steady, steady ? Reason::steady : Reason::unsteady, "", up};
}

void Monitor::on_machines_given_up(Ms now) {
  workers_damper_.on_failure(now);
  workers_up_since_ = 0;
}

void Monitor::on_reclaim_probe(Ms now, bool answered) {
  if (!answered) {
    if (workers_up_since_ != 0) workers_damper_.on_failure(now);
    workers_up_since_ = 0;
  } else if (workers_up_since_ == 0) {
    workers_up_since_ = now;
  }
}

void Monitor::on_removed_from_view(Ms now) {
  out_of_view_ = true;
  state_damper_.on_failure(now);
}

Decision Monitor::may_join(Ms now, bool others_live) const {
  if (!others_live) return {true, Reason::nobody_else, "", 0};
  const Ms up = state_up_since_ == 0 ? 0 : now - state_up_since_;
  const Ms needed = state_damper_.required_stable_ms(now);
  const bool steady = needed == 0 || (state_up_since_ != 0 && up >= needed);
  return {steady, steady ? Reason::steady : Reason::unsteady, "", up};
}

void Monitor::record_census(Ms now, const Census& census) {
  for (const auto& [zone, count] : census.zones) {
    const bool known = mostly_unresponsive_at_.contains(zone);
    if (!count.mostly_responsive() && (known || mostly_unresponsive_at_.size() < kMaxRowEntries))
      mostly_unresponsive_at_[zone] = now;
  }
}

// A controller without contact to most machines may be cut off itself, and a zone of which most
// machines are silent is more likely cut off than dead. Tasks there continue, and returning the
// machines would end them.
Decision Monitor::may_declare_dead(const Moment& moment, const std::string& zone,
                                   const Census& census, Ms silent_ms) const {
  if (!census.all.mostly_responsive()) return {false, Reason::mostly_unresponsive, "", silent_ms};
  const bool patience_over = silent_ms > kZonePartitionTimeoutMs;
  const auto links = zones_.find(zone);
  if (links != zones_.end() && !links->second.usable(moment.now) && !patience_over) {
    for (const auto* entry : matrix_.fresh(moment.wall, kRowMaxAgeMs)) {
      const auto peer_links = entry->row.workers.find(zone);
      if (peer_links != entry->row.workers.end() && peer_links->second.heartbeats == Status::up)
        return {false, Reason::peer_reaches, entry->row.controller,
                Matrix::age(moment.wall, entry->row)};
    }
  }
  // Guards against returning the last workers of a zone that is recovering from a partition.
  const auto unresponsive_at = mostly_unresponsive_at_.find(zone);
  const bool recovering = unresponsive_at != mostly_unresponsive_at_.end() &&
                          moment.now - unresponsive_at->second < kPartitionRecoveryMs;
  if (census.zone(zone).mostly_responsive() && !recovering)
    return {true, Reason::mostly_responsive, "", silent_ms};
  return {patience_over, patience_over ? Reason::patience_over : Reason::mostly_unresponsive, "",
          silent_ms};
}

std::optional<std::string> Monitor::relay_to(const Moment& moment, const std::string& zone) const {
  std::optional<std::string> best;
  for (const auto* entry : matrix_.fresh(moment.wall, kRowMaxAgeMs)) {
    const wire::LinkRow& row = entry->row;
    const auto own_messages = row.from_peers.find(settings_.name);
    if (!row.relays || peer(moment.now, row.controller) != Status::up) continue;
    if (own_messages == row.from_peers.end() || own_messages->second != Status::up) continue;
    if (!may_reach(row, zone)) continue;
    const auto links = row.workers.find(zone);
    const bool known = links != row.workers.end() && links->second.heartbeats == Status::up;
    if (known) return row.controller;
    if (!best) best = row.controller;
  }
  return best;
}

bool Monitor::commands_arrive(const std::string& owner, const std::string& zone) const {
  const auto* entry = matrix_.find(owner);
  if (!entry) return false;
  const auto links = entry->row.workers.find(zone);
  return links != entry->row.workers.end() && links->second.commands != Status::down;
}

bool Monitor::should_forward(const Moment& moment, const std::string& owner,
                             const std::string& zone) const {
  const auto* entry = matrix_.find(owner);
  if (!settings_.relays || !entry || !entry->row.relays) return false;
  if (Matrix::age(moment.wall, entry->row) > kRowMaxAgeMs) return false;
  if (peer(moment.now, owner) != Status::up) return false;
  const auto own_messages = entry->row.from_peers.find(settings_.name);
  if (own_messages == entry->row.from_peers.end() || own_messages->second != Status::up)
    return false;
  const auto links = entry->row.workers.find(zone);
  return links != entry->row.workers.end() &&
         (links->second.heartbeats == Status::down || links->second.commands == Status::down);
}

}  // namespace scheduler::links
