// Requests to the state service, the consensus-backed key-value store, and its replies.
//
// Names in the paths and fields of the protocol, and the terms for them in the code:
//
//   hold, permit    session lease, and its id
//   lifeMs, extend  time to live of a lease, and the request that renews it
//   ledger          revision: the number of changes made so far
//   stamp           version of a key: the revision at which it was last written
//   guards          compare-and-swap conditions of a transaction
//   pairs           items: keys with their values
//   starts, most    prefix of the keys on a page, and the maximum number of items on it
//   blockMs         how long the service keeps a watch open while nothing changes
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/decode_error.h"

namespace scheduler::wire {

// Maximum size of a transaction's body, in bytes. The service accepts 64 KiB (PROTOCOL); the margin
// leaves room for the framing of the request.
constexpr std::size_t kMaxTransactionBytes = std::size_t{56} * 1024;
// The service allows this many conditions in a transaction for each write that it allows
// (PROTOCOL).
constexpr std::size_t kConditionsPerWrite = 4;

// A compare-and-swap condition: the transaction fails unless the key has this version.
struct Compare {
  std::string key;
  std::uint64_t version = 0;  // 0: the key must not exist
};

struct Write {
  std::string key;
  std::optional<std::string> value;       // JSON text; nullopt: deletes the key
  std::optional<std::uint64_t> lease_id;  // the key is deleted when this session lease ends
};

// A key with its value at a revision, or a deleted key.
struct StoredItem {
  std::string key;
  std::optional<std::string> value;  // nullopt: the key was deleted
  std::uint64_t version = 0;
};

// One page of the items under a prefix, in the order of their keys.
struct Page {
  std::vector<StoredItem> items;
  bool more = false;           // further pages follow
  std::uint64_t revision = 0;  // revision at which the page was read
};

// The reply to a watch request: every change after the requested revision, up to `revision`.
struct WatchEvents {
  std::vector<StoredItem> items;
  std::uint64_t revision = 0;
};

// The reply to a transaction that wrote nothing because a condition failed.
struct Conflict {
  std::uint64_t revision = 0;  // revision at which the conditions were checked
  std::vector<std::string> failed_keys;
};

std::string transaction_body(const std::vector<Compare>& conditions,
                             const std::vector<Write>& writes);
std::string lease_body(std::uint64_t ttl_ms);

// Parses the revision in the reply to a committed transaction or to a read of a key that does not
// exist.
Decoded<std::uint64_t> parse_revision(std::string_view body);
Decoded<Conflict> parse_conflict(std::string_view body);
Decoded<std::uint64_t> parse_lease_id(std::string_view body);
Decoded<StoredItem> parse_item(std::string_view body);
Decoded<Page> parse_page(std::string_view body);
Decoded<WatchEvents> parse_events(std::string_view body);

std::string item_path(std::string_view key);
// Path of a page of up to `limit` items under the prefix. The page begins after the key `after`, or
// with the first item if `after` is empty.
std::string page_path(std::string_view prefix, std::string_view after, std::uint32_t limit);
// Path that watches all keys for changes after the revision `after`. The service replies at the
// first change, or after `wait_ms` milliseconds.
std::string watch_path(std::uint64_t after, std::uint64_t wait_ms);
constexpr const char* kTransactionPath = "/multi";
constexpr const char* kLeasesPath = "/holds";
std::string renew_lease_path(std::uint64_t lease_id);

}  // namespace scheduler::wire
