// The records that controllers keep in the state service, and their JSON encoding. Other versions
// read the names of the fields, so they must not change; unknown fields are ignored.
//
// Names of fields that differ from the names in the code, by record:
//
//   view           departed: departing; deaf: unreachable
//   live, formats  formats: the record format
//   job            the fields of a submission (wire/messages.h); submittedMs; cancelled; shares:
//                  initial ranges
//   range          o: owner; b and e: first task and the task after the last; d: bitmap of finished
//                  tasks; n: next attempt; s: stopping; p: placements
//   fleet, part    m: machines
//   quota          grants: quota leases; wanted: demand; services: demand of services
//
// encode(record) returns the JSON text of a record. decode<Record>(text) parses it; an error names
// the invalid field and what was expected there. Decoding a record of another type fails only if a
// required field is missing or invalid.
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

// The cluster view: which controllers are live. The controller that changes the view writes it with
// a new epoch.
struct ViewRecord {
  std::uint64_t epoch = 0;
  std::map<std::string, std::string> live;  // name -> incarnation
  // name -> incarnation of controllers that left the view but may still answer workers.
  std::map<std::string, std::string> departing;
  // Live controllers that have no links to workers, and therefore own no shard.
  std::set<std::string> unreachable;
};
std::string encode(const ViewRecord& record);
// Requires an epoch and both maps. A missing `deaf` means that workers reach all controllers.
template <>
Decoded<ViewRecord> decode<ViewRecord>(std::string_view text);

// Record formats. Each controller announces the newest format that it reads in its live record. The
// first version neither announced a format nor reads the field.
constexpr std::uint32_t kFirstFormat = 1;
constexpr std::uint32_t kServiceFormat = 2;  // jobs may be services; machine groups may be split

// A controller's own record. It is attached to the controller's session lease and is deleted when
// the lease expires.
struct LiveRecord {
  std::string incarnation;
  std::uint64_t epoch = 0;              // epoch of the view that the controller acts on
  std::uint32_t format = kFirstFormat;  // newest record format that the controller reads
};
std::string encode(const LiveRecord& record);
// Requires an incarnation and an epoch. A format that is missing or not a number means
// kFirstFormat.
template <>
Decoded<LiveRecord> decode<LiveRecord>(std::string_view text);

// The record format that every controller reads, and in which records may be written. It never
// decreases.
struct FormatRecord {
  std::uint32_t format = kFirstFormat;
};
std::string encode(const FormatRecord& record);
// Requires a format, an unsigned 32-bit number.
template <>
Decoded<FormatRecord> decode<FormatRecord>(std::string_view text);

// An accepted job without a final state.
struct JobRecord {
  // A range as assigned at submission. Once the range has a record of its own, that record replaces
  // the entry here. Keeping the initial ranges in the job's record makes a submission one write.
  struct InitialRange {
    std::uint32_t number = 0, begin = 0, end = 0;
    std::string owner;
  };
  JobSpec spec;
  std::int64_t submitted_ms = 0;  // time of day, milliseconds
  bool cancelled = false;
  std::vector<InitialRange> initial_ranges;
};
std::string encode(const JobRecord& record);
// Checks the specification as parse_job does. Each initial range is [number, begin, end, owner],
// must not be empty and must end within the job's tasks.
template <>
Decoded<JobRecord> decode<JobRecord>(std::string_view text);

// The attempt of a task and the machine on which it is placed.
struct Placement {
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;  // incarnation of the machine's agent
  std::string quota_holder;       // controller whose quota lease the task uses
  bool operator==(const Placement&) const = default;
};
// A range of a job's tasks, owned by one controller.
struct RangeRecord {
  std::string job;           // from the record's key
  std::uint32_t number = 0;  // from the record's key
  std::string owner;
  std::uint32_t begin = 0, end = 0;  // first task, and the task after the last
  std::vector<bool> done;            // finished tasks; the index is task - begin
  std::map<std::uint32_t, Placement> placed;
  std::uint64_t next_attempt = 1;
  bool stopping = false;  // gangs only: all tasks are being stopped together

  [[nodiscard]] std::uint32_t done_count() const;
  [[nodiscard]] bool complete() const { return done_count() == end - begin; }
};
std::string encode(const RangeRecord& record);
// The range must not be empty, its bitmap must have one hexadecimal digit per four tasks, and every
// placement must belong to a task of the range. `job` and `number` are not set: the key has them.
template <>
Decoded<RangeRecord> decode<RangeRecord>(std::string_view text);

// State of a machine. The state only moves forward in this order.
enum class MachineState : std::uint8_t {
  ready,        // accepts tasks
  quarantined,  // tasks fail on it: accepts no new tasks and will be replaced
  draining,     // accepts no new tasks; returned to the cloud once it is empty
  lost,         // unresponsive, unreachable, or never started: returned to the cloud at once
  terminated    // the cloud confirmed that the machine and all its tasks are gone
};
// A machine, as known from both fleet and shard records.
struct MachineRecord {
  std::string address, type, zone;
  bool spot = false;
  MachineState state = MachineState::ready;
  std::uint64_t incarnation = 0;  // agent's incarnation in the last heartbeat; 0: no heartbeat yet
  bool operator==(const MachineRecord&) const = default;
};
// Each record holds a group of machines, so that few writes are needed when many machines are
// rented, send their first heartbeat or are lost at once. Each record has one writer. The replica
// merges the fleet record and the shard records of a machine into one MachineRecord
// (state/replica.cpp).
//
// The rented machines of a group. Only the fleet leader writes this record.
struct FleetRecord {
  std::map<std::string, MachineRecord> machines;  // `incarnation` is not stored
};
std::string encode(const FleetRecord& record);
// Each machine is [address, type, zone, spot (0 or 1), state]; later elements are ignored.
template <>
Decoded<FleetRecord> decode<FleetRecord>(std::string_view text);
// The machines of a group that belong to one shard: address and incarnation from their last
// heartbeats, and the states that the shard's owner decided on.
struct ShardRecord {
  struct Contact {
    std::string address;
    std::uint64_t incarnation = 0;
    MachineState state = MachineState::ready;
    // Epoch since which the machine belongs to this shard. If several shards have an entry for a
    // machine, the entry with the highest epoch determines its address and incarnation, and the
    // furthest state in any entry or in the fleet record is its state.
    std::uint64_t epoch = 0;
    bool operator==(const Contact&) const = default;
  };
  std::map<std::string, Contact> machines;
};
std::string encode(const ShardRecord& record);
// Each machine is [address, incarnation, state, epoch]; later elements are ignored.
template <>
Decoded<ShardRecord> decode<ShardRecord>(std::string_view text);
// Returns the value of a shard write guard. Readers use only the version of the key.
std::string shard_guard_body(std::string_view controller);

// The record of a scale-out request that may be in progress.
std::string encode(const ScaleOutRequest& request);
// Requires type, zone, spot and count. `name` is not set: the key has it.
template <>
Decoded<ScaleOutRequest> decode<ScaleOutRequest>(std::string_view text);

// The parts of a team's resource limit that are leased to controllers.
struct QuotaRecord {
  struct Amount {
    double cpus = 0, gpus = 0;
  };
  // All maps are keyed by controller.
  std::map<std::string, Amount> leases;
  std::map<std::string, Amount> demand;
  // The part of `demand` that service replicas have. The production version does not write this
  // field and drops it when it rewrites the record.
  std::map<std::string, Amount> service_demand;
};
std::string encode(const QuotaRecord& record);
// Each amount is [cpus, gpus]; the sign of the numbers is not checked. Requires leases and demand.
template <>
Decoded<QuotaRecord> decode<QuotaRecord>(std::string_view text);

// How a job ended. Never deleted.
struct FinalStateRecord {
  bool done = false;        // false: the job was cancelled
  std::uint64_t tasks = 0;  // number of tasks of the job
};
std::string encode(const FinalStateRecord& record);
// Requires both fields.
template <>
Decoded<FinalStateRecord> decode<FinalStateRecord>(std::string_view text);

}  // namespace scheduler::wire
