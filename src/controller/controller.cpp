#include "controller/controller.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <variant>

#include "base/log_event.h"
#include "controller/request_route.h"

namespace scheduler {

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

Context Controller::make_context() {
  return {settings_,
          capacity_,
          replica_,
          state_client_,
          cluster_view_,
          incarnation_,
          [this](Target target, std::string address, std::string method, std::string path,
                 std::string body, Ms timeout, ResultHandler done) {
            call(target, std::move(address), std::move(method), std::move(path), std::move(body),
                 timeout, std::move(done));
          },
          [this](LogLevel level, std::string text) { log(level, std::move(text)); },
          [this](Ms now) { return status_.can_write(now); },
          [this](std::uint64_t request, int status, std::string body, int retry_after_s) {
            reply(request, status, std::move(body), retry_after_s);
          }};
}

Controller::Controller(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      capacity_(capacity_of(settings_)),
      random_(seed),
      probe_random_(~seed),
      incarnation_(incarnation_name(seed)),
      state_client_(
          settings_,
          [this](Target target, std::string address, std::string method, std::string path,
                 std::string body, Ms timeout, ResultHandler done) {
            call(target, std::move(address), std::move(method), std::move(path), std::move(body),
                 timeout, std::move(done));
          },
          [this](Ms now, const wire::StoredItem& item) { on_record(now, item); },
          [this](LogLevel level, std::string text) { log(level, std::move(text)); }),
      cluster_view_(settings_),
      context_(make_context()),
      status_(context_),
      fleet_(context_),
      links_(monitor_settings(settings_), state_client_.link(), fleet_.cloud_link()),
      membership_manager_(context_, links_, [this](Ms now) { on_changes_applied(now); }),
      format_switch_(context_),
      machines_(context_),
      ranges_(context_, pass_trigger_),
      shard_records_(context_, machines_),
      gossiped_cancellations_(context_, machines_),
      reconciler_(context_, ranges_, failure_tracker_, shard_records_, gossiped_cancellations_),
      heartbeat_applier_(context_, machines_, reconciler_, shard_records_, pass_trigger_),
      relay_(
          context_,
          [this](const std::string& peer, std::string bytes) {
            send_to_peer(peer, std::move(bytes));
          },
          [this](Ms now, std::uint64_t request, const std::string& body) {
            heartbeats_.on_heartbeat(now, request, body);
          }),
      worker_links_(context_, status_, machines_, links_, relay_, probe_random_),
      reachability_(context_, status_, links_, worker_links_, probe_random_),
      command_planner_(context_, machines_, ranges_, reconciler_, gossiped_cancellations_),
      commands_(context_, status_, machines_, command_planner_, reconciler_, heartbeat_applier_,
                links_, worker_links_, relay_),
      heartbeats_(context_, status_, machines_, heartbeat_applier_, command_planner_, commands_,
                  worker_links_, links_),
      machine_monitor_(context_, status_, machines_, ranges_, shard_records_, commands_,
                       worker_links_, links_, pass_trigger_),
      candidate_cache_(context_, machines_, ranges_),
      planner_(context_, status_),
      service_reserve_(context_),
      quota_(context_, status_, ranges_, service_reserve_, pass_trigger_),
      scheduler_(context_, status_, machines_, ranges_, candidate_cache_, planner_, quota_,
                 service_reserve_, failure_tracker_, pass_trigger_, random_),
      waiting_requests_(context_),
      job_reader_(context_, status_, waiting_requests_),
      submission_(context_, status_, job_reader_, waiting_requests_, planner_),
      cancellation_(context_, job_reader_, waiting_requests_, machines_),
      completion_(context_, planner_, failure_tracker_),
      health_(context_, status_, links_),
      request_log_(context_),
      gossip_(context_, status_, links_, machines_, candidate_cache_, gossiped_cancellations_,
              [this](const std::string& peer, const std::string& bytes) {
                send_to_peer(peer, bytes);
              }) {}

// ---- inputs ----

void Controller::start(Ms now, Ms wall) {
  status_.start(now, wall);
  state_client_.start(now);
}

void Controller::tick(Ms now, Ms wall) {
  observe_input(now);
  status_.set_wall_clock(now, wall);
  state_client_.tick(now);
  links_.tick(now);
  relay_.tick(now);
  update_membership(now);
  on_changes_applied(now);
  machine_monitor_.tick(now);
  worker_links_.probe_zones(now);
  shard_records_.write(now);
  quota_.tick(now);
  scheduler_.tick(now);
  completion_.tick(now);
  cancellation_.tick(now);
  fleet_.tick(now);
  gossip_.tick(now);
}

Ms Controller::next_tick(Ms now) const {
  return scheduler_.next_tick(now, state_client_.next_tick(now));
}

void Controller::on_request(Ms now, std::uint64_t request, const Request& http_request) {
  observe_input(now);
  const RequestRoute route = route_of(http_request);
  switch (route.operation) {
    case Operation::heartbeat:
      heartbeats_.on_heartbeat(now, request, http_request.body);
      break;
    case Operation::health:
      health_.on_health(now, request);
      break;
    case Operation::submit:
      request_log_.on_request(now, request, "submit");
      submission_.on_submit(now, request, http_request.body);
      break;
    case Operation::poll:
      request_log_.on_request(now, request, "poll");
      job_reader_.on_poll(now, request, route.job);
      break;
    case Operation::cancel:
      request_log_.on_request(now, request, "cancel");
      cancellation_.on_cancel(now, request, route.job);
      break;
    case Operation::method_not_allowed:
      context_.reply(request, 405, wire::error_body("method not allowed"));
      break;
    case Operation::no_such_path:
      context_.reply(request, 404, wire::error_body("no such path"));
      break;
    case Operation::no_such_job:
      context_.reply(request, 404, wire::error_body("no such job"));
      break;
  }
  scheduler_.run_if_requested(now);
}

void Controller::on_result(Ms now, std::uint64_t id, const HttpResult& http_result) {
  observe_input(now);
  const auto handler = handlers_.find(id);
  if (handler == handlers_.end()) return;
  const ResultHandler done = std::move(handler->second);
  handlers_.erase(handler);
  done(now, http_result);
  on_changes_applied(now);
  scheduler_.run_if_requested(now);
}

void Controller::on_peer_message(Ms now, std::string_view bytes) {
  observe_input(now);
  const auto message = wire::decode<wire::PeerMessage>(bytes);
  if (!message) {
    log(LogLevel::info, "unreadable message from a peer");
    return;
  }
  if (const auto* gossip = std::get_if<wire::GossipMessage>(&*message)) {
    if (is_peer(gossip->from)) gossip_.on_message(now, *gossip);
  } else if (const auto* request = std::get_if<wire::RelayRequest>(&*message)) {
    if (settings_.relays && is_peer(request->from))
      relay_.on_request(now, status_.wall(now), *request);
  } else if (const auto* reply = std::get_if<wire::RelayReply>(&*message)) {
    relay_.on_reply(now, *reply);
  }
}

bool Controller::is_peer(const std::string& name) const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                     [&name](const Peer& peer) { return peer.name == name; });
}

// ---- process pauses ----

void Controller::observe_input(Ms now) {
  if (const auto gap = status_.observe_input(now)) on_pause(now, *gap);
}

// Discards everything that may have become outdated during the pause. Without this, the controller
// would take its own pause for missing heartbeats of workers and peers. Also, another controller
// may have taken over and renewed leases of workers, the view may have been replaced, and replies
// that arrived during the pause are as old as the pause is long.
void Controller::on_pause(Ms now, Ms gap) {
  log(LogLevel::info, "process was paused for " + std::to_string(gap) + " ms");
  const std::uint64_t pause = status_.begin_resynchronising(now);
  state_client_.on_pause(now);
  membership_manager_.on_pause();
  links_.on_pause(now);
  reachability_.on_pause(now, machines_.unresponsive_after());
  machine_monitor_.on_pause(now);
  fleet_.on_pause(now, gap);
  wait_until_resynchronised(now, pause);
}

void Controller::wait_until_resynchronised(Ms now, std::uint64_t pause) {
  state_client_.barrier_read(now, 0, [this, pause](Ms at, bool ok) {
    if (pause != status_.pauses()) return;
    if (!ok) {
      wait_until_resynchronised(at, pause);
      return;
    }
    status_.finish_resynchronising();
    pass_trigger_.request();
  });
}

// ---- outputs ----

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
  request_log_.on_reply(status_.last_input_at(), request, status);
  out_.replies.push_back({request, status, std::move(body), retry_after_s});
}

void Controller::send_to_peer(const std::string& peer, std::string bytes) {
  out_.peers.push_back({peer, std::move(bytes)});
}

void Controller::log(LogLevel level, std::string text) {
  out_.logs.push_back({level, std::move(text)});
}

std::string Controller::status_line(Ms now) const {
  std::size_t placed = 0;
  double cpus = 0;
  double free = 0;
  for (const auto& [id, machine] : machines_) {
    placed += replica_.placed_on(id).size();
    const auto* type = replica_.type(machine.type);
    if (!type || !machines_.usable(now, machine)) continue;
    cpus += type->cpus;
    free += std::max(0.0, candidate_cache_.candidate(now, machine).free.cpus);
  }
  return "epoch " + std::to_string(cluster_view_.epoch()) + (ready() ? " ready" : " not ready") +
         (state_client_.answering(now) ? "" : ", state silent") + ", jobs " +
         std::to_string(replica_.jobs().size()) + ", machines " + std::to_string(machines_.size()) +
         "/" + std::to_string(replica_.machines().size()) + ", placed " + std::to_string(placed) +
         ", CPUs free " + std::to_string(std::lround(free)) + "/" +
         std::to_string(std::lround(cpus)) + ", ranges being written " +
         std::to_string(ranges_.writes_in_flight()) + ", quotas being written " +
         std::to_string(quota_.writes_in_flight()) + ", queued writes " +
         std::to_string(state_client_.queued()) + ", over size " +
         std::to_string(state_client_.rejections()) + ", over rate " +
         std::to_string(state_client_.throttles()) + ", replies delayed " +
         std::to_string(job_reader_.delayed_reply_count());
}

// ---- changes of the records ----

void Controller::on_record(Ms now, const wire::StoredItem& item) {
  if (!replica_.apply(item)) log(LogLevel::error, "unreadable record " + item.key);
  // Each view is processed individually: of two views in one batch, the first may assign a machine
  // to another controller and the second may assign it back.
  if (item.key == wire::kViewKey) on_view(now);
  if (item.key == wire::kCatalogKey) candidate_cache_.invalidate_all_remote_candidates();
}

bool Controller::owns_machine(const std::string& machine, const std::string& zone) const {
  return cluster_view_.machine_owner(machine, zone) == settings_.name;
}

void Controller::on_changes_applied(Ms now) {
  if (!state_client_.loaded()) return;  // changes are processed once all records have been read
  replica_.take_view_changed();
  for (const auto& id : replica_.take_changed_machines()) on_machine_changed(now, id);
  bool check_cancellations = false;
  for (const auto& id : replica_.take_changed_jobs()) {
    pass_trigger_.request();
    completion_.check(id);
    gossip_.remember_cancellation(now, id);
    check_cancellations = check_cancellations || cancellation_.has_pending_request(id);
  }
  if (check_cancellations) cancellation_.tick(now);
}

void Controller::on_machine_changed(Ms now, const std::string& id) {
  pass_trigger_.request();
  candidate_cache_.invalidate_remote_candidate(id);
  auto machine = machines_.find(id);
  const auto* record = replica_.machine(id);
  if (machine == machines_.end() && record && ready() && owns_machine(id, record->zone))
    machine = machines_.add(now, id);
  if (machine == machines_.end()) return;
  Machine& m = machine->second;
  m.candidate_valid = false;
  machines_.refresh_from_records(m);
  reconciler_.reconcile(now, m);
  commands_.send(now, m);
}

void Controller::on_view(Ms now) {
  const auto& view = replica_.view();
  if (cluster_view_.has_view() && view.epoch == cluster_view_.epoch()) return;
  const bool views_skipped = view.epoch != cluster_view_.epoch() + 1;
  candidate_cache_.invalidate_all_remote_candidates();
  planner_.on_view_changed();
  cluster_view_.update(view);
  state_client_.set_live_controllers(static_cast<int>(std::max<std::size_t>(1, view.live.size())));
  log_view(views_skipped);
  update_shard(now, views_skipped);
  worker_links_.take_census(now);  // the shard of this controller has changed
  candidate_cache_.recount_remote_reservations();
  for (const auto& [id, job] : replica_.jobs())
    completion_.check(id);  // the job's leader may have changed
  pass_trigger_.request();
}

void Controller::log_view(bool views_skipped) {
  const std::uint64_t epoch = cluster_view_.epoch();
  std::string names;
  for (const auto& name : cluster_view_.live()) names += " " + name;
  log(LogLevel::info, "view " + std::to_string(epoch) + ":" + names);
  if (!context_.logs_debug()) return;
  LogEvent event("view");
  event.field("epoch", epoch).field("token", ClusterView::token(epoch, 0));
  event.field("revision", state_client_.version(std::string(wire::kViewKey)));
  event.field("applied", state_client_.applied_revision());
  event.field("skipped", static_cast<int>(views_skipped));
  log(LogLevel::debug, event.text());
}

void Controller::update_shard(Ms now, bool views_skipped) {
  const bool member = context_.is_member();
  for (auto machine = machines_.begin(); machine != machines_.end();) {
    Machine& m = machine->second;
    const bool owned = member && owns_machine(m.id, m.zone);
    if (!owned || views_skipped) ranges_.discard_unrecorded_releases(m.id);
    if (!owned) {
      machine = machines_.erase(machine);
      continue;
    }
    if (views_skipped) {  // another controller may have owned the machine meanwhile
      m.candidate_valid = false;
      m.owned_since_epoch = cluster_view_.epoch();
      m.token_confirmed = false;
      m.lease_known = false;
    }
    ++machine;
  }
  if (!member) return;
  for (const auto& [id, record] : replica_.machines())
    if (!machines_.contains(id) && owns_machine(id, record.zone)) machines_.add(now, id);
}

void Controller::update_membership(Ms now) {
  if (!state_client_.loaded()) return;
  membership_manager_.tick(now);
  if (!ready()) return;
  format_switch_.tick(now);
  reachability_.tick(now);
}

}  // namespace scheduler
