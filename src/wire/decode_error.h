// Why a message or a record could not be read.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace scheduler::wire {

// Names the first field that is wrong and what was expected of it.
struct DecodeError {
  std::string field;     // as the format names it; empty: the text as a whole
  std::string expected;  // "a JSON object", "a number that is not negative"

  // One line for the log.
  std::string message() const {
    return (field.empty() ? std::string() : field + ": ") + "expected " + expected;
  }
};

// A value that was read, or the error.
template <typename Value>
using Decoded = tl::expected<Value, DecodeError>;

// The error of a decoder, to be returned from it.
inline tl::unexpected<DecodeError> decode_error(std::string field, std::string expected) {
  return tl::unexpected(DecodeError{std::move(field), std::move(expected)});
}

}  // namespace scheduler::wire
