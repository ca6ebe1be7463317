#include "wire/peer.h"

#include <utility>

#include "wire/cbor.h"

namespace scheduler::wire {

namespace {

using cbor::Item;

// Keys of the messages: a format between versions.
constexpr std::string_view kRelayKey = "relay";  // of requests and answers only
constexpr std::uint64_t kRelayAnswerTag = 0xff;  // of kRelayKey; requests have their kind
constexpr std::string_view kRowsKey = "links";
constexpr std::string_view kCancelledKey = "cancelled";
// Rows of a hint, and entries of a row, that are taken in; the rest of a longer list is ignored.
constexpr std::size_t kMostRows = 16;
constexpr std::size_t kMostEntries = 16;
constexpr std::size_t kMostCancelled = 64;
constexpr std::size_t kZoneParts = 3;  // of a zone in a row: both directions, and when it was heard

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

bool decode_row(const cbor_item_t* map, LinkRow& row) {
  if (!cbor_isa_map(map) || !cbor::read(map, "name", row.controller) ||
      !cbor::read(map, "at", row.as_of_ms))
    return false;
  row.state = status_of(cbor::find(map, "state"));
  row.cloud = status_of(cbor::find(map, "cloud"));
  cbor::read(map, "relays", row.relays);
  const bool heard = cbor::each_entry(map, "heard", [&](const auto& peer, const auto* link) {
    if (row.heard.size() < kMostEntries) row.heard[peer] = status_of(link);
    return true;
  });
  return heard && cbor::each_entry(map, "workers", [&](const auto& zone, const auto* parts) {
           if (!cbor_isa_array(parts) || cbor_array_size(parts) < kZoneParts) return false;
           cbor_item_t* const* part = cbor_array_handle(parts);
           if (row.workers.size() < kMostEntries)
             row.workers[zone] = {status_of(part[0]), status_of(part[1]),
                                  cbor::as_number(part[2]).value_or(0)};
           return true;
         });
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

// What can't be read of these is left out: the rest of the hint is as good without.
void read_links(const cbor_item_t* map, GossipMessage& gossip_message) {
  const bool rows = cbor::each_element(map, kRowsKey, [&](const cbor_item_t* element) {
    LinkRow row;
    if (!decode_row(element, row)) return false;
    if (gossip_message.links.size() < kMostRows) gossip_message.links.push_back(std::move(row));
    return true;
  });
  if (!rows) gossip_message.links.clear();
  cbor::each_element(map, kCancelledKey, [&](const cbor_item_t* element) {
    auto job = cbor::as_text(element);
    if (job && gossip_message.cancelled.size() < kMostCancelled)
      gossip_message.cancelled.push_back(std::move(*job));
    return job.has_value();
  });
}

bool read_gossip(const cbor_item_t* map, GossipMessage& gossip_message) {
  gossip_message.links.clear();
  gossip_message.cancelled.clear();
  const bool complete = cbor::read(map, "from", gossip_message.from) &&
                        cbor::read(map, "incarnation", gossip_message.incarnation) &&
                        cbor::read(map, "epoch", gossip_message.epoch) &&
                        cbor::read(map, "state", gossip_message.state_answers) &&
                        cbor::read(map, "free", gossip_message.free_cpus) &&
                        cbor::read(map, "sent", gossip_message.sent_ms);
  if (complete) read_links(map, gossip_message);
  return complete;
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

std::string encode(const RelayReply& answer) {
  constexpr std::size_t kKeys = 5;
  Item map(cbor_new_definite_map(kKeys));
  cbor::add(map.get(), kRelayKey, number(kRelayAnswerTag));
  cbor::add(map.get(), "from", cbor::text(answer.from));
  cbor::add(map.get(), "id", number(answer.id));
  cbor::add(map.get(), "status", number(answer.status));
  cbor::add(map.get(), "body", cbor::text(answer.body));
  return cbor::bytes_of(map);
}

bool decode(std::string_view bytes, GossipMessage& gossip_message) {
  const Item map = cbor::parse_map(bytes);
  return map && read_gossip(map.get(), gossip_message);
}

PeerMessage decode_peer_message(std::string_view bytes) {
  const Item item = cbor::parse_map(bytes);
  if (!item) return {};
  const cbor_item_t* map = item.get();
  std::uint64_t kind = 0;
  if (!cbor::read(map, kRelayKey, kind)) {
    GossipMessage gossip_message;
    return read_gossip(map, gossip_message) ? PeerMessage(std::move(gossip_message))
                                            : PeerMessage();
  }
  if (kind == kRelayAnswerTag) {
    RelayReply answer;
    const bool complete =
        cbor::read(map, "from", answer.from) && cbor::read(map, "id", answer.id) &&
        cbor::read(map, "status", answer.status) && cbor::read(map, "body", answer.body);
    return complete ? PeerMessage(std::move(answer)) : PeerMessage();
  }
  RelayRequest request;
  if (kind != static_cast<std::uint64_t>(RelayKind::command) &&
      kind != static_cast<std::uint64_t>(RelayKind::heartbeat))
    return {};
  request.kind = static_cast<RelayKind>(kind);
  const bool complete =
      cbor::read(map, "from", request.from) && cbor::read(map, "id", request.id) &&
      cbor::read(map, "sent", request.sent_ms) && cbor::read(map, "address", request.address) &&
      cbor::read(map, "body", request.body);
  return complete ? PeerMessage(std::move(request)) : PeerMessage();
}

}  // namespace scheduler::wire
