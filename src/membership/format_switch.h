// Decides when records of a newer format may be written.
//
// During an upgrade controllers of two versions serve side by side and read each other's records.
// Each announces in its live record the newest format that it reads. Once every configured
// controller is in the view and announces a format, that is recorded, and records of that format
// may be written from then on. Guards against a controller of the former version that meets a
// record which it would drop or misread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "membership/context.h"
#include "state/state_client.h"

namespace scheduler {

// Writes `formats`, together with the other controllers.
class FormatSwitch {
 public:
  explicit FormatSwitch(const Context& context) : context_(context) {}

  // Records the format that all controllers support, once they do.
  void tick(Ms now);

 private:
  // The newest format that every configured controller reads; kFirstFormat while one of them is not
  // in the view or has not announced any.
  [[nodiscard]] std::uint32_t supported() const;
  // The write that records a newer format than is recorded now, if all controllers support one. Its
  // conditions are the view and every live record that it rests on.
  [[nodiscard]] std::optional<Transaction> propose() const;
  [[nodiscard]] std::vector<std::string> configured_controllers() const;

  const Context& context_;
  bool write_in_flight_ = false;
};

}  // namespace scheduler
