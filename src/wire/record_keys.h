// Keys of the records that controllers keep in the state service. Versions that serve side by side
// read each other's: the keys are a format and stay as they are. Some are older than the terms used
// here: "part" is a shard, "claim" a shard write guard, "hire" a scale-out request and "over" a
// final state; the permits that the state service attaches keys to are session leases.
//
// view              the cluster view: the live controllers and the epoch
// live/NAME         a controller's session: its incarnation and the epoch that it acts on; attached
//                   to its session lease
// job/ID            an accepted job without a final state, and how its tasks were first divided
// range/ID/N        a range of a job's tasks: bitmap of those done, and placements; written when
// one
//                   of them is first placed
// fleet/G           the rented machines of group G; written by the fleet's leader alone
// part/NAME/G       the shard of controller NAME: what it has heard from machines of group G, and
//                   decided on them
// claim/NAME        the write guard of NAME's shard, stamped whenever another controller places
// tasks
//                   on its machines
// hire/NAME         a scale-out request that may be under way
// quota/TEAM        quota leases: shares of a team's limit, held by controllers
// catalog           the machine types as last read from the cloud
// formats           the format of records that all controllers read; written once all announce it
// over/ID           the final state of a job, kept for ever
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
constexpr std::string_view kJobPrefixKey = "job/";
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

// What the key of a range says.
struct RangeKey {
  std::string job;
  std::uint32_t number = 0;  // of the range within its job
};
std::string range_key(std::string_view job, std::uint32_t number);
// Needs a valid job id and a number of 32 bits.
Decoded<RangeKey> parse_range_key(std::string_view key);

std::string fleet_key(std::uint32_t group);
// The group of machines; needs a number of 32 bits.
Decoded<std::uint32_t> parse_fleet_key(std::string_view key);

// What the key of a shard's record says.
struct ShardKey {
  std::string controller;  // whose shard it is
  std::uint32_t group = 0;
};
std::string shard_key(std::string_view controller, std::uint32_t group);
// The controller is what stands before the last slash; needs a group of 32 bits after it.
Decoded<ShardKey> parse_shard_key(std::string_view key);

}  // namespace scheduler::wire
