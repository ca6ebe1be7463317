// Why a message or a record could not be read.
//
// How decoders are named, in all of this package: parse_NAME(text) reads a message of users,
// workers or the cloud, or a key or name; decode<Type>(text) reads a stored record or a message
// between controllers. Both return the value, or the first field that is wrong.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <utility>

namespace scheduler::wire {

// Names the first field that is wrong and what was expected of it.
struct DecodeError {
  std::string field;     // as the format names it, with its path: loads[2].status; empty: the text
  std::string expected;  // "a JSON object", "a number that is not negative"

  // One line for the log.
  [[nodiscard]] std::string message() const {
    return (field.empty() ? std::string() : field + ": ") + "expected " + expected;
  }

  // The same error, of a value that is itself the field or element `path` of a larger one.
  [[nodiscard]] DecodeError within(const std::string& path) const {
    return {field.empty() ? path : path + "." + field, expected};
  }
};

// A value that was read, or the error.
template <typename Value>
using Decoded = tl::expected<Value, DecodeError>;

// The error of a decoder, to be returned from it.
inline tl::unexpected<DecodeError> decode_error(std::string field, std::string expected) {
  return tl::unexpected(DecodeError{std::move(field), std::move(expected)});
}

// What is expected of a field that is read into a value of that type.
inline const char* expected_for(const std::string& /*out*/) { return "a text"; }
inline const char* expected_for(bool /*out*/) { return "true or false"; }
inline const char* expected_for(std::uint64_t /*out*/) {
  return "a whole number that is not negative";
}
inline const char* expected_for(std::uint32_t /*out*/) {
  return "a whole number of at most 32 bits";
}
inline const char* expected_for(double /*out*/) { return "a finite number"; }

// Reads a stored record or a message between controllers. Each such type has a specialisation,
// declared beside the type; fields that it doesn't know are ignored.
template <typename Value>
Decoded<Value> decode(std::string_view text) = delete;

}  // namespace scheduler::wire
