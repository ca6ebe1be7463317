#include "wire/cbor.h"

namespace scheduler::wire::cbor {

Item text(std::string_view value) { return Item(cbor_build_stringn(value.data(), value.size())); }

bool add(cbor_item_t* map, std::string_view key, const Item& value) {
  const Item name = text(key);
  // cbor_map_add adds references to the key and the value; both Items keep theirs.
  return value && cbor_map_add(map, {name.get(), value.get()});
}

bool append(cbor_item_t* array, const Item& value) {
  return value && cbor_array_push(array, value.get());
}

std::string serialize(const Item& item) {
  unsigned char* data = nullptr;
  std::size_t capacity = 0;
  const std::size_t size = cbor_serialize_alloc(item.get(), &data, &capacity);
  std::string out(reinterpret_cast<const char*>(data), size);
  free(data);  // NOLINT: libcbor allocates with malloc
  return out;
}

Item parse_map(std::string_view bytes) {
  cbor_load_result result{};
  Item item(cbor_load(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), &result));
  if (!item || result.error.code != CBOR_ERR_NONE || !cbor_isa_map(item.get())) return nullptr;
  return item;
}

const cbor_item_t* find(const cbor_item_t* map, std::string_view key) {
  const cbor_pair* pairs = cbor_map_handle(map);
  for (std::size_t i = 0; i < cbor_map_size(map); ++i) {
    const cbor_item_t* name = pairs[i].key;
    if (!cbor_isa_string(name) || !cbor_string_is_definite(name)) continue;
    if (std::string_view(reinterpret_cast<const char*>(cbor_string_handle(name)),
                         cbor_string_length(name)) == key)
      return pairs[i].value;
  }
  return nullptr;
}

std::optional<std::string> as_text(const cbor_item_t* item) {
  if (!item || !cbor_isa_string(item) || !cbor_string_is_definite(item)) return std::nullopt;
  return std::string(reinterpret_cast<const char*>(cbor_string_handle(item)),
                     cbor_string_length(item));
}

std::optional<std::uint64_t> as_number(const cbor_item_t* item) {
  if (!item || !cbor_isa_uint(item)) return std::nullopt;
  return cbor_get_int(item);
}

bool read(const cbor_item_t* map, std::string_view key, std::string& out) {
  auto value = as_text(find(map, key));
  if (value) out = std::move(*value);
  return value.has_value();
}

bool read(const cbor_item_t* map, std::string_view key, std::uint64_t& out) {
  const auto value = as_number(find(map, key));
  if (value) out = *value;
  return value.has_value();
}

bool read(const cbor_item_t* map, std::string_view key, bool& out) {
  const cbor_item_t* value = find(map, key);
  if (!value || !cbor_is_bool(value)) return false;
  out = cbor_get_bool(value);
  return true;
}

bool read(const cbor_item_t* map, std::string_view key, double& out) {
  const cbor_item_t* value = find(map, key);
  if (!value || !cbor_isa_float_ctrl(value) || !cbor_is_float(value)) return false;
  out = cbor_float_get_float(value);
  return std::isfinite(out);
}

bool for_each_entry(
    const cbor_item_t* map, std::string_view key,
    const std::function<bool(const std::string& name, const cbor_item_t* value)>& entry) {
  const cbor_item_t* inner = find(map, key);
  if (!inner) return true;
  if (!cbor_isa_map(inner)) return false;
  const cbor_pair* pairs = cbor_map_handle(inner);
  for (std::size_t i = 0; i < cbor_map_size(inner); ++i) {
    const auto name = as_text(pairs[i].key);
    if (!name || !entry(*name, pairs[i].value)) return false;
  }
  return true;
}

bool for_each_element(const cbor_item_t* map, std::string_view key,
                      const std::function<bool(const cbor_item_t* value)>& element) {
  const cbor_item_t* inner = find(map, key);
  if (!inner) return true;
  if (!cbor_isa_array(inner)) return false;
  cbor_item_t* const* elements = cbor_array_handle(inner);
  for (std::size_t i = 0; i < cbor_array_size(inner); ++i)
    if (!element(elements[i])) return false;
  return true;
}

}  // namespace scheduler::wire::cbor
