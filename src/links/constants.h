// Constants of the link monitoring.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler::links {

// ---- requests: the state service and the cloud ----
// Milliseconds without a reply after which a service counts as not answering. It is probed several
// times within this time if there are no other requests.
constexpr std::int64_t kServiceSilentMs = 3000;

// ---- messages between controllers ----
// Number of intervals of which mean and standard deviation are computed: half a minute of gossip
// messages.
constexpr std::size_t kIntervalWindow = 64;
// Intervals longer than this multiple of the expected one are outages and are left out of the
// statistics.
constexpr double kOutlierIntervalFactor = 6.0;
// Minimum standard deviation of intervals in milliseconds: a busy processor delays a timer by as
// much.
constexpr double kMinStdDevMs = 250.0;
// Suspicion level (phi) from which on the link from a peer counts as down. Under a normal
// distribution it gives one false suspicion in 10^8 intervals; with lost messages and busy
// processors, about one a day.
constexpr double kSuspicionThreshold = 8.0;

// ---- workers of a zone ----
// Longest time between two heartbeats of one worker, in heartbeat intervals (PROTOCOL: a quarter
// more than one).
constexpr double kMaxHeartbeatGapIntervals = 1.25;
// Heartbeat intervals without a heartbeat after which a single worker counts as silent: one
// heartbeat may be lost. It is unlikely that several workers each lose one simultaneously, so the
// limit falls towards kMaxHeartbeatGapIntervals as their number grows.
constexpr double kSilentWorkerIntervals = 2.6;
// Milliseconds added to these limits, because a busy processor delays heartbeats.
constexpr std::int64_t kHeartbeatMarginMs = 600;
// Milliseconds until a probe of a worker counts as unanswered, and between rounds of probes of a
// zone.
constexpr std::int64_t kProbeTimeoutMs = 1000;
constexpr std::int64_t kWorkerProbeIntervalMs = 2000;
// Minimum time without any heartbeat from a zone before its workers are probed, in heartbeat
// intervals: gaps of this length are common in a zone with few workers.
constexpr double kProbeAfterIntervals = 0.5;
// Workers probed in a round. The link counts as failed only if all leave the probe unanswered:
// workers that hang or die on their own rarely make up a whole sample.
constexpr std::size_t kProbeSampleSize = 5;
// Milliseconds for which the machines of a mostly silent zone are kept: the zone is most likely
// partitioned and its tasks continue. Partitions usually last a minute.
constexpr std::int64_t kZonePartitionTimeoutMs = 120'000;
// Milliseconds after most of a zone was last silent during which none of its workers counts as
// dead. A worker that returns from a partition waits up to four seconds for a lost reply, one more
// before it tries the next controller, and then for the redirect.
constexpr std::int64_t kPartitionRecoveryMs = 8000;
// Consecutive rounds of unanswered probes after which commands count as not arriving although
// heartbeats do.
constexpr int kUnansweredRoundsUntilDown = 2;

// ---- link matrix ----
// Maximum age in milliseconds of another controller's row: rows are sent twice a second, and one in
// twenty messages may be lost.
constexpr std::int64_t kRowMaxAgeMs = 3000;
// Milliseconds for which a controller's rows must have reported heartbeats from workers before
// machines are handed to it: three rows.
constexpr std::int64_t kRowStableMs = 1000;
// Maximum age in milliseconds of another controller's row as evidence on the state service. Longer
// than kRowMaxAgeMs, because this evidence makes users leave and must not change back and forth.
constexpr std::int64_t kStateRowMaxAgeMs = 6000;
// Milliseconds for which a peer must have reported that the state service answers it before this
// controller concludes that it alone is cut off: gossip messages and probes take about one second.
constexpr std::int64_t kStateUpConfirmMs = 1500;
// Maximum number of rows kept and gossiped, and of zones or peers in a row; further ones are
// dropped. One message holds them all.
constexpr std::size_t kMaxRows = 9;
constexpr std::size_t kMaxRowEntries = 9;

// ---- flapping links ----
// Milliseconds for which a link must be up again before it is used, after its first failure beyond
// the free ones, and the maximum. The time more than doubles with each further failure.
constexpr std::int64_t kMinStableMs = 2000;
constexpr std::int64_t kMaxStableMs = 60'000;
// Half-life in milliseconds of the penalty for past failures of a link.
constexpr double kFlapHalfLifeMs = 60'000.0;

}  // namespace scheduler::links
