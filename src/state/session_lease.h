// The session lease: what shows the other controllers that this one is alive.
#pragma once

#include <cstdint>

#include "base/types.h"
#include "state/state_connection.h"
#include "state/state_log.h"

namespace scheduler {

// Milliseconds between renewals of the session lease: three may fail before it ends. While nothing
// else is asked, the link is probed as often.
constexpr std::int64_t kLeaseRenewalMs = 1200;

// Acquires a lease, renews it, and acquires another once it has ended. Keys that are attached to a
// lease are deleted by the service when it ends, which tells the others that this controller is
// gone. Owns the lease's id.
class SessionLease {
 public:
  SessionLease(StateConnection& connection, const StateLog& log)
      : connection_(connection), log_(log) {}

  // Acquires or renews it if that is due.
  void tick(Ms now);
  // The service doesn't know the lease any more: another is acquired at the next tick.
  void lose(Ms now);
  // A process pause may have lasted longer than the lease: it is renewed at the next tick.
  void on_pause(Ms now) { due_ = now; }

  [[nodiscard]] bool valid() const { return id_ != 0; }
  [[nodiscard]] std::uint64_t id() const { return id_; }  // 0: none

 private:
  void acquire(Ms now);
  void on_acquired(Ms now, const HttpResult& http_result);
  void renew(Ms now);
  void on_renewed(Ms now, const HttpResult& http_result);

  StateConnection& connection_;
  const StateLog& log_;
  std::uint64_t id_ = 0;
  bool in_flight_ = false;
  Ms due_ = 0;
};

}  // namespace scheduler
