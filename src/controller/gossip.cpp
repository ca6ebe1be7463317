// Messages between controllers. Nothing here may decide anything that the rules depend on.
#include "controller/gossip.h"

#include <algorithm>
#include <variant>

#include "base/log_event.h"
#include "controller/controller.h"

namespace scheduler {

namespace {

// Milliseconds for which jobs whose cancellation is recorded are named to controllers that can't
// read the records: about as long as such a cut lasts before their workers have gone elsewhere.
constexpr std::int64_t kGossipCancellationMs = 60'000;
// Such jobs named in one hint, and jobs stopped on such a word.
constexpr std::size_t kGossipedCancellations = 32;
constexpr std::size_t kGossipedCancellationsMost = 1000;

}  // namespace

namespace {

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

void Controller::gossip(Ms now) {
  if (now < next_gossip_) return;
  next_gossip_ = now + kGossipIntervalMs;
  wire::GossipMessage gossip_message;
  gossip_message.from = settings_.name;
  gossip_message.incarnation = incarnation_;
  gossip_message.epoch = std::max(cluster_view_.epoch(), newest_epoch_seen_);
  gossip_message.state_answers =
      state_client_.loaded() && state_client_.answering(now) && resynchronising_until_ == 0;
  for (const auto& [id, m] : machines_) {
    if (usable(now, m)) gossip_message.free_cpus += std::max(0.0, candidate(now, m).cpus);
  }
  gossip_message.sent_ms = static_cast<std::uint64_t>(now + wall_offset_);
  gossip_message.links = links_.rows_to_spread(moment(now));
  // It answers, but what it has said so far is not known yet.
  if (!gossip_message.state_answers && gossip_message.links.front().state == links::Status::up)
    gossip_message.links.front().state = links::Status::unknown;
  log_link_changes(gossip_message.links.front());
  gossip_message.cancelled = recent_cancellations(now);
  std::string bytes = encode(gossip_message);
  if (bytes.size() >
      wire::kGossipBytesMost) {  // many controllers or zones: our own row matters most
    gossip_message.links.resize(1);
    bytes = encode(gossip_message);
  }
  for (const auto& p : settings_.peers) out_.peers.push_back({p.name, bytes});
}

// Cancelled jobs are named only while some controller can't read of them.
std::vector<std::string> Controller::recent_cancellations(Ms now) {
  std::erase_if(cancelled_at_,
                [now](const auto& c) { return now - c.second > kGossipCancellationMs; });
  const auto rows = links_.matrix().fresh(now + wall_offset_, links::kStateWordFreshMs);
  const bool needed = std::any_of(rows.begin(), rows.end(), [](const auto* entry) {
    return entry->row.state == links::Status::down;
  });
  std::vector<std::string> jobs;
  if (!needed || !state_client_.answering(now)) return jobs;
  for (const auto& [job, at] : cancelled_at_) {
    if (jobs.size() < kGossipedCancellations) jobs.push_back(job);
  }
  return jobs;
}

void Controller::remember_cancellation(Ms now, const std::string& id) {
  const Job* job = replica_.job(id);
  const auto* final_state = replica_.final_state(id);
  if (!(job && job->record.cancelled) && !(final_state && !final_state->done)) return;
  if (cancelled_at_.size() < kGossipedCancellations) cancelled_at_.try_emplace(id, now);
}

void Controller::log_link_changes(const wire::LinkRow& row) {
  const auto changed = [this](std::string_view link, links::Status before, links::Status status) {
    if (before == status) return;
    LogEvent event("link");
    event.field("link", link).field("status", text_of(status)).field("before", text_of(before));
    log(LogLevel::info, event.text());
  };
  changed("state", last_sent_row_.state, row.state);
  changed("cloud", last_sent_row_.cloud, row.cloud);
  for (const auto& [peer, status] : row.heard) changed(peer, last_sent_row_.heard[peer], status);
  for (const auto& [zone, links] : row.workers) {
    const wire::ZoneLinkStatus before = last_sent_row_.workers[zone];
    changed("reports/" + zone, before.reports, links.reports);
    changed("commands/" + zone, before.commands, links.commands);
  }
  last_sent_row_ = row;
}

void Controller::on_peer(Ms now, std::string_view bytes) {
  detect_pause(now);
  const auto message = wire::decode<wire::PeerMessage>(bytes);
  if (!message) {
    log(LogLevel::info, "unreadable message from a peer");
    return;
  }
  const auto known = [this](const std::string& from) {
    return std::any_of(settings_.peers.begin(), settings_.peers.end(),
                       [&](const auto& p) { return p.name == from; });
  };
  if (const auto* gossip_message = std::get_if<wire::GossipMessage>(&*message)) {
    if (known(gossip_message->from)) on_gossip(now, *gossip_message);
  } else if (const auto* request = std::get_if<wire::RelayRequest>(&*message)) {
    if (settings_.relays && known(request->from))
      relay_.on_request(now, now + wall_offset_, *request);
  } else if (const auto* reply = std::get_if<wire::RelayReply>(&*message)) {
    relay_.on_reply(now, *reply);
  }
}

void Controller::on_gossip(Ms now, const wire::GossipMessage& gossip_message) {
  // Whatever its age, that a view exists stays true, and so does a cancellation; the rest is of its
  // moment. Guards against a copy that comes late and passes for a peer's word.
  newest_epoch_seen_ = std::max(newest_epoch_seen_, gossip_message.epoch);
  apply_gossiped_cancellations(now, gossip_message.cancelled);
  const links::Moment when = moment(now);
  if (when.wall - static_cast<Ms>(gossip_message.sent_ms) > links::kStateWordFreshMs) return;
  links_.peer_heard(now, gossip_message.from);
  if (gossip_message.links.empty()) links_.merge(when, row_from(gossip_message));
  for (const auto& row : gossip_message.links) links_.merge(when, row);
}

// A peer has read that these jobs are cancelled, which we can't. Their tasks are stopped; what that
// proves is recorded once we can write again. Nothing is ever started on a peer's word.
void Controller::apply_gossiped_cancellations(Ms now, const std::vector<std::string>& jobs) {
  if (state_client_.answering(now)) return;
  for (const auto& id : jobs) {
    const Job* job = replica_.job(id);
    if (!job || job->record.cancelled ||
        gossiped_cancellations_.size() >= kGossipedCancellationsMost)
      continue;
    if (!gossiped_cancellations_.insert(id).second) continue;
    log(LogLevel::info, "stopping " + id + ": a peer has read that it is cancelled");
    for (const auto& [number, range] : job->ranges)
      for (const auto& [task, placement] : range.placed)
        if (auto m = machines_.find(placement.machine); m != machines_.end())
          m->second.resend_commands = true;
  }
}

bool Controller::deposed(Ms now) const {
  return newest_epoch_seen_ > cluster_view_.epoch() && !state_client_.answering(now);
}

}  // namespace scheduler
