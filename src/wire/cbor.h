// Helpers over libcbor for encoding and decoding the CBOR messages between controllers.
#pragma once

#include <cbor.h>

#include <cmath>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace scheduler::wire::cbor {

// Deleter that releases one reference to a libcbor item.
struct ItemDeleter {
  void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
// Owns one reference to a libcbor item.
using Item = std::unique_ptr<cbor_item_t, ItemDeleter>;

Item text(std::string_view value);
// Adds an entry to a map or an element to an array. Returns false if the value is null or the
// container is full.
bool add(cbor_item_t* map, std::string_view key, const Item& value);
bool append(cbor_item_t* array, const Item& value);
// Returns the CBOR encoding of an item, or an empty string if libcbor can't serialize it.
std::string serialize(const Item& item);

// Parses a CBOR map. Returns null if the bytes are not a map or are truncated; bytes after the map
// are ignored.
Item parse_map(std::string_view bytes);
// Returns the value of a key, or null if the map has no such key.
const cbor_item_t* find(const cbor_item_t* map, std::string_view key);
// Converts an item. Returns nullopt if the item is null or has another type.
std::optional<std::string> as_text(const cbor_item_t* item);
std::optional<std::uint64_t> as_number(const cbor_item_t* item);
// Reads the value of a key into `out`. Returns false if the key is missing, if its value has
// another type, or if a double is not finite.
bool read(const cbor_item_t* map, std::string_view key, std::string& out);
bool read(const cbor_item_t* map, std::string_view key, std::uint64_t& out);
bool read(const cbor_item_t* map, std::string_view key, bool& out);
bool read(const cbor_item_t* map, std::string_view key, double& out);
// Calls the callback for each entry of the map (or element of the array) that is the value of
// `key`, until the callback returns false. Returns false if the callback did, if the value is not a
// map (or array), or if a key of the inner map is not a string. A missing key counts as an empty
// container.
bool for_each_entry(
    const cbor_item_t* map, std::string_view key,
    const std::function<bool(const std::string& name, const cbor_item_t* value)>& entry);
bool for_each_element(const cbor_item_t* map, std::string_view key,
                      const std::function<bool(const cbor_item_t* value)>& element);

}  // namespace scheduler::wire::cbor
