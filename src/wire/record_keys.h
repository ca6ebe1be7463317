// Keys of the records that controllers keep in the state service. Versions that serve side by side
// read each other's: the keys are a format and stay as they are.
//
// view              the live controllers and the epoch
// live/NAME         a controller's hold, with its incarnation and the epoch that it acts on
// job/ID            an accepted job that is not over, and how its tasks were first divided
// range/ID/N        a range of a job's tasks: finished bitmap and placements; written when one of
//                   them is first placed
// fleet/G           the rented machines of group G; written by the fleet's coordinator alone
// part/NAME/G       what controller NAME has heard from machines of group G, and decided on them
// claim/NAME        stamped whenever another controller places tasks on machines of NAME's part
// hire/NAME         a rental request that may be under way
// quota/TEAM        grants of a team's limit to controllers
// catalog           the machine types as last heard from the cloud
// formats           the format of records that all controllers read; written once all announce it
// over/ID           final state of a job, kept for ever
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

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
std::string range_key(std::string_view job, std::uint32_t number);
bool parse_range_key(std::string_view key, std::string& job, std::uint32_t& number);
std::string scale_out_key(std::string_view name);
std::string fleet_key(std::uint32_t group);
bool parse_fleet_key(std::string_view key, std::uint32_t& group);
std::string shard_key(std::string_view controller, std::uint32_t group);
bool parse_shard_key(std::string_view key, std::string& controller, std::uint32_t& group);
std::string shard_guard_key(std::string_view controller);

}  // namespace scheduler::wire
