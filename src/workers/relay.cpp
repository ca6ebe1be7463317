#include "workers/relay.h"

#include <algorithm>

namespace scheduler {

namespace {

// Milliseconds until a relayed command counts as unanswered, and the part of it that the relaying
// peer waits for the worker. The rest is for the messages to the peer and back.
constexpr std::int64_t kRelayedCommandTimeoutMs = 2000;
constexpr std::int64_t kRelayedWorkerTimeoutMs = 1200;
// Milliseconds after which an unanswered request is sent to the peer again, until its timeout.
constexpr std::int64_t kRelayResendMs = 700;
// Milliseconds for which the result of a peer's request is kept, and the maximum number of results
// kept.
constexpr std::int64_t kHandledRequestTtlMs = 6000;
constexpr std::size_t kMaxHandledRequests = 4000;
// Milliseconds until a relayed heartbeat counts as unanswered; the worker waits 4 s for its reply
// (PROTOCOL).
constexpr std::int64_t kRelayedHeartbeatTimeoutMs = 3000;
// Maximum size in bytes of a relayed body; a heartbeat of a full machine takes about 20 KiB.
constexpr std::size_t kMaxRelayedBodyBytes = std::size_t{60} * 1024;
// Milliseconds between workers of a zone that are redirected to their owner although the owner
// receives no heartbeats from the zone: each attempt costs the worker five seconds of its lease.
constexpr std::int64_t kDirectAttemptIntervalMs = 10'000;

}  // namespace

namespace {
constexpr int kIncarnationBase = 16;  // base in which incarnations are written
}

Relay::Relay(const Context& context, SendToPeer send, HeartbeatHandler handle_heartbeat)
    : context_(context),
      send_to_peer_(std::move(send)),
      handle_heartbeat_(std::move(handle_heartbeat)),
      next_id_(std::stoull(context.incarnation, nullptr, kIncarnationBase)) {}

bool Relay::send(Ms now, Ms timeout, const std::string& peer, wire::RelayRequest request,
                 ResultHandler done) {
  const auto max_pending = static_cast<std::size_t>(context_.capacity.direct_messages);
  if (pending_.size() >= max_pending || request.body.size() > kMaxRelayedBodyBytes) return false;
  request.from = context_.settings.name;
  request.id = next_id_++;
  std::string bytes = encode(request);
  send_to_peer_(peer, bytes);
  pending_[request.id] = {peer, std::move(bytes), now + kRelayResendMs, now + timeout,
                          std::move(done)};
  return true;
}

bool Relay::send_command(Ms now, Ms wall, const std::string& peer, const std::string& address,
                         std::string body, ResultHandler done) {
  wire::RelayRequest request;
  request.kind = wire::RelayKind::command;
  request.sent_ms = static_cast<std::uint64_t>(wall);
  request.address = address;
  request.body = std::move(body);
  return send(now, kRelayedCommandTimeoutMs, peer, std::move(request), std::move(done));
}

bool Relay::send_heartbeat(Ms now, Ms wall, const std::string& owner, const std::string& worker,
                           std::string body, ResultHandler done) {
  wire::RelayRequest request;
  request.kind = wire::RelayKind::heartbeat;
  request.sent_ms = static_cast<std::uint64_t>(wall);
  request.body = std::move(body);
  return send(now, kRelayedHeartbeatTimeoutMs, owner, std::move(request),
              [this, worker, done = std::move(done)](Ms at, const HttpResult& http_result) {
                if (http_result.status == 200) relayed_at_[worker] = at;
                done(at, http_result);
              });
}

bool Relay::direct_attempt_due(Ms now, const std::string& owner, const std::string& zone,
                               const std::string& worker) {
  const auto relayed = relayed_at_.find(worker);
  if (relayed == relayed_at_.end()) return false;
  const auto [next, inserted] =
      next_direct_attempt_at_.try_emplace({owner, zone}, now + kDirectAttemptIntervalMs);
  if (inserted || now < next->second) return false;
  next->second = now + kDirectAttemptIntervalMs;
  relayed_at_.erase(relayed);
  return true;
}

void Relay::on_request(Ms now, Ms wall, const wire::RelayRequest& request) {
  // The sender's timeout has passed, and it may have sent a newer message.
  if (wall - static_cast<Ms>(request.sent_ms) > kRelayedHeartbeatTimeoutMs) return;
  const PeerRequest peer_request{request.from, request.id};
  const auto handled = handled_requests_.find(peer_request);
  if (handled != handled_requests_.end()) {
    if (!handled->second.reply.empty()) send_to_peer_(peer_request.peer, handled->second.reply);
    return;
  }
  if (handled_requests_.size() >= kMaxHandledRequests) return;
  handled_requests_[peer_request].at = now;
  if (request.kind == wire::RelayKind::command) {
    relay_command(request);
    return;
  }
  const std::uint64_t request_number = kRelayedBit | next_relayed_heartbeat_++;
  relayed_heartbeats_[request_number] = peer_request;
  handle_heartbeat_(now, request_number, request.body);
}

void Relay::relay_command(const wire::RelayRequest& request) {
  if (commands_in_flight_ >= context_.capacity.direct_messages) return;
  ++commands_in_flight_;
  context_.send_request(Target::worker, request.address, "POST", wire::kCommandsPath, request.body,
                        kRelayedWorkerTimeoutMs,
                        [this, peer_request = PeerRequest{request.from, request.id}](
                            Ms, const HttpResult& http_result) {
                          --commands_in_flight_;
                          if (http_result.status != kNoReply)
                            reply_to_peer(peer_request, http_result.status, http_result.body);
                        });
}

void Relay::reply_to_peer(const PeerRequest& peer_request, int status, std::string body) {
  if (status < 0 || body.size() > kMaxRelayedBodyBytes) return;
  wire::RelayReply reply;
  reply.from = context_.settings.name;
  reply.id = peer_request.id;
  reply.status = static_cast<std::uint64_t>(status);
  reply.body = std::move(body);
  std::string bytes = encode(reply);
  send_to_peer_(peer_request.peer, bytes);
  if (const auto handled = handled_requests_.find(peer_request); handled != handled_requests_.end())
    handled->second.reply = std::move(bytes);
}

void Relay::reply_to_heartbeat(std::uint64_t request, int status, const std::string& body) {
  const auto heartbeat = relayed_heartbeats_.find(request);
  if (heartbeat == relayed_heartbeats_.end()) return;
  const PeerRequest peer_request = std::move(heartbeat->second);
  relayed_heartbeats_.erase(heartbeat);
  reply_to_peer(peer_request, status, body);
}

void Relay::on_reply(Ms now, const wire::RelayReply& reply) {
  const auto waiting = pending_.find(reply.id);
  if (waiting == pending_.end() || waiting->second.peer != reply.from) return;
  const ResultHandler done = std::move(waiting->second.done);
  pending_.erase(waiting);
  done(now, {static_cast<int>(reply.status), reply.body});
}

void Relay::tick(Ms now) {
  std::vector<ResultHandler> expired;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& pending = entry->second;
    if (now >= pending.deadline) {
      expired.push_back(std::move(pending.done));
      entry = pending_.erase(entry);
      continue;
    }
    if (now >= pending.send_at) {
      pending.send_at = now + kRelayResendMs;
      send_to_peer_(pending.peer, pending.bytes);
    }
    ++entry;
  }
  for (const auto& done : expired) done(now, {kNoReply, ""});
  remove_expired(now);
}

void Relay::remove_expired(Ms now) {
  std::erase_if(handled_requests_,
                [now](const auto& h) { return now - h.second.at > kHandledRequestTtlMs; });
  const Ms max_age = to_ms(context_.settings.heartbeat_interval_s * 2);
  std::erase_if(relayed_at_, [&](const auto& p) { return now - p.second > max_age; });
}

}  // namespace scheduler
