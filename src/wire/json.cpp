#include "wire/json.h"

#include <cmath>

namespace scheduler::wire {

bool parse_object(std::string_view text, rapidjson::Document& doc) {
  // Iterative parsing: hostile nesting must not exhaust the stack.
  doc.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(text.data(),
                                                                                    text.size());
  return !doc.HasParseError() && doc.IsObject();
}

const Json* member(const Json& object, const char* name) {
  if (!object.IsObject()) return nullptr;
  auto it = object.FindMember(name);
  if (it == object.MemberEnd() || it->value.IsNull()) return nullptr;
  return &it->value;
}

bool read(const Json& object, const char* name, std::string& out) {
  const Json* v = member(object, name);
  if (!v || !v->IsString()) return false;
  out.assign(v->GetString(), v->GetStringLength());
  return true;
}

bool read(const Json& object, const char* name, bool& out) {
  const Json* v = member(object, name);
  if (!v || !v->IsBool()) return false;
  out = v->GetBool();
  return true;
}

bool read(const Json& object, const char* name, std::uint64_t& out) {
  const Json* v = member(object, name);
  if (!v || !v->IsUint64()) return false;
  out = v->GetUint64();
  return true;
}

bool read(const Json& object, const char* name, std::uint32_t& out) {
  const Json* v = member(object, name);
  if (!v || !v->IsUint()) return false;
  out = v->GetUint();
  return true;
}

bool read(const Json& object, const char* name, double& out) {
  const Json* v = member(object, name);
  if (!v || !v->IsNumber()) return false;
  out = v->GetDouble();
  return std::isfinite(out);
}

bool read_amount(const Json& object, const char* name, double& out) {
  return read(object, name, out) && out >= 0.0;
}

void put_text(Writer& w, std::string_view value) {
  w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void put(Writer& w, const char* name, std::string_view value) {
  w.Key(name);
  put_text(w, value);
}

void put(Writer& w, const char* name, double value) {
  w.Key(name);
  w.Double(value);
}

void put(Writer& w, const char* name, std::uint64_t value) {
  w.Key(name);
  w.Uint64(value);
}

void put_bool(Writer& w, const char* name, bool value) {
  w.Key(name);
  w.Bool(value);
}

std::string text_of(const Json& value) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  value.Accept(w);
  return {buffer.GetString(), buffer.GetSize()};
}

std::string error_body(std::string_view reason) {
  rapidjson::StringBuffer buffer;
  Writer w(buffer);
  w.StartObject();
  put(w, "error", reason);
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace scheduler::wire
