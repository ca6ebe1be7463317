#include "controller/controller.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cmath>
#include <cstdio>

#include "base/log_event.h"
#include "controller/gossip.h"

namespace scheduler {

namespace {

// Milliseconds between scheduling passes at most, for what becomes possible by time alone.
constexpr std::int64_t kIdlePassMs = 200;

}  // namespace

namespace {

std::string incarnation_name(std::uint64_t seed) {
  std::array<char, 20> name{};
  std::snprintf(name.data(), name.size(), "%016" PRIx64, seed);
  return name.data();
}

links::MonitorSettings monitor_settings(const Settings& settings) {
  links::MonitorSettings out;
  out.name = settings.name;
  for (const auto& peer : settings.peers) out.peers.push_back(peer.name);
  out.heartbeat_interval = to_ms(settings.heartbeat_interval_s);
  out.gossip_interval = kGossipIntervalMs;
  out.relays = settings.relays;
  return out;
}

}  // namespace

Controller::Controller(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      capacity_(capacity_of(settings_)),
      random_(seed),
      probe_random_(~seed),
      incarnation_(incarnation_name(seed)),
      state_client_(
          settings_,
          [this](Target t, std::string a, std::string m, std::string p, std::string b, Ms timeout,
                 ResultHandler done) {
            call(t, std::move(a), std::move(m), std::move(p), std::move(b), timeout,
                 std::move(done));
          },
          [this](Ms now, const wire::StoredItem& item) { on_record(now, item); },
          [this](LogLevel level, std::string text) { log(level, std::move(text)); }),
      cluster_view_(settings_),
      context_{settings_,
               capacity_,
               replica_,
               state_client_,
               cluster_view_,
               incarnation_,
               [this](Target target, std::string address, std::string method, std::string path,
                      std::string body, Ms timeout, ResultHandler done) {
                 call(target, std::move(address), std::move(method), std::move(path),
                      std::move(body), timeout, std::move(done));
               },
               [this](LogLevel level, std::string text) { log(level, std::move(text)); },
               [this](Ms now) { return can_write(now); }},
      fleet_(context_),
      links_(monitor_settings(settings_), state_client_.link(), fleet_.cloud_link()),
      membership_manager_(context_, links_, [this](Ms now) { on_changes_applied(now); }),
      relay_(
          context_,
          [this](const std::string& peer, std::string bytes) {
            out_.peers.push_back({peer, std::move(bytes)});
          },
          [this](Ms now, std::uint64_t request, const std::string& body) {
            on_heartbeat(now, request, body);
          }),
      format_switch_(settings_) {}

void Controller::start(Ms now, Ms wall) {
  wall_offset_ = wall - now;
  last_input_at_ = now;
  state_client_.start(now);
}

void Controller::tick(Ms now, Ms wall) {
  detect_pause(now);
  wall_offset_ = wall - now;
  state_client_.tick(now);
  links_.tick(now);
  relay_.tick(now);
  update_membership(now);
  on_changes_applied(now);
  check_machines(now);
  probe_zones(now);
  write_shard_records(now);
  update_quota_leases(now);
  if (now >= schedule_after_ + (dirty_ ? 0 : kIdlePassMs)) schedule(now);
  finish_jobs(now);
  reply_to_cancellations(now);
  fleet_.tick(now);
  gossip(now);
}

Ms Controller::next_tick(Ms now) const {
  const Ms at = state_client_.next_tick(now);
  return dirty_ ? std::min(at, std::max(schedule_after_, now)) : at;
}

void Controller::on_request(Ms now, std::uint64_t request, const Request& r) {
  detect_pause(now);
  const std::string path = r.path.substr(0, r.path.find('?'));
  const bool get = r.method == "GET", post = r.method == "POST";
  auto method_error = [&] { reply(request, 405, wire::error_body("method not allowed")); };
  if (path == wire::kHeartbeatPath) {
    post ? on_heartbeat(now, request, r.body) : method_error();
  } else if (path == wire::kHealthPath) {
    get ? on_health(now, request) : method_error();
  } else if (path == wire::kJobsPath) {
    track_request(now, request, "submit");
    post ? on_submit(now, request, r.body) : method_error();
  } else if (path.starts_with(std::string(wire::kJobsPath) + "/")) {
    std::string id = path.substr(std::string_view(wire::kJobsPath).size() + 1);
    const bool cancel = id.ends_with(wire::kCancelSuffix);
    if (cancel) id.resize(id.size() - std::string_view(wire::kCancelSuffix).size());
    if (id.find('/') != std::string::npos) {
      reply(request, 404, wire::error_body("no such path"));
    } else if (cancel ? !post : !get) {
      method_error();
    } else if (!wire::valid_job_id(id)) {
      reply(request, 404, wire::error_body("no such job"));
    } else {
      track_request(now, request, cancel ? "cancel" : "poll");
      cancel ? on_cancel(now, request, id, 0) : on_poll(now, request, id);
    }
  } else {
    reply(request, 404, wire::error_body("no such path"));
  }
  if (dirty_ && now >= schedule_after_) schedule(now);
}

void Controller::on_result(Ms now, std::uint64_t id, const HttpResult& http_result) {
  detect_pause(now);
  auto it = handlers_.find(id);
  if (it == handlers_.end()) return;
  ResultHandler done = std::move(it->second);
  handlers_.erase(it);
  done(now, http_result);
  on_changes_applied(now);
  if (dirty_ && now >= schedule_after_) schedule(now);
}

void Controller::call(Target target, std::string address, std::string method, std::string path,
                      std::string body, Ms timeout, ResultHandler done) {
  const std::uint64_t id = next_call_++;
  handlers_.emplace(id, std::move(done));
  out_.calls.push_back({id, target, std::move(address), std::move(method), std::move(path),
                        std::move(body), timeout});
}

void Controller::reply(std::uint64_t request, int status, std::string body, int retry_after_s) {
  if (Relay::is_relayed(request)) {
    relay_.reply_to_heartbeat(request, status, body);
    return;
  }
  log_reply(request, status);
  out_.replies.push_back({request, status, std::move(body), retry_after_s});
}

void Controller::track_request(Ms now, std::uint64_t request, std::string_view kind) {
  if (logs_debug()) user_requests_[request] = {kind, now};
}

void Controller::log_reply(std::uint64_t request, int status) {
  const auto asked = user_requests_.find(request);
  if (asked == user_requests_.end()) return;
  LogEvent event("reply");
  event.field("request", asked->second.kind).field("status", status);
  event.field("took_ms", last_input_at_ - asked->second.asked_at);
  log(LogLevel::debug, event.text());
  user_requests_.erase(asked);
}

void Controller::log(LogLevel level, std::string text) {
  out_.logs.push_back({level, std::move(text)});
}

bool Controller::ready() const {
  return state_client_.loaded() && view_known_ && membership_manager_.is_member();
}

const Team* Controller::team(const std::string& name) const {
  for (const auto& t : settings_.teams)
    if (t.name == name) return &t;
  return nullptr;
}

std::string Controller::status_line(Ms now) const {
  std::size_t placed = 0;
  double cpus = 0, free = 0;
  for (const auto& [id, m] : machines_) {
    placed += replica_.placed_on(id).size();
    const auto* type = replica_.type(m.type);
    if (!type || !usable(now, m)) continue;
    cpus += type->cpus;
    free += std::max(0.0, candidate(now, m).cpus);
  }
  const auto busy = std::count_if(range_states_.begin(), range_states_.end(), [](const auto& w) {
    return w.second.busy || w.second.write_uncertain;
  });
  const auto quotas = std::count_if(quota_write_in_flight_.begin(), quota_write_in_flight_.end(),
                                    [](const auto& q) { return q.second; });
  return "epoch " + std::to_string(cluster_view_.epoch()) + (ready() ? " ready" : " not ready") +
         (state_client_.answering(now) ? "" : ", state silent") + ", jobs " +
         std::to_string(replica_.jobs().size()) + ", machines " + std::to_string(machines_.size()) +
         "/" + std::to_string(replica_.machines().size()) + ", placed " + std::to_string(placed) +
         ", CPUs free " + std::to_string(std::lround(free)) + "/" +
         std::to_string(std::lround(cpus)) + ", ranges being written " + std::to_string(busy) +
         ", quotas being written " + std::to_string(quotas) + ", queued writes " +
         std::to_string(state_client_.queued()) + ", over size " +
         std::to_string(state_client_.rejections()) + ", over rate " +
         std::to_string(state_client_.throttles()) + ", answers held " +
         std::to_string(replies_delayed_);
}

// ---- changes ----

void Controller::on_record(Ms now, const wire::StoredItem& item) {
  if (!replica_.apply(item)) log(LogLevel::error, "unreadable record " + item.key);
  // Each view is acted on by itself: two in one batch may take a machine away and give it back.
  if (item.key == wire::kViewKey) on_view(now);
  if (item.key == wire::kCatalogKey) remote_candidates_.clear();
}

void Controller::on_changes_applied(Ms now) {
  if (!state_client_.loaded()) return;  // they are looked at when all is known
  replica_.take_view_changed();
  for (const auto& id : replica_.take_changed_machines()) {
    dirty_ = true;
    remote_candidates_.erase(id);
    auto it = machines_.find(id);
    const auto* record = replica_.machine(id);
    if (it == machines_.end() && record && ready() &&
        cluster_view_.machine_owner(id, record->zone) == settings_.name)
      it = add_machine(now, id);
    if (it == machines_.end()) continue;
    Machine& m = it->second;
    m.candidate_known = false;
    refresh_from_records(m);
    reconcile(now, m);
    send_commands(now, m);
  }
  bool cancelling = false;
  for (const auto& id : replica_.take_changed_jobs()) {
    dirty_ = true;
    jobs_to_check_.insert(id);
    remember_cancellation(now, id);
    cancelling = cancelling || pending_cancellations_.contains(id);
  }
  if (cancelling) reply_to_cancellations(now);
}

// A machine that is recorded and of our part.
std::map<std::string, Controller::Machine>::iterator Controller::add_machine(
    Ms now, const std::string& id) {
  auto it = machines_.try_emplace(id).first;
  Machine& m = it->second;
  m.id = id;
  m.owned_since_epoch = cluster_view_.epoch();
  m.last_contact = m.last_heartbeat = now;  // no verdict before it had time to reach us
  refresh_from_records(m);
  return it;
}

// What we held for proven of a machine's tasks and have not recorded. Guards against a controller
// back from a cut that frees what its count of a lease said, while the next owner kept that lease:
// the task ran on, and was started elsewhere. The owner of now proves it again.
void Controller::discard_unrecorded_releases(const std::string& machine) {
  for (const TaskRef& ref : replica_.placed_on(machine)) {
    if (auto w = range_states_.find(ref.range); w != range_states_.end())
      w->second.released.erase(ref.index);
  }
}

void Controller::on_view(Ms now) {
  const auto& view = replica_.view();
  if (view_known_ && view.epoch == known_epoch_) return;
  const bool skipped = view.epoch != known_epoch_ + 1;
  known_epoch_ = view.epoch;
  view_known_ = true;
  remote_candidates_.clear();
  shard_machines_at_ = 0;
  cluster_view_.update(view);
  state_client_.set_rate_sharers(static_cast<int>(std::max<std::size_t>(1, view.live.size())));
  std::string names;
  for (const auto& n : cluster_view_.live()) names += " " + n;
  log(LogLevel::info, "view " + std::to_string(view.epoch) + ":" + names);
  if (logs_debug()) {
    LogEvent event("view");
    event.field("epoch", view.epoch).field("token", ClusterView::token(view.epoch, 0));
    event.field("revision", state_client_.version(std::string(wire::kViewKey)));
    event.field("watched", state_client_.applied_revision())
        .field("skipped", static_cast<int>(skipped));
    log(LogLevel::debug, event.text());
  }
  const bool member = membership_manager_.is_member();
  for (auto it = machines_.begin(); it != machines_.end();) {
    const bool ours =
        member && cluster_view_.machine_owner(it->first, it->second.zone) == settings_.name;
    if (!ours || skipped) discard_unrecorded_releases(it->first);
    if (!ours) {
      it = machines_.erase(it);
      continue;
    }
    if (skipped) {  // may have been another's in between
      it->second.candidate_known = false;
      it->second.owned_since_epoch = view.epoch;
      it->second.token_confirmed = false;
      it->second.lease_known = false;
    }
    ++it;
  }
  if (member) {
    for (const auto& [id, record] : replica_.machines()) {
      if (!machines_.contains(id) && cluster_view_.machine_owner(id, record.zone) == settings_.name)
        add_machine(now, id);
    }
  }
  take_census(now);  // of the part that is ours now
  recount_remote_reservations();
  for (const auto& [id, job] : replica_.jobs())
    jobs_to_check_.insert(id);  // its coordinator may be new
  dirty_ = true;
}

// ---- membership ----

void Controller::update_membership(Ms now) {
  if (!state_client_.loaded()) return;
  membership_manager_.tick(now);
  if (!ready()) return;
  switch_format(now);
  update_reachability(now);
}

}  // namespace scheduler
