// Decides when records of a newer format may be written.
//
// During an upgrade, controllers of two versions run at the same time and read each other's
// records. Each controller announces in its live record the newest format that it can read. Once
// every configured controller is in the view and has announced a format, the oldest of these
// formats is recorded, and records of that format may be written from then on. Guards against a
// controller of the previous version dropping or misreading a record of the newer format.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "membership/context.h"
#include "state/state_client.h"

namespace scheduler {

// Writes the key `formats`. Every controller runs this; conditions on the transaction keep the
// writes consistent.
class FormatSwitch {
 public:
  explicit FormatSwitch(const Context& context) : context_(context) {}

  // Records the newest format that all controllers support if it is newer than the recorded one.
  void tick(Ms now);

 private:
  // The newest format that every configured controller can read; kFirstFormat while one of them is
  // not in the view or has not announced a format.
  [[nodiscard]] std::uint32_t supported_format() const;
  // The transaction that records a newer format, if all controllers support one. Its conditions are
  // the view and the live record of every configured controller.
  [[nodiscard]] std::optional<Transaction> propose_switch() const;
  [[nodiscard]] std::vector<std::string> configured_controllers() const;

  const Context& context_;
  bool write_in_flight_ = false;
};

}  // namespace scheduler
