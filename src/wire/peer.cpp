#include "wire/peer.h"

#include <cbor.h>

#include <cmath>
#include <memory>

namespace puffinhaven::wire {

namespace {

struct Release {
  void operator()(cbor_item_t* item) const { cbor_decref(&item); }
};
using Item = std::unique_ptr<cbor_item_t, Release>;

Item text(std::string_view s) { return Item(cbor_build_stringn(s.data(), s.size())); }

bool add(cbor_item_t* map, const char* key, Item value) {
  Item name = text(key);
  // The map takes references of its own.
  return cbor_map_add(map, {name.get(), value.get()});
}

const cbor_item_t* find(const cbor_item_t* map, std::string_view key) {
  const cbor_pair* pairs = cbor_map_handle(map);
  for (std::size_t i = 0; i < cbor_map_size(map); ++i) {
    const cbor_item_t* k = pairs[i].key;
    if (!cbor_isa_string(k) || !cbor_string_is_definite(k)) continue;
    if (std::string_view(reinterpret_cast<const char*>(cbor_string_handle(k)),
                         cbor_string_length(k)) == key)
      return pairs[i].value;
  }
  return nullptr;
}

bool read(const cbor_item_t* map, std::string_view key, std::string& out) {
  const cbor_item_t* v = find(map, key);
  if (!v || !cbor_isa_string(v) || !cbor_string_is_definite(v)) return false;
  out.assign(reinterpret_cast<const char*>(cbor_string_handle(v)), cbor_string_length(v));
  return true;
}

bool read(const cbor_item_t* map, std::string_view key, std::uint64_t& out) {
  const cbor_item_t* v = find(map, key);
  if (!v || !cbor_isa_uint(v)) return false;
  out = cbor_get_int(v);
  return true;
}

bool read(const cbor_item_t* map, std::string_view key, bool& out) {
  const cbor_item_t* v = find(map, key);
  if (!v || !cbor_is_bool(v)) return false;
  out = cbor_get_bool(v);
  return true;
}

bool read(const cbor_item_t* map, std::string_view key, double& out) {
  const cbor_item_t* v = find(map, key);
  if (!v || !cbor_isa_float_ctrl(v) || !cbor_is_float(v)) return false;
  out = cbor_float_get_float(v);
  return std::isfinite(out);
}

}  // namespace

std::string encode(const PeerHint& hint) {
  Item map(cbor_new_definite_map(6));
  bool ok = add(map.get(), "from", text(hint.from));
  ok = ok && add(map.get(), "incarnation", text(hint.incarnation));
  ok = ok && add(map.get(), "epoch", Item(cbor_build_uint64(hint.epoch)));
  ok = ok && add(map.get(), "state", Item(cbor_build_bool(hint.state_answers)));
  ok = ok && add(map.get(), "free", Item(cbor_build_float8(hint.free_cpus)));
  ok = ok && add(map.get(), "sent", Item(cbor_build_uint64(hint.sent_ms)));
  if (!ok) return {};
  unsigned char* data = nullptr;
  std::size_t capacity = 0;
  const std::size_t size = cbor_serialize_alloc(map.get(), &data, &capacity);
  std::string out(reinterpret_cast<const char*>(data), size);
  free(data);  // NOLINT: libcbor allocates with malloc
  return out;
}

bool decode(std::string_view bytes, PeerHint& hint) {
  cbor_load_result result{};
  Item item(cbor_load(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), &result));
  if (!item || result.error.code != CBOR_ERR_NONE || !cbor_isa_map(item.get())) return false;
  return read(item.get(), "from", hint.from) && read(item.get(), "incarnation", hint.incarnation) &&
         read(item.get(), "epoch", hint.epoch) && read(item.get(), "state", hint.state_answers) &&
         read(item.get(), "free", hint.free_cpus) && read(item.get(), "sent", hint.sent_ms);
}

}  // namespace puffinhaven::wire
