#include "controller/gossip.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace scheduler {

namespace {

// Milliseconds for which jobs whose cancellation is recorded are named to controllers that can't
// read the records: about as long as such a partition lasts before their workers have gone
// elsewhere.
constexpr std::int64_t kGossipCancellationMs = 60'000;
// Such jobs named in one gossip message.
constexpr std::size_t kGossipedCancellations = 32;

std::string_view text_of(links::Status status) {
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

// A row of a controller whose version sends none.
wire::LinkRow row_from(const wire::GossipMessage& gossip_message) {
  wire::LinkRow row;
  row.controller = gossip_message.from;
  row.as_of_ms = gossip_message.sent_ms;
  row.state = gossip_message.state_answers ? links::Status::up : links::Status::down;
  return row;
}

}  // namespace

wire::GossipMessage Gossip::make_message(Ms now) {
  wire::GossipMessage message;
  message.from = context_.settings.name;
  message.incarnation = context_.incarnation;
  message.epoch = std::max(context_.cluster_view.epoch(), status_.newest_epoch_seen());
  message.state_answers = context_.state_client.loaded() && context_.state_client.answering(now) &&
                          status_.resynchronised();
  for (const auto& [id, machine] : machines_) {
    if (machines_.usable(now, machine))
      message.free_cpus += std::max(0.0, candidate_cache_.candidate(now, machine).free.cpus);
  }
  message.sent_ms = static_cast<std::uint64_t>(status_.wall(now));
  message.links = links_.rows_to_spread(status_.moment(now));
  // It answers, but what it has said so far is not known yet.
  if (!message.state_answers && message.links.front().state == links::Status::up)
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
  if (bytes.size() > wire::kGossipBytesMost) {
    // Many controllers or zones: our own row matters most.
    message.links.resize(1);
    bytes = encode(message);
  }
  for (const Peer& peer : context_.settings.peers) send_(peer.name, bytes);
}

std::vector<std::string> Gossip::recent_cancellations(Ms now) {
  std::erase_if(cancelled_at_,
                [now](const auto& c) { return now - c.second > kGossipCancellationMs; });
  const auto rows = links_.matrix().fresh(status_.wall(now), links::kStateWordFreshMs);
  const bool needed = std::any_of(rows.begin(), rows.end(), [](const auto* entry) {
    return entry->row.state == links::Status::down;
  });
  std::vector<std::string> jobs;
  if (!needed || !context_.state_client.answering(now)) return jobs;
  for (const auto& [job, at] : cancelled_at_) {
    if (jobs.size() < kGossipedCancellations) jobs.push_back(job);
  }
  return jobs;
}

void Gossip::remember_cancellation(Ms now, const std::string& id) {
  const Job* job = context_.replica.job(id);
  const auto* final_state = context_.replica.final_state(id);
  if (!(job && job->record.cancelled) && !(final_state && !final_state->done)) return;
  if (cancelled_at_.size() < kGossipedCancellations) cancelled_at_.try_emplace(id, now);
}

void Gossip::log_link_changes(const wire::LinkRow& row) {
  const auto changed = [this](std::string_view link, links::Status before, links::Status status) {
    if (before == status) return;
    LogEvent event("link");
    event.field("link", link).field("status", text_of(status)).field("before", text_of(before));
    context_.log(LogLevel::info, event.text());
  };
  changed("state", last_sent_row_.state, row.state);
  changed("cloud", last_sent_row_.cloud, row.cloud);
  for (const auto& [peer, status] : row.heard) changed(peer, last_sent_row_.heard[peer], status);
  for (const auto& [zone, links] : row.workers) {
    const wire::ZoneLinkStatus before = last_sent_row_.workers[zone];
    changed("heartbeats/" + zone, before.reports, links.reports);
    changed("commands/" + zone, before.commands, links.commands);
  }
  last_sent_row_ = row;
}

void Gossip::on_message(Ms now, const wire::GossipMessage& message) {
  // Whatever its age, that a view exists stays true, and so does a cancellation; the rest is of its
  // moment. Guards against a copy that comes late and passes for a peer's word.
  status_.see_epoch(message.epoch);
  cancellations_.apply(now, message.cancelled);
  const links::Moment when = status_.moment(now);
  if (when.wall - static_cast<Ms>(message.sent_ms) > links::kStateWordFreshMs) return;
  links_.peer_heard(now, message.from);
  if (message.links.empty()) links_.merge(when, row_from(message));
  for (const auto& row : message.links) links_.merge(when, row);
}

}  // namespace scheduler
