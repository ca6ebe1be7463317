// The records that controllers keep in the state service, and their texts. Names of fields are a
// format that other versions read: they stay as they are, and a field that is not known is ignored.
//
// Where the format's name differs from the one here:
//
//   view           departed: departing; deaf: unreachable
//   live, formats  formats: the format of records
//   job            the fields of a submission (wire/messages.h), submittedMs, cancelled, shares
//   range          o: owner; b and e: first task and the one after the last; d: bitmap of tasks
//   that
//                  are done; n: next attempt; s: stopping; p: placements
//   fleet, part    m: machines
//   quota          grants: quota leases; wanted: demand; services: demand of services
//
// encode(record) is the text of a record. decode<Record>(text) reads it; its errors name the field
// that is wrong and what was expected of it. A text of another type of record is an error as far as
// it lacks a field that is required.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wire/decode_error.h"
#include "wire/messages.h"
#include "wire/record_keys.h"

namespace scheduler::wire {

// Which controllers there are. Written by whoever changes the view, each time under a new epoch.
struct ViewRecord {
  std::uint64_t epoch = 0;
  std::map<std::string, std::string> live;       // name -> incarnation
  std::map<std::string, std::string> departing;  // may still be answering workers
  // Live, but without links to workers: they own nothing.
  std::set<std::string> unreachable;
};
std::string encode(const ViewRecord& record);
// Needs an epoch and both maps of names to texts; no `deaf` means that all are within reach.
template <>
Decoded<ViewRecord> decode<ViewRecord>(std::string_view text);

// Formats of records. Each controller announces the newest that it reads in its live record; the
// first version did not, and ignores the field.
constexpr std::uint32_t kFirstFormat = 1;
constexpr std::uint32_t kServiceFormat = 2;  // jobs may be services; machine groups may be split

// A controller's own record, attached to its session lease: it goes when the lease expires.
struct LiveRecord {
  std::string incarnation;
  std::uint64_t epoch = 0;              // of the view that it acts on
  std::uint32_t format = kFirstFormat;  // the newest that this controller reads
};
std::string encode(const LiveRecord& record);
// Needs an incarnation and an epoch; a format that is absent or no number is the first.
template <>
Decoded<LiveRecord> decode<LiveRecord>(std::string_view text);

// The format that every controller reads, so that records may be written in it. It never falls.
struct FormatRecord {
  std::uint32_t format = kFirstFormat;
};
std::string encode(const FormatRecord& record);
// Needs a format, a whole number of 32 bits.
template <>
Decoded<FormatRecord> decode<FormatRecord>(std::string_view text);

// An accepted job that has no final state yet.
struct JobRecord {
  // A range as first given out; its own record stands for it once there is one. So a submission is
  // one write.
  struct Share {
    std::uint32_t number = 0, begin = 0, end = 0;
    std::string owner;
  };
  JobSpec spec;
  std::int64_t submitted_ms = 0;  // time of day, milliseconds
  bool cancelled = false;
  std::vector<Share> shares;
};
std::string encode(const JobRecord& record);
// Checks the specification as parse_job does. Each share is [number, begin, end, owner], is not
// empty and ends within the job's tasks.
template <>
Decoded<JobRecord> decode<JobRecord>(std::string_view text);

// Where a task was placed.
struct Placement {
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;  // of the machine's agent
  std::string quota_holder;       // controller whose quota lease it uses
  bool operator==(const Placement&) const = default;
};
// A range of a job's tasks.
struct RangeRecord {
  std::string job;           // from the record's key
  std::uint32_t number = 0;  // from the record's key
  std::string owner;
  std::uint32_t begin = 0, end = 0;  // first task, and the one after the last
  std::vector<bool> done;            // by task - begin
  std::map<std::uint32_t, Placement> placed;
  std::uint64_t next_attempt = 1;
  bool stopping = false;  // gang: every task is to be stopped together

  [[nodiscard]] std::uint32_t done_count() const;
  [[nodiscard]] bool complete() const { return done_count() == end - begin; }
};
std::string encode(const RangeRecord& record);
// The range must not be empty, its bitmap has a hexadecimal digit for each four tasks, and every
// placement is of a task of the range. Job and number stay empty: they stand in the key.
template <>
Decoded<RangeRecord> decode<RangeRecord>(std::string_view text);

// What has become of a machine. A state is never taken back: they follow in this order.
enum class MachineState : std::uint8_t {
  ready,        // may be used
  quarantined,  // fails what it is given: takes nothing new, to be replaced
  draining,     // to be returned once empty
  lost,         // silent or failing beyond its lease: to be returned now
  terminated    // the cloud confirmed that it and all on it are gone
};
// What is known of a machine.
struct MachineRecord {
  std::string address, type, zone;
  bool spot = false;
  MachineState state = MachineState::ready;
  std::uint64_t incarnation = 0;  // of its agent, by the last heartbeat; 0: none yet
  bool operator==(const MachineRecord&) const = default;
};
// Machines share records, so that scaling out, hearing from or losing many at once takes few
// writes. Each record has one writer; what is known of a machine is the sum of both kinds
// (state/replica.cpp).
//
// The rented machines of a group, written by the leader of the fleet.
struct FleetRecord {
  std::map<std::string, MachineRecord> machines;  // their incarnations are not kept here
};
std::string encode(const FleetRecord& record);
// Each machine is [address, type, zone, spot (0 or 1), state]; later elements are ignored.
template <>
Decoded<FleetRecord> decode<FleetRecord>(std::string_view text);
// What the owner of a shard has heard from machines of a group, and decided on them.
struct ShardRecord {
  struct Contact {
    std::string address;
    std::uint64_t incarnation = 0;
    MachineState state = MachineState::ready;
    std::uint64_t epoch = 0;  // since when the machine was of this shard; the newest entry counts
    bool operator==(const Contact&) const = default;
  };
  std::map<std::string, Contact> machines;
};
std::string encode(const ShardRecord& record);
// Each machine is [address, incarnation, state, epoch]; later elements are ignored.
template <>
Decoded<ShardRecord> decode<ShardRecord>(std::string_view text);
// The value of a shard write guard; only its stamp matters.
std::string shard_guard_body(std::string_view by);

// A scale-out request that may be under way.
std::string encode(const ScaleOutRequest& request);
// Needs type, zone, whether spot, and the count; the name stays empty: it stands in the key.
template <>
Decoded<ScaleOutRequest> decode<ScaleOutRequest>(std::string_view text);

// How a team's limit is lent to controllers.
struct QuotaRecord {
  struct Amount {
    double cpus = 0, gpus = 0;
  };
  // All by controller.
  std::map<std::string, Amount> leases;
  std::map<std::string, Amount> demand;
  // Of the demand, that of replicas of services. The production version neither writes nor keeps
  // it.
  std::map<std::string, Amount> service_demand;
};
std::string encode(const QuotaRecord& record);
// Each amount is [cpus, gpus], two numbers whose sign is not checked. Leases and demand are needed.
template <>
Decoded<QuotaRecord> decode<QuotaRecord>(std::string_view text);

// How a job ended; kept for ever.
struct FinalStateRecord {
  bool done = false;  // else cancelled
  std::uint64_t tasks = 0;
};
std::string encode(const FinalStateRecord& record);
// Needs both fields.
template <>
Decoded<FinalStateRecord> decode<FinalStateRecord>(std::string_view text);

}  // namespace scheduler::wire
