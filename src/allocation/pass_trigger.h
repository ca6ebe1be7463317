// Requests scheduling passes.
#pragma once

namespace scheduler {

// A request flag that is set by every component that changes what could be placed, and cleared by
// the scheduler.
class PassTrigger {
 public:
  void request() { requested_ = true; }
  [[nodiscard]] bool requested() const { return requested_; }
  void clear() { requested_ = false; }

 private:
  bool requested_ = false;
};

}  // namespace scheduler
