// Limits and intervals of the network layer.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler::net::limits {

// Maximum size of a request body in bytes (64 KiB, PROTOCOL).
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
// Maximum size of a request line with its headers in bytes. Requests of users, workers and
// controllers need a few hundred.
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
// Maximum size of a response body in bytes; the controller sets a lower limit if the memory of the
// process is small. The response to a watch may contain many changes.
constexpr std::size_t kMaxResponseBytes = std::size_t{8} * 1024 * 1024;
// Size of the buffer for one read from a socket, in bytes.
constexpr std::size_t kReadBufferBytes = std::size_t{8} * 1024;
// The server closes a connection on which the client has sent nothing for this many milliseconds.
// Users poll every 5 s and workers send heartbeats every few seconds, so the client of such a
// connection no longer uses it.
constexpr std::int64_t kServerIdleTimeoutMs = 90'000;
// The server closes a connection if a request that has begun makes no progress for this many
// milliseconds.
constexpr std::int64_t kServerRequestTimeoutMs = 20'000;
// Milliseconds between two checks for connections that have timed out.
constexpr std::int64_t kTimeoutCheckIntervalMs = 2'000;
// Milliseconds for which the client keeps an idle connection for reuse. A worker receives a command
// every 10 to 60 s, and a new connection costs as much as several messages.
constexpr std::int64_t kClientIdleTimeoutMs = 90'000;
// Maximum number of idle connections that the client keeps to one address.
constexpr std::size_t kMaxIdlePerAddress = 4;
// One socket in this many of the process's socket limit is reserved for the client's idle
// connections.
constexpr int kIdleSocketsDivisor = 4;
// Sockets reserved for links to and from peers, listeners, the state service, the cloud and the
// log. Direct messages to workers are counted apart.
constexpr int kReservedSockets = 46;
// Limit on open links from peers: kIncomingLinksPerPeer for each configured peer, but at least
// kMinIncomingPeerLinks in total. Links whose peer has failed count until their socket closes.
constexpr std::size_t kMinIncomingPeerLinks = 32;
constexpr std::size_t kIncomingLinksPerPeer = 4;
// When more than this share of the allowed connections is open, the server closes each connection
// after its reply. Workers that outnumber the sockets can then take turns to send heartbeats.
constexpr double kNearlyFullShare = 0.75;
// Milliseconds for which a connection must have been idle before the server may close it to accept
// a new one: longer than the time between two heartbeats of a worker or two polls of a user.
constexpr std::int64_t kMinIdleBeforeEvictionMs = 10'000;
// Milliseconds before the controller reconnects a peer link that failed.
constexpr std::int64_t kPeerRetryDelayMs = 1'000;
// Maximum number of bytes queued on a peer link, enough for two relayed messages of the largest
// size. Frames beyond it are dropped: controllers tolerate the loss of any message between them.
constexpr std::size_t kMaxPeerQueueBytes = std::size_t{160} * 1024;

}  // namespace scheduler::net::limits
