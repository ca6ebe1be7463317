// Decides when records of a newer format may be written.
//
// During an upgrade controllers of two versions serve side by side and read each other's records.
// Each announces in its live record the newest format that it reads. Once every configured
// controller is in the view and announces a format, that is recorded, and records of that format
// may be written from then on. Guards against a controller of the former version that meets a
// record which it would drop or misread.
#pragma once

#include <optional>

#include "base/types.h"
#include "state/replica.h"
#include "state/state_client.h"

namespace scheduler {

class FormatSwitch {
 public:
  explicit FormatSwitch(const Settings& settings) : settings_(settings) {}

  // The newest format that every configured controller reads; kFirstFormat while one of them is not
  // in the view or has not announced any.
  std::uint32_t supported(const Replica& replica) const;

  // The write that records a newer format than is recorded now, if all controllers support one.
  // Its guards are the view and every live record that it rests on.
  std::optional<Transaction> propose(const Replica& replica, const StateClient& state_client) const;

 private:
  std::vector<std::string> configured_controllers() const;

  const Settings& settings_;
};

}  // namespace scheduler
