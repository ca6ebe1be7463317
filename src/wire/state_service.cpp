#include "wire/state_service.h"

#include <utility>

#include "wire/json.h"

namespace scheduler::wire {
namespace {

constexpr const char* kExpectedObject = "a JSON object";
constexpr const char* kExpectedNumber = "a whole number that is not negative";
constexpr const char* kExpectedText = "a text";
constexpr const char* kExpectedArray = "an array";

// Parses a reply of which only one numeric field is used.
Decoded<std::uint64_t> parse_number(std::string_view body, const char* field) {
  rapidjson::Document document;
  if (!parse_object(body, document)) return decode_error("", kExpectedObject);
  std::uint64_t number = 0;
  if (!read(document, field, number)) return decode_error(field, kExpectedNumber);
  return number;
}

// Reads an item whose key is in the field `key_field`.
Decoded<StoredItem> read_item(const Json& object, const char* key_field) {
  StoredItem item;
  const Json* value = member(object, "v");
  if (!value) return decode_error("v", "the value of the key");
  if (!read(object, key_field, item.key)) return decode_error(key_field, kExpectedText);
  item.value = text_of(*value);
  if (!read(object, "stamp", item.version)) return decode_error("stamp", kExpectedNumber);
  return item;
}

Decoded<StoredItem> read_event(const Json& event) {
  if (member(event, "write")) return read_item(event, "write");
  StoredItem removed;
  if (!read(event, "remove", removed.key)) return decode_error("remove", kExpectedText);
  if (!read(event, "stamp", removed.version)) return decode_error("stamp", kExpectedNumber);
  return removed;
}

}  // namespace

std::string transaction_body(const std::vector<Compare>& conditions,
                             const std::vector<Write>& writes) {
  return object([&](Writer& writer) {
    writer.Key("guards");
    writer.StartArray();
    for (const Compare& condition : conditions) {
      writer.StartObject();
      put(writer, "k", condition.key);
      put(writer, "stamp", condition.version);
      writer.EndObject();
    }
    writer.EndArray();
    writer.Key("writes");
    writer.StartArray();
    for (const Write& write : writes) {
      writer.StartObject();
      if (write.value) {
        put(writer, "write", write.key);
        writer.Key("v");
        writer.RawValue(write.value->data(), write.value->size(), rapidjson::kObjectType);
        if (write.lease_id) put(writer, "permit", *write.lease_id);
      } else {
        put(writer, "remove", write.key);
      }
      writer.EndObject();
    }
    writer.EndArray();
  });
}

Decoded<std::uint64_t> parse_revision(std::string_view body) {
  return parse_number(body, "ledger");
}

Decoded<Conflict> parse_conflict(std::string_view body) {
  rapidjson::Document document;
  if (!parse_object(body, document)) return decode_error("", kExpectedObject);
  Conflict conflict;
  if (!read(document, "ledger", conflict.revision)) return decode_error("ledger", kExpectedNumber);
  const Json* failed = member(document, "failed");
  if (!failed || !failed->IsArray()) return decode_error("failed", kExpectedArray);
  for (const Json& key : failed->GetArray()) {
    if (!key.IsString()) return decode_error("failed", "keys");
    conflict.failed_keys.emplace_back(key.GetString(), key.GetStringLength());
  }
  return conflict;
}

Decoded<std::uint64_t> parse_lease_id(std::string_view body) {
  return parse_number(body, "permit");
}

std::string lease_body(std::uint64_t ttl_ms) {
  return object([&](Writer& writer) { put(writer, "lifeMs", ttl_ms); });
}

Decoded<StoredItem> parse_item(std::string_view body) {
  rapidjson::Document document;
  if (!parse_object(body, document)) return decode_error("", kExpectedObject);
  return read_item(document, "k");
}

Decoded<Page> parse_page(std::string_view body) {
  rapidjson::Document document;
  if (!parse_object(body, document)) return decode_error("", kExpectedObject);
  Page page;
  if (!read(document, "hasNext", page.more)) return decode_error("hasNext", "true or false");
  if (!read(document, "ledger", page.revision)) return decode_error("ledger", kExpectedNumber);
  const Json* pairs = member(document, "pairs");
  if (!pairs || !pairs->IsArray()) return decode_error("pairs", kExpectedArray);
  for (const Json& pair : pairs->GetArray()) {
    Decoded<StoredItem> item = read_item(pair, "k");
    if (!item) return tl::unexpected(std::move(item.error()));
    page.items.push_back(std::move(*item));
  }
  return page;
}

Decoded<WatchEvents> parse_events(std::string_view body) {
  rapidjson::Document document;
  if (!parse_object(body, document)) return decode_error("", kExpectedObject);
  WatchEvents events;
  if (!read(document, "ledger", events.revision)) return decode_error("ledger", kExpectedNumber);
  const Json* list = member(document, "events");
  if (!list) return events;  // nothing has changed
  if (!list->IsArray()) return decode_error("events", kExpectedArray);
  for (const Json& event : list->GetArray()) {
    Decoded<StoredItem> item = read_event(event);
    if (!item) return tl::unexpected(std::move(item.error()));
    events.items.push_back(std::move(*item));
  }
  return events;
}

std::string item_path(std::string_view key) { return "/store/" + std::string(key); }

std::string page_path(std::string_view prefix, std::string_view after, std::uint32_t limit) {
  std::string path = "/store?starts=" + std::string(prefix) + "&most=" + std::to_string(limit);
  if (!after.empty()) path += "&after=" + std::string(after);
  return path;
}

std::string watch_path(std::uint64_t after, std::uint64_t wait_ms) {
  return "/changes?starts=&after=" + std::to_string(after) + "&blockMs=" + std::to_string(wait_ms);
}

std::string renew_lease_path(std::uint64_t lease_id) {
  return "/holds/" + std::to_string(lease_id) + "/extend";
}

}  // namespace scheduler::wire
