#include "wire/record_keys.h"

#include <charconv>

#include "wire/messages.h"

namespace scheduler::wire {

std::string job_key(std::string_view id) { return std::string(kJobPrefixKey) + std::string(id); }
std::string final_state_key(std::string_view id) {
  return std::string(kFinalStatePrefix) + std::string(id);
}
std::string range_key(std::string_view job, std::uint32_t number) {
  return std::string(kRangePrefix) + std::string(job) + "/" + std::to_string(number);
}

std::string scale_out_key(std::string_view name) {
  return std::string(kScaleOutPrefix).append(name);
}

std::string fleet_key(std::uint32_t group) {
  return std::string(kFleetPrefix) + std::to_string(group);
}
std::string shard_key(std::string_view controller, std::uint32_t group) {
  return std::string(kShardPrefix) + std::string(controller) + "/" + std::to_string(group);
}
std::string shard_guard_key(std::string_view controller) {
  return std::string(kShardGuardPrefix) + std::string(controller);
}

bool parse_fleet_key(std::string_view key, std::uint32_t& group) {
  if (!key.starts_with(kFleetPrefix)) return false;
  key.remove_prefix(kFleetPrefix.size());
  auto [end, error] = std::from_chars(key.data(), key.data() + key.size(), group);
  return error == std::errc{} && end == key.data() + key.size();
}

bool parse_shard_key(std::string_view key, std::string& controller, std::uint32_t& group) {
  const auto slash = key.rfind('/');
  if (!key.starts_with(kShardPrefix) || slash < kShardPrefix.size()) return false;
  controller = key.substr(kShardPrefix.size(), slash - kShardPrefix.size());
  const std::string_view number = key.substr(slash + 1);
  auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), group);
  return error == std::errc{} && end == number.data() + number.size();
}

bool parse_range_key(std::string_view key, std::string& job, std::uint32_t& number) {
  if (!key.starts_with(kRangePrefix)) return false;
  TaskId id;
  if (!parse_task_name(key.substr(kRangePrefix.size()), id)) return false;
  job = id.job;
  number = id.index;
  return true;
}

}  // namespace scheduler::wire
