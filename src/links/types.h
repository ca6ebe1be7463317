// Types shared by the link monitoring.
#pragma once

#include <cstdint>

#include "wire/link_row.h"

namespace scheduler::links {

using Ms = std::int64_t;  // milliseconds of the steady clock, unless named otherwise
using Status = wire::LinkStatus;

}  // namespace scheduler::links
