#include "wire/messages.h"

#include <algorithm>
#include <charconv>

namespace scheduler::wire {
namespace {

constexpr std::string_view kJobPrefix = "req-";
constexpr std::size_t kMinIdDigits = 6;
constexpr std::size_t kMaxIdDigits = 18;
constexpr std::size_t kMaxNameLength = 128;  // bytes of a class, team, image, type or zone name

template <typename E, std::size_t N>
bool read_job(const std::pair<std::string_view, E> (&table)[N], std::string_view text, E& out) {
  for (const auto& [name, value] : table) {
    if (name == text) {
      out = value;
      return true;
    }
  }
  return false;
}

constexpr std::pair<std::string_view, Priority> kPriorities[] = {
    {"production", Priority::production},
    {"high", Priority::high},
    {"standard", Priority::normal},
    {"low", Priority::low}};
constexpr std::pair<std::string_view, JobShape> kShapes[] = {
    {"batch", JobShape::array}, {"ensemble", JobShape::gang}, {"daemon", JobShape::service}};
constexpr std::pair<std::string_view, JobState> kJobStates[] = {{"pending", JobState::queued},
                                                                {"running", JobState::running},
                                                                {"done", JobState::done},
                                                                {"withdrawn", JobState::cancelled}};
constexpr std::pair<std::string_view, TaskState> kTaskStates[] = {
    {"fetching", TaskState::fetching},
    {"gathering", TaskState::waiting},
    {"running", TaskState::running},
    {"saving", TaskState::checkpointing},
    {"exited", TaskState::exited}};
constexpr std::pair<std::string_view, ExitCause> kCauses[] = {
    {"done", ExitCause::done},   {"stopped", ExitCause::stopped}, {"peers", ExitCause::peers},
    {"alone", ExitCause::alone}, {"error", ExitCause::error},     {"no_room", ExitCause::no_room},
    {"busy", ExitCause::busy},   {"no_such", ExitCause::unknown}};
constexpr std::pair<std::string_view, CloudState> kCloudStates[] = {
    {"starting", CloudState::booting},
    {"running", CloudState::running},
    {"failed", CloudState::failed}};

template <typename E, std::size_t N>
std::string_view name_of(const std::pair<std::string_view, E> (&table)[N], E value) {
  for (const auto& [name, v] : table) {
    if (v == value) return name;
  }
  return "";
}

template <typename E, std::size_t N>
bool read_enum(const Json& o, const char* field, const std::pair<std::string_view, E> (&table)[N],
               E& out) {
  const Json* v = member(o, field);
  return v && v->IsString() && read_job(table, {v->GetString(), v->GetStringLength()}, out);
}

bool read_name(const Json& o, const char* field, std::string& out) {
  return read(o, field, out) && !out.empty() && out.size() <= kMaxNameLength;
}

void write_commands(Writer& w, const std::vector<Command>& commands) {
  w.Key("orders");
  w.StartArray();
  for (const Command& c : commands) {
    w.StartObject();
    put(w, "verb",
        c.kind == CommandKind::start  ? "start"
        : c.kind == CommandKind::stop ? "halt"
                                      : "clear");
    put(w, "load", task_name(c.task.job, c.task.index));
    put(w, "try", c.attempt);
    if (c.kind == CommandKind::stop) put(w, "leewayS", c.grace_s);
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with(kJobPrefix)) return false;
  id.remove_prefix(kJobPrefix.size());
  if (id.size() < kMinIdDigits || id.size() > kMaxIdDigits) return false;
  return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string parse_job(std::string_view body, JobSpec& out) {
  rapidjson::Document doc;
  if (!parse_object(body, doc)) return "body is not a JSON object";
  return parse_job(static_cast<const Json&>(doc), out);
}

std::string parse_job(const Json& o, JobSpec& out) {
  if (!read(o, "id", out.id) || !valid_job_id(out.id)) return "id is missing or invalid";
  if (!read_name(o, "queue", out.job_class)) return "queue is missing or invalid";
  if (!read_name(o, "crew", out.team)) return "crew is missing or invalid";
  if (!read_enum(o, "shape", kShapes, out.shape)) return "shape is missing or invalid";
  if (!read_enum(o, "rank", kPriorities, out.priority)) return "rank is missing or invalid";
  if (!read(o, "loads", out.tasks) || out.tasks == 0 || out.tasks > kMaxTasks)
    return "loads is missing or invalid";
  if (!read_amount(o, "cpus", out.cpus)) return "cpus is missing or invalid";
  if (!read_amount(o, "gpus", out.gpus)) return "gpus is missing or invalid";
  if (!read_amount(o, "memGb", out.memory_gb)) return "memGb is missing or invalid";
  if (!read_name(o, "kit", out.image)) return "kit is missing or invalid";
  if (!read_amount(o, "pullGb", out.image_gb)) return "pullGb is missing or invalid";
  out.types.clear();
  if (const Json* types = member(o, "fleets")) {
    if (!types->IsArray() || types->Empty()) return "fleets is invalid";
    for (const Json& t : types->GetArray()) {
      if (!t.IsString() || t.GetStringLength() == 0 || t.GetStringLength() > kMaxNameLength)
        return "fleets is invalid";
      out.types.emplace_back(t.GetString(), t.GetStringLength());
    }
  }
  out.zone.clear();
  if (member(o, "yard") && !read_name(o, "yard", out.zone)) return "yard is invalid";
  if (!read(o, "together", out.one_zone)) return "together is missing or invalid";
  if (!read(o, "scatter", out.spread)) return "scatter is missing or invalid";
  if (!read(o, "standby", out.spot)) return "standby is missing or invalid";
  if (!read_amount(o, "haulS", out.estimate_s)) return "haulS is missing or invalid";
  if (out.is_service() && out.estimate_s != 0) return "haulS of a daemon must be 0";
  if (!read_amount(o, "tipS", out.checkpoint_interval_s)) return "tipS is missing or invalid";
  if (!read_amount(o, "stowS", out.checkpoint_write_s)) return "stowS is missing or invalid";
  out.deadline_s.reset();
  if (member(o, "dueS")) {
    double due = 0;
    if (!read_amount(o, "dueS", due)) return "dueS is invalid";
    out.deadline_s = due;
  }
  return "";
}

void write_job_fields(Writer& w, const JobSpec& job) {
  put(w, "id", job.id);
  put(w, "queue", job.job_class);
  put(w, "crew", job.team);
  put(w, "shape", name_of(kShapes, job.shape));
  put(w, "rank", name_of(kPriorities, job.priority));
  put(w, "loads", std::uint64_t{job.tasks});
  put(w, "cpus", job.cpus);
  put(w, "gpus", job.gpus);
  put(w, "memGb", job.memory_gb);
  put(w, "kit", job.image);
  put(w, "pullGb", job.image_gb);
  if (!job.types.empty()) {
    w.Key("fleets");
    w.StartArray();
    for (const auto& t : job.types) put_text(w, t);
    w.EndArray();
  }
  if (!job.zone.empty()) put(w, "yard", job.zone);
  put_bool(w, "together", job.one_zone);
  put_bool(w, "scatter", job.spread);
  put_bool(w, "standby", job.spot);
  put(w, "haulS", job.estimate_s);
  put(w, "tipS", job.checkpoint_interval_s);
  put(w, "stowS", job.checkpoint_write_s);
  if (job.deadline_s) put(w, "dueS", *job.deadline_s);
}

std::string job_state_body(std::string_view id, JobState state) {
  return object([&](Writer& w) {
    put(w, "id", id);
    put(w, "status", name_of(kJobStates, state));
  });
}

std::string job_status_body(std::string_view id, JobState state, std::uint64_t done,
                            std::uint64_t running) {
  return object([&](Writer& w) {
    put(w, "id", id);
    put(w, "status", name_of(kJobStates, state));
    put(w, "done", done);
    put(w, "running", running);
  });
}

std::string task_name(std::string_view job, std::uint32_t index) {
  return std::string(job) + "/" + std::to_string(index);
}

bool parse_task_name(std::string_view text, TaskId& out) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return false;
  const auto job = text.substr(0, slash);
  const auto number = text.substr(slash + 1);
  if (!valid_job_id(job) || number.empty()) return false;
  auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), out.index);
  if (error != std::errc{} || end != number.data() + number.size()) return false;
  out.job = job;
  return true;
}

bool parse_heartbeat(std::string_view body, Heartbeat& out) {
  rapidjson::Document doc;
  if (!parse_object(body, doc)) return false;
  if (!read_name(doc, "rig", out.machine) || !read_name(doc, "endpoint", out.address) ||
      !read_name(doc, "fleet", out.type) || !read_name(doc, "yard", out.zone) ||
      !read(doc, "standby", out.spot) || !read(doc, "shift", out.incarnation) ||
      !read(doc, "tally", out.sequence) || !read(doc, "baton", out.token))
    return false;
  out.preemption_notice_s.reset();
  if (member(doc, "warningS")) {
    double notice = 0;
    if (!read(doc, "warningS", notice)) return false;
    out.preemption_notice_s = std::max(0.0, notice);
  }
  out.tasks.clear();
  const Json* loads = member(doc, "loads");
  if (!loads) return true;
  if (!loads->IsArray()) return false;
  for (const Json& l : loads->GetArray()) {
    TaskStatus t;
    std::string name;
    if (!read(l, "load", name) || !parse_task_name(name, t.task) || !read(l, "try", t.attempt) ||
        !read_enum(l, "status", kTaskStates, t.state))
      return false;
    if (t.state == TaskState::exited && !read_enum(l, "cause", kCauses, t.cause)) return false;
    if (member(l, "saved") && !read(l, "saved", t.checkpointed)) return false;
    out.tasks.push_back(std::move(t));
  }
  return true;
}

std::string heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands) {
  return object([&](Writer& w) {
    put(w, "baton", token);
    write_commands(w, commands);
  });
}

std::string commands_body(std::uint64_t token, std::uint64_t incarnation,
                          const std::vector<Command>& commands) {
  return object([&](Writer& w) {
    put(w, "baton", token);
    put(w, "shift", incarnation);
    write_commands(w, commands);
  });
}

std::string redirect_body(std::string_view controller) {
  return object([&](Writer& w) { put(w, "dispatcher", controller); });
}

bool parse_catalog(std::string_view body, std::vector<MachineType>& out) {
  rapidjson::Document doc;
  if (!parse_object(body, doc)) return false;
  const Json* types = member(doc, "fleets");
  if (!types || !types->IsArray()) return false;
  out.clear();
  for (const Json& t : types->GetArray()) {
    MachineType m;
    if (!read_name(t, "label", m.name) || !read_amount(t, "cpus", m.cpus) ||
        !read_amount(t, "memGb", m.memory_gb))
      return false;
    read_amount(t, "gpus", m.gpus);
    read_amount(t, "localGb", m.cache_gb);
    read_amount(t, "fetchGbPerS", m.fetch_gb_per_s);
    read_amount(t, "rate", m.price);
    read_amount(t, "marketPrice", m.spot_price);
    read_amount(t, "readyS", m.boot_s);
    const Json* zones = member(t, "yards");
    if (!zones || !zones->IsArray()) return false;
    for (const Json& z : zones->GetArray()) {
      if (!z.IsString()) return false;
      m.zones.emplace_back(z.GetString(), z.GetStringLength());
    }
    out.push_back(std::move(m));
  }
  return true;
}

std::string catalog_body(const std::vector<MachineType>& types) {
  return object([&](Writer& w) {
    w.Key("fleets");
    w.StartArray();
    for (const MachineType& m : types) {
      w.StartObject();
      put(w, "label", m.name);
      put(w, "cpus", m.cpus);
      put(w, "gpus", m.gpus);
      put(w, "memGb", m.memory_gb);
      put(w, "localGb", m.cache_gb);
      put(w, "fetchGbPerS", m.fetch_gb_per_s);
      put(w, "rate", m.price);
      put(w, "marketPrice", m.spot_price);
      put(w, "readyS", m.boot_s);
      w.Key("yards");
      w.StartArray();
      for (const auto& z : m.zones) put_text(w, z);
      w.EndArray();
      w.EndObject();
    }
    w.EndArray();
  });
}

std::string scale_out_body(const ScaleOutRequest& r) {
  return object([&](Writer& w) {
    put(w, "hire", r.name);
    put(w, "fleet", r.type);
    put(w, "yard", r.zone);
    put_bool(w, "standby", r.spot);
    put(w, "number", std::uint64_t{r.count});
  });
}

bool parse_scale_out_reply(std::string_view body, std::vector<std::string>& machines) {
  rapidjson::Document doc;
  if (!parse_object(body, doc)) return false;
  const Json* rigs = member(doc, "rigs");
  if (!rigs || !rigs->IsArray()) return false;
  machines.clear();
  for (const Json& r : rigs->GetArray()) {
    if (!r.IsString()) return false;
    machines.emplace_back(r.GetString(), r.GetStringLength());
  }
  return true;
}

std::string scale_in_body(const std::vector<std::string>& machines) {
  return object([&](Writer& w) {
    w.Key("rigs");
    w.StartArray();
    for (const auto& m : machines) put_text(w, m);
    w.EndArray();
  });
}

std::string machine_list_path(std::string_view after, std::uint32_t most) {
  return "/hosts?after=" + std::string(after) + "&most=" + std::to_string(most);
}

bool parse_machine_list(std::string_view body, std::vector<CloudMachine>& out, bool& more) {
  rapidjson::Document doc;
  if (!parse_object(body, doc) || !read(doc, "hasNext", more)) return false;
  const Json* rigs = member(doc, "rigs");
  if (!rigs || !rigs->IsArray()) return false;
  for (const Json& r : rigs->GetArray()) {
    CloudMachine m;
    if (!read_name(r, "id", m.id) || !read_name(r, "fleet", m.type) ||
        !read_name(r, "yard", m.zone) || !read(r, "standby", m.spot) ||
        !read_enum(r, "status", kCloudStates, m.state))
      return false;
    read(r, "endpoint", m.address);
    read_amount(r, "heldS", m.held_s);
    out.push_back(std::move(m));
  }
  return true;
}

}  // namespace scheduler::wire
