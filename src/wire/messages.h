// JSON messages of users, workers and the cloud, decoded into validated structs. Only src/wire uses
// the field names of the protocol; the rest of the code uses the usual terms. Where they differ
// (protocol name: term in the code):
//
//   jobs       queue: class; crew: team; rank: priority; loads: number of tasks; kit: container
//              image; pullGb: its size; fleets: machine types; yard: zone; together: in one zone;
//              scatter: spread over zones; standby: spot machines allowed; haulS: estimated run
//              time of a task; tipS and stowS: interval and time of checkpoints; dueS: deadline
//   shapes     batch: job array; ensemble: gang; daemon: service
//   ranks      standard: normal priority
//   statuses   pending: queued; withdrawn: cancelled
//   workers    rig: machine; endpoint: address; fleet: machine type; shift: agent incarnation;
//              tally: heartbeat sequence; baton: fencing token; warningS: preemption notice;
//              loads: tasks; try: attempt; gathering: waiting (for its gang); saving:
//              checkpointing; saved: checkpointed; no_such: unknown
//   commands   orders: commands; verbs halt: stop; clear: forget; leewayS: grace period
//   cloud      rigs: machines; hire: name of a scale-out request; rate and marketPrice: price and
//              spot price; localGb: cache; readyS: boot time; starting: booting
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/decode_error.h"
#include "wire/json.h"

namespace scheduler::wire {

// ---- jobs ----

// Numeric order is preemption order: a job may preempt jobs of smaller values.
enum class Priority : std::uint8_t { low = 0, normal = 1, high = 2, production = 3 };

// How the tasks of a job depend on each other.
enum class JobShape : std::uint8_t {
  array,   // independent tasks; each runs to completion
  gang,    // all tasks run at the same time, or none of them runs
  service  // independent replicas; they run until the job is cancelled
};

// A job as the user submits it.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobShape shape = JobShape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;  // per task
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;    // allowed machine types; empty: any
  std::string zone;                  // required zone; empty: any
  bool one_zone = false;             // all tasks must run in one zone
  bool spread = false;               // tasks must be spread over several zones
  bool spot = false;                 // spot machines are allowed
  double estimate_s = 0;             // expected run time of a task, seconds; 0 for services
  double checkpoint_interval_s = 0;  // seconds between checkpoints; 0: no checkpoints
  double checkpoint_write_s = 0;     // seconds that writing a checkpoint takes
  std::optional<double> deadline_s;  // seconds after submission; nullopt: no deadline

  [[nodiscard]] bool is_gang() const { return shape == JobShape::gang; }
  [[nodiscard]] bool is_service() const { return shape == JobShape::service; }
};

// Largest number of tasks in one job that the protocol allows (PROTOCOL, POST /v1/jobs).
constexpr std::uint32_t kMaxTasksPerJob = 100'000;

// Why a job specification is refused. The reply to the user contains text().
struct JobSpecError {
  std::string field;   // protocol name of the field, or "body" for the whole message
  std::string reason;  // such as "is missing or invalid"

  // Returns the text of the reply to the user, such as "shape is missing or invalid".
  [[nodiscard]] std::string text() const { return field + " " + reason; }
};

// Whether `id` consists of "req-" and 6 to 18 digits.
bool valid_job_id(std::string_view id);
// Parses the body of a submission. Checks the form of ids and names, that amounts (CPUs, GPUs, GB,
// seconds) are finite and not negative, that there are 1 to kMaxTasksPerJob tasks, and that a
// service has no estimate. Admission checks later whether the cluster can run the job.
tl::expected<JobSpec, JobSpecError> parse_job(std::string_view body);
// Reads a job specification, with the checks of a submission, from a JSON value that is already
// parsed.
tl::expected<JobSpec, JobSpecError> parse_job(const Json& object);
// Writes the fields that parse_job reads into the object that `writer` has open.
void write_job_fields(Writer& writer, const JobSpec& job);

// State of a job as reported to users.
enum class JobState : std::uint8_t { queued, running, done, cancelled };
// Body of the reply to a submission or cancellation.
std::string job_state_body(std::string_view id, JobState state);
// Body of the reply to a status request; `done` and `running` are numbers of tasks.
std::string job_status_body(std::string_view id, JobState state, std::uint64_t done,
                            std::uint64_t running);

// ---- workers ----

// Identifies one task of a job.
struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};
// Returns JOB/INDEX, the name of the task in messages to and from workers.
std::string task_name(std::string_view job, std::uint32_t index);
// Parses the result of task_name. Requires a valid job id and a 32-bit index.
Decoded<TaskId> parse_task_name(std::string_view text);

// State of a task on a worker.
enum class TaskState : std::uint8_t { fetching, waiting, running, checkpointing, exited };
// Why a task exited, or why the worker refused to start it.
enum class ExitCause : std::uint8_t {
  none,     // it has not exited
  done,     // it completed
  stopped,  // a stop command ended it
  peers,    // it ended because of other tasks of its gang
  alone,    // the other tasks of its gang did not start in time
  error,    // it failed
  no_room,  // the machine has too few free resources
  busy,     // the machine can't accept the task now
  unknown   // the worker does not know the requirements of the task
};

// Status of a task as its worker last reported it.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;  // set if the task has exited
  bool checkpointed = false;          // the task wrote a checkpoint before it exited
};

// A worker's report of its machine and tasks. Workers send it as a heartbeat and as the reply to
// commands and probes.
struct Heartbeat {
  std::string machine;
  std::string address;  // where the worker receives commands, such as 10.0.0.1:9000
  std::string type;
  std::string zone;
  bool spot = false;
  // Changes when the worker's agent restarts; a new incarnation has no knowledge of earlier tasks.
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;                 // increases with each heartbeat of one incarnation
  std::uint64_t token = 0;                    // newest fencing token that the worker has received
  std::optional<double> preemption_notice_s;  // seconds until the cloud takes the machine back
  std::vector<TaskStatus> tasks;
};
// Parses a worker's message. Names must have 1 to 128 bytes, counters must be non-negative
// integers, and an exited task must have a cause. A preemption notice is any finite number of
// seconds; a negative one counts as 0. A missing "loads" means that there are no tasks. Errors in a
// task name its path, such as loads[2].status.
Decoded<Heartbeat> parse_heartbeat(std::string_view body);

enum class CommandKind : std::uint8_t {
  start,
  stop,
  forget  // drop an exited task: its status is recorded, so the worker can stop reporting it
};
// A command to a worker for one attempt of a task.
struct Command {
  CommandKind kind = CommandKind::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // stop only: seconds that the task has for writing a checkpoint
};
// Body of the reply to a heartbeat. The reply renews the worker's lease.
std::string heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
// Body of a request that sends commands to the given incarnation of a worker's agent.
std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
// Body of the reply that redirects a worker to the controller that owns its machine.
std::string redirect_body(std::string_view controller);

// ---- the cloud ----

// A machine type in the cloud's catalog.
struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;  // 0 if the catalog has none
  double boot_s = 0;                 // seconds until a new machine is ready
  std::vector<std::string> zones;
};
// Parses the catalog. Each type requires a name, CPUs and memory (finite, not negative) and a list
// of zones. Other amounts stay 0 if they are absent; their sign is not checked.
Decoded<std::vector<MachineType>> parse_catalog(std::string_view body);
// Serializes the catalog in the format that the cloud sends. It is stored in this format, too.
std::string catalog_body(const std::vector<MachineType>& types);

// A request to the cloud for machines. It is idempotent: a retry under the same name does not rent
// more machines.
struct ScaleOutRequest {
  std::string name;  // unique; no later request uses it again
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};
// Body of a scale-out request.
std::string scale_out_body(const ScaleOutRequest& request);
// Parses the reply to a scale-out request: the names of the rented machines. There may be fewer
// machines than requested.
Decoded<std::vector<std::string>> parse_scale_out_reply(std::string_view body);
// Body of a request that returns machines.
std::string scale_in_body(const std::vector<std::string>& machines);

enum class CloudState : std::uint8_t { booting, running, failed };
// A machine in the cloud's list of rented machines.
struct CloudMachine {
  std::string id, address, type, zone;  // the address is empty until the cloud assigns one
  bool spot = false;
  CloudState state = CloudState::booting;
  double rented_for_s = 0;  // seconds since the machine was rented
};
// One page of the cloud's list of machines, up to the first entry that can't be decoded.
struct MachineListPage {
  std::vector<CloudMachine> machines;     // entries before the first invalid one
  bool more = false;                      // more pages follow
  std::optional<DecodeError> unreadable;  // error of the first invalid entry, if there is one
};
// Parses a page. Each machine requires an id, type, zone, spot flag and known state; the first
// invalid machine ends the page and is reported in `unreadable`. The whole page is an error only if
// it has no list of machines or no flag that tells whether more pages follow.
Decoded<MachineListPage> parse_machine_list(std::string_view body);

// ---- paths ----

// Paths of requests to the cloud.
constexpr const char* kCatalogPath = "/catalog";
constexpr const char* kScaleOutPath = "/hosts";
constexpr const char* kScaleInPath = "/hosts/return";
// Path of the page with up to `limit` machines that follow the machine `after`; an empty `after`
// requests the first page.
std::string machine_list_path(std::string_view after, std::uint32_t limit);
// Paths of requests to workers.
constexpr const char* kCommandsPath = "/orders";
constexpr const char* kStatusPath = "/status";
// Paths of requests to controllers.
constexpr const char* kHeartbeatPath = "/hello";
constexpr const char* kJobsPath = "/v1/jobs";
constexpr const char* kHealthPath = "/healthz";
constexpr const char* kCancelSuffix = "/withdraw";

}  // namespace scheduler::wire
