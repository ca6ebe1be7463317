#include "workers/worker_links.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "wire/messages.h"
#include "workers/timing.h"

namespace scheduler {

namespace {

// Milliseconds for which commands to a worker are relayed after it left a direct command
// unanswered.
constexpr std::int64_t kRelayDurationMs = 15'000;

}  // namespace

links::Census WorkerLinks::take_census(Ms now) {
  links::Census census;
  std::map<std::string, std::size_t> expected_workers;
  for (const auto& [id, machine] : machines_) {
    if (machine.incarnation == 0 || machine.state != wire::MachineState::ready) continue;
    // Machines that are leaving, or that have not reached this controller yet, are not counted as
    // expected: their silence is no sign of a partition.
    if (machine.recorded && machine.heartbeat_answered) ++expected_workers[machine.zone];
    const bool silent = now - machine.last_contact > machines_.overdue_after() ||
                        machines_.heartbeats_missing(now, machine) ||
                        (machine.unreachable_since != 0 &&
                         now - machine.unreachable_since > machines_.unresponsive_after());
    census.all.add(!silent);
    census.zones[machine.zone].add(!silent);
    if (machines_.probed_early(machine))
      census.probed_early[machine.zone].add(now - machine.last_contact <=
                                            machines_.probe_after(machine));
  }
  links_.expect_workers(now, expected_workers);
  links_.record_census(now, census);
  return census;
}

void WorkerLinks::probe_workers(const std::vector<std::string>& addresses,
                                const std::function<void(Ms now, bool answered)>& done) {
  struct ProbeRound {
    std::size_t pending = 0;
    bool answered = false;
  };
  auto round = std::make_shared<ProbeRound>();
  round->pending = addresses.size();
  for (const auto& address : addresses) {
    context_.send_request(
        Target::worker, address, "GET", wire::kStatusPath, "", links::kProbeTimeoutMs,
        [this, round, done, pauses = status_.pauses()](Ms at, const HttpResult& http_result) {
          --round->pending;
          const bool answers =
              http_result.status == 200 && wire::parse_heartbeat(http_result.body).has_value();
          if (pauses != status_.pauses() || round->answered) return;
          round->answered = answers;
          if (answers || round->pending == 0) done(at, answers);
        });
  }
}

std::vector<std::string> WorkerLinks::sample_zone(const std::string& zone) {
  std::vector<std::string> sample;
  std::size_t matching = 0;
  for (const auto& [id, machine] : machines_) {
    if (machine.zone != zone || machine.incarnation == 0 || machine.address.empty() ||
        !machine.recorded || machine.state != wire::MachineState::ready)
      continue;
    ++matching;
    if (sample.size() < links::kProbeSampleSize) {
      sample.push_back(machine.address);
    } else if (const auto at = probe_random_(static_cast<std::uint32_t>(matching));
               at < sample.size()) {
      sample[at] = machine.address;
    }
  }
  return sample;
}

void WorkerLinks::probe_zones(Ms now) {
  if (!status_.ready() || status_.resynchronising(now)) return;
  for (const auto& [zone, zone_links] : links_.zones()) {
    if (!zone_links.probe_due(now)) continue;
    const std::vector<std::string> sample = sample_zone(zone);
    links_.zone(zone).probe_sent(now);
    if (sample.empty()) continue;
    probe_workers(sample, [this, zone = zone](Ms at, bool answered) {
      links::ZoneLinks& links = links_.zone(zone);
      answered ? links.answered(at) : links.on_sample_unanswered();
    });
  }
}

std::optional<std::string> WorkerLinks::relay_for(Ms now, const Machine& machine) const {
  if (!context_.settings.relays) return std::nullopt;
  const bool failed = machine.direct_command_failed_at != 0 &&
                      now - machine.direct_command_failed_at < kRelayDurationMs;
  const auto zone = links_.zones().find(machine.zone);
  const bool zone_down =
      zone != links_.zones().end() && zone->second.commands(now) == links::Status::down;
  if (!failed && !zone_down) return std::nullopt;
  return links_.relay_to(status_.moment(now), machine.zone);
}

bool WorkerLinks::may_be_reachable_by_relay(Ms now, const Machine& machine) const {
  return !machine.relayed_command_unanswered && relay_for(now, machine).has_value();
}

void WorkerLinks::redirect_heartbeat(Ms now, std::uint64_t request, const std::string& owner,
                                     const wire::Heartbeat& heartbeat, const std::string& body) {
  const bool forward = !Relay::is_relayed(request) &&
                       links_.should_forward(status_.moment(now), owner, heartbeat.zone) &&
                       !(links_.commands_arrive(owner, heartbeat.zone) &&
                         relay_.direct_attempt_due(now, owner, heartbeat.zone, heartbeat.machine));
  const bool sent =
      forward && relay_.send_heartbeat(now, status_.wall(now), owner, heartbeat.machine, body,
                                       [this, request](Ms, const HttpResult& http_result) {
                                         if (http_result.status == 200) {
                                           context_.reply(request, 200, http_result.body);
                                         } else {
                                           context_.reply_unavailable(request, kRetryAfterS);
                                         }
                                       });
  if (!sent) context_.reply(request, 421, wire::redirect_body(owner));
}

}  // namespace scheduler
