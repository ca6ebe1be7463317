// The JSON messages of users, workers and the cloud as checked structs. Only this package knows
// the protocol's own names; the rest of the program uses the field's terms.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/json.h"

namespace scheduler::wire {

// Order is preemption order: a larger value may stop a smaller one.
enum class Priority : std::uint8_t { low = 0, normal = 1, high = 2, production = 3 };

// How the tasks of a job belong together.
enum class JobShape : std::uint8_t {
  array,   // independent tasks; each runs to completion
  gang,    // all tasks run at the same time or none does
  service  // independent replicas that run until the job is cancelled
};

struct JobSpec {
  std::string id;
  std::string job_class;
  std::string team;
  JobShape shape = JobShape::array;
  Priority priority = Priority::normal;
  std::uint32_t tasks = 0;
  double cpus = 0, gpus = 0, memory_gb = 0;
  std::string image;
  double image_gb = 0;
  std::vector<std::string> types;  // empty: any
  std::string zone;                // empty: any
  bool one_zone = false;
  bool spread = false;
  bool spot = false;
  double estimate_s = 0;
  double checkpoint_interval_s = 0;
  double checkpoint_write_s = 0;
  std::optional<double> deadline_s;

  bool is_gang() const { return shape == JobShape::gang; }
  bool is_service() const { return shape == JobShape::service; }
};

constexpr std::uint32_t kMaxTasks = 100'000;  // tasks; PROTOCOL, POST /v1/jobs

bool valid_job_id(std::string_view id);
// Empty string on success, else a short reason.
std::string parse_job(std::string_view body, JobSpec& out);
std::string parse_job(const Json& object, JobSpec& out);
void write_job_fields(Writer& w, const JobSpec& job);

enum class JobState : std::uint8_t { queued, running, done, cancelled };
std::string job_state_body(std::string_view id, JobState state);
std::string job_status_body(std::string_view id, JobState state, std::uint64_t done,
                            std::uint64_t running);

struct TaskId {
  std::string job;
  std::uint32_t index = 0;
  auto operator<=>(const TaskId&) const = default;
};
std::string task_name(std::string_view job, std::uint32_t index);
bool parse_task_name(std::string_view text, TaskId& out);

enum class TaskState : std::uint8_t { fetching, waiting, running, checkpointing, exited };
enum class ExitCause : std::uint8_t {
  none,
  done,
  stopped,
  peers,
  alone,
  error,
  no_room,
  busy,
  unknown
};

struct TaskStatus {
  TaskId task;
  std::uint64_t attempt = 0;
  TaskState state = TaskState::fetching;
  ExitCause cause = ExitCause::none;
  bool checkpointed = false;
};

struct Heartbeat {
  std::string machine;
  std::string address;
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  std::uint64_t token = 0;
  std::optional<double> preemption_notice_s;
  std::vector<TaskStatus> tasks;
};
bool parse_heartbeat(std::string_view body, Heartbeat& out);

enum class CommandKind : std::uint8_t { start, stop, forget };
struct Command {
  CommandKind kind;
  TaskId task;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};
std::string heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands);
std::string redirect_body(std::string_view controller);

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, cache_gb = 0, fetch_gb_per_s = 0;
  double price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};
bool parse_catalog(std::string_view body, std::vector<MachineType>& out);
std::string catalog_body(const std::vector<MachineType>& types);

struct ScaleOutRequest {
  std::string name;  // never reused
  std::string type;
  std::string zone;
  bool spot = false;
  std::uint32_t count = 0;
};
std::string scale_out_body(const ScaleOutRequest& request);
bool parse_scale_out_reply(std::string_view body, std::vector<std::string>& machines);
std::string scale_in_body(const std::vector<std::string>& machines);

enum class CloudState : std::uint8_t { booting, running, failed };
struct CloudMachine {
  std::string id, address, type, zone;
  bool spot = false;
  CloudState state = CloudState::booting;
  double held_s = 0;
};
bool parse_machine_list(std::string_view body, std::vector<CloudMachine>& out, bool& more);

// Requests to the cloud.
constexpr const char* kCatalogPath = "/catalog";
constexpr const char* kScaleOutPath = "/hosts";
constexpr const char* kScaleInPath = "/hosts/return";
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
