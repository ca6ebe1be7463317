#include "controller/gossip.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace scheduler {

namespace {

// Milliseconds for which a recorded cancellation is included in gossip messages, for controllers
// that can't read the records. After about this long, the workers of a partitioned controller have
// switched to another one.
constexpr std::int64_t kGossipCancellationMaxAgeMs = 60'000;
// Maximum number of recently cancelled jobs that are remembered and named in a gossip message.
constexpr std::size_t kMaxRecentCancellations = 32;

std::string_view status_name(links::Status status) {
  switch (status) {
    case links::Status::up:
      return "up";
    case links::Status::down:
      return "down";
    case links::Status::unknown:
      break;
  }
  return "unknown";
}

// Builds the link row of a sender whose version includes no rows in its gossip messages.
wire::LinkRow row_without_links(const wire::GossipMessage& gossip_message) {
  wire::LinkRow row;
  row.controller = gossip_message.from;
  row.as_of_ms = gossip_message.sent_ms;
  row.state = gossip_message.state_service_answers ? links::Status::up : links::Status::down;
  return row;
}

}  // namespace

wire::GossipMessage Gossip::make_message(Ms now) {
  wire::GossipMessage message;
  message.from = context_.settings.name;
  message.incarnation = context_.incarnation;
  message.epoch = std::max(context_.cluster_view.epoch(), status_.newest_epoch_seen());
  message.state_service_answers = context_.state_client.loaded() &&
                                  context_.state_client.answering(now) && status_.resynchronised();
  for (const auto& [id, machine] : machines_) {
    if (machines_.usable(now, machine))
      message.free_cpus += std::max(0.0, candidate_cache_.candidate(now, machine).free.cpus);
  }
  message.sent_ms = static_cast<std::uint64_t>(status_.wall(now));
  message.links = links_.rows_to_gossip(status_.moment(now));
  // The state service answers, but this controller has not read all its records yet or has not
  // resynchronised after a pause.
  if (!message.state_service_answers && message.links.front().state == links::Status::up)
    message.links.front().state = links::Status::unknown;
  return message;
}

void Gossip::tick(Ms now) {
  if (now < next_gossip_) return;
  next_gossip_ = now + kGossipIntervalMs;
  wire::GossipMessage message = make_message(now);
  log_link_changes(message.links.front());
  message.cancelled = recent_cancellations(now);
  std::string bytes = encode(message);
  if (bytes.size() > wire::kMaxGossipBytes) {
    // With many controllers or zones the message is too large: only this controller's row is sent.
    message.links.resize(1);
    bytes = encode(message);
  }
  for (const Peer& peer : context_.settings.peers) send_(peer.name, bytes);
}

std::vector<std::string> Gossip::recent_cancellations(Ms now) {
  std::erase_if(cancelled_at_,
                [now](const auto& c) { return now - c.second > kGossipCancellationMaxAgeMs; });
  const auto rows = links_.matrix().fresh(status_.wall(now), links::kStateRowMaxAgeMs);
  const bool some_peer_without_state = std::any_of(rows.begin(), rows.end(), [](const auto* entry) {
    return entry->row.state == links::Status::down;
  });
  std::vector<std::string> jobs;
  if (!some_peer_without_state || !context_.state_client.answering(now)) return jobs;
  for (const auto& [job, at] : cancelled_at_) {
    if (jobs.size() < kMaxRecentCancellations) jobs.push_back(job);
  }
  return jobs;
}

void Gossip::remember_cancellation(Ms now, const std::string& id) {
  const Job* job = context_.replica.job(id);
  const auto* final_state = context_.replica.final_state(id);
  if (!(job && job->record.cancelled) && !(final_state && !final_state->done)) return;
  if (cancelled_at_.size() < kMaxRecentCancellations) cancelled_at_.try_emplace(id, now);
}

void Gossip::log_link_changes(const wire::LinkRow& row) {
  const auto log_if_changed = [this](std::string_view link, links::Status before,
                                     links::Status status) {
    if (before == status) return;
    LogEvent event("link");
    event.field("link", link)
        .field("status", status_name(status))
        .field("before", status_name(before));
    context_.log(LogLevel::info, event.text());
  };
  log_if_changed("state", last_sent_row_.state, row.state);
  log_if_changed("cloud", last_sent_row_.cloud, row.cloud);
  for (const auto& [peer, status] : row.from_peers)
    log_if_changed(peer, last_sent_row_.from_peers[peer], status);
  for (const auto& [zone, links] : row.workers) {
    const wire::ZoneLinkStatus before = last_sent_row_.workers[zone];
    log_if_changed("heartbeats/" + zone, before.heartbeats, links.heartbeats);
    log_if_changed("commands/" + zone, before.commands, links.commands);
  }
  last_sent_row_ = row;
}

void Gossip::on_message(Ms now, const wire::GossipMessage& message) {
  // The epoch of a view and a cancellation stay valid however old the message is. The link rows
  // describe the time of sending only, so a message that is delivered late must not be taken
  // for the peer's present state.
  status_.record_epoch(message.epoch);
  cancellations_.apply(now, message.cancelled);
  const links::Moment moment_of_receipt = status_.moment(now);
  if (moment_of_receipt.wall - static_cast<Ms>(message.sent_ms) > links::kStateRowMaxAgeMs) return;
  links_.on_peer_message(now, message.from);
  if (message.links.empty()) links_.merge(moment_of_receipt, row_without_links(message));
  for (const auto& row : message.links) links_.merge(moment_of_receipt, row);
}

}  // namespace scheduler
