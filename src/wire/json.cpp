#include "wire/json.h"

#include <cmath>

namespace scheduler::wire {

bool parse_object(std::string_view text, rapidjson::Document& document) {
  // Iterative parsing keeps deeply nested input from overflowing the stack.
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
      text.data(), text.size());
  return !document.HasParseError() && document.IsObject();
}

const Json* member(const Json& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || found->value.IsNull()) return nullptr;
  return &found->value;
}

bool read(const Json& object, const char* name, std::string& out) {
  const Json* value = member(object, name);
  if (!value || !value->IsString()) return false;
  out.assign(value->GetString(), value->GetStringLength());
  return true;
}

bool read(const Json& object, const char* name, bool& out) {
  const Json* value = member(object, name);
  if (!value || !value->IsBool()) return false;
  out = value->GetBool();
  return true;
}

bool read(const Json& object, const char* name, std::uint64_t& out) {
  const Json* value = member(object, name);
  if (!value || !value->IsUint64()) return false;
  out = value->GetUint64();
  return true;
}

bool read(const Json& object, const char* name, std::uint32_t& out) {
  const Json* value = member(object, name);
  if (!value || !value->IsUint()) return false;
  out = value->GetUint();
  return true;
}

bool read(const Json& object, const char* name, double& out) {
  const Json* value = member(object, name);
  if (!value || !value->IsNumber()) return false;
  out = value->GetDouble();
  return std::isfinite(out);
}

bool read_amount(const Json& object, const char* name, double& out) {
  return read(object, name, out) && out >= 0.0;
}

FieldReader& FieldReader::amount(const char* field, double& out) {
  return require(!failed() && read_amount(object_, field, out), field,
                 "a number that is not negative");
}

FieldReader& FieldReader::name(const char* field, std::string& out) {
  const bool is_name =
      !failed() && read(object_, field, out) && !out.empty() && out.size() <= kMaxNameBytes;
  return require(is_name, field, "a text of 1 to 128 bytes");
}

FieldReader& FieldReader::require(bool holds, const char* field, std::string_view expected) {
  if (!holds && !failed()) error_ = DecodeError{field, std::string(expected)};
  return *this;
}

std::string element_path(std::string_view array, std::size_t index) {
  return std::string(array) + "[" + std::to_string(index) + "]";
}

void put_text(Writer& writer, std::string_view value) {
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void put(Writer& writer, const char* name, std::string_view value) {
  writer.Key(name);
  put_text(writer, value);
}

void put(Writer& writer, const char* name, double value) {
  writer.Key(name);
  writer.Double(value);
}

void put(Writer& writer, const char* name, std::uint64_t value) {
  writer.Key(name);
  writer.Uint64(value);
}

void put_bool(Writer& writer, const char* name, bool value) {
  writer.Key(name);
  writer.Bool(value);
}

std::string text_of(const Json& value) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

std::string error_body(std::string_view reason) {
  return object([&](Writer& writer) { put(writer, "error", reason); });
}

}  // namespace scheduler::wire
