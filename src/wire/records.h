// The records that controllers keep in the state service, and their texts. Names of fields are a
// format that other versions read: they stay as they are, and a field that is not known is ignored.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"
#include "wire/record_keys.h"

namespace scheduler::wire {

struct ViewRecord {
  std::uint64_t epoch = 0;
  std::map<std::string, std::string> live;       // name -> incarnation
  std::map<std::string, std::string> departing;  // may still be answering workers
  // Live, but without links to workers: they own nothing. Its key in the record is `deaf`.
  std::set<std::string> unreachable;
};
std::string encode(const ViewRecord& r);
bool decode(std::string_view text, ViewRecord& r);

// Formats of records. Each controller announces the newest that it reads in its live record; the
// first version did not, and ignores the field.
constexpr std::uint32_t kFirstFormat = 1;
constexpr std::uint32_t kServiceFormat = 2;  // jobs may be services; machine groups may be split

struct LiveRecord {
  std::string incarnation;
  std::uint64_t epoch = 0;
  std::uint32_t format = kFirstFormat;  // the newest that this controller reads
};
std::string encode(const LiveRecord& r);
bool decode(std::string_view text, LiveRecord& r);

// The format that every controller reads, so that records may be written in it. It never falls.
struct FormatRecord {
  std::uint32_t format = kFirstFormat;
};
std::string encode(const FormatRecord& r);
bool decode(std::string_view text, FormatRecord& r);

struct JobRecord {
  // A range as first given out; its own record stands for it once there is one. So a submission is
  // one write.
  struct Share {
    std::uint32_t number = 0, begin = 0, end = 0;
    std::string owner;
  };
  JobSpec spec;
  std::int64_t submitted_ms = 0;  // time of day
  bool cancelled = false;
  std::vector<Share> shares;
};
std::string encode(const JobRecord& r);
bool decode(std::string_view text, JobRecord& r);

struct Placement {
  std::uint64_t attempt = 0;
  std::string machine;
  std::uint64_t incarnation = 0;
  std::string quota_holder;  // controller whose quota grant it uses
  bool operator==(const Placement&) const = default;
};
struct RangeRecord {
  std::string job;
  std::uint32_t number = 0;
  std::string owner;
  std::uint32_t begin = 0, end = 0;
  std::vector<bool> done;  // by task - begin
  std::map<std::uint32_t, Placement> placed;
  std::uint64_t next_attempt = 1;
  bool stopping = false;  // gang: every task is to be stopped together

  std::uint32_t done_count() const;
  bool complete() const { return done_count() == end - begin; }
};
std::string encode(const RangeRecord& r);
bool decode(std::string_view text, RangeRecord& r);

enum class MachineState : std::uint8_t {
  ready,        // may be used
  quarantined,  // fails what it is given: takes nothing new, to be replaced
  draining,     // to be returned once empty
  lost,         // silent or failing beyond its lease: to be returned now
  terminated    // the cloud confirmed that it and all on it are gone
};
struct MachineRecord {
  std::string address, type, zone;
  bool spot = false;
  MachineState state = MachineState::ready;
  std::uint64_t incarnation = 0;  // as last heard; 0: not heard yet
  bool operator==(const MachineRecord&) const = default;
};
// Machines share records, so that renting, hearing or losing many at once takes few writes. Each
// record has one writer; what is known of a machine is the sum of both kinds (state/replica.cpp).
struct FleetRecord {
  std::map<std::string, MachineRecord> machines;  // session unused
};
std::string encode(const FleetRecord& r);
bool decode(std::string_view text, FleetRecord& r);
struct ShardRecord {
  struct Contact {
    std::string address;
    std::uint64_t incarnation = 0;
    MachineState state = MachineState::ready;
    std::uint64_t epoch = 0;  // since when the machine was of this part; the newest entry counts
    bool operator==(const Contact&) const = default;
  };
  std::map<std::string, Contact> machines;
};
std::string encode(const ShardRecord& r);
bool decode(std::string_view text, ShardRecord& r);
// The value of a claim; only its stamp matters.
std::string shard_guard_body(std::string_view by);

std::string encode(const ScaleOutRequest& r);
bool decode(std::string_view text, ScaleOutRequest& r);

struct QuotaRecord {
  struct Amount {
    double cpus = 0, gpus = 0;
  };
  std::map<std::string, Amount> leases;
  std::map<std::string, Amount> demand;
  // Of what is wanted, the part for replicas of services. The production version neither writes nor
  // keeps it.
  std::map<std::string, Amount> service_demand;
};
std::string encode(const QuotaRecord& r);
bool decode(std::string_view text, QuotaRecord& r);

struct FinalStateRecord {
  bool done = false;  // else cancelled
  std::uint64_t tasks = 0;
};
std::string encode(const FinalStateRecord& r);
bool decode(std::string_view text, FinalStateRecord& r);

}  // namespace scheduler::wire
