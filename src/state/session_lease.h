// The session lease, which shows the other controllers that this controller is alive.
#pragma once

#include <cstdint>

#include "base/types.h"
#include "state/state_connection.h"
#include "state/state_log.h"

namespace scheduler {

// Milliseconds between renewals of the session lease; three renewals may fail before the lease
// expires. It is also the interval between probes of the link while no other request is sent.
constexpr std::int64_t kLeaseRenewalMs = 1200;

// Acquires a session lease, renews it, and acquires a new one after it has expired. The service
// deletes the keys attached to a lease when the lease expires, which shows the other controllers
// that this controller is gone. Owns the id of the lease.
class SessionLease {
 public:
  SessionLease(StateConnection& connection, const StateLog& log)
      : connection_(connection), log_(log) {}

  // Acquires or renews the lease if that is due.
  void tick(Ms now);
  // Records that the lease no longer exists at the service; the next tick acquires a new one.
  void mark_expired(Ms now);
  // Makes the next tick renew the lease, since a process pause may have lasted longer than the
  // lease.
  void on_pause(Ms now) { next_request_at_ = now; }

  [[nodiscard]] bool valid() const { return id_ != 0; }
  [[nodiscard]] std::uint64_t id() const { return id_; }  // 0: no lease

 private:
  void acquire(Ms now);
  void on_acquired(Ms now, const HttpResult& http_result);
  void renew(Ms now);
  void on_renewed(Ms now, const HttpResult& http_result);

  StateConnection& connection_;
  const StateLog& log_;
  std::uint64_t id_ = 0;
  bool in_flight_ = false;
  Ms next_request_at_ = 0;
};

}  // namespace scheduler
