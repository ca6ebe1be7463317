// Requests to the state service, the consensus-backed key-value store, and its replies.
//
// Words of PROTOCOL that stand in paths and fields, and the terms used for them in this code:
//
//   hold, permit    session lease, and the id of one
//   lifeMs, extend  time to live of a lease; renewing it
//   ledger          revision: the number of changes made so far
//   stamp           version of a key: the revision at which it was last written
//   guards          compare-and-swap conditions of a transaction
//   pairs           items, each a key with its value
//   starts, most    prefix of the keys on a page; the number of items at most
//   blockMs         how long a watch is left open while nothing changes
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/decode_error.h"

namespace scheduler::wire {

// Bytes of one transaction's body (PROTOCOL allows 64 KiB), with room for its frame.
constexpr std::size_t kTransactionBytes = std::size_t{56} * 1024;
// Conditions allowed in a transaction for each of the writes allowed (PROTOCOL).
constexpr std::size_t kConditionsPerWrite = 4;

// A compare-and-swap condition: the key is still at this version.
struct Compare {
  std::string key;
  std::uint64_t version = 0;  // 0: must not exist
};

struct Write {
  std::string key;
  std::optional<std::string> value;       // JSON text; none: delete
  std::optional<std::uint64_t> lease_id;  // the key is deleted when this session lease ends
};

// A key's value, or that it was deleted, as of a revision.
struct StoredItem {
  std::string key;
  std::optional<std::string> value;  // none: deleted
  std::uint64_t version = 0;
};

// One page of the items under a prefix, in the order of their keys.
struct Page {
  std::vector<StoredItem> items;
  bool more = false;           // further items follow the last of these
  std::uint64_t revision = 0;  // at which the page was read
};

// What a watch brings: every change after the revision asked for, up to `revision`.
struct WatchEvents {
  std::vector<StoredItem> items;
  std::uint64_t revision = 0;
};

// Reply to a transaction of which a condition failed; nothing of it was written.
struct Conflict {
  std::uint64_t revision = 0;  // at which the conditions were checked
  std::vector<std::string> failed_keys;
};

std::string transaction_body(const std::vector<Compare>& conditions,
                             const std::vector<Write>& writes);
std::string lease_body(std::uint64_t life_ms);

// The revision that a reply names: of a committed transaction, or of a key that does not exist.
Decoded<std::uint64_t> parse_revision(std::string_view body);
Decoded<Conflict> parse_conflict(std::string_view body);
Decoded<std::uint64_t> parse_lease_id(std::string_view body);
Decoded<StoredItem> parse_item(std::string_view body);
Decoded<Page> parse_page(std::string_view body);
Decoded<WatchEvents> parse_events(std::string_view body);

std::string item_path(std::string_view key);
// Up to `most` items under the prefix, from the one that follows the key `after`; "": from the
// first.
std::string page_path(std::string_view prefix, std::string_view after, std::uint32_t most);
// Changes of any key after that revision; the reply comes with the first, or after `wait_ms`.
std::string watch_path(std::uint64_t after, std::uint64_t wait_ms);
constexpr const char* kTransactionPath = "/multi";
constexpr const char* kLeasesPath = "/holds";
std::string renew_lease_path(std::uint64_t lease_id);

}  // namespace scheduler::wire
