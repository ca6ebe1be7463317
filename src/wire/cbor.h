// Helpers for messages in CBOR, over libcbor. Used by the messages between controllers.
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

// Gives up the reference that an Item holds.
struct Release {
  void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
// An item of libcbor, with one reference of its own.
using Item = std::unique_ptr<cbor_item_t, Release>;

Item text(std::string_view value);
// Adds an entry to a map, or an element to an array; false if it is full.
bool add(cbor_item_t* map, std::string_view key, const Item& value);
bool append(cbor_item_t* array, const Item& value);
// The bytes of an item; empty if they can't be had.
std::string bytes_of(const Item& item);

// A map from bytes; null if they are no map, or a part of one. What follows the map is ignored.
Item parse_map(std::string_view bytes);
// The value of a key, or null.
const cbor_item_t* find(const cbor_item_t* map, std::string_view key);
// Of a value of that type; none otherwise.
std::optional<std::string> as_text(const cbor_item_t* item);
std::optional<std::uint64_t> as_number(const cbor_item_t* item);
// Reads the value of a key; false if it is missing or of another type. A double must be finite.
bool read(const cbor_item_t* map, std::string_view key, std::string& out);
bool read(const cbor_item_t* map, std::string_view key, std::uint64_t& out);
bool read(const cbor_item_t* map, std::string_view key, bool& out);
bool read(const cbor_item_t* map, std::string_view key, double& out);
// Calls `entry` for each entry of a map, or each element of an array, until it returns false. False
// if it did, if the key's value is no map or array, or if a name in the map is no text; a missing
// key is an empty one.
bool each_entry(
    const cbor_item_t* map, std::string_view key,
    const std::function<bool(const std::string& name, const cbor_item_t* value)>& entry);
bool each_element(const cbor_item_t* map, std::string_view key,
                  const std::function<bool(const cbor_item_t* value)>& element);

}  // namespace scheduler::wire::cbor
