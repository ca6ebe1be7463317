// Links between this controller and its workers: what shows that they work, and what becomes of the
// machines when they don't.
#include <algorithm>
#include <memory>

#include "base/log_event.h"
#include "base/types.h"
#include "controller/controller.h"
#include "state/state_client.h"

namespace scheduler {

namespace {

// Milliseconds for which commands to a worker that left a direct one unanswered are passed on.
constexpr std::int64_t kRelayForMs = 15'000;

}  // namespace

namespace {
constexpr std::size_t kProbesGivenUp = 3;  // workers asked at once after the machines were given up
}  // namespace

links::Census Controller::take_census(Ms now) {
  links::Census census;
  std::map<std::string, std::size_t> reporting;
  for (const auto& [id, m] : machines_) {
    if (m.incarnation == 0 || m.state != wire::MachineState::ready) continue;
    // Guards against taking machines that are on their way out, or that have not found us yet, for
    // a sign that we are cut off.
    if (m.recorded && m.heartbeat_answered) ++reporting[m.zone];
    const bool silent =
        now - m.last_contact > overdue_after() || heartbeats_missing(now, m) ||
        (m.unreachable_since != 0 && now - m.unreachable_since > unresponsive_after());
    census.all.add(!silent);
    census.zones[m.zone].add(!silent);
    if (probed_early(m)) census.probed_early[m.zone].add(now - m.last_contact <= probe_after(m));
  }
  links_.expect_workers(now, reporting);
  links_.note_census(now, census);
  return census;
}

void Controller::probe_workers(const std::vector<std::string>& addresses,
                               const std::function<void(Ms now, bool answered)>& done) {
  struct Round {
    std::size_t open = 0;
    bool answered = false;
  };
  auto round = std::make_shared<Round>();
  round->open = addresses.size();
  for (const auto& address : addresses) {
    call(Target::worker, address, "GET", wire::kStatusPath, "", links::kProbeTimeoutMs,
         [this, round, done, pauses = pauses_](Ms at, const HttpResult& http_result) {
           --round->open;
           const bool answers =
               http_result.status == 200 && wire::parse_heartbeat(http_result.body).has_value();
           if (pauses != pauses_ || round->answered) return;
           round->answered = answers;
           if (answers || round->open == 0) done(at, answers);
         });
  }
}

void Controller::probe_zones(Ms now) {
  if (!ready() || resynchronising(now)) return;
  for (const auto& [zone, known] : links_.zones()) {
    if (!known.probe_due(now)) continue;
    std::vector<std::string> sample;
    std::size_t seen = 0;
    for (const auto& [id, m] : machines_) {
      if (m.zone != zone || m.incarnation == 0 || m.address.empty() || !m.recorded ||
          m.state != wire::MachineState::ready)
        continue;
      ++seen;
      if (sample.size() < links::kProbedAtOnce) {
        sample.push_back(m.address);
      } else if (const auto at = probe_random_(static_cast<std::uint32_t>(seen));
                 at < sample.size()) {
        sample[at] = m.address;
      }
    }
    links_.zone(zone).probe_sent(now);
    if (sample.empty()) continue;
    probe_workers(sample, [this, zone = zone](Ms at, bool answered) {
      links::ZoneLinks& links = links_.zone(zone);
      answered ? links.answered(at) : links.sample_unanswered();
    });
  }
}

void Controller::update_reachability(Ms now) {
  if (reachability_write_in_flight_ || now < next_reachability_check_ || !can_write(now)) return;
  // Guards against taking workers that report to their new owner already for a link that is down.
  if (newest_epoch_seen_ > cluster_view_.epoch()) return;
  if (replica_.view().unreachable.contains(settings_.name)) {
    reclaim_shard(now);
    return;
  }
  std::vector<std::string> others = cluster_view_.owners();
  std::erase(others, settings_.name);
  const links::Decision decision = links_.may_keep_machines(moment(now), others);
  if (decision.allowed) return;
  log_decision("keep_machines", decision);
  log(LogLevel::info, "no machine reaches us; giving ours up");
  links_.on_machines_given_up(now);
  set_unreachable(true);
}

// Asks machines that would be ours, in our own zone if there are any.
void Controller::reclaim_shard(Ms now) {
  next_reachability_check_ = now + links::kWorkerProbeMs;
  std::vector<std::string> near, all;
  for (const auto& [id, record] : replica_.machines()) {
    if (record.incarnation == 0 || record.address.empty() ||
        record.state != wire::MachineState::ready)
      continue;
    (record.zone == settings_.zone ? near : all).push_back(record.address);
  }
  auto& from = near.empty() ? all : near;
  if (from.empty()) {
    set_unreachable(false);
    return;
  }
  std::vector<std::string> sample;
  while (sample.size() < kProbesGivenUp && !from.empty()) {
    const auto at = probe_random_(static_cast<std::uint32_t>(from.size()));
    sample.push_back(std::move(from[at]));
    from.erase(from.begin() + at);
  }
  probe_workers(sample, [this](Ms at, bool answered) {
    links_.probed_while_given_up(at, answered);
    const links::Decision decision = links_.may_reclaim_machines(at);
    if (!answered || !decision.allowed || !ready() ||
        !replica_.view().unreachable.contains(settings_.name))
      return;
    log_decision("take_machines_back", decision);
    log(LogLevel::info, "machines reach us again");
    set_unreachable(false);
  });
}

void Controller::set_unreachable(bool unreachable) {
  if (reachability_write_in_flight_) return;
  reachability_write_in_flight_ = true;
  wire::ViewRecord next = replica_.view();
  ++next.epoch;
  if (unreachable) {
    next.unreachable.insert(settings_.name);
  } else {
    next.unreachable.erase(settings_.name);
  }
  Transaction t;
  t.conditions = {view_unchanged()};
  t.writes = {{std::string(wire::kViewKey), encode(next), std::nullopt}};
  t.urgent = true;
  t.done = [this](Ms at, TxnResult, const auto&) {
    state_client_.wait_until_settled(at, [this](Ms) { reachability_write_in_flight_ = false; });
  };
  state_client_.submit(std::move(t));
}

void Controller::log_decision(std::string_view subject, const links::Decision& decision) {
  LogEvent event("decision");
  event.field("subject", subject).field("allowed", static_cast<int>(decision.allowed));
  event.field("reason", links::name(decision.reason));
  if (!decision.through.empty()) event.field("through", decision.through);
  event.field("evidence_age_ms", decision.evidence_age_ms);
  log(LogLevel::info, event.text());
}

std::optional<std::string> Controller::relay_for(Ms now, const Machine& m) const {
  if (!settings_.relays) return std::nullopt;
  const bool failed =
      m.direct_command_failed_at != 0 && now - m.direct_command_failed_at < kRelayForMs;
  const auto zone = links_.zones().find(m.zone);
  const bool zone_down =
      zone != links_.zones().end() && zone->second.commands(now) == links::Status::down;
  if (!failed && !zone_down) return std::nullopt;
  return links_.relay_to(moment(now), m.zone);
}

// Guards against returning a machine that is there because our own link to it is down: a peer that
// may reach it is asked first (indirect probes, after SWIM: Das, Gupta and Motivala, 2002).
bool Controller::may_be_reached(Ms now, const Machine& m) const {
  return !m.relayed_command_unanswered && relay_for(now, m).has_value();
}

// A worker that belongs to another controller reports here. Most have only not heard of their owner
// yet; those that it can't hear are answered for it.
void Controller::redirect_heartbeat(Ms now, std::uint64_t request, const std::string& owner,
                                    const wire::Heartbeat& heartbeat, const std::string& body) {
  const bool forward = !Relay::is_relayed(request) &&
                       links_.should_forward(moment(now), owner, heartbeat.zone) &&
                       !(links_.commands_arrive(owner, heartbeat.zone) &&
                         relay_.direct_attempt_due(now, owner, heartbeat.zone, heartbeat.machine));
  const bool sent =
      forward && relay_.send_heartbeat(now, now + wall_offset_, owner, heartbeat.machine, body,
                                       [this, request](Ms, const HttpResult& http_result) {
                                         if (http_result.status == 200) {
                                           reply(request, 200, http_result.body);
                                         } else {
                                           reply_unavailable(request, kRetryAfterS);
                                         }
                                       });
  if (!sent) reply(request, 421, wire::redirect_body(owner));
}

}  // namespace scheduler
