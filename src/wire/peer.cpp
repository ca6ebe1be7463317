#include "wire/peer.h"

#include <optional>
#include <utility>

#include "wire/cbor.h"

namespace scheduler::wire {

namespace {

using cbor::Item;

// Keys of the messages: a format between versions.
constexpr std::string_view kRelayKey = "relay";  // of relayed messages only
constexpr std::uint64_t kRelayReplyTag = 0xff;   // of kRelayKey; requests have their kind
constexpr std::string_view kRowsKey = "links";
constexpr std::string_view kCancelledKey = "cancelled";
// Rows of a gossip message, and entries of a row, that are taken in; the rest of a longer list is
// ignored.
constexpr std::size_t kMostRows = 16;
constexpr std::size_t kMostEntries = 16;
constexpr std::size_t kMostCancelled = 64;
constexpr std::size_t kZoneParts =
    3;  // of a zone in a row: both directions, and the last heartbeat

Item number(std::uint64_t value) { return Item(cbor_build_uint64(value)); }
Item status(LinkStatus value) { return number(static_cast<std::uint64_t>(value)); }

LinkStatus status_of(const cbor_item_t* item) {
  const auto value = cbor::as_number(item);
  const bool known = value && *value <= static_cast<std::uint64_t>(LinkStatus::down);
  return known ? static_cast<LinkStatus>(*value) : LinkStatus::unknown;
}

Item encode_row(const LinkRow& row) {
  constexpr std::size_t kKeys = 7;
  Item map(cbor_new_definite_map(kKeys));
  Item heard(cbor_new_definite_map(row.heard.size()));
  for (const auto& [peer, link] : row.heard) cbor::add(heard.get(), peer, status(link));
  Item workers(cbor_new_definite_map(row.workers.size()));
  for (const auto& [zone, links] : row.workers) {
    Item parts(cbor_new_definite_array(kZoneParts));
    cbor::append(parts.get(), status(links.reports));
    cbor::append(parts.get(), status(links.commands));
    cbor::append(parts.get(), number(links.heard_ms));
    cbor::add(workers.get(), zone, parts);
  }
  cbor::add(map.get(), "name", cbor::text(row.controller));
  cbor::add(map.get(), "at", number(row.as_of_ms));
  cbor::add(map.get(), "state", status(row.state));
  cbor::add(map.get(), "cloud", status(row.cloud));
  cbor::add(map.get(), "relays", Item(cbor_build_bool(row.relays)));
  cbor::add(map.get(), "heard", heard);
  cbor::add(map.get(), "workers", workers);
  return map;
}

// Reads the required entries of one map, one after the other. The first that is wrong is the error;
// entries asked for after it are left alone.
class EntryReader {
 public:
  explicit EntryReader(const cbor_item_t* map) : map_(map) {}

  template <typename Value>
  EntryReader& required(std::string_view key, Value& out) {
    if (!failed() && !cbor::read(map_, key, out))
      error_ = DecodeError{std::string(key), expected_for(out)};
    return *this;
  }
  [[nodiscard]] bool failed() const { return error_.has_value(); }
  // Only if `failed()`.
  [[nodiscard]] const DecodeError& error() const { return *error_; }

 private:
  const cbor_item_t* map_;
  std::optional<DecodeError> error_;
};

// None if its name, its time or a list is not what it should be.
std::optional<LinkRow> decode_row(const cbor_item_t* map) {
  LinkRow row;
  if (!cbor_isa_map(map) || !cbor::read(map, "name", row.controller) ||
      !cbor::read(map, "at", row.as_of_ms))
    return std::nullopt;
  row.state = status_of(cbor::find(map, "state"));
  row.cloud = status_of(cbor::find(map, "cloud"));
  cbor::read(map, "relays", row.relays);
  const bool heard = cbor::each_entry(map, "heard", [&](const auto& peer, const auto* link) {
    if (row.heard.size() < kMostEntries) row.heard[peer] = status_of(link);
    return true;
  });
  const bool workers = cbor::each_entry(map, "workers", [&](const auto& zone, const auto* parts) {
    if (!cbor_isa_array(parts) || cbor_array_size(parts) < kZoneParts) return false;
    cbor_item_t* const* part = cbor_array_handle(parts);
    if (row.workers.size() < kMostEntries)
      row.workers[zone] = {status_of(part[0]), status_of(part[1]),
                           cbor::as_number(part[2]).value_or(0)};
    return true;
  });
  if (!heard || !workers) return std::nullopt;
  return row;
}

void add_links(cbor_item_t* map, const GossipMessage& gossip_message) {
  if (!gossip_message.links.empty()) {
    Item rows(cbor_new_definite_array(gossip_message.links.size()));
    for (const auto& row : gossip_message.links) cbor::append(rows.get(), encode_row(row));
    cbor::add(map, kRowsKey, rows);
  }
  if (!gossip_message.cancelled.empty()) {
    Item jobs(cbor_new_definite_array(gossip_message.cancelled.size()));
    for (const auto& job : gossip_message.cancelled) cbor::append(jobs.get(), cbor::text(job));
    cbor::add(map, kCancelledKey, jobs);
  }
}

// What can't be read of these is left out: the rest of the gossip message is as good without.
void read_links(const cbor_item_t* map, GossipMessage& gossip_message) {
  const bool rows = cbor::each_element(map, kRowsKey, [&](const cbor_item_t* element) {
    auto row = decode_row(element);
    if (row && gossip_message.links.size() < kMostRows)
      gossip_message.links.push_back(std::move(*row));
    return row.has_value();
  });
  if (!rows) gossip_message.links.clear();
  cbor::each_element(map, kCancelledKey, [&](const cbor_item_t* element) {
    auto job = cbor::as_text(element);
    if (job && gossip_message.cancelled.size() < kMostCancelled)
      gossip_message.cancelled.push_back(std::move(*job));
    return job.has_value();
  });
}

Decoded<GossipMessage> read_gossip(const cbor_item_t* map) {
  GossipMessage gossip_message;
  EntryReader entries(map);
  entries.required("from", gossip_message.from)
      .required("incarnation", gossip_message.incarnation)
      .required("epoch", gossip_message.epoch)
      .required("state", gossip_message.state_answers)
      .required("free", gossip_message.free_cpus)
      .required("sent", gossip_message.sent_ms);
  if (entries.failed()) return tl::unexpected(entries.error());
  read_links(map, gossip_message);
  return gossip_message;
}

Decoded<RelayReply> read_relay_reply(const cbor_item_t* map) {
  RelayReply reply;
  EntryReader entries(map);
  entries.required("from", reply.from)
      .required("id", reply.id)
      .required("status", reply.status)
      .required("body", reply.body);
  if (entries.failed()) return tl::unexpected(entries.error());
  return reply;
}

Decoded<RelayRequest> read_relay_request(const cbor_item_t* map, std::uint64_t kind) {
  if (kind != static_cast<std::uint64_t>(RelayKind::command) &&
      kind != static_cast<std::uint64_t>(RelayKind::heartbeat))
    return decode_error(std::string(kRelayKey), "a kind of relayed message");
  RelayRequest request;
  request.kind = static_cast<RelayKind>(kind);
  EntryReader entries(map);
  entries.required("from", request.from)
      .required("id", request.id)
      .required("sent", request.sent_ms)
      .required("address", request.address)
      .required("body", request.body);
  if (entries.failed()) return tl::unexpected(entries.error());
  return request;
}

}  // namespace

std::string encode(const GossipMessage& gossip_message) {
  constexpr std::size_t kKeys = 6;
  const std::size_t optional =
      (gossip_message.links.empty() ? 0U : 1U) + (gossip_message.cancelled.empty() ? 0U : 1U);
  Item map(cbor_new_definite_map(kKeys + optional));
  bool ok = cbor::add(map.get(), "from", cbor::text(gossip_message.from));
  ok = ok && cbor::add(map.get(), "incarnation", cbor::text(gossip_message.incarnation));
  ok = ok && cbor::add(map.get(), "epoch", number(gossip_message.epoch));
  ok = ok && cbor::add(map.get(), "state", Item(cbor_build_bool(gossip_message.state_answers)));
  ok = ok && cbor::add(map.get(), "free", Item(cbor_build_float8(gossip_message.free_cpus)));
  ok = ok && cbor::add(map.get(), "sent", number(gossip_message.sent_ms));
  if (!ok) return {};
  add_links(map.get(), gossip_message);
  return cbor::bytes_of(map);
}

std::string encode(const RelayRequest& request) {
  constexpr std::size_t kKeys = 6;
  Item map(cbor_new_definite_map(kKeys));
  cbor::add(map.get(), kRelayKey, number(static_cast<std::uint64_t>(request.kind)));
  cbor::add(map.get(), "from", cbor::text(request.from));
  cbor::add(map.get(), "id", number(request.id));
  cbor::add(map.get(), "sent", number(request.sent_ms));
  cbor::add(map.get(), "address", cbor::text(request.address));
  cbor::add(map.get(), "body", cbor::text(request.body));
  return cbor::bytes_of(map);
}

std::string encode(const RelayReply& reply) {
  constexpr std::size_t kKeys = 5;
  Item map(cbor_new_definite_map(kKeys));
  cbor::add(map.get(), kRelayKey, number(kRelayReplyTag));
  cbor::add(map.get(), "from", cbor::text(reply.from));
  cbor::add(map.get(), "id", number(reply.id));
  cbor::add(map.get(), "status", number(reply.status));
  cbor::add(map.get(), "body", cbor::text(reply.body));
  return cbor::bytes_of(map);
}

template <>
Decoded<GossipMessage> decode<GossipMessage>(std::string_view text) {
  const Item map = cbor::parse_map(text);
  if (!map) return decode_error("", "a CBOR map");
  return read_gossip(map.get());
}

template <>
Decoded<PeerMessage> decode<PeerMessage>(std::string_view text) {
  const Item map = cbor::parse_map(text);
  if (!map) return decode_error("", "a CBOR map");
  std::uint64_t kind = 0;
  if (!cbor::read(map.get(), kRelayKey, kind)) return read_gossip(map.get());
  if (kind == kRelayReplyTag) return read_relay_reply(map.get());
  return read_relay_request(map.get(), kind);
}

}  // namespace scheduler::wire
