// Messages between controllers: an encoded message decodes to an equal one, and a truncated message
// is refused.
#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <variant>

#include "support/link_rows.h"
#include "wire/peer.h"

namespace scheduler::links {
namespace {

TEST(PeerMessages, LinkRowsAndCancelledJobsRoundTrip) {
  wire::GossipMessage gossip;
  gossip.from = "a";
  gossip.incarnation = "7";
  wire::LinkRow row = row_of("a", 12'345, Status::down);
  row.cloud = Status::up;
  row.relays = true;
  row.from_peers = {{"b", Status::up}, {"c", Status::unknown}};
  row.workers["x"] = {Status::up, Status::down, 12'300};
  gossip.links = {row, row_of("b", 12'000, Status::up)};
  gossip.cancelled = {"req-000001"};
  const std::string bytes = encode(gossip);
  const auto read = wire::decode<wire::GossipMessage>(bytes);
  ASSERT_TRUE(read) << read.error().message();
  EXPECT_EQ(encode(*read), bytes);
  ASSERT_EQ(read->links.size(), 2U);
  EXPECT_EQ(read->links[0].workers.at("x").commands, Status::down);
  EXPECT_EQ(read->links[0].from_peers.at("b"), Status::up);
  EXPECT_EQ(read->cancelled, gossip.cancelled);
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_FALSE(wire::decode<wire::PeerMessage>(std::string_view(bytes).substr(0, n)));
}

TEST(PeerMessages, RelayMessagesRoundTripAndAreNotDecodedAsGossip) {
  const wire::RelayRequest request{"a", 7, 99, wire::RelayKind::heartbeat, "w:1", R"({"rig":"n"})"};
  const auto message = wire::decode<wire::PeerMessage>(encode(request));
  ASSERT_TRUE(message) << message.error().message();
  const auto* read = std::get_if<wire::RelayRequest>(&*message);
  ASSERT_NE(read, nullptr);
  EXPECT_EQ(read->kind, wire::RelayKind::heartbeat);
  EXPECT_EQ(read->body, request.body);
  const auto reply = wire::decode<wire::PeerMessage>(encode(wire::RelayReply{"b", 7, 200, "{}"}));
  ASSERT_TRUE(reply) << reply.error().message();
  ASSERT_NE(std::get_if<wire::RelayReply>(&*reply), nullptr);
  EXPECT_EQ(std::get<wire::RelayReply>(*reply).status, 200U);
  EXPECT_FALSE(wire::decode<wire::GossipMessage>(encode(request)));
}

}  // namespace
}  // namespace scheduler::links
