#include "fleet/scale_out_requests.h"

#include <algorithm>
#include <utility>

#include "fleet/cloud_inventory.h"
#include "wire/messages.h"

namespace scheduler {

namespace {

// Milliseconds between checks for scale-out requests to send, and before an unanswered one is
// repeated.
constexpr std::int64_t kScaleOutCheckMs = 250;
constexpr std::int64_t kScaleOutRetryMs = 2000;

}  // namespace

ScaleOutRequests::ScaleOutRequests(const Context& context, FleetSizer& fleet, Answered answered)
    : context_(context), fleet_(fleet), answered_(std::move(answered)) {}

void ScaleOutRequests::request(wire::ScaleOutRequest request) {
  // Never reused: no two runs of any controller share an incarnation.
  request.name =
      context_.settings.name + "-" + context_.incarnation + "-" + std::to_string(++last_number_);
  context_.log(LogLevel::info, "scaling out: " + std::to_string(request.count) + " " +
                                   request.type + " in " + request.zone +
                                   (request.spot ? " (spot)" : ""));
  const std::string key = wire::scale_out_key(request.name);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), {key, 0}};
  transaction.writes = {{key, encode(request), std::nullopt}};
  ++being_recorded_;
  transaction.done = [this](Ms now, TxnResult result, const auto&) {
    send_at_ = 0;
    const auto release = [this](Ms) { --being_recorded_; };
    result == TxnResult::committed ? release(now)
                                   : context_.state_client.wait_until_settled(now, release);
  };
  context_.state_client.submit(std::move(transaction));
}

void ScaleOutRequests::tick(Ms now) {
  if (now < send_at_) return;
  send_at_ = now + kScaleOutCheckMs;
  for (const auto& [name, recorded] : context_.replica.scale_out_requests()) {
    // Guards against a fleet that grows by thousands spending the cloud's whole rate on refusals.
    if (sent_ >= context_.capacity.scale_out_requests) break;
    if (!under_way_.insert(name).second) continue;
    wire::ScaleOutRequest request = recorded;
    request.name = name;
    send(request);
  }
}

void ScaleOutRequests::send(const wire::ScaleOutRequest& request) {
  ++sent_;
  context_.call(Target::cloud, "", "POST", wire::kScaleOutPath, wire::scale_out_body(request),
                kCloudTimeoutMs, [this, request](Ms now, const HttpResult& http_result) {
                  --sent_;
                  on_result(now, request, http_result);
                });
}

void ScaleOutRequests::on_result(Ms now, const wire::ScaleOutRequest& request,
                                 const HttpResult& http_result) {
  auto reply = http_result.status == 200 ? wire::parse_scale_out_reply(http_result.body)
                                         : wire::decode_error("status", "200");
  const bool rented = reply.has_value();
  const auto machines = std::move(reply).value_or(std::vector<std::string>{});
  const bool no_capacity =
      http_result.status == 503 && http_result.body.find("capacity") != std::string::npos;
  if (no_capacity || (rented && machines.size() < request.count))
    fleet_.on_refused(now, {request.type, request.zone, request.spot});
  if (!rented && !no_capacity && http_result.status != 400) {
    // Unanswered or not now: the same name again, which rents nothing twice.
    send_at_ = now + kScaleOutRetryMs;
    under_way_.erase(request.name);
    return;
  }
  send_at_ = std::min(send_at_, now);  // others may wait for their turn
  if (context_.is_leader_of(kFleetDuty)) answered_(now, request, machines);
}

void ScaleOutRequests::forget(const std::vector<std::string>& names) {
  for (const auto& name : names) under_way_.erase(name);
  send_at_ = 0;
}

}  // namespace scheduler
