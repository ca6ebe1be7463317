#include "wire/peer.h"

#include <optional>
#include <utility>

#include "wire/cbor.h"

namespace scheduler::wire {

namespace {

using cbor::Item;

// Keys of the message format. Other versions read them, so they must not change.
constexpr std::string_view kRelayKey = "relay";  // present in relay requests and replies only
// Value of kRelayKey in a relay reply. In a relay request it is the RelayKind.
constexpr std::uint64_t kRelayReplyTag = 0xff;
constexpr std::string_view kLinksKey = "links";
constexpr std::string_view kCancelledKey = "cancelled";
// Limits on the rows and cancelled jobs of a gossip message and on the entries of a row. The
// decoder ignores the rest of a longer list.
constexpr std::size_t kMaxDecodedRows = 16;
constexpr std::size_t kMaxDecodedRowEntries = 16;
constexpr std::size_t kMaxDecodedCancelledJobs = 64;
// Elements of a zone in a row: the link in both directions, and the time of the last heartbeat.
constexpr std::size_t kZoneElements = 3;

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
  Item from_peers(cbor_new_definite_map(row.from_peers.size()));
  for (const auto& [peer, link] : row.from_peers) cbor::add(from_peers.get(), peer, status(link));
  Item workers(cbor_new_definite_map(row.workers.size()));
  for (const auto& [zone, links] : row.workers) {
    Item elements(cbor_new_definite_array(kZoneElements));
    cbor::append(elements.get(), status(links.heartbeats));
    cbor::append(elements.get(), status(links.commands));
    cbor::append(elements.get(), number(links.last_heartbeat_ms));
    cbor::add(workers.get(), zone, elements);
  }
  cbor::add(map.get(), "name", cbor::text(row.controller));
  cbor::add(map.get(), "at", number(row.as_of_ms));
  cbor::add(map.get(), "state", status(row.state));
  cbor::add(map.get(), "cloud", status(row.cloud));
  cbor::add(map.get(), "relays", Item(cbor_build_bool(row.relays)));
  cbor::add(map.get(), "heard", from_peers);
  cbor::add(map.get(), "workers", workers);
  return map;
}

// Reads the required entries of one map. Keeps the error of the first invalid entry and skips all
// later reads.
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
  // Requires failed().
  [[nodiscard]] const DecodeError& error() const { return *error_; }

 private:
  const cbor_item_t* map_;
  std::optional<DecodeError> error_;
};

// Returns nullopt if the name, the time or one of the maps of links is invalid.
std::optional<LinkRow> decode_row(const cbor_item_t* map) {
  LinkRow row;
  if (!cbor_isa_map(map) || !cbor::read(map, "name", row.controller) ||
      !cbor::read(map, "at", row.as_of_ms))
    return std::nullopt;
  row.state = status_of(cbor::find(map, "state"));
  row.cloud = status_of(cbor::find(map, "cloud"));
  cbor::read(map, "relays", row.relays);
  const bool from_peers_valid =
      cbor::for_each_entry(map, "heard", [&](const auto& peer, const auto* link) {
        if (row.from_peers.size() < kMaxDecodedRowEntries) row.from_peers[peer] = status_of(link);
        return true;
      });
  const bool workers_valid =
      cbor::for_each_entry(map, "workers", [&](const auto& zone, const auto* elements) {
        if (!cbor_isa_array(elements) || cbor_array_size(elements) < kZoneElements) return false;
        cbor_item_t* const* values = cbor_array_handle(elements);
        if (row.workers.size() < kMaxDecodedRowEntries)
          row.workers[zone] = {status_of(values[0]), status_of(values[1]),
                               cbor::as_number(values[2]).value_or(0)};
        return true;
      });
  if (!from_peers_valid || !workers_valid) return std::nullopt;
  return row;
}

void add_links(cbor_item_t* map, const GossipMessage& gossip_message) {
  if (!gossip_message.links.empty()) {
    Item rows(cbor_new_definite_array(gossip_message.links.size()));
    for (const auto& row : gossip_message.links) cbor::append(rows.get(), encode_row(row));
    cbor::add(map, kLinksKey, rows);
  }
  if (!gossip_message.cancelled.empty()) {
    Item jobs(cbor_new_definite_array(gossip_message.cancelled.size()));
    for (const auto& job : gossip_message.cancelled) cbor::append(jobs.get(), cbor::text(job));
    cbor::add(map, kCancelledKey, jobs);
  }
}

// Drops entries that can't be decoded: the rest of the gossip message is usable without them.
void read_links(const cbor_item_t* map, GossipMessage& gossip_message) {
  const bool rows_valid = cbor::for_each_element(map, kLinksKey, [&](const cbor_item_t* element) {
    auto row = decode_row(element);
    if (row && gossip_message.links.size() < kMaxDecodedRows)
      gossip_message.links.push_back(std::move(*row));
    return row.has_value();
  });
  if (!rows_valid) gossip_message.links.clear();
  cbor::for_each_element(map, kCancelledKey, [&](const cbor_item_t* element) {
    auto job = cbor::as_text(element);
    if (job && gossip_message.cancelled.size() < kMaxDecodedCancelledJobs)
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
      .required("state", gossip_message.state_service_answers)
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
  ok = ok &&
       cbor::add(map.get(), "state", Item(cbor_build_bool(gossip_message.state_service_answers)));
  ok = ok && cbor::add(map.get(), "free", Item(cbor_build_float8(gossip_message.free_cpus)));
  ok = ok && cbor::add(map.get(), "sent", number(gossip_message.sent_ms));
  if (!ok) return {};
  add_links(map.get(), gossip_message);
  return cbor::serialize(map);
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
  return cbor::serialize(map);
}

std::string encode(const RelayReply& reply) {
  constexpr std::size_t kKeys = 5;
  Item map(cbor_new_definite_map(kKeys));
  cbor::add(map.get(), kRelayKey, number(kRelayReplyTag));
  cbor::add(map.get(), "from", cbor::text(reply.from));
  cbor::add(map.get(), "id", number(reply.id));
  cbor::add(map.get(), "status", number(reply.status));
  cbor::add(map.get(), "body", cbor::text(reply.body));
  return cbor::serialize(map);
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
