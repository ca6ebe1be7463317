// Checked access to JSON documents, shared by every message of this package.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace scheduler::wire {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Parses `text` into `doc`; true when it is a JSON object.
bool parse_object(std::string_view text, rapidjson::Document& doc);

// The member, or nullptr when it is absent or null ("may be null" means "may be omitted").
const Json* member(const Json& object, const char* name);

bool read(const Json& object, const char* name, std::string& out);
bool read(const Json& object, const char* name, bool& out);
bool read(const Json& object, const char* name, std::uint64_t& out);
bool read(const Json& object, const char* name, std::uint32_t& out);
// Any finite number.
bool read(const Json& object, const char* name, double& out);
// A finite number that is not negative.
bool read_amount(const Json& object, const char* name, double& out);

void put(Writer& w, const char* name, std::string_view value);
void put(Writer& w, const char* name, double value);
void put(Writer& w, const char* name, std::uint64_t value);
void put_bool(Writer& w, const char* name, bool value);
void put_text(Writer& w, std::string_view value);

// Compact text of a JSON value.
std::string text_of(const Json& value);

// Text of an object whose members `fill(writer)` writes.
template <typename Fill>
std::string object(Fill&& fill) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  fill(w);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

// {"error": reason}
std::string error_body(std::string_view reason);

}  // namespace scheduler::wire
