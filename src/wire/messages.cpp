#include "wire/messages.h"

#include <algorithm>
#include <charconv>

namespace scheduler::wire {
namespace {

constexpr std::string_view kJobIdPrefix = "req-";
constexpr std::size_t kMinJobIdDigits = 6;
constexpr std::size_t kMaxJobIdDigits = 18;

// An enum value and its name in the protocol.
template <typename Enum>
using EnumName = std::pair<std::string_view, Enum>;

constexpr EnumName<Priority> kPriorities[] = {{"production", Priority::production},
                                              {"high", Priority::high},
                                              {"standard", Priority::normal},
                                              {"low", Priority::low}};
constexpr EnumName<JobShape> kShapes[] = {
    {"batch", JobShape::array}, {"ensemble", JobShape::gang}, {"daemon", JobShape::service}};
constexpr EnumName<JobState> kJobStates[] = {{"pending", JobState::queued},
                                             {"running", JobState::running},
                                             {"done", JobState::done},
                                             {"withdrawn", JobState::cancelled}};
constexpr EnumName<TaskState> kTaskStates[] = {{"fetching", TaskState::fetching},
                                               {"gathering", TaskState::waiting},
                                               {"running", TaskState::running},
                                               {"saving", TaskState::checkpointing},
                                               {"exited", TaskState::exited}};
constexpr EnumName<ExitCause> kCauses[] = {
    {"done", ExitCause::done},   {"stopped", ExitCause::stopped}, {"peers", ExitCause::peers},
    {"alone", ExitCause::alone}, {"error", ExitCause::error},     {"no_room", ExitCause::no_room},
    {"busy", ExitCause::busy},   {"no_such", ExitCause::unknown}};
constexpr EnumName<CloudState> kCloudStates[] = {{"starting", CloudState::booting},
                                                 {"running", CloudState::running},
                                                 {"failed", CloudState::failed}};

template <typename Enum, std::size_t Size>
std::string_view name_of(const EnumName<Enum> (&table)[Size], Enum value) {
  for (const auto& [name, enum_value] : table) {
    if (enum_value == value) return name;
  }
  return "";
}

template <typename Enum, std::size_t Size>
std::optional<Enum> enum_of(const EnumName<Enum> (&table)[Size], std::string_view text) {
  for (const auto& [name, value] : table) {
    if (name == text) return value;
  }
  return std::nullopt;
}

// Returns "one of a, b, c" for error messages.
template <typename Enum, std::size_t Size>
std::string one_of(const EnumName<Enum> (&table)[Size]) {
  std::string names;
  for (const auto& [name, value] : table)
    names.append(names.empty() ? "one of " : ", ").append(name);
  return names;
}

// Reads a required field whose value must be one of the names in the table.
template <typename Enum, std::size_t Size>
void read_enum(FieldReader& fields, const Json& object, const char* field,
               const EnumName<Enum> (&table)[Size], Enum& out) {
  if (fields.failed()) return;
  const Json* text = member(object, field);
  std::optional<Enum> value;
  if (text && text->IsString())
    value = enum_of(table, {text->GetString(), text->GetStringLength()});
  if (value) {
    out = *value;
  } else {
    fields.require(false, field, one_of(table));
  }
}

// Parses a message. Returns an error if the body is not a JSON object.
std::optional<DecodeError> parse_message(std::string_view body, rapidjson::Document& document) {
  if (parse_object(body, document)) return std::nullopt;
  return DecodeError{"", "a JSON object"};
}

// Reads the member `field`, an array of strings.
Decoded<std::vector<std::string>> read_string_array(const Json& object, const char* field) {
  const Json* texts = member(object, field);
  if (!texts || !texts->IsArray()) return decode_error(field, "a list of texts");
  std::vector<std::string> read;
  for (const Json& text : texts->GetArray()) {
    if (!text.IsString()) return decode_error(element_path(field, read.size()), "a text");
    read.emplace_back(text.GetString(), text.GetStringLength());
  }
  return read;
}

void write_commands(Writer& writer, const std::vector<Command>& commands) {
  writer.Key("orders");
  writer.StartArray();
  for (const Command& command : commands) {
    writer.StartObject();
    put(writer, "verb",
        command.kind == CommandKind::start  ? "start"
        : command.kind == CommandKind::stop ? "halt"
                                            : "clear");
    put(writer, "load", task_name(command.task.job, command.task.index));
    put(writer, "try", command.attempt);
    if (command.kind == CommandKind::stop) put(writer, "leewayS", command.grace_s);
    writer.EndObject();
  }
  writer.EndArray();
}

constexpr const char* kMissingOrInvalid = "is missing or invalid";
constexpr const char* kInvalid = "is invalid";

tl::unexpected<JobSpecError> job_error(std::string field, std::string reason) {
  return tl::unexpected(JobSpecError{std::move(field), std::move(reason)});
}

// Reads the machine types that a job may run on; an empty list allows any type. Returns nullopt if
// the field is invalid.
std::optional<std::vector<std::string>> read_job_types(const Json& object) {
  std::vector<std::string> types;
  const Json* names = member(object, "fleets");
  if (!names) return types;
  if (!names->IsArray() || names->Empty()) return std::nullopt;
  for (const Json& name : names->GetArray()) {
    if (!name.IsString() || name.GetStringLength() == 0 || name.GetStringLength() > kMaxNameBytes)
      return std::nullopt;
    types.emplace_back(name.GetString(), name.GetStringLength());
  }
  return types;
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kJobIdPrefix)) return false;
  id.remove_prefix(kJobIdPrefix.size());
  if (id.size() < kMinJobIdDigits || id.size() > kMaxJobIdDigits) return false;
  return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

tl::expected<JobSpec, JobSpecError> parse_job(std::string_view body) {
  rapidjson::Document document;
  if (!parse_object(body, document)) return job_error("body", "is not a JSON object");
  return parse_job(static_cast<const Json&>(document));
}

// If several fields are invalid, the first failed check determines which error the user sees.
tl::expected<JobSpec, JobSpecError> parse_job(const Json& object) {
  JobSpec job;
  FieldReader fields(object);
  const auto missing_or_invalid = [&] {
    return job_error(fields.error().field, kMissingOrInvalid);
  };
  fields.required("id", job.id).require(valid_job_id(job.id), "id", "a job id");
  fields.name("queue", job.job_class).name("crew", job.team);
  read_enum(fields, object, "shape", kShapes, job.shape);
  read_enum(fields, object, "rank", kPriorities, job.priority);
  fields.required("loads", job.tasks)
      .require(job.tasks > 0 && job.tasks <= kMaxTasksPerJob, "loads", "a number of tasks")
      .amount("cpus", job.cpus)
      .amount("gpus", job.gpus)
      .amount("memGb", job.memory_gb)
      .name("kit", job.image)
      .amount("pullGb", job.image_gb);
  if (fields.failed()) return missing_or_invalid();
  auto types = read_job_types(object);
  if (!types) return job_error("fleets", kInvalid);
  job.types = std::move(*types);
  if (member(object, "yard") && fields.name("yard", job.zone).failed())
    return job_error("yard", kInvalid);
  fields.required("together", job.one_zone)
      .required("scatter", job.spread)
      .required("standby", job.spot)
      .amount("haulS", job.estimate_s);
  if (fields.failed()) return missing_or_invalid();
  if (job.is_service() && job.estimate_s != 0) return job_error("haulS", "of a daemon must be 0");
  fields.amount("tipS", job.checkpoint_interval_s).amount("stowS", job.checkpoint_write_s);
  if (fields.failed()) return missing_or_invalid();
  if (member(object, "dueS") && fields.amount("dueS", job.deadline_s.emplace()).failed())
    return job_error("dueS", kInvalid);
  return job;
}

void write_job_fields(Writer& writer, const JobSpec& job) {
  put(writer, "id", job.id);
  put(writer, "queue", job.job_class);
  put(writer, "crew", job.team);
  put(writer, "shape", name_of(kShapes, job.shape));
  put(writer, "rank", name_of(kPriorities, job.priority));
  put(writer, "loads", std::uint64_t{job.tasks});
  put(writer, "cpus", job.cpus);
  put(writer, "gpus", job.gpus);
  put(writer, "memGb", job.memory_gb);
  put(writer, "kit", job.image);
  put(writer, "pullGb", job.image_gb);
  if (!job.types.empty()) {
    writer.Key("fleets");
    writer.StartArray();
    for (const auto& type : job.types) put_text(writer, type);
    writer.EndArray();
  }
  if (!job.zone.empty()) put(writer, "yard", job.zone);
  put_bool(writer, "together", job.one_zone);
  put_bool(writer, "scatter", job.spread);
  put_bool(writer, "standby", job.spot);
  put(writer, "haulS", job.estimate_s);
  put(writer, "tipS", job.checkpoint_interval_s);
  put(writer, "stowS", job.checkpoint_write_s);
  if (job.deadline_s) put(writer, "dueS", *job.deadline_s);
}

std::string job_state_body(std::string_view id, JobState state) {
  return object([&](Writer& writer) {
    put(writer, "id", id);
    put(writer, "status", name_of(kJobStates, state));
  });
}

std::string job_status_body(std::string_view id, JobState state, std::uint64_t done,
                            std::uint64_t running) {
  return object([&](Writer& writer) {
    put(writer, "id", id);
    put(writer, "status", name_of(kJobStates, state));
    put(writer, "done", done);
    put(writer, "running", running);
  });
}

std::string task_name(std::string_view job, std::uint32_t index) {
  return std::string(job) + "/" + std::to_string(index);
}

Decoded<TaskId> parse_task_name(std::string_view text) {
  const auto malformed = [] { return decode_error("", "a task's name, JOB/INDEX"); };
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return malformed();
  const auto job = text.substr(0, slash);
  const auto number = text.substr(slash + 1);
  if (!valid_job_id(job) || number.empty()) return malformed();
  TaskId task;
  auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), task.index);
  if (error != std::errc{} || end != number.data() + number.size()) return malformed();
  task.job = job;
  return task;
}

namespace {

Decoded<TaskStatus> read_task_status(const Json& object) {
  TaskStatus status;
  std::string name;
  FieldReader fields(object);
  if (fields.required("load", name).failed()) return tl::unexpected(fields.error());
  auto task = parse_task_name(name);
  if (!task) return tl::unexpected(task.error().within("load"));
  status.task = std::move(*task);
  fields.required("try", status.attempt);
  read_enum(fields, object, "status", kTaskStates, status.state);
  if (status.state == TaskState::exited) read_enum(fields, object, "cause", kCauses, status.cause);
  if (member(object, "saved")) fields.required("saved", status.checkpointed);
  if (fields.failed()) return tl::unexpected(fields.error());
  return status;
}

}  // namespace

Decoded<Heartbeat> parse_heartbeat(std::string_view body) {
  rapidjson::Document document;
  if (auto error = parse_message(body, document)) return tl::unexpected(std::move(*error));
  Heartbeat heartbeat;
  FieldReader fields(document);
  fields.name("rig", heartbeat.machine)
      .name("endpoint", heartbeat.address)
      .name("fleet", heartbeat.type)
      .name("yard", heartbeat.zone)
      .required("standby", heartbeat.spot)
      .required("shift", heartbeat.incarnation)
      .required("tally", heartbeat.sequence)
      .required("baton", heartbeat.token);
  if (member(document, "warningS")) {
    double notice = 0;
    fields.required("warningS", notice);
    heartbeat.preemption_notice_s = std::max(0.0, notice);
  }
  if (fields.failed()) return tl::unexpected(fields.error());
  const Json* loads = member(document, "loads");
  if (!loads) return heartbeat;
  if (!loads->IsArray()) return decode_error("loads", "a list of tasks");
  for (const Json& load : loads->GetArray()) {
    auto status = read_task_status(load);
    if (!status)
      return tl::unexpected(status.error().within(element_path("loads", heartbeat.tasks.size())));
    heartbeat.tasks.push_back(std::move(*status));
  }
  return heartbeat;
}

std::string heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands) {
  return object([&](Writer& writer) {
    put(writer, "baton", token);
    write_commands(writer, commands);
  });
}

std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  return object([&](Writer& writer) {
    put(writer, "baton", token);
    put(writer, "shift", incarnation);
    write_commands(writer, commands);
  });
}

std::string redirect_body(std::string_view controller) {
  return object([&](Writer& writer) { put(writer, "dispatcher", controller); });
}

namespace {

Decoded<MachineType> read_machine_type(const Json& object) {
  MachineType type;
  FieldReader fields(object);
  fields.name("label", type.name).amount("cpus", type.cpus).amount("memGb", type.memory_gb);
  if (fields.failed()) return tl::unexpected(fields.error());
  read_amount(object, "gpus", type.gpus);
  read_amount(object, "localGb", type.cache_gb);
  read_amount(object, "fetchGbPerS", type.fetch_gb_per_s);
  read_amount(object, "rate", type.price);
  read_amount(object, "marketPrice", type.spot_price);
  read_amount(object, "readyS", type.boot_s);
  auto zones = read_string_array(object, "yards");
  if (!zones) return tl::unexpected(zones.error());
  type.zones = std::move(*zones);
  return type;
}

}  // namespace

Decoded<std::vector<MachineType>> parse_catalog(std::string_view body) {
  rapidjson::Document document;
  if (auto error = parse_message(body, document)) return tl::unexpected(std::move(*error));
  const Json* entries = member(document, "fleets");
  if (!entries || !entries->IsArray()) return decode_error("fleets", "a list of machine types");
  std::vector<MachineType> types;
  for (const Json& entry : entries->GetArray()) {
    auto type = read_machine_type(entry);
    if (!type) return tl::unexpected(type.error().within(element_path("fleets", types.size())));
    types.push_back(std::move(*type));
  }
  return types;
}

std::string catalog_body(const std::vector<MachineType>& types) {
  return object([&](Writer& writer) {
    writer.Key("fleets");
    writer.StartArray();
    for (const MachineType& type : types) {
      writer.StartObject();
      put(writer, "label", type.name);
      put(writer, "cpus", type.cpus);
      put(writer, "gpus", type.gpus);
      put(writer, "memGb", type.memory_gb);
      put(writer, "localGb", type.cache_gb);
      put(writer, "fetchGbPerS", type.fetch_gb_per_s);
      put(writer, "rate", type.price);
      put(writer, "marketPrice", type.spot_price);
      put(writer, "readyS", type.boot_s);
      writer.Key("yards");
      writer.StartArray();
      for (const auto& zone : type.zones) put_text(writer, zone);
      writer.EndArray();
      writer.EndObject();
    }
    writer.EndArray();
  });
}

std::string scale_out_body(const ScaleOutRequest& request) {
  return object([&](Writer& writer) {
    put(writer, "hire", request.name);
    put(writer, "fleet", request.type);
    put(writer, "yard", request.zone);
    put_bool(writer, "standby", request.spot);
    put(writer, "number", std::uint64_t{request.count});
  });
}

Decoded<std::vector<std::string>> parse_scale_out_reply(std::string_view body) {
  rapidjson::Document document;
  if (auto error = parse_message(body, document)) return tl::unexpected(std::move(*error));
  return read_string_array(document, "rigs");
}

std::string scale_in_body(const std::vector<std::string>& machines) {
  return object([&](Writer& writer) {
    writer.Key("rigs");
    writer.StartArray();
    for (const auto& machine : machines) put_text(writer, machine);
    writer.EndArray();
  });
}

std::string machine_list_path(std::string_view after, std::uint32_t limit) {
  return "/hosts?after=" + std::string(after) + "&most=" + std::to_string(limit);
}

namespace {

Decoded<CloudMachine> read_cloud_machine(const Json& object) {
  CloudMachine machine;
  FieldReader fields(object);
  fields.name("id", machine.id)
      .name("fleet", machine.type)
      .name("yard", machine.zone)
      .required("standby", machine.spot);
  read_enum(fields, object, "status", kCloudStates, machine.state);
  if (fields.failed()) return tl::unexpected(fields.error());
  read(object, "endpoint", machine.address);
  read_amount(object, "heldS", machine.rented_for_s);
  return machine;
}

}  // namespace

Decoded<MachineListPage> parse_machine_list(std::string_view body) {
  rapidjson::Document document;
  if (auto error = parse_message(body, document)) return tl::unexpected(std::move(*error));
  MachineListPage page;
  FieldReader fields(document);
  if (fields.required("hasNext", page.more).failed()) return tl::unexpected(fields.error());
  const Json* rigs = member(document, "rigs");
  if (!rigs || !rigs->IsArray()) return decode_error("rigs", "a list of machines");
  for (const Json& rig : rigs->GetArray()) {
    auto machine = read_cloud_machine(rig);
    if (!machine) {
      page.unreadable = machine.error().within(element_path("rigs", page.machines.size()));
      break;
    }
    page.machines.push_back(std::move(*machine));
  }
  return page;
}

}  // namespace scheduler::wire
