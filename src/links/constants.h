// Constants of the links package, each with its unit and the reason for its value.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler::links {

// ---- requests: the state service and the cloud ----
// Milliseconds without any answer after which a service counts as not answering; while nothing else
// is asked it is probed several times in this time.
constexpr std::int64_t kSilentMs = 3000;

// ---- messages between controllers ----
// Intervals of which mean and spread are kept; half a minute of gossip messages.
constexpr std::size_t kIntervals = 64;
// Intervals longer than so many expected ones are outages, and say nothing about the usual spread.
constexpr double kLongestInterval = 6.0;
// Milliseconds below which the spread of intervals isn't believed: a busy processor delays a timer
// by as much.
constexpr double kLeastSpreadMs = 250.0;
// Suspicion (phi) from which on a peer counts as unheard: one false suspicion in 10^8 intervals
// would a normal distribution give; lost messages and busy processors make it about one a day.
constexpr double kSuspicion = 8.0;

// ---- workers of a zone ----
// Heartbeat intervals between two heartbeats of one worker at most (PROTOCOL: a quarter more).
constexpr double kLongestHeartbeatGap = 1.25;
// Heartbeat intervals without any heartbeat after which a single worker counts as silent: one of
// its heartbeats may be lost. Of several workers not all lose one at the same time, so that this
// falls towards kLongestHeartbeatGap with their number.
constexpr double kSilentHeartbeats = 2.6;
// Milliseconds beyond these: heartbeats wait for a busy processor.
constexpr std::int64_t kHeartbeatMarginMs = 600;
// Milliseconds until a probe of a worker counts as unanswered, and between rounds of probes.
constexpr std::int64_t kProbeTimeoutMs = 1000;
constexpr std::int64_t kWorkerProbeMs = 2000;
// Part of a heartbeat interval without a heartbeat, at least, before workers are probed: single
// workers report that far apart as a rule.
constexpr double kSuspectHeartbeats = 0.5;
// Workers probed in a round. All must leave it unanswered: workers that hang or died on their own
// are hardly ever a whole sample.
constexpr std::size_t kProbedAtOnce = 5;
// Milliseconds for which machines of a zone that is mostly silent are kept: it is cut off, most
// likely, and they go on as they are. Cuts last a minute as a rule.
constexpr std::int64_t kZoneCutPatienceMs = 120'000;
// Milliseconds after most of a zone was silent in which none of its workers counts as dead: a
// worker that comes back from a partition waits up to four seconds for an answer that is lost, one
// more before it tries the next controller, and then for the redirection.
constexpr std::int64_t kBackFromCutMs = 8000;
// Rounds in a row that nobody answers until commands count as not arriving although heartbeats
// come.
constexpr int kRoundsUntilDown = 2;

// ---- the matrix ----
// Milliseconds after which a row of another controller counts for nothing: rows come twice a
// second, and one in twenty messages may be lost.
constexpr std::int64_t kRowFreshMs = 3000;
// Milliseconds for which rows must have said that workers are heard before machines are given to
// that controller: three rows.
constexpr std::int64_t kRowSteadyMs = 1000;
// The same as kRowFreshMs for a peer's word on the state service, which sends users away and must
// not come and go.
constexpr std::int64_t kStateWordFreshMs = 6000;
// Milliseconds for which a peer must have said that the state service answers it while it doesn't
// answer us, before we believe that we are partitioned alone: gossip messages and probes take about
// one second.
constexpr std::int64_t kStateWordMs = 1500;
// Rows kept and spread, and zones or peers in a row; more are cut. A frame holds them all.
constexpr std::size_t kMostRows = 9;
constexpr std::size_t kMostEntries = 9;

// ---- links that come and go ----
// Milliseconds for which a link must have been up after its first failure that isn't free before
// work is put on it again, and the most; twice as long and more for each further failure.
constexpr std::int64_t kSteadyMs = 2000;
constexpr std::int64_t kSteadyMostMs = 60'000;
// Milliseconds in which half of a link's past failures is forgotten.
constexpr double kFlapHalfLifeMs = 60'000.0;

}  // namespace scheduler::links
