// Splits groups of machines whose records exceed the state service's limit on the size of values.
//
// Each group of machines shares one record (wire/records.h). When the limit is lowered, the records
// of some groups can still be read but no longer written. One transaction splits a group, so that
// every machine belongs to exactly one group at any time. The records that controllers keep of the
// states of these machines are moved by later transactions, and are valid in the old group until
// then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "wire/records.h"

namespace scheduler {

using FleetRecords = std::map<std::uint32_t, wire::FleetRecord>;  // by group

struct GroupLimits {
  std::size_t machines = 1;     // per group
  std::size_t value_bytes = 0;  // per record
  std::size_t records = 1;      // per transaction
};

// The records to write so that `group` keeps about as many machines as the limit allows and unused
// groups take the rest. std::nullopt if the group is within the limit, or if one transaction can't
// write all records.
std::optional<FleetRecords> split_group(const FleetRecords& fleet, std::uint32_t group,
                                        const GroupLimits& limits);

}  // namespace scheduler
