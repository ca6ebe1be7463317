// The answer to "may I decide this, through which link, on what evidence".
#pragma once

#include <string>
#include <string_view>

#include "links/types.h"

namespace scheduler::links {

enum class Reason : std::uint8_t {
  link_up,              // our own link works
  outage,               // the service answers nobody, as far as we know
  peer_reaches,         // our link is down, and that controller's is up
  nobody_reaches,       // our link is down, and no controller's is known to be better
  isolated,             // neither the service nor any controller is heard
  mostly_responsive,    // most workers are heard: the silence is that of a few
  mostly_unresponsive,  // most workers are silent: the silence is that of a link
  patience_over,        // most are silent, but for longer than cuts last
  steady,               // the link has been up for long enough
  unsteady,             // the link has failed lately, and must be up for longer
  nobody_else           // no other controller could do it instead
};

std::string_view name(Reason reason);

struct Decision {
  bool allowed = true;
  Reason reason = Reason::link_up;
  std::string through;     // the controller whose row it rests on; empty: our own evidence
  Ms evidence_age_ms = 0;  // of that row, or since our own link last worked
};

}  // namespace scheduler::links
