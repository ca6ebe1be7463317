// Checked reading and writing of JSON, shared by all JSON messages and records in src/wire.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wire/decode_error.h"

namespace scheduler::wire {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Parses `text` into `document`. Returns true if it is a JSON object. Parsing is iterative, so deep
// nesting does not overflow the stack.
bool parse_object(std::string_view text, rapidjson::Document& document);

// Returns the member, or nullptr if it is absent or null; a null member counts as omitted.
const Json* member(const Json& object, const char* name);

// Reads the member `name` into `out`. Returns false if the member is absent, null or of another
// type, and leaves `out` unchanged. When read_amount or read of a double fails because the number
// is out of range, `out` holds that number.
bool read(const Json& object, const char* name, std::string& out);
bool read(const Json& object, const char* name, bool& out);
bool read(const Json& object, const char* name, std::uint64_t& out);
bool read(const Json& object, const char* name, std::uint32_t& out);
// Accepts any finite number.
bool read(const Json& object, const char* name, double& out);
// Accepts any finite number that is not negative.
bool read_amount(const Json& object, const char* name, double& out);

// Longest allowed name of a job class, team, image, machine type, machine or zone, in bytes.
constexpr std::size_t kMaxNameBytes = 128;

// Reads the required fields of one object. Keeps the error of the first invalid field and skips all
// later reads, so that the caller checks for an error once, after the last field.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : object_(object) {}

  // Reads a field whose type matches `out`.
  template <typename Value>
  FieldReader& required(const char* field, Value& out) {
    return require(!failed() && read(object_, field, out), field, expected_for(out));
  }
  // Reads a finite number that is not negative.
  FieldReader& amount(const char* field, double& out);
  // Reads a string of 1 to kMaxNameBytes bytes.
  FieldReader& name(const char* field, std::string& out);
  // Records `field` as invalid if `holds` is false and no earlier error exists.
  FieldReader& require(bool holds, const char* field, std::string_view expected);

  [[nodiscard]] bool failed() const { return error_.has_value(); }
  // Requires failed().
  [[nodiscard]] const DecodeError& error() const { return *error_; }

 private:
  const Json& object_;
  std::optional<DecodeError> error_;
};

// Returns the path of an array element for an error, such as loads[2].
std::string element_path(std::string_view array, std::size_t index);

// Write one member of the object that `writer` has open.
void put(Writer& writer, const char* name, std::string_view value);
void put(Writer& writer, const char* name, double value);
void put(Writer& writer, const char* name, std::uint64_t value);
void put_bool(Writer& writer, const char* name, bool value);
// Writes a string as an array element or as the value of a key that was already written.
void put_text(Writer& writer, std::string_view value);

// Serializes a JSON value without whitespace.
std::string text_of(const Json& value);

// Serializes an object whose members `fill(writer)` writes.
template <typename Fill>
std::string object(Fill&& fill) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  fill(writer);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

// Returns {"error": reason}, the body of every reply that refuses a request.
std::string error_body(std::string_view reason);

}  // namespace scheduler::wire
