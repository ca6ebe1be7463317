// Requests to the state service and its answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace scheduler::wire {

// Bytes of one transaction's body (limit 64 KiB), with room for its frame.
constexpr std::size_t kTransactionBytes = 56 * 1024;
// Conditions per put allowed in a transaction (PROTOCOL).
constexpr std::size_t kConditionsPerWrite = 4;

struct Compare {
  std::string key;
  std::uint64_t version = 0;  // 0: must not exist
};
struct Write {
  std::string key;
  std::optional<std::string> value;       // JSON text; none: delete
  std::optional<std::uint64_t> lease_id;  // the hold that the key is attached to
};
std::string transaction_body(const std::vector<Compare>& conditions,
                             const std::vector<Write>& writes);
bool parse_revision(std::string_view body, std::uint64_t& revision);
bool parse_conflict(std::string_view body, std::uint64_t& revision,
                    std::vector<std::string>& failed);
bool parse_lease_id(std::string_view body, std::uint64_t& lease_id);
std::string lease_body(std::uint64_t life_ms);

struct StoredItem {
  std::string key;
  std::optional<std::string> value;  // none: deleted
  std::uint64_t version = 0;
};
bool parse_item(std::string_view body, StoredItem& out);
bool parse_page(std::string_view body, std::vector<StoredItem>& out, bool& more,
                std::uint64_t& revision);
bool parse_events(std::string_view body, std::vector<StoredItem>& out, std::uint64_t& revision);

std::string item_path(std::string_view key);
std::string page_path(std::string_view prefix, std::string_view after, std::uint32_t most);
std::string watch_path(std::uint64_t after, std::uint64_t wait_ms);
constexpr const char* kTransactionPath = "/multi";
constexpr const char* kLeasesPath = "/holds";
std::string renew_lease_path(std::uint64_t lease_id);

}  // namespace scheduler::wire
