// Messages of the state service, and the records that controllers keep in it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "wire/messages.h"

namespace puffinhaven::wire {

// ---- the service's own messages ----

struct Guard {
  std::string key;
  std::uint64_t version = 0;  // 0: must not exist
};
struct Write {
  std::string key;
  std::optional<std::string> value;     // JSON text; none: delete
  std::optional<std::uint64_t> permit;  // the hold that the key is attached to
};
std::string transaction_body(const std::vector<Guard>& guards, const std::vector<Write>& writes);
bool parse_revision(std::string_view body, std::uint64_t& revision);
bool parse_conflict(std::string_view body, std::uint64_t& revision,
                    std::vector<std::string>& failed);
bool parse_permit(std::string_view body, std::uint64_t& permit);
std::string hold_body(std::uint64_t life_ms);

struct StoredItem {
  std::string key;
  std::optional<std::string> value;  // none: deleted
  std::uint64_t version = 0;
};
bool parse_item(std::string_view body, StoredItem& out);
bool parse_page(std::string_view body, std::vector<StoredItem>& out, bool& more,
                std::uint64_t& revision);
bool parse_events(std::string_view body, std::vector<StoredItem>& out, std::uint64_t& revision);

std::string item_path(std::string_view key);
std::string page_path(std::string_view prefix, std::string_view after, std::uint32_t most);
std::string watch_path(std::uint64_t after, std::uint64_t wait_ms);
constexpr const char* kTransactionPath = "/multi";
constexpr const char* kHoldsPath = "/holds";
std::string extend_path(std::uint64_t permit);

// ---- records of puffinhaven ----
// view              the live controllers and the epoch
// live/NAME         a controller's hold, with its incarnation and the epoch that it acts on
// job/ID            an accepted job that is not over, and how its tasks were first divided
// range/ID/N        a range of a job's tasks: finished bitmap and placements; written when one of
//                   them is first placed
// fleet/G           the rented machines of group G; written by the fleet's coordinator alone
// part/NAME/G       what controller NAME has heard from machines of group G, and decided on them
// claim/NAME        stamped whenever another controller places tasks on machines of NAME's part
// hire/NAME         a rental request that may be under way
// quota/TEAM        grants of a team's limit to controllers
// catalog           the machine types as last heard from the cloud
// formats           the format of records that all controllers read; written once all announce it
// over/ID           final state of a job, kept for ever

struct ViewRecord {
  std::uint64_t epoch = 0;
  std::map<std::string, std::string> live;      // name -> incarnation
  std::map<std::string, std::string> departed;  // may still be answering workers
  std::set<std::string> deaf;                   // live, but workers cannot reach them: own nothing
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
  std::uint64_t session = 0;
  std::string grant;  // controller whose quota grant it uses
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

enum class MachineStanding : std::uint8_t {
  ready,     // may be used
  sick,      // fails what it is given: takes nothing new, to be replaced
  draining,  // to be returned once empty
  lost,      // silent or sick beyond its lease: to be returned now
  gone       // the cloud confirmed that it and all on it are gone
};
struct MachineRecord {
  std::string address, type, zone;
  bool spot = false;
  MachineStanding standing = MachineStanding::ready;
  std::uint64_t session = 0;  // as last heard; 0: not heard yet
  bool operator==(const MachineRecord&) const = default;
};
// Machines share records, so that renting, hearing or losing many at once takes few writes. Each
// record has one writer; what is known of a machine is the sum of both kinds (core/replica.cpp).
struct FleetRecord {
  std::map<std::string, MachineRecord> machines;  // session unused
};
std::string encode(const FleetRecord& r);
bool decode(std::string_view text, FleetRecord& r);
struct PartRecord {
  struct Heard {
    std::string address;
    std::uint64_t session = 0;
    MachineStanding standing = MachineStanding::ready;
    std::uint64_t epoch = 0;  // since when the machine was of this part; the newest entry counts
    bool operator==(const Heard&) const = default;
  };
  std::map<std::string, Heard> machines;
};
std::string encode(const PartRecord& r);
bool decode(std::string_view text, PartRecord& r);
// The value of a claim; only its stamp matters.
std::string claim_body(std::string_view by);

std::string encode(const RentRequest& r);
bool decode(std::string_view text, RentRequest& r);

struct QuotaRecord {
  struct Amount {
    double cpus = 0, gpus = 0;
  };
  std::map<std::string, Amount> grants;
  std::map<std::string, Amount> wanted;
};
std::string encode(const QuotaRecord& r);
bool decode(std::string_view text, QuotaRecord& r);

struct OverRecord {
  bool done = false;  // else cancelled
  std::uint64_t tasks = 0;
};
std::string encode(const OverRecord& r);
bool decode(std::string_view text, OverRecord& r);

constexpr std::string_view kViewKey = "view";
constexpr std::string_view kCatalogKey = "catalog";
constexpr std::string_view kFormatKey = "formats";
constexpr std::string_view kLivePrefix = "live/";
constexpr std::string_view kJobPrefixKey = "job/";
constexpr std::string_view kRangePrefix = "range/";
constexpr std::string_view kFleetPrefix = "fleet/";
constexpr std::string_view kPartPrefix = "part/";
constexpr std::string_view kClaimPrefix = "claim/";
constexpr std::string_view kRentalPrefix = "hire/";
constexpr std::string_view kQuotaPrefix = "quota/";
constexpr std::string_view kOverPrefix = "over/";

std::string job_key(std::string_view id);
std::string over_key(std::string_view id);
std::string range_key(std::string_view job, std::uint32_t number);
bool parse_range_key(std::string_view key, std::string& job, std::uint32_t& number);
std::string rental_key(std::string_view name);
std::string fleet_key(std::uint32_t group);
bool parse_fleet_key(std::string_view key, std::uint32_t& group);
std::string part_key(std::string_view controller, std::uint32_t group);
bool parse_part_key(std::string_view key, std::string& controller, std::uint32_t& group);
std::string claim_key(std::string_view controller);

}  // namespace puffinhaven::wire
