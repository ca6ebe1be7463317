// Damping of links that come and go, after RFC 2439 (BGP route flap damping).
#pragma once

#include "links/types.h"

namespace scheduler::links {

// Each failure adds a penalty that halves within a minute. The larger it is, the longer the link
// must have been up before work is put on it again.
class FlapDamper {
 public:
  // So many failures at a time cost nothing.
  explicit FlapDamper(int free_failures) : free_failures_(free_failures) {}

  void failed(Ms now);
  // Milliseconds for which the link must have been up; 0 if it has not failed more often lately
  // than is free.
  [[nodiscard]] Ms steady_ms(Ms now) const;

 private:
  [[nodiscard]] double penalty_at(Ms now) const;

  double free_failures_;
  double penalty_ = 0;
  Ms counted_at_ = 0;
};

}  // namespace scheduler::links
