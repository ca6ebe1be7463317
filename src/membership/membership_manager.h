// Maintains this controller's membership in the view: joins the view, acknowledges each new view,
// and removes members whose session lease has expired.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/types.h"
#include "links/monitor.h"
#include "membership/context.h"
#include "wire/records.h"

namespace scheduler {

// Every change of the view is one write under the condition that the view has not changed in the
// meantime, so that the epochs of views follow one another without gaps whichever controller writes
// them.
class MembershipManager {
 public:
  // `on_joined` is called each time this controller has joined the view.
  MembershipManager(const Context& context, links::Monitor& links,
                    std::function<void(Ms now)> on_joined);

  void tick(Ms now);
  // Restarts the measurement of how long other members' leases have been missing, after a pause of
  // this process.
  void on_pause() { lease_missing_since_.clear(); }

 private:
  void join(Ms now);
  void acknowledge(Ms now);
  void remove_expired_members(Ms now);
  void remove(const std::string& name, const std::string& incarnation);
  // The write of this controller's live record, which is attached to its session lease.
  [[nodiscard]] wire::Write live_record(std::uint64_t epoch) const;
  [[nodiscard]] std::string live_key() const;
  // Milliseconds for which a member's session lease must have been missing before this controller
  // removes the member. Increases with each live controller that precedes this one, so that usually
  // only one of them writes the removal.
  [[nodiscard]] Ms removal_delay() const;

  // Whether at least one other member of the view holds its session lease.
  [[nodiscard]] bool another_member_is_live() const;

  const Context& context_;
  links::Monitor& links_;
  std::function<void(Ms)> on_joined_;
  bool was_member_ = false;
  bool joining_ = false;
  bool acknowledging_ = false;
  bool removing_ = false;
  Ms join_after_ = 0;
  std::map<std::string, Ms> lease_missing_since_;  // by name of the member
};

}  // namespace scheduler
