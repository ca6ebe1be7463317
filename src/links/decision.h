// Result of a decision based on the state of the links, with the evidence for it.
#pragma once

#include <string>
#include <string_view>

#include "links/types.h"

namespace scheduler::links {

enum class Reason : std::uint8_t {
  link_up,              // this controller's own link works
  outage,               // the service answers no controller, as far as is known
  peer_reaches,         // this controller's link is down, but the link of Decision::through is up
  nobody_reaches,       // this controller's link is down, and no other one is known to be up
  isolated,             // no messages from the service or any other controller
  mostly_responsive,    // most workers are in contact: only the silent ones have failed
  mostly_unresponsive,  // most workers are silent: a link has failed
  patience_over,        // most workers are silent, for longer than partitions last
  steady,               // the link has been up for long enough
  unsteady,             // the link has failed recently and must stay up for longer
  nobody_else           // no other controller could take over
};

std::string_view name(Reason reason);

struct Decision {
  bool allowed = true;
  Reason reason = Reason::link_up;
  std::string through;  // controller whose row the decision is based on; empty: own evidence
  // Age of that row, or time since the own link last worked. If the reason is steady or unsteady:
  // time for which the own link has been up.
  Ms evidence_age_ms = 0;
};

}  // namespace scheduler::links
