// Checked access to JSON documents, shared by every message of this package.
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

// Parses `text` into `document`; true when it is a JSON object. Nesting of any depth is safe.
bool parse_object(std::string_view text, rapidjson::Document& document);

// The member, or nullptr when it is absent or null ("may be null" means "may be omitted").
const Json* member(const Json& object, const char* name);

// Reads the member `name` into `out`; false when it is absent, null or of another type. `out` keeps
// its value then, except that read_amount and read of a double may leave a number out of range.
bool read(const Json& object, const char* name, std::string& out);
bool read(const Json& object, const char* name, bool& out);
bool read(const Json& object, const char* name, std::uint64_t& out);
bool read(const Json& object, const char* name, std::uint32_t& out);
// Any finite number.
bool read(const Json& object, const char* name, double& out);
// A finite number that is not negative.
bool read_amount(const Json& object, const char* name, double& out);

// Bytes of the longest name: of a class, team, image, machine type, machine or zone.
constexpr std::size_t kMaxNameLength = 128;

// Reads the required fields of one object, one after the other. The first that is wrong is the
// error; fields asked for after it are left alone, so that one check at the end is enough.
class FieldReader {
 public:
  explicit FieldReader(const Json& object) : object_(object) {}

  // A field of the type of `out`.
  template <typename Value>
  FieldReader& required(const char* field, Value& out) {
    return require(!failed() && read(object_, field, out), field, expected_for(out));
  }
  // A finite number that is not negative.
  FieldReader& amount(const char* field, double& out);
  // A text of 1 to kMaxNameLength bytes.
  FieldReader& name(const char* field, std::string& out);
  // Notes `field` as the error unless `holds`, if there was none before.
  FieldReader& require(bool holds, const char* field, std::string_view expected);

  [[nodiscard]] bool failed() const { return error_.has_value(); }
  // Only if `failed()`.
  [[nodiscard]] const DecodeError& error() const { return *error_; }

 private:
  const Json& object_;
  std::optional<DecodeError> error_;
};

// The path of an array's element in an error: loads[2].
std::string element_path(std::string_view array, std::size_t index);

// Write one member of the object that `writer` is in.
void put(Writer& writer, const char* name, std::string_view value);
void put(Writer& writer, const char* name, double value);
void put(Writer& writer, const char* name, std::uint64_t value);
void put_bool(Writer& writer, const char* name, bool value);
// Writes a text as an element of an array, or as the value of a key already written.
void put_text(Writer& writer, std::string_view value);

// Compact text of a JSON value.
std::string text_of(const Json& value);

// Text of an object whose members `fill(writer)` writes.
template <typename Fill>
std::string object(Fill&& fill) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  fill(writer);
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

// {"error": reason}: the body of every reply that refuses a request.
std::string error_body(std::string_view reason);

}  // namespace scheduler::wire
