// Asks for a scheduling pass.
#pragma once

namespace scheduler {

// Set by whatever changes what could be placed; taken by the scheduler.
class PassTrigger {
 public:
  void request() { requested_ = true; }
  [[nodiscard]] bool requested() const { return requested_; }
  void clear() { requested_ = false; }

 private:
  bool requested_ = false;
};

}  // namespace scheduler
