#include "state/session_lease.h"

#include "wire/state_service.h"

namespace scheduler {

namespace {

// Time to live of the session lease, milliseconds. Longer than a restart (about 3 s), so that a
// crash with a restart moves no machines to another controller; shorter than any worker lease.
constexpr std::int64_t kSessionLeaseMs = 5000;

}  // namespace

void SessionLease::tick(Ms now) {
  if (in_flight_ || now < next_request_at_) return;
  if (!valid()) {
    acquire(now);
    return;
  }
  // Don't renew while no replies arrive. Guards against a lease that is kept alive by requests
  // whose replies are lost: this controller could neither write nor read, and no other controller
  // would take over its work. A refusal by the service doesn't stop renewals: refusals come during
  // an outage of the service, after which every lease has its full time to live again.
  if (!connection_.link().silent(now)) renew(now);
}

void SessionLease::acquire(Ms now) {
  in_flight_ = true;
  connection_.request(
      now, "POST", wire::kLeasesPath, wire::lease_body(kSessionLeaseMs),
      [this](Ms at, const HttpResult& http_result) { on_acquired(at, http_result); });
}

void SessionLease::on_acquired(Ms now, const HttpResult& http_result) {
  in_flight_ = false;
  next_request_at_ = now + kStateProbeMs;
  const auto id = wire::parse_lease_id(http_result.body);
  if (http_result.status != 200 || !id) return;
  id_ = *id;
  next_request_at_ = now + kLeaseRenewalMs;
}

void SessionLease::renew(Ms now) {
  in_flight_ = true;
  connection_.request(
      now, "POST", wire::renew_lease_path(id_), "{}",
      [this](Ms at, const HttpResult& http_result) { on_renewed(at, http_result); });
}

void SessionLease::on_renewed(Ms now, const HttpResult& http_result) {
  in_flight_ = false;
  next_request_at_ = now + (http_result.status == 200 ? kLeaseRenewalMs : kStateProbeMs);
  if (http_result.status != 404) return;
  log_.info("session lease has expired");
  mark_expired(now);
}

void SessionLease::mark_expired(Ms now) {
  id_ = 0;
  next_request_at_ = now;
}

}  // namespace scheduler
