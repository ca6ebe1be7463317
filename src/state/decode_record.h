// Decoding the value of a key, which may have been deleted.
#pragma once

#include <optional>
#include <string>

#include "wire/decode_error.h"

namespace scheduler {

// The record of a key; an empty one if the key was deleted.
template <typename Record>
wire::Decoded<Record> decode_or_empty(const std::optional<std::string>& value) {
  return value ? wire::decode<Record>(*value) : Record{};
}

// The record of a key that is never deleted.
template <typename Record>
wire::Decoded<Record> decode_present(const std::optional<std::string>& value) {
  return value ? wire::decode<Record>(*value) : wire::decode_error("", "a record");
}

}  // namespace scheduler
