// Cutting groups of machines whose records have grown over the state service's limit on values.
//
// Machines share records by groups (wire/records.h). A lowered limit leaves groups that can be read
// but no longer written. A group is split by one transaction, so that every machine is in just one
// group at any moment; what controllers have recorded of its machines follows in transactions of
// their own, and counts wherever it stands until then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "wire/records.h"

namespace scheduler {

using FleetRecords = std::map<std::uint32_t, wire::FleetRecord>;  // by group

struct GroupLimits {
  std::size_t machines = 1;     // of one group
  std::size_t value_bytes = 0;  // of one record
  std::size_t records = 1;      // in one transaction
};

// The records to write so that `group` holds no more machines than the limit and others, not in use
// yet, hold the rest. None if it holds no more now, or if one transaction cannot carry it.
std::optional<FleetRecords> split_group(const FleetRecords& fleet, std::uint32_t group,
                                        const GroupLimits& limits);

}  // namespace scheduler
