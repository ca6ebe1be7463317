#include "workers/relay.h"

#include <algorithm>

namespace scheduler {

namespace {

// Milliseconds until a command that a peer passes on counts as unanswered, and the worker's part of
// it; the rest is for the hops to the peer and back.
constexpr std::int64_t kRelayedCommandMs = 2000;
constexpr std::int64_t kRelayedWorkerMs = 1200;
// Milliseconds after which a message that is not answered is sent to the peer once more.
constexpr std::int64_t kRelayResendMs = 700;
// Milliseconds for which it is known what became of a peer's request, and such requests at once.
constexpr std::int64_t kRelayKeptMs = 6000;
constexpr std::size_t kRelayedMost = 4000;
// The same for a heartbeat; the worker waits 4 s for its answer (PROTOCOL).
constexpr std::int64_t kRelayedReportMs = 3000;
// Bytes of a body that is passed on; a heartbeat of a full machine takes about 20 KiB.
constexpr std::size_t kRelayedBytesMost = std::size_t{60} * 1024;
// Milliseconds between workers of a zone that are sent to their owner although it doesn't hear the
// zone: each such attempt costs that worker five seconds of its lease.
constexpr std::int64_t kDirectAttemptMs = 10'000;

}  // namespace

namespace {
constexpr int kHexadecimal = 16;  // as incarnations are written
}

Relay::Relay(const Context& context, Send send, TakeHeartbeat apply_heartbeat)
    : context_(context),
      send_(std::move(send)),
      take_heartbeat_(std::move(apply_heartbeat)),
      next_id_(std::stoull(context.incarnation, nullptr, kHexadecimal)) {}

bool Relay::send(Ms now, Ms timeout, const std::string& peer, wire::RelayRequest request,
                 ResultHandler done) {
  const auto most = static_cast<std::size_t>(context_.capacity.direct_messages);
  if (pending_.size() >= most || request.body.size() > kRelayedBytesMost) return false;
  request.from = context_.settings.name;
  request.id = next_id_++;
  std::string bytes = encode(request);
  send_(peer, bytes);
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
  return send(now, kRelayedCommandMs, peer, std::move(request), std::move(done));
}

bool Relay::send_heartbeat(Ms now, Ms wall, const std::string& owner, const std::string& worker,
                           std::string body, ResultHandler done) {
  wire::RelayRequest request;
  request.kind = wire::RelayKind::heartbeat;
  request.sent_ms = static_cast<std::uint64_t>(wall);
  request.body = std::move(body);
  return send(now, kRelayedReportMs, owner, std::move(request),
              [this, worker, done = std::move(done)](Ms at, const HttpResult& http_result) {
                if (http_result.status == 200) passed_on_at_[worker] = at;
                done(at, http_result);
              });
}

bool Relay::direct_attempt_due(Ms now, const std::string& owner, const std::string& zone,
                               const std::string& worker) {
  const auto passed_on = passed_on_at_.find(worker);
  if (passed_on == passed_on_at_.end()) return false;
  const auto [next, first] = direct_attempt_at_.try_emplace({owner, zone}, now + kDirectAttemptMs);
  if (first || now < next->second) return false;
  next->second = now + kDirectAttemptMs;
  passed_on_at_.erase(passed_on);
  return true;
}

void Relay::on_request(Ms now, Ms wall, const wire::RelayRequest& request) {
  // Whoever asked has given up by now, and may have sent something newer.
  if (wall - static_cast<Ms>(request.sent_ms) > kRelayedReportMs) return;
  const Asked asked{request.from, request.id};
  const auto known = handled_.find(asked);
  if (known != handled_.end()) {
    if (!known->second.reply.empty()) send_(asked.peer, known->second.reply);
    return;
  }
  if (handled_.size() >= kRelayedMost) return;
  handled_[asked].at = now;
  if (request.kind == wire::RelayKind::command) {
    pass_command(request);
    return;
  }
  const std::uint64_t number = kRelayedBit | next_relayed_heartbeat_++;
  relayed_heartbeats_[number] = asked;
  take_heartbeat_(now, number, request.body);
}

void Relay::pass_command(const wire::RelayRequest& request) {
  if (commands_in_flight_ >= context_.capacity.direct_messages) return;
  ++commands_in_flight_;
  context_.call(Target::worker, request.address, "POST", wire::kCommandsPath, request.body,
                kRelayedWorkerMs,
                [this, asked = Asked{request.from, request.id}](Ms, const HttpResult& http_result) {
                  --commands_in_flight_;
                  if (http_result.status != kNoReply)
                    reply_to_peer(asked, http_result.status, http_result.body);
                });
}

void Relay::reply_to_peer(const Asked& asked, int status, std::string body) {
  if (status < 0 || body.size() > kRelayedBytesMost) return;
  wire::RelayReply reply;
  reply.from = context_.settings.name;
  reply.id = asked.id;
  reply.status = static_cast<std::uint64_t>(status);
  reply.body = std::move(body);
  std::string bytes = encode(reply);
  send_(asked.peer, bytes);
  if (const auto known = handled_.find(asked); known != handled_.end())
    known->second.reply = std::move(bytes);
}

void Relay::reply_to_heartbeat(std::uint64_t request, int status, const std::string& body) {
  const auto heartbeat = relayed_heartbeats_.find(request);
  if (heartbeat == relayed_heartbeats_.end()) return;
  const Asked asked = std::move(heartbeat->second);
  relayed_heartbeats_.erase(heartbeat);
  reply_to_peer(asked, status, body);
}

void Relay::on_reply(Ms now, const wire::RelayReply& reply) {
  const auto waiting = pending_.find(reply.id);
  if (waiting == pending_.end() || waiting->second.peer != reply.from) return;
  const ResultHandler done = std::move(waiting->second.done);
  pending_.erase(waiting);
  done(now, {static_cast<int>(reply.status), reply.body});
}

void Relay::tick(Ms now) {
  std::vector<ResultHandler> late;
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    Pending& pending = entry->second;
    if (now >= pending.deadline) {
      late.push_back(std::move(pending.done));
      entry = pending_.erase(entry);
      continue;
    }
    if (now >= pending.send_at) {
      pending.send_at = now + kRelayResendMs;
      send_(pending.peer, pending.bytes);
    }
    ++entry;
  }
  for (const auto& done : late) done(now, {kNoReply, ""});
  forget(now);
}

void Relay::forget(Ms now) {
  std::erase_if(handled_, [now](const auto& h) { return now - h.second.at > kRelayKeptMs; });
  const Ms settled = to_ms(context_.settings.heartbeat_interval_s * 2);
  std::erase_if(passed_on_at_, [&](const auto& p) { return now - p.second > settled; });
}

}  // namespace scheduler
