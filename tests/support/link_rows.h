// Builds a controller's row of the link matrix.
#pragma once

#include <cstdint>
#include <string>

#include "links/monitor.h"
#include "wire/peer.h"

namespace scheduler::links {

inline wire::LinkRow row_of(const std::string& name, Ms as_of, Status state) {
  wire::LinkRow row;
  row.controller = name;
  row.as_of_ms = static_cast<std::uint64_t>(as_of);
  row.state = state;
  return row;
}

}  // namespace scheduler::links
