#include "wire/record_keys.h"

#include <charconv>
#include <optional>
#include <utility>

#include "wire/messages.h"

namespace scheduler::wire {
namespace {

// Parses the whole text as a 32-bit decimal number.
std::optional<std::uint32_t> parse_number(std::string_view text) {
  std::uint32_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return number;
}

}  // namespace

std::string job_key(std::string_view id) { return std::string(kJobPrefix) + std::string(id); }
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

Decoded<std::uint32_t> parse_fleet_key(std::string_view key) {
  std::optional<std::uint32_t> group;
  if (key.starts_with(kFleetPrefix)) group = parse_number(key.substr(kFleetPrefix.size()));
  if (!group) return decode_error("key", "fleet/GROUP");
  return *group;
}

Decoded<ShardKey> parse_shard_key(std::string_view key) {
  const auto malformed = [] { return decode_error("key", "part/CONTROLLER/GROUP"); };
  const auto slash = key.rfind('/');
  if (!key.starts_with(kShardPrefix) || slash < kShardPrefix.size()) return malformed();
  const auto group = parse_number(key.substr(slash + 1));
  if (!group) return malformed();
  const auto controller = key.substr(kShardPrefix.size(), slash - kShardPrefix.size());
  return ShardKey{std::string(controller), *group};
}

Decoded<RangeKey> parse_range_key(std::string_view key) {
  const auto malformed = [] { return decode_error("key", "range/JOB/NUMBER"); };
  if (!key.starts_with(kRangePrefix)) return malformed();
  // JOB/NUMBER has the form of a task's name.
  auto range = parse_task_name(key.substr(kRangePrefix.size()));
  if (!range) return malformed();
  return RangeKey{std::move(range->job), range->index};
}

}  // namespace scheduler::wire
