// Messages between controllers: what is encoded is decoded again, and nothing shorter is.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <variant>

#include "support/link_rows.h"
#include "wire/peer.h"

namespace scheduler::links {
namespace {

TEST(PeerMessages, RowsAndCancelledJobsRoundTrip) {
  wire::GossipMessage gossip;
  gossip.from = "a";
  gossip.incarnation = "7";
  wire::LinkRow row = row_of("a", 12'345, Status::down);
  row.cloud = Status::up;
  row.relays = true;
  row.heard = {{"b", Status::up}, {"c", Status::unknown}};
  row.workers["x"] = {Status::up, Status::down, 12'300};
  gossip.links = {row, row_of("b", 12'000, Status::up)};
  gossip.cancelled = {"req-000001"};
  const std::string bytes = encode(gossip);
  wire::GossipMessage read;
  ASSERT_TRUE(decode(bytes, read));
  EXPECT_EQ(encode(read), bytes);
  ASSERT_EQ(read.links.size(), 2U);
  EXPECT_EQ(read.links[0].workers.at("x").commands, Status::down);
  EXPECT_EQ(read.links[0].heard.at("b"), Status::up);
  EXPECT_EQ(read.cancelled, gossip.cancelled);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_TRUE(std::holds_alternative<std::monostate>(
        wire::decode_peer_message(std::string_view(bytes).substr(0, n))));
}

TEST(PeerMessages, RelayedMessagesRoundTripAndAreNotGossip) {
  const wire::RelayRequest request{"a", 7, 99, wire::RelayKind::heartbeat, "w:1", R"({"rig":"n"})"};
  const auto message = wire::decode_peer_message(encode(request));
  const auto* read = std::get_if<wire::RelayRequest>(&message);
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->kind, wire::RelayKind::heartbeat);
  EXPECT_EQ(read->body, request.body);
  const auto answer = wire::decode_peer_message(encode(wire::RelayReply{"b", 7, 200, "{}"}));
  ASSERT_NE(std::get_if<wire::RelayReply>(&answer), nullptr);
  EXPECT_EQ(std::get<wire::RelayReply>(answer).status, 200U);
  wire::GossipMessage gossip;
  EXPECT_FALSE(decode(encode(request), gossip));
}

}  // namespace
}  // namespace scheduler::links
