// Errors of the decoders for messages and records.
//
// Naming of the decoders in src/wire: parse_NAME(text) reads a message from a user, a worker or the
// cloud, or a key or name; decode<Type>(text) reads a stored record or a message between
// controllers. Both return the value or an error that names the first invalid field.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace scheduler::wire {

// The first invalid field and what the decoder expected there.
struct DecodeError {
  // Path of the field in the format's own names, such as loads[2].status; empty if the whole text
  // is invalid.
  std::string field;
  std::string expected;  // such as "a JSON object" or "a number that is not negative"

  // Formats the error as one line for the log.
  [[nodiscard]] std::string message() const {
    return (field.empty() ? std::string() : field + ": ") + "expected " + expected;
  }

  // Returns this error with `path` prepended, where `path` is the field or array element of the
  // enclosing value that was being decoded.
  [[nodiscard]] DecodeError within(const std::string& path) const {
    return {field.empty() ? path : path + "." + field, expected};
  }
};

// The decoded value or the error.
template <typename Value>
using Decoded = tl::expected<Value, DecodeError>;

// Creates an error that a decoder can return directly.
inline tl::unexpected<DecodeError> decode_error(std::string field, std::string expected) {
  return tl::unexpected(DecodeError{std::move(field), std::move(expected)});
}

// Returns the `expected` text of errors for a field of this C++ type.
inline const char* expected_for(const std::string& /*out*/) { return "a text"; }
inline const char* expected_for(bool /*out*/) { return "true or false"; }
inline const char* expected_for(std::uint64_t /*out*/) {
  return "a whole number that is not negative";
}
inline const char* expected_for(std::uint32_t /*out*/) {
  return "a whole number of at most 32 bits";
}
inline const char* expected_for(double /*out*/) { return "a finite number"; }

// Decodes a stored record or a message between controllers. Each type has a specialization that is
// declared next to it. Unknown fields are ignored.
template <typename Value>
Decoded<Value> decode(std::string_view text) = delete;

}  // namespace scheduler::wire
