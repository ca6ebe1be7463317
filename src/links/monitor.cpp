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

void Monitor::peer_heard(Ms now, const std::string& peer) {
  if (const auto known = peers_.find(peer); known != peers_.end()) known->second.heard(now);
}

void Monitor::merge(const Moment& moment, const wire::LinkRow& row) {
  const bool known = peers_.contains(row.controller);
  if (known) matrix_.merge(moment.now, moment.wall, row);
}

ZoneLinks& Monitor::zone(const std::string& name) {
  const bool fits = zones_.contains(name) || zones_.size() < kMostEntries;
  return zones_.try_emplace(fits ? name : "", settings_.heartbeat_interval).first->second;
}

void Monitor::expect_workers(Ms now, const std::map<std::string, std::size_t>& by_zone) {
  for (const auto& [name, count] : by_zone) zone(name);
  for (auto& [name, links] : zones_) {
    const auto count = by_zone.find(name);
    links.expect(now, count == by_zone.end() ? 0 : count->second);
  }
}

void Monitor::tick(Ms now) {
  if (!state_.answering(now)) {
    // Failures while the work is elsewhere count as well: it would be back in the middle of them.
    if (state_up_since_ != 0 && out_of_view_) state_damper_.failed(now);
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

// ---- what the others are told ----

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
    if (row.heard.size() < kMostEntries) row.heard[name] = detector.status(moment.now);
  }
  for (const auto& [name, links] : zones_)
    row.workers[name] = {links.reports(moment.now), links.commands(moment.now),
                         links.last_heartbeat() == 0
                             ? 0
                             : static_cast<std::uint64_t>(std::max<Ms>(
                                   1, moment.wall - (moment.now - links.last_heartbeat())))};
  return row;
}

std::vector<wire::LinkRow> Monitor::rows_to_spread(const Moment& moment) const {
  std::vector<wire::LinkRow> rows{row(moment)};
  for (const auto* entry : matrix_.fresh(moment.wall, kRowFreshMs)) rows.push_back(entry->row);
  return rows;
}

// ---- decisions ----

// An outage that all share is no reason to send users elsewhere; being cut off or refused alone is.
// The others' rows tell them apart, also those of controllers that only a third one hears. Without
// any: a state service that refuses us is there, so it is an outage as far as we know, but one that
// is silent is beyond a cut of ours.
Decision Monitor::may_serve_users(const Moment& moment) const {
  const Ms age = moment.now - state_.last_answer();
  if (state_.answering(moment.now)) return {true, Reason::link_up, "", age};
  const auto rows = matrix_.fresh(moment.wall, kStateWordFreshMs);
  for (const auto* entry : rows) {
    // At the ends of an outage one notices before the other.
    const Ms since = std::max(entry->state_up_since, state_.last_answer());
    if (entry->state_up_since != 0 && moment.now - since > kStateWordMs)
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
         (links->second.reports != Status::down && links->second.commands != Status::down);
}

// Rows are older than what they tell of, and controllers notice the same failure one after the
// other: a zone counts as heard only if it was after we had heard ours, and not just now
// for the first time after a failure, since then ours are most likely back as well.
bool Monitor::heard_since(const Moment& moment, const Matrix::Entry& entry,
                          const std::vector<std::string>& zones, Ms since_wall) {
  const wire::LinkRow& row = entry.row;
  const auto heard = [&](const std::string& zone, const wire::ZoneLinkStatus& links) {
    const auto since = entry.reports_up_since.find(zone);
    return since != entry.reports_up_since.end() && moment.now - since->second >= kRowSteadyMs &&
           links.commands != Status::down && static_cast<Ms>(links.heard_ms) > since_wall;
  };
  bool knows_zones = false;
  for (const auto& zone : zones) {
    const auto links = row.workers.find(zone);
    if (links == row.workers.end() || links->second.reports == Status::unknown) continue;
    if (heard(zone, links->second)) return true;
    knows_zones = true;
  }
  if (knows_zones) return false;
  // It has no workers there. Whoever hears others can most likely reach these as well.
  bool knows_any = false;
  for (const auto& [zone, links] : row.workers) {
    if (heard(zone, links)) return true;
    knows_any = knows_any || links.reports != Status::unknown;
  }
  return !knows_any;
}

// Machines are kept while any zone's links work. Guards against giving them to somebody who can't
// reach them either: then the part would go round among all, and the leases would end meanwhile.
Decision Monitor::may_keep_machines(const Moment& moment,
                                    const std::vector<std::string>& others) const {
  std::vector<std::string> lost;
  Ms newest_report = 0;
  for (const auto& [name, links] : zones_) {
    if (links.workers() == 0) continue;
    if (links.usable(moment.now))
      return {true, Reason::link_up, "", moment.now - links.last_heartbeat()};
    lost.push_back(name);
    newest_report = std::max(newest_report, links.last_heartbeat());
  }
  if (lost.empty()) return {true, Reason::link_up, "", 0};
  if (others.empty()) return {true, Reason::nobody_else, "", moment.now - newest_report};
  const Ms silent = moment.now - newest_report;
  Decision decision{true, Reason::nobody_reaches, "", silent};
  for (const auto& other : others) {
    const auto* entry = matrix_.find(other);
    const bool fresh = entry && Matrix::age(moment.wall, entry->row) <= kRowFreshMs;
    // Of who doesn't say (an older version, or one that isn't heard) the best is assumed.
    const bool reaches = !fresh || heard_since(moment, *entry, lost, moment.wall - silent / 2);
    if (!reaches) continue;
    decision = {false, Reason::peer_reaches, other,
                fresh ? Matrix::age(moment.wall, entry->row) : 0};
    if (fresh) break;
  }
  return decision;
}

Decision Monitor::may_reclaim_machines(Ms now) const {
  const Ms up = workers_up_since_ == 0 ? 0 : now - workers_up_since_;
  const bool steady = workers_up_since_ != 0 && up >= workers_damper_.steady_ms(now);
  return {steady, steady ? Reason::steady : Reason::unsteady, "", up};
}

void Monitor::on_machines_given_up(Ms now) {
  workers_damper_.failed(now);
  workers_up_since_ = 0;
}

void Monitor::probed_while_given_up(Ms now, bool answered) {
  if (!answered) {
    if (workers_up_since_ != 0) workers_damper_.failed(now);
    workers_up_since_ = 0;
  } else if (workers_up_since_ == 0) {
    workers_up_since_ = now;
  }
}

void Monitor::removed_from_view(Ms now) {
  out_of_view_ = true;
  state_damper_.failed(now);
}

Decision Monitor::may_join(Ms now, bool others_live) const {
  if (!others_live) return {true, Reason::nobody_else, "", 0};
  const Ms up = state_up_since_ == 0 ? 0 : now - state_up_since_;
  const Ms needed = state_damper_.steady_ms(now);
  const bool steady = needed == 0 || (state_up_since_ != 0 && up >= needed);
  return {steady, steady ? Reason::steady : Reason::unsteady, "", up};
}

void Monitor::note_census(Ms now, const Census& census) {
  for (const auto& [zone, count] : census.zones) {
    const bool known = mostly_unresponsive_at_.contains(zone);
    if (!count.mostly_responsive() && (known || mostly_unresponsive_at_.size() < kMostEntries))
      mostly_unresponsive_at_[zone] = now;
  }
}

// Who hears nothing of most machines may be cut off itself, and a zone of which most is silent is
// cut off rather than dead: what runs there goes on, and returning it would end that.
Decision Monitor::may_declare_dead(const Moment& moment, const std::string& zone,
                                   const Census& census, Ms quiet) const {
  if (!census.all.mostly_responsive()) return {false, Reason::mostly_unresponsive, "", quiet};
  const bool patience_over = quiet > kZoneCutPatienceMs;
  const auto links = zones_.find(zone);
  if (links != zones_.end() && !links->second.usable(moment.now) && !patience_over) {
    for (const auto* entry : matrix_.fresh(moment.wall, kRowFreshMs)) {
      const auto theirs = entry->row.workers.find(zone);
      if (theirs != entry->row.workers.end() && theirs->second.reports == Status::up)
        return {false, Reason::peer_reaches, entry->row.controller,
                Matrix::age(moment.wall, entry->row)};
    }
  }
  // Guards against returning the last workers of a zone that is just coming back from a partition.
  const auto silent_at = mostly_unresponsive_at_.find(zone);
  const bool back_just_now =
      silent_at != mostly_unresponsive_at_.end() && moment.now - silent_at->second < kBackFromCutMs;
  if (census.zone(zone).mostly_responsive() && !back_just_now)
    return {true, Reason::mostly_responsive, "", quiet};
  return {patience_over, patience_over ? Reason::patience_over : Reason::mostly_unresponsive, "",
          quiet};
}

std::optional<std::string> Monitor::relay_to(const Moment& moment, const std::string& zone) const {
  std::optional<std::string> best;
  for (const auto* entry : matrix_.fresh(moment.wall, kRowFreshMs)) {
    const wire::LinkRow& row = entry->row;
    const auto hears_us = row.heard.find(settings_.name);
    if (!row.relays || peer(moment.now, row.controller) != Status::up) continue;
    if (hears_us == row.heard.end() || hears_us->second != Status::up) continue;
    if (!may_reach(row, zone)) continue;
    const auto links = row.workers.find(zone);
    const bool known = links != row.workers.end() && links->second.reports == Status::up;
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
  if (Matrix::age(moment.wall, entry->row) > kRowFreshMs) return false;
  if (peer(moment.now, owner) != Status::up) return false;
  const auto hears_us = entry->row.heard.find(settings_.name);
  if (hears_us == entry->row.heard.end() || hears_us->second != Status::up) return false;
  const auto links = entry->row.workers.find(zone);
  return links != entry->row.workers.end() &&
         (links->second.reports == Status::down || links->second.commands == Status::down);
}

}  // namespace scheduler::links
