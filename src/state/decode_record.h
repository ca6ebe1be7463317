// Decodes the value of a key that may have been deleted.
#pragma once

#include <optional>
#include <string>

#include "wire/decode_error.h"

namespace scheduler {

// Decodes the record of a key. Returns an empty record if the key was deleted.
template <typename Record>
wire::Decoded<Record> decode_or_empty(const std::optional<std::string>& value) {
  return value ? wire::decode<Record>(*value) : Record{};
}

// Decodes the record of a key that is never deleted. Returns an error if there is no value.
template <typename Record>
wire::Decoded<Record> decode_present(const std::optional<std::string>& value) {
  return value ? wire::decode<Record>(*value) : wire::decode_error("", "a record");
}

}  // namespace scheduler
