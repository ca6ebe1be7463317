// Constants of the network layer, each with unit and reason.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler::net::limits {

// Bytes of a request body (PROTOCOL: 64 KiB).
constexpr std::size_t kBodyBytes = std::size_t{64} * 1024;
// Bytes of a request's line and headers; ours and our callers' take a few hundred.
constexpr std::size_t kHeaderBytes = std::size_t{16} * 1024;
// Bytes of a response that is taken in unless the process's memory allows less. A watch may bring
// many changes at once.
constexpr std::size_t kResponseBytes = std::size_t{8} * 1024 * 1024;
// Bytes read at once.
constexpr std::size_t kReadBytes = std::size_t{8} * 1024;
// Milliseconds after which a connection of a client that sends nothing is closed. Users poll every
// 5 s and workers send heartbeats every few seconds, so one this quiet has been given up.
constexpr std::int64_t kServerIdleMs = 90'000;
// Milliseconds in which a request that has begun must be complete.
constexpr std::int64_t kServerRequestMs = 20'000;
// Milliseconds between checks for connections to close.
constexpr std::int64_t kSweepMs = 2'000;
// Milliseconds for which our idle connections to others are kept for reuse.
// A worker gets a command every ten to sixty seconds, and a new connection costs as much as
// several messages.
constexpr std::int64_t kClientIdleMs = 90'000;
// Idle connections kept per address.
constexpr std::size_t kClientIdlePerAddress = 4;
// Of the limit on all sockets, one in so many is for idle connections of ours, kept for reuse.
constexpr int kIdleSocketsShare = 4;
// Sockets for links to and from peers, listeners, the state service, the cloud, and the log,
// besides those of direct messages.
constexpr int kReservedSockets = 46;
// Links from peers, half-dead ones included: in all at least, and for each peer.
constexpr std::size_t kPeerLinksLeast = 32;
constexpr std::size_t kLinksPerPeer = 4;
// Share of the connections that may be open at once from which on each is closed with its reply.
// More workers than sockets can then send heartbeats, one after the other.
constexpr double kCrowdedShare = 0.75;
// Milliseconds for which a connection must have been idle to be closed for a new one: longer than
// between two heartbeats of a worker, or two polls of a user.
constexpr std::int64_t kEvictIdleMs = 10'000;
// Milliseconds before a peer link that failed is tried again.
constexpr std::int64_t kPeerRetryMs = 1'000;
// Bytes that may wait on a peer link; more are dropped, since any message between controllers may
// be lost. Two of the largest messages that are relayed for others.
constexpr std::size_t kPeerQueueBytes = std::size_t{160} * 1024;

}  // namespace scheduler::net::limits
