// Invalid requests of users: malformed jobs, jobs that can never run, and unknown job ids.
#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

void SimulatedCluster::send_invalid_request() {
  std::vector<std::string> accepted;
  std::vector<std::string> done;
  for (const auto& [id, j] : jobs_) {
    if (j.accepted) accepted.push_back(id);
    if (j.reported_done) done.push_back(id);
  }
  const auto n = random_controller_index();
  auto check_unknown = [this](int status, const std::string& body) {
    result_.invalid_requests_answered += status != 0;
    if (status == 200)
      report_violation("invented", "status 200 for a job that was not submitted: " + body);
  };
  const std::string unknown_job = "/v1/jobs/req-7" + six_digits(random(100'000));
  switch (random(6)) {
    case 0:
      if (!accepted.empty()) submit(random_choice(accepted), 60);
      break;
    case 1:
      if (!done.empty()) cancel(random_choice(done), 60);
      break;
    case 2:
      send_to_controller(n, {"GET", unknown_job, ""}, "", check_unknown);
      break;
    case 3:
      send_to_controller(n, {"POST", unknown_job + "/withdraw", ""}, "", check_unknown);
      break;
    case 4:
      submit_invalid_job(true);
      break;
    default:
      submit_invalid_job(false);
  }
}

std::string SimulatedCluster::random_choice(const std::vector<std::string>& choices) {
  return choices[static_cast<std::size_t>(random(static_cast<int>(choices.size())))];
}

// Submits a job with a missing or invalid field, or a well-formed job that can never run.
void SimulatedCluster::submit_invalid_job(bool malformed) {
  wire::JobSpec s;
  s.id = "req-8" + six_digits(next_invalid_++);
  s.job_class = "small";
  s.team = "free";
  s.tasks = 2;
  s.cpus = s.memory_gb = 1;
  s.image = "i0";
  s.image_gb = 0.4;
  s.estimate_s = 2;
  if (!malformed) make_unrunnable(s);
  std::string body = job_request_body(s);
  if (malformed) body = malform(body);
  const auto n = random_controller_index();
  send_to_controller(n, {"POST", "/v1/jobs", body}, "",
                     [this, malformed, body, id = s.id](int status, const std::string&) {
                       on_invalid_job_reply(id, malformed, body, status);
                     });
}

void SimulatedCluster::make_unrunnable(wire::JobSpec& s) {
  static const std::vector<std::string> kReasons{"cpus", "gpus", "memory", "zone",  "type",
                                                 "team", "gang", "task",   "spread"};
  const std::string reason = random_choice(kReasons);
  if (reason == "cpus") s.cpus = kMachineCpus + 0.5;
  if (reason == "gpus") s.gpus = 1;
  if (reason == "memory") s.memory_gb = kMachineMemoryGb + 1;
  if (reason == "zone") s.zone = "z";
  if (reason == "type") s.types = {"none"};
  if (reason == "team") s.team = "nobody";
  if (reason == "spread") {  // a spread gang may have at most half of its tasks in one zone
    s.shape = wire::JobShape::gang;
    s.spread = true;
    s.zone = "a";
  }
  if (reason == "gang" ||
      reason == "task") {  // a gang over the quota of its team, or a task larger than any machine
    s.shape = reason == "gang" ? wire::JobShape::gang : wire::JobShape::array;
    s.team = "tight";
    s.cpus = s.is_gang() ? 8 : 1e19;
    s.tasks = static_cast<std::uint32_t>(options_.tight_team_cpus / 8) + 1;
  }
}

// Removes a field of the body or gives it an invalid value; one time in ten the whole body is
// invalid.
std::string SimulatedCluster::malform(std::string body) {
  const auto [field, value] = invalid_field();
  rapidjson::Document doc;
  doc.Parse(body.c_str());
  doc.RemoveMember(field.c_str());
  body = wire::text_of(doc);
  if (!value.empty()) body = body.substr(0, body.size() - 1) + ",\"" + field + "\":" + value + "}";
  if (chance(0.1)) body = random_choice({"", "{", "[]", "7", "null", body + "}"});
  return body;
}

// A field and an invalid value for it; "": the field is omitted.
std::pair<std::string, std::string> SimulatedCluster::invalid_field() {
  static const std::vector<std::string> texts{"id", "queue", "crew", "shape", "rank", "kit"};
  static const std::vector<std::string> numbers{"loads",  "cpus",  "gpus", "memGb",
                                                "pullGb", "haulS", "tipS", "stowS"};
  static const std::vector<std::string> flags{"together", "scatter", "standby"};
  static const std::vector<std::string> optional{"fleets", "yard", "dueS"};
  std::string field;
  std::string value;
  switch (random(5)) {
    case 0:
      field = random_choice(texts);
      value = random_choice({"", "null", "5", "\"\"", "[]"});
      break;
    case 1:
      field = random_choice(numbers);
      value = random_choice({"", "null", "-1", "\"4\"", "[]", "true", "1e400", "NaN"});
      break;
    case 2:
      field = random_choice(flags);
      value = random_choice({"", "null", "1", "\"true\""});
      break;
    case 3:
      field = random_choice(optional);
      value = random_choice({"-1", "\"\"", "true", "[-1]", "{}"});
      break;
    default:  // task counts that are zero, fractional, above the limit or 2^64 and more
      field = "loads";
      value = random_choice({"18446744073709551616", "18446744073709551618", "1.5", "0", "100001"});
  }
  return {field, value};
}

// Malformed jobs must get 400, and jobs that can never run 422: users repeat requests after any
// other status, which would be in vain.
void SimulatedCluster::on_invalid_job_reply(const std::string& id, bool malformed,
                                            const std::string& body, int status) {
  result_.invalid_requests_answered += status != 0;
  if (status == 200 || status == 201) report_violation("accepted_wrong", body);
  if (status != 400 && status != 422) return;
  if (status != (malformed ? 400 : 422))
    report_violation("answer", std::to_string(status) + " for " + body);
  send_to_controller(random_controller_index(), {"GET", "/v1/jobs/" + id, ""}, "",
                     [this, id](int read_status, const std::string&) {
                       if (read_status == 200)
                         report_violation("invented", id + " was refused, but is found");
                     });
}

}  // namespace scheduler::sim
