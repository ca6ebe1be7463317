#include "wire/state_service.h"

#include <charconv>

#include "wire/json.h"

namespace scheduler::wire {
namespace {

bool read_item(const Json& o, StoredItem& out, const char* key_field) {
  const Json* v = member(o, "v");
  if (!v || !read(o, key_field, out.key)) return false;
  out.value = text_of(*v);
  return read(o, "stamp", out.version);
}

}  // namespace

std::string transaction_body(const std::vector<Compare>& conditions,
                             const std::vector<Write>& writes) {
  return object([&](Writer& w) {
    w.Key("guards");
    w.StartArray();
    for (const Compare& g : conditions) {
      w.StartObject();
      put(w, "k", g.key);
      put(w, "stamp", g.version);
      w.EndObject();
    }
    w.EndArray();
    w.Key("writes");
    w.StartArray();
    for (const Write& x : writes) {
      w.StartObject();
      if (x.value) {
        put(w, "write", x.key);
        w.Key("v");
        w.RawValue(x.value->data(), x.value->size(), rapidjson::kObjectType);
        if (x.lease_id) put(w, "permit", *x.lease_id);
      } else {
        put(w, "remove", x.key);
      }
      w.EndObject();
    }
    w.EndArray();
  });
}

bool parse_revision(std::string_view body, std::uint64_t& revision) {
  rapidjson::Document doc;
  return parse_object(body, doc) && read(doc, "ledger", revision);
}

bool parse_conflict(std::string_view body, std::uint64_t& revision,
                    std::vector<std::string>& failed) {
  rapidjson::Document doc;
  failed.clear();
  if (!parse_object(body, doc) || !read(doc, "ledger", revision)) return false;
  const Json* f = member(doc, "failed");
  if (!f || !f->IsArray()) return false;
  for (const Json& k : f->GetArray()) {
    if (!k.IsString()) return false;
    failed.emplace_back(k.GetString(), k.GetStringLength());
  }
  return true;
}

bool parse_lease_id(std::string_view body, std::uint64_t& lease_id) {
  rapidjson::Document doc;
  return parse_object(body, doc) && read(doc, "permit", lease_id);
}

std::string lease_body(std::uint64_t life_ms) {
  return object([&](Writer& w) { put(w, "lifeMs", life_ms); });
}

bool parse_item(std::string_view body, StoredItem& out) {
  rapidjson::Document doc;
  return parse_object(body, doc) && read_item(doc, out, "k");
}

bool parse_page(std::string_view body, std::vector<StoredItem>& out, bool& more,
                std::uint64_t& revision) {
  rapidjson::Document doc;
  if (!parse_object(body, doc) || !read(doc, "hasNext", more) || !read(doc, "ledger", revision))
    return false;
  const Json* pairs = member(doc, "pairs");
  if (!pairs || !pairs->IsArray()) return false;
  for (const Json& p : pairs->GetArray()) {
    StoredItem item;
    if (!read_item(p, item, "k")) return false;
    out.push_back(std::move(item));
  }
  return true;
}

bool parse_events(std::string_view body, std::vector<StoredItem>& out, std::uint64_t& revision) {
  rapidjson::Document doc;
  if (!parse_object(body, doc) || !read(doc, "ledger", revision)) return false;
  const Json* events = member(doc, "events");
  if (!events) return true;
  if (!events->IsArray()) return false;
  for (const Json& e : events->GetArray()) {
    StoredItem item;
    if (member(e, "write")) {
      if (!read_item(e, item, "write")) return false;
    } else if (!read(e, "remove", item.key) || !read(e, "stamp", item.version)) {
      return false;
    }
    out.push_back(std::move(item));
  }
  return true;
}

std::string item_path(std::string_view key) { return "/store/" + std::string(key); }

std::string page_path(std::string_view prefix, std::string_view after, std::uint32_t most) {
  std::string path = "/store?starts=" + std::string(prefix) + "&most=" + std::to_string(most);
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
