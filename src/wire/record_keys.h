// Keys of the records that controllers keep in the state service. Different versions run side by
// side and read each other's records, so the keys must not change. Some key names differ from the
// terms in the code: "part" is a shard, "claim" a shard write guard, "hire" a scale-out request and
// "over" a final state. A key may be attached to a session lease, which the state service calls a
// permit.
//
// view              the cluster view: the live controllers and the epoch
// live/NAME         a controller's session: its incarnation and the epoch of the view that it acts
//                   on; attached to its session lease
// job/ID            an accepted job without a final state, and the initial ranges of its tasks
// range/ID/N        a range of a job's tasks: bitmap of finished tasks, and placements; written
//                   when a task of the range is first placed
// fleet/G           the rented machines of group G; only the fleet leader writes it
// part/NAME/G       the shard of controller NAME in group G: the address and incarnation that each
//                   machine last reported, and the state that the controller decided on
// claim/NAME        the write guard of NAME's shard; written whenever another controller places
//                   tasks on machines of that shard
// hire/NAME         a scale-out request that may be in progress
// quota/TEAM        quota leases: the parts of a team's limit that controllers hold
// catalog           the machine types as last read from the cloud
// formats           the record format that all controllers read; written once all announce it
// over/ID           the final state of a job; never deleted
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wire/decode_error.h"

namespace scheduler::wire {

constexpr std::string_view kViewKey = "view";
constexpr std::string_view kCatalogKey = "catalog";
constexpr std::string_view kFormatKey = "formats";
constexpr std::string_view kLivePrefix = "live/";
constexpr std::string_view kJobPrefix = "job/";
constexpr std::string_view kRangePrefix = "range/";
constexpr std::string_view kFleetPrefix = "fleet/";
constexpr std::string_view kShardPrefix = "part/";
constexpr std::string_view kShardGuardPrefix = "claim/";
constexpr std::string_view kScaleOutPrefix = "hire/";
constexpr std::string_view kQuotaPrefix = "quota/";
constexpr std::string_view kFinalStatePrefix = "over/";

std::string job_key(std::string_view id);
std::string final_state_key(std::string_view id);
std::string scale_out_key(std::string_view name);
std::string shard_guard_key(std::string_view controller);

// The parts of a range record's key.
struct RangeKey {
  std::string job;
  std::uint32_t number = 0;  // number of the range within the job
};
std::string range_key(std::string_view job, std::uint32_t number);
// Requires a valid job id and a 32-bit number.
Decoded<RangeKey> parse_range_key(std::string_view key);

std::string fleet_key(std::uint32_t group);
// Returns the number of the machine group. Requires a 32-bit number.
Decoded<std::uint32_t> parse_fleet_key(std::string_view key);

// The parts of a shard record's key.
struct ShardKey {
  std::string controller;  // the owner of the shard
  std::uint32_t group = 0;
};
std::string shard_key(std::string_view controller, std::uint32_t group);
// The last slash separates the controller's name from the group, which must be a 32-bit number.
Decoded<ShardKey> parse_shard_key(std::string_view key);

}  // namespace scheduler::wire
