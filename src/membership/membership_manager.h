// This controller's membership in the view: it joins, acknowledges each view, and removes members
// whose lease at the state service has ended.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/types.h"
#include "links/monitor.h"
#include "membership/context.h"
#include "wire/records.h"

namespace scheduler {

// Every change of the view is one write under the condition that nobody else has changed it, so
// that views follow one another without gaps whoever writes them.
class MembershipManager {
 public:
  // `joined` is called once this controller is in the view.
  MembershipManager(const Context& context, links::Monitor& links,
                    std::function<void(Ms now)> joined);

  void tick(Ms now);
  // This process was paused: how long others' leases have been missing counts anew.
  void on_pause() { lease_missing_since_.clear(); }

 private:
  void join(Ms now);
  void acknowledge(Ms now);
  void remove_expired_members(Ms now);
  void remove(const std::string& name, const std::string& incarnation);
  // This controller's own record, which carries its lease.
  [[nodiscard]] wire::Write live_record(std::uint64_t epoch) const;
  [[nodiscard]] std::string live_key() const;
  // Milliseconds that a member's lease must have been missing before this controller removes it:
  // longer for each live controller that comes before it, so that one of them writes.
  [[nodiscard]] Ms removal_delay() const;

  // Some other controller of the view holds its lease.
  [[nodiscard]] bool others_live() const;

  const Context& context_;
  links::Monitor& links_;
  std::function<void(Ms)> on_joined_;
  bool was_member_ = false;
  bool joining_ = false;
  bool acknowledging_ = false;
  bool removing_ = false;
  Ms join_after_ = 0;
  std::map<std::string, Ms> lease_missing_since_;  // by member
};

}  // namespace scheduler
