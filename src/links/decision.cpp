#include "links/decision.h"

namespace scheduler::links {

std::string_view name(Reason reason) {
  switch (reason) {
    case Reason::link_up:
      return "link_up";
    case Reason::outage:
      return "outage";
    case Reason::peer_reaches:
      return "peer_reaches";
    case Reason::nobody_reaches:
      return "nobody_reaches";
    case Reason::isolated:
      return "isolated";
    case Reason::mostly_responsive:
      return "mostly_responsive";
    case Reason::mostly_unresponsive:
      return "mostly_unresponsive";
    case Reason::patience_over:
      return "patience_over";
    case Reason::steady:
      return "steady";
    case Reason::unsteady:
      return "unsteady";
    case Reason::nobody_else:
      return "nobody_else";
  }
  return "";
}

}  // namespace scheduler::links
