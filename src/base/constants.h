// Every constant of the scheduler, each with its unit and the reason for its value.
#pragma once

#include <cstddef>
#include <cstdint>

namespace scheduler::constants {

// ---- placement (docs/design.md) ----
// Machines sampled per task. The paper's default; eight changed nothing (docs/results.md).
constexpr int kSampledMachines = 2;
// Seconds of an image's fetch from which on machines that have the image are sampled first: as long
// as a short task runs. Two samples of hundreds of machines hardly ever meet one that has it.
constexpr double kLongFetchS = 20.0;
// Seconds in which an overrunning task is counted as ending; the design's starting value.
constexpr double kOverrunAllowanceS = 10.0;
// Tasks placed in one scheduling pass; bounds the time of a pass on a small processor share.
constexpr int kPlacementsPerPass = 256;
// Milliseconds between passes at least; a pass takes about a millisecond.
constexpr std::int64_t kPassEveryMs = 50;
// Machines and jobs that passes walk in a second at most: each takes about half a microsecond, so
// that they stay below a twentieth of a core.
constexpr std::int64_t kPassWalkPerS = 40'000;
// Milliseconds before a refused write is tried again.
constexpr std::int64_t kRefusedRetryMs = 250;
// Milliseconds between looks at the grants of teams' limits.
constexpr std::int64_t kQuotaCheckMs = 100;
// Milliseconds for which a part must have had a grant too small for all that waits before it gives
// it to whose turn it is, and milliseconds of a turn: long enough to collect and to start.
constexpr std::int64_t kQuotaStuckMs = 2000;
constexpr std::int64_t kQuotaTurnMs = 8000;
// The same while services wait: long enough to collect, and short enough that each of five
// controllers has had its turn before a replica has waited for 20 s.
constexpr std::int64_t kServiceQuotaTurnMs = 3000;
// Ranges of one job, so that one transaction can end it (conditions).
constexpr std::size_t kRangesPerJob = 48;
// A job is divided in steps of this part of what the fleet holds of its tasks, so that records do
// not outgrow the write rate with the fleet while a small fleet is used to the full; tasks of a
// step at most, and steps of a large job.
constexpr double kStepOfFleet = 64.0;
constexpr std::uint32_t kTasksPerStep = 64;
constexpr std::uint32_t kStepsPerJob = 256;
// Milliseconds within which the ends of tasks are recorded, and for which they are at least
// gathered: records of a hundred tasks each would otherwise be written at every end.
constexpr std::int64_t kCompletionWriteMs = 4000;
constexpr std::int64_t kCompletionBatchMs = 500;
// Writes that may wait for the state service before scheduling asks for more (high work excepted):
// about a second's share of the rate.
constexpr int kWritesQueued = 16;
// Unstarted tasks from which on another part takes a range soon, and milliseconds after which it
// takes fewer.
constexpr std::size_t kStealAtLeastTasks = 8;
constexpr std::int64_t kStealFewAfterMs = 3000;
// Seconds left to start a task in time below which others lose their work for it, and seconds of
// work that are little to lose at any time.
constexpr double kUrgentStartS = 6.0;
constexpr double kNegligibleLossS = 5.0;
// Machines drawn to find the one where making room loses least.
constexpr int kPreemptionSamples = 20;
// Seconds from which on a job is old, whatever its aims, and the share of a part's CPUs that old
// jobs have before all others.
constexpr double kOldJobS = 180.0;
constexpr double kOldShare = 0.2;
// Seconds after which a job that has nothing started goes before all others with its first tasks,
// and how many in each range. The largest must begin within 240 s (four minutes); starts take
// seconds, but more than one such job may be due at once.
constexpr double kBeginWithinS = 120.0;
constexpr std::uint32_t kTasksToBegin = 8;
// Seconds for which a team's job that must begin has the team's limit before all others, and then
// not for as long: work that waits for other reasons must not keep others waiting for 90 s.
constexpr double kFirstForS = 60.0;
// Rounds in which it is settled which of its class's aims each waiting job is to meet; classes have
// two to four.
constexpr int kOrderRounds = 4;
// Share of the fleet's CPUs that forecasts of when waiting work starts count with: fetches, losses
// and wrong estimates take the rest.
constexpr double kForecastShare = 0.65;
// Milliseconds between scheduling passes at most, for what becomes possible by time alone.
constexpr std::int64_t kIdlePassMs = 200;
// Seconds that a low-priority task must still have ahead for standard work to stop it; high and
// production work stops any. Below it waiting is cheaper than saving, fetching and repeating.
constexpr double kLongVictimS = 300.0;
// Milliseconds that a range must have waited unstarted before another part may take from it: its
// owner, which sees it first, gets the first try.
constexpr std::int64_t kStealAfterMs = 400;
// Milliseconds for which a machine that refused a start for lack of room is passed over.
constexpr std::int64_t kNoRoomPauseMs = 1500;
// Report intervals without a report after which a machine gets nothing new; reports come at up to
// 1.25 intervals, so this allows one to be lost.
constexpr double kUnresponsiveIntervals = 2.6;
// Report intervals without a report after which it is asked directly; just above the longest.
constexpr double kOverdueIntervals = 1.4;
// Tasks of one range record; the bitmap then takes 2 KiB of the value as hexadecimal digits.
constexpr std::uint32_t kTasksPerRange = 8192;
// Share of a range record's value that its bitmap of finished tasks may take: a job of 100,000
// tasks then has at most 28 ranges at 2 KiB, and half of each value is left to placements.
constexpr double kFinishedMarksShare = 0.45;
// Bytes that a placement usually takes of a range record when each is on a machine of its own.
constexpr std::size_t kBytesPerPlacement = 30;
// Bytes of a range record besides placements and bitmap: owner, bounds.
constexpr std::size_t kRangeOverheadBytes = 200;

// Amounts are decimal numbers; sums of tenths must not miss a fit by rounding. CPUs, GPUs, GB.
constexpr double kAmountSlack = 1e-6;
// Seconds in which a job without any aim should be through.
constexpr double kDefaultHorizonS = 600.0;

// ---- the process ----
// Milliseconds between lines about the state of things.
constexpr std::int64_t kStatusEveryMs = 10'000;
// Milliseconds by which a look at the time may be late; setting a timer costs a system call.
constexpr std::int64_t kTimerSlackMs = 5;

// ---- standing still ----
// Milliseconds without any input or look at the time after which a controller takes itself for
// having stood still: twenty looks of kIdleLookMs; a busy processor delays them by less than a
// second.
constexpr std::int64_t kPauseMs = 2000;
// Milliseconds after that within which the state service is to say what has changed meanwhile; then
// it counts as out of reach, and the controller renews its workers' leases as in an outage.
constexpr std::int64_t kResynchroniseMs = 1500;

// ---- membership ----
// Life of a controller's hold, milliseconds. Longer than a restart (about 3 s) so that a crash
// alone moves no machines, shorter than any worker lease.
constexpr std::int64_t kSessionLeaseMs = 5000;
// Milliseconds between extensions of the hold: three may fail before it ends.
constexpr std::int64_t kLeaseRenewalMs = 1200;
// Milliseconds that a member's hold must have been gone before others remove it.
constexpr std::int64_t kMemberRemovalDelayMs = 400;
// Further milliseconds for each live controller before us in order, so that one of them writes.
constexpr std::int64_t kMemberRemovalStaggerMs = 300;
// Bits of a token below the epoch: fences raised per machine within one epoch.
constexpr int kFenceBits = 24;

// ---- leases ----
// Relative drift of steady clocks (PROTOCOL: 0.05%), doubled for both ends being off.
constexpr double kClockDrift = 0.001;
// Milliseconds added to a lease before it counts as run out: timers fire late by a few.
constexpr std::int64_t kLeaseMarginMs = 250;

// ---- state service ----
// Milliseconds until an unanswered request counts as such; answers take 10 ms, rarely hundreds.
constexpr std::int64_t kStateTimeoutMs = 2000;
// Milliseconds that a watch is left open by the service.
constexpr std::int64_t kWatchMs = 10000;
// Milliseconds beyond that after which a watch counts as lost.
constexpr std::int64_t kWatchGraceMs = 2500;
// Milliseconds for which the watch may be behind what other answers name before it is reopened;
// it usually takes a few tens.
constexpr std::int64_t kWatchBehindMs = 800;
// Share of the service's request rate that all controllers together plan to use.
constexpr double kRateShare = 0.85;
// Of that, the shares for reopening watches and for barrier reads; transactions get the rest.
constexpr double kWatchRateShare = 0.30;
constexpr double kBarrierRateShare = 0.25;
// Transactions under way at once: one slow answer must not hold up everything.
constexpr int kTransactionsInFlight = 3;
// Bytes of one transaction's body (limit 64 KiB), with room for its frame.
constexpr std::size_t kTransactionBytes = 56 * 1024;
// Share of a second's writes that is kept for what users wait for.
constexpr double kUrgentShare = 0.25;
// Milliseconds between looks at the time while nothing waits, and while something does. Waking up
// costs more processor time than what is done then.
constexpr std::int64_t kIdleLookMs = 100;
constexpr std::int64_t kBusyLookMs = 20;
// Share of a second's writes that must be left for what can wait to be written.
constexpr double kWriteHeadroomShare = 0.5;
// Conditions per put allowed in a transaction (PROTOCOL).
constexpr std::size_t kConditionsPerWrite = 4;
// Milliseconds between probes while the service does not answer.
constexpr std::int64_t kProbeEveryMs = 400;
// Milliseconds to wait after a 429.
constexpr std::int64_t kThrottledPauseMs = 250;
// Items per page when reading prefixes (limit 1,000 and 512 KiB).
constexpr std::uint32_t kPageItems = 250;
// Final states kept in memory; each takes about 100 bytes, older ones are read again.
constexpr std::size_t kFinalStatesCached = 20'000;

// Milliseconds before a change that the service has refused for its size is tried again: it can
// only succeed once something has shrunk.
constexpr std::int64_t kRejectedPauseMs = 5000;

// ---- users ----
// Milliseconds after which a waiting request is given up with 503 (users wait 2 s for polls and
// 5 s for submissions; an early no lets them come back).
constexpr std::int64_t kPollTimeoutMs = 1500;
constexpr std::int64_t kSubmitTimeoutMs = 2500;
// Milliseconds for which a cancellation that is recorded waits for the proof that nothing is left:
// a halt and a write take about 100, more on a busy controller.
constexpr std::int64_t kCancelTimeoutMs = 1000;
// Times that a cancellation is tried again when its job's record or the view changes under it.
constexpr int kCancelTries = 3;
// Seconds named in Retry-After.
constexpr int kRetryAfterS = 1;
constexpr int kRetryAfterOutageS = 2;

// Milliseconds for which a recorded start may wait for room while nothing on its machine is being
// stopped: reports of what ended come within one.
constexpr std::int64_t kBlockedStartMs = 2500;

// ---- services ----
// Milliseconds that a booked replica counts as still running in predictions: it ends when its user
// calls it off, so its machine counts as full for longer than any array runs.
constexpr std::int64_t kServiceRunsMs = 24LL * 3600 * 1000;
// Milliseconds for which a replica must have run for its end not to count as a failure of its job:
// longer than the report of a start takes, so that one that ends at once everywhere is backed off.
constexpr std::int64_t kServiceSettledMs = 5000;
// Milliseconds for which a machine that has a replica's result is avoided for its job: the worker
// keeps the result for good, and would end each further attempt at once.
constexpr std::int64_t kKeptResultMemoryMs = 3'600'000;
// Seconds before its machine is taken at which a replica is stopped to be moved: a halt and the
// proof of it take about one, and until then it serves.
constexpr double kServiceMoveS = 3.0;
// Milliseconds without a word from a machine with replicas after which it is asked, if its reports
// come less often: two messages can then go unanswered before its next report is overdue.
constexpr std::int64_t kServiceOverdueMs = 3000;

// ---- workers ----
// Milliseconds until a direct command counts as unanswered. Short, since the token is then raised
// and the command sent again.
constexpr std::int64_t kCommandTimeoutMs = 1500;
// Commands in one message to a worker; keeps any body far below 64 KiB.
constexpr std::size_t kCommandsPerMessage = 200;
// Direct messages that a machine without reports leaves unanswered before it is returned; one is
// enough once it counts as silent.
constexpr int kProbesBeforeReturn = 2;
// Estimated seconds of high-priority tasks that are begun again rather than waited for when their
// zone is cut off; cuts last about a minute.
constexpr double kRestartElsewhereS = 30.0;
// Milliseconds that a worker waits for the answer to a report before it tries another controller
// (PROTOCOL): so long its reports may be with one that does not answer.
constexpr std::int64_t kHeartbeatReplyMs = 4000;
// Milliseconds between direct messages to a machine that does not answer them.
constexpr std::int64_t kCommandRetryMs = 1000;

// Milliseconds that two unanswered messages take, one after the other.
constexpr std::int64_t kTwoUnansweredCommandsMs = 2 * kCommandTimeoutMs + kCommandRetryMs;
// Times that this interval doubles while a machine goes on not answering.
constexpr int kCommandRetryDoublings = 3;
// Milliseconds between looks whether a machine needs a direct message, if nothing calls for one.
constexpr std::int64_t kCommandCheckMs = 1000;
// Milliseconds between looks at silent machines; a tenth of the shortest report interval known.
constexpr std::int64_t kMachineCheckMs = 100;
// Machines looked at in a second at most, so that the looks of a large part stay below a hundredth
// of a core: each takes about a microsecond. A part of 4,000 is then looked at every 0.8 s.
constexpr std::int64_t kMachineChecksPerS = 5000;
// Share of a worker lease without a report after which a machine gets nothing new though it answers
// direct messages: its lease is about to end. After a crash of its controller it finds the next in
// 5 s as a rule, well within.
constexpr double kHeartbeatsMissingLeaseShare = 0.6;
// Worker leases for which a machine may be out of reach, though it reports, before it is returned.
constexpr double kUnreachableLeases = 2.0;
// Milliseconds within which it is recorded that a machine was heard: machines come in waves, and
// one write then carries many.
constexpr std::int64_t kContactWriteDelayMs = 1500;
// Writes that only say which machines were heard may wait at once: placements go before them, and a
// fleet of thousands has more such records than a second has writes.
constexpr std::size_t kContactWritesQueued = 4;

// ---- machines ----
// Jobs whose tasks must have failed on a machine before it counts as sick.
constexpr std::size_t kQuarantineJobs = 2;
// Machines on which tasks of a job must have failed before the job counts as faulty itself.
constexpr std::size_t kFaultyJobMachines = 2;
// Milliseconds after which errors are forgotten.
constexpr std::int64_t kFailureMemoryMs = 180'000;
// Replicas of one range that find no machine in a pass before the rest of it waits for the next:
// one may be kept from the only machine with room by its own result there, while another is not.
constexpr std::uint32_t kReplicasWithoutMachine = 4;
// Milliseconds after which a replica is tried again on a machine that failed it, if only such
// machines have room: enough for a sick machine to have failed another job and to be returned.
constexpr std::int64_t kRetryFailedMachineMs = 10'000;
// Milliseconds a failing job waits at first; doubles up to the most.
constexpr std::int64_t kJobBackoffMs = 1000;
constexpr std::int64_t kJobBackoffMostMs = 30'000;

// ---- fleet ----
// Milliseconds between machine lists.
constexpr std::int64_t kListEveryMs = 2000;
// Share of the cloud's rate that reading its list may take, page after page: rentals and returns
// need the rest.
constexpr double kListRateShare = 0.4;
// Times that a page of the list is asked for again before the list is begun anew, and milliseconds
// in between: the cloud refuses what is over its rate for less than that.
constexpr int kPageTries = 4;
constexpr std::int64_t kPageRetryMs = 700;
// Share of the cloud's rate in a second that rental requests under way may take.
constexpr double kScaleOutRateShare = 0.5;
// Milliseconds between catalog reads.
constexpr std::int64_t kCatalogEveryMs = 60'000;
// Milliseconds until a cloud request counts as unanswered.
constexpr std::int64_t kCloudTimeoutMs = 8000;
// Milliseconds between decisions about the size of the fleet.
constexpr std::int64_t kSizeEveryMs = 1000;
// Milliseconds for which a refused kind of machine is not asked for again.
constexpr std::int64_t kRefusedPauseMs = 15'000;
// Share of the demand held beyond it, so that a burst finds room while others boot.
constexpr double kHeadroom = 0.5;
// Whole machines held free beyond the demand, if there is any.
constexpr double kSpareMachines = 2.0;
// Milliseconds for which the fleet must have been larger than wanted before machines are returned.
constexpr std::int64_t kScaleInAfterMs = 300'000;
// Part of that surplus that is returned in a second (one machine at least): whatever its size, most
// of it is gone within ten minutes, and one a second is what small fleets always had.
constexpr int kSurplusParts = 300;
// The same while no job is unfinished: the pause between two submissions is shorter on any busy
// day, and a machine is back within a boot.
constexpr std::int64_t kScaleInIdleAfterMs = 30'000;
// Part of an idle fleet's surplus that is returned at once (one machine at least), so that a large
// fleet is mostly back within a minute and a submission in between still finds machines.
constexpr int kIdleSurplusParts = 30;
// Nominal boot times after which a machine that is not up counts as stuck, and seconds added.
constexpr double kStuckBoots = 4.0;
constexpr double kStuckBootS = 30.0;
// Seconds that a machine of a type that the catalog doesn't name is taken to need to boot.
constexpr double kUnknownBootS = 60.0;
// Milliseconds between looks for machines to return.
constexpr std::int64_t kScaleInCheckMs = 500;
// Milliseconds between looks for rental requests to send, and before an unanswered one is repeated.
constexpr std::int64_t kScaleOutCheckMs = 250;
constexpr std::int64_t kScaleOutRetryMs = 2000;
// Names in one request to return machines, and machines in one page of the list (PROTOCOL).
constexpr std::size_t kMachinesPerScaleIn = 100;
constexpr std::uint32_t kListPage = 500;
// Machines rented in one request (PROTOCOL: 50 at most).
constexpr std::uint32_t kMachinesPerScaleOut = 50;
// Requests for one kind of machine at once; further ones wait until these are answered.
constexpr std::uint32_t kScaleOutsPerKind = 3;
// Bytes that a machine takes of a shared record, with room for longer names than usual.
constexpr std::size_t kBytesPerMachine = 112;
// Milliseconds that the record of a machine that is gone is kept beyond what old lists may show.
constexpr std::int64_t kGoneKeptMs = 60'000;

// ---- peers ----
// Milliseconds between hints to the other controllers.
constexpr std::int64_t kGossipIntervalMs = 500;
// Milliseconds for which jobs whose cancellation is recorded are named to controllers that can't
// read the records: about as long as such a cut lasts before their workers have gone elsewhere.
constexpr std::int64_t kGossipCancellationMs = 60'000;
// Such jobs named in one hint, and jobs stopped on such a word.
constexpr std::size_t kGossipedCancellations = 32;
constexpr std::size_t kGossipedCancellationsMost = 1000;

// ---- messages passed on for others (workers/relay.h) ----
// Milliseconds until a command that a peer passes on counts as unanswered, and the worker's part of
// it; the rest is for the hops to the peer and back.
constexpr std::int64_t kRelayedCommandMs = 2000;
constexpr std::int64_t kRelayedWorkerMs = 1200;
// Milliseconds after which a message that is not answered is sent to the peer once more.
constexpr std::int64_t kRelayResendMs = 700;
// Milliseconds for which it is known what became of a peer's request, and such requests at once.
constexpr std::int64_t kRelayKeptMs = 6000;
constexpr std::size_t kRelayedMost = 4000;
// The same for a report; the worker waits 4 s for its answer (PROTOCOL).
constexpr std::int64_t kRelayedReportMs = 3000;
// Bytes of a body that is passed on; a report of a full machine takes about 20 KiB.
constexpr std::size_t kRelayedBytesMost = 60 * 1024;
// Milliseconds between workers of a zone that are sent to their owner although it doesn't hear the
// zone: each such attempt costs that worker five seconds of its lease.
constexpr std::int64_t kDirectAttemptMs = 10'000;
// Milliseconds for which commands to a worker that left a direct one unanswered are passed on.
constexpr std::int64_t kRelayForMs = 15'000;

// ---- capacity (base/capacity.h) ----
// Bytes of memory that an unfinished job takes with its records and indexes, and the share of the
// process's memory that jobs may take (docs/scale.md has the measurement).
constexpr double kBytesPerJob = 6.0 * 1024;
constexpr double kJobMemoryShare = 0.35;
// Unfinished jobs that are held in any case; 4,000 fit into the smallest process known (56 MB).
constexpr std::size_t kLiveJobsLeast = 4000;
// Megabytes of a process that knows no machine and no job, and bytes for each machine that it knows
// and looks after (docs/scale.md has the measurement).
constexpr double kProcessMb = 12.0;
constexpr double kBytesPerKnownMachine = 6.0 * 1024;
// Of all sockets, one in so many is for a waiting request, a direct message, and a message to a
// machine that does not answer; each with the least that small processes have.
constexpr int kSocketsPerWaitingRequest = 4;
constexpr int kWaitingRequestsLeast = 400;
constexpr int kSocketsPerDirectMessage = 20;
constexpr int kDirectMessagesLeast = 64;
constexpr int kDirectMessagesMost = 512;
constexpr int kSocketsPerProbe = 64;
constexpr int kProbesLeast = 8;
constexpr int kProbesMost = 64;
// Connections that a reporting machine takes on average while they are closed after each answer: a
// report every five seconds, answered within a quarter of a second even by a busy controller.
constexpr double kConnectionsPerMachine = 0.05;
// Sockets for users, direct messages, links and the two outside services.
constexpr int kSocketsBesideWorkers = 300;
// Bytes of a response that is taken in, by the process's memory: decoding takes about four times as
// much besides. The least holds any page (512 KiB) and any report.
constexpr double kResponseMemoryShare = 1.0 / 16;
constexpr std::size_t kResponseBytesLeast = 1024 * 1024;
constexpr std::size_t kResponseBytesMost = 8 * 1024 * 1024;

}  // namespace scheduler::constants
