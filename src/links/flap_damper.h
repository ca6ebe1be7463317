// Damping of flapping links, after RFC 2439 (BGP route flap damping).
#pragma once

#include "links/types.h"

namespace scheduler::links {

// Each failure adds a penalty with a half-life of one minute. The larger the penalty, the longer
// the link must be up before it is used again.
class FlapDamper {
 public:
  // `free_failures`: number of recent failures after which the link may still be used again at
  // once.
  explicit FlapDamper(int free_failures) : free_failures_(free_failures) {}

  void on_failure(Ms now);
  // Milliseconds for which the link must be up before it is used again; 0 if its recent failures
  // are within the free ones.
  [[nodiscard]] Ms required_stable_ms(Ms now) const;

 private:
  [[nodiscard]] double penalty_at(Ms now) const;

  double free_failures_;
  double penalty_ = 0;
  Ms updated_at_ = 0;
};

}  // namespace scheduler::links
