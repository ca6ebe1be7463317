// The JSON messages of users, workers and the cloud as checked structs. Only this package knows the
// protocol's own names; the rest of the program uses the field's terms. Where the two differ:
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

// Order is preemption order: a larger value may preempt a smaller one.
enum class Priority : std::uint8_t { low = 0, normal = 1, high = 2, production = 3 };

// How the tasks of a job belong together.
enum class JobShape : std::uint8_t {
  array,   // independent tasks; each runs to completion
  gang,    // all tasks run at the same time or none does
  service  // independent replicas that run until the job is cancelled
};

// What a user submits.
struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobShape shape = JobShape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;  // of one task
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;    // of machines; empty: any
  std::string zone;                  // empty: any
  bool one_zone = false;             // all tasks in one zone
  bool spread = false;               // tasks over several zones
  bool spot = false;                 // spot machines will do
  double estimate_s = 0;             // seconds that a task is expected to run; 0 for services
  double checkpoint_interval_s = 0;  // seconds between checkpoints; 0: none
  double checkpoint_write_s = 0;     // seconds that writing one takes
  std::optional<double> deadline_s;  // seconds from submission; none: no deadline

  [[nodiscard]] bool is_gang() const { return shape == JobShape::gang; }
  [[nodiscard]] bool is_service() const { return shape == JobShape::service; }
};

constexpr std::uint32_t kMaxTasks = 100'000;  // tasks; PROTOCOL, POST /v1/jobs

// Why a job specification is refused. Users see its text.
struct JobSpecError {
  std::string field;   // as the protocol names it; "body": the message as a whole
  std::string reason;  // "is missing or invalid"

  // "shape is missing or invalid": the text of the reply to the user.
  [[nodiscard]] std::string text() const { return field + " " + reason; }
};

// Whether `id` is req- and 6 to 18 digits.
bool valid_job_id(std::string_view id);
// Reads the body of a submission. Every field is checked by itself: ids and names for their form,
// amounts (CPUs, GPUs, GB, seconds) for being finite and not negative, tasks for 1 to kMaxTasks,
// and that a service has no estimate. Whether the cluster can run the job is for admission to say.
tl::expected<JobSpec, JobSpecError> parse_job(std::string_view body);
// The same of a JSON value that was parsed before.
tl::expected<JobSpec, JobSpecError> parse_job(const Json& object);
// Writes the fields that parse_job reads into the object that `writer` is in.
void write_job_fields(Writer& writer, const JobSpec& job);

// What users are told of a job.
enum class JobState : std::uint8_t { queued, running, done, cancelled };
// Body of the reply to a submission or cancellation.
std::string job_state_body(std::string_view id, JobState state);
// Body of the reply to a poll; `done` and `running` count tasks.
std::string job_status_body(std::string_view id, JobState state, std::uint64_t done,
                            std::uint64_t running);

// ---- workers ----

// One task of a job.
struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};
// JOB/INDEX, as workers name tasks.
std::string task_name(std::string_view job, std::uint32_t index);
// Reads what task_name writes: a valid job id and an index of 32 bits.
Decoded<TaskId> parse_task_name(std::string_view text);

// What a task on a worker is doing.
enum class TaskState : std::uint8_t { fetching, waiting, running, checkpointing, exited };
// Why a task has exited, or was refused.
enum class ExitCause : std::uint8_t {
  none,     // it has not
  done,     // it is complete
  stopped,  // it was told to stop
  peers,    // because of other tasks of its gang
  alone,    // of a gang whose other tasks did not start in time
  error,    // it failed
  no_room,  // the machine has too few free resources
  busy,     // the machine can't take it now
  unknown   // the worker does not know what it needs
};

// A task as its worker last saw it.
struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;  // of an exited task
  bool checkpointed = false;          // it wrote a checkpoint before it exited
};

// What a worker says of itself, in its heartbeats and in its replies to commands and probes.
struct Heartbeat {
  std::string machine;
  std::string address;  // for commands: 10.0.0.1:9000
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;  // of the agent; another one knows nothing of tasks before it
  std::uint64_t sequence = 0;     // grows with each heartbeat of an incarnation
  std::uint64_t token = 0;        // newest fencing token that the worker has seen
  std::optional<double> preemption_notice_s;  // seconds until the cloud takes the machine back
  std::vector<TaskStatus> tasks;
};
// Reads a worker's message. Names have 1 to 128 bytes; counters are whole and not negative; a
// notice is any finite number of seconds, a negative one counts as 0; an exited task needs its
// cause. No "loads" means no tasks. Errors of a task have its path: loads[2].status.
Decoded<Heartbeat> parse_heartbeat(std::string_view body);

enum class CommandKind : std::uint8_t {
  start,
  stop,
  forget  // of an exited task: its status is recorded and need not be sent again
};
// What a worker is to do with one attempt of a task.
struct Command {
  CommandKind kind = CommandKind::start;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;  // seconds in which a stopped task may write a checkpoint
};
// Body of the reply to a heartbeat; it renews the worker's lease.
std::string heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
// Body of a message of commands to the given incarnation of a worker's agent.
std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
// Body of the reply that sends a worker to the controller that owns its machine.
std::string redirect_body(std::string_view controller);

// ---- the cloud ----

// An entry of the cloud's catalog.
struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0;  // 0: not stated
  double boot_s = 0;                 // seconds until a new machine is ready
  std::vector<std::string> zones;
};
// Reads the catalog. Each type needs a name, its CPUs and memory (finite, not negative) and a list
// of zones; its other amounts stay 0 where they are absent, and are not checked for their sign.
Decoded<std::vector<MachineType>> parse_catalog(std::string_view body);
// The catalog as the cloud sends it; also the form in which it is stored.
std::string catalog_body(const std::vector<MachineType>& types);

// A request to the cloud for machines. It may be sent again under its name, which rents nothing
// twice.
struct ScaleOutRequest {
  std::string name;  // never reused
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};
// Body of the request.
std::string scale_out_body(const ScaleOutRequest& request);
// Reads the reply to it: names of the rented machines, of which there may be fewer than asked for.
Decoded<std::vector<std::string>> parse_scale_out_reply(std::string_view body);
// Body of a request that returns machines.
std::string scale_in_body(const std::vector<std::string>& machines);

enum class CloudState : std::uint8_t { booting, running, failed };
// A machine as the cloud lists it.
struct CloudMachine {
  std::string id, address, type, zone;  // the address is empty until the machine has one
  bool spot = false;
  CloudState state = CloudState::booting;
  double held_s = 0;  // seconds since it was rented
};
// A page of the cloud's list of machines, as far as it can be read.
struct MachineListPage {
  std::vector<CloudMachine> machines;     // those before the first that can't be read
  bool more = false;                      // pages follow
  std::optional<DecodeError> unreadable;  // what is wrong with the machine after these
};
// Reads a page: whether there are more, and a list whose machines need id, type, zone, whether they
// are spot, and a known state. It is an error only if there is no list.
Decoded<MachineListPage> parse_machine_list(std::string_view body);

// ---- paths ----

// Requests to the cloud.
constexpr const char* kCatalogPath = "/catalog";
constexpr const char* kScaleOutPath = "/hosts";
constexpr const char* kScaleInPath = "/hosts/return";
// Of the page of at most `most` machines that follows the machine `after` (empty: the first page).
std::string machine_list_path(std::string_view after, std::uint32_t most);
// Requests to workers.
constexpr const char* kCommandsPath = "/orders";
constexpr const char* kStatusPath = "/status";
// Requests to controllers.
constexpr const char* kHeartbeatPath = "/hello";
constexpr const char* kJobsPath = "/v1/jobs";
constexpr const char* kHealthPath = "/healthz";
constexpr const char* kCancelSuffix = "/withdraw";

}  // namespace scheduler::wire
