#include "fleet/scale_out_requests.h"

#include <algorithm>
#include <utility>

#include "fleet/cloud_inventory.h"
#include "wire/messages.h"

namespace scheduler {

namespace {

// Milliseconds between checks for scale-out requests to send, and until an unanswered request is
// repeated.
constexpr std::int64_t kScaleOutCheckMs = 250;
constexpr std::int64_t kScaleOutRetryMs = 2000;

}  // namespace

ScaleOutRequests::ScaleOutRequests(const Context& context, FleetSizer& sizer,
                                   OnAnswered on_answered)
    : context_(context), sizer_(sizer), on_answered_(std::move(on_answered)) {}

void ScaleOutRequests::request(wire::ScaleOutRequest request) {
  // The name is unique, since no two runs of any controller share an incarnation.
  request.name =
      context_.settings.name + "-" + context_.incarnation + "-" + std::to_string(++last_number_);
  context_.log(LogLevel::info, "scaling out: " + std::to_string(request.count) + " " +
                                   request.type + " in " + request.zone +
                                   (request.spot ? " (spot)" : ""));
  const std::string key = wire::scale_out_key(request.name);
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged(), {key, 0}};
  transaction.writes = {{key, encode(request), std::nullopt}};
  ++being_recorded_count_;
  transaction.done = [this](Ms now, TxnResult result, const auto&) {
    next_send_at_ = 0;
    const auto finish_recording = [this](Ms) { --being_recorded_count_; };
    result == TxnResult::committed
        ? finish_recording(now)
        : context_.state_client.barrier_read_with_retries(now, finish_recording);
  };
  context_.state_client.submit(std::move(transaction));
}

void ScaleOutRequests::tick(Ms now) {
  if (now < next_send_at_) return;
  next_send_at_ = now + kScaleOutCheckMs;
  for (const auto& [name, recorded] : context_.replica.scale_out_requests()) {
    // Without this limit, a fleet that grows by thousands of machines could spend the cloud's whole
    // request rate on requests that are refused.
    if (unanswered_count_ >= context_.capacity.scale_out_requests) break;
    if (!in_progress_.insert(name).second) continue;
    wire::ScaleOutRequest request = recorded;
    request.name = name;
    send(request);
  }
}

void ScaleOutRequests::send(const wire::ScaleOutRequest& request) {
  ++unanswered_count_;
  context_.send_request(Target::cloud, "", "POST", wire::kScaleOutPath,
                        wire::scale_out_body(request), kCloudTimeoutMs,
                        [this, request](Ms now, const HttpResult& http_result) {
                          --unanswered_count_;
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
  const MachineKind kind{request.type, request.zone, request.spot};
  if (no_capacity || (rented && machines.size() < request.count)) {
    sizer_.on_refused(now, kind);
  } else if (rented) {
    sizer_.on_filled(kind);
  }
  if (!rented && !no_capacity && http_result.status != 400) {
    // No answer, or a temporary refusal. The request is repeated with the same name, for which the
    // cloud rents machines only once.
    next_send_at_ = now + kScaleOutRetryMs;
    in_progress_.erase(request.name);
    return;
  }
  next_send_at_ = std::min(next_send_at_, now);  // further requests may be waiting to be sent
  if (context_.is_leader_of(kFleetDuty)) on_answered_(now, request, machines);
}

void ScaleOutRequests::forget(const std::vector<std::string>& names) {
  for (const auto& name : names) in_progress_.erase(name);
  next_send_at_ = 0;
}

}  // namespace scheduler
