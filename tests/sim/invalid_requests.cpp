// Invalid requests of users: malformed jobs, jobs that can never run, and ids nobody submitted.
#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"

namespace scheduler::sim {

void SimulatedCluster::send_invalid_request() {
  std::vector<std::string> accepted;
  std::vector<std::string> done;
  for (const auto& [id, j] : jobs_) {
    if (j.accepted) accepted.push_back(id);
    if (j.told_done) done.push_back(id);
  }
  const auto n = any_controller_index();
  auto unknown = [this](int status, const std::string& body) {
    result_.invalid_requests_answered += status != 0;
    if (status == 200) report_violation("invented", "a job nobody submitted: " + body);
  };
  const std::string nobody = "/v1/jobs/req-7" + pad(random(100'000));
  switch (random(6)) {
    case 0:
      if (!accepted.empty()) submit(any_of(accepted), 60);
      break;
    case 1:
      if (!done.empty()) cancel(any_of(done), 60);
      break;
    case 2:
      send_to_controller(n, {"GET", nobody, ""}, "", unknown);
      break;
    case 3:
      send_to_controller(n, {"POST", nobody + "/withdraw", ""}, "", unknown);
      break;
    case 4:
      submit_invalid_job(true);
      break;
    default:
      submit_invalid_job(false);
  }
}

std::string SimulatedCluster::any_of(const std::vector<std::string>& choices) {
  return choices[static_cast<std::size_t>(random(static_cast<int>(choices.size())))];
}

// A job with a field that is missing or invalid, or one that is well-formed but can never run.
void SimulatedCluster::submit_invalid_job(bool malformed) {
  wire::JobSpec s;
  s.id = "req-8" + pad(next_invalid_++);
  s.job_class = "small";
  s.team = "free";
  s.tasks = 2;
  s.cpus = s.memory_gb = 1;
  s.image = "i0";
  s.image_gb = 0.4;
  s.estimate_s = 2;
  if (!malformed) make_unrunnable(s);
  std::string body = body_of(s);
  if (malformed) body = malform(body);
  const auto n = any_controller_index();
  send_to_controller(n, {"POST", "/v1/jobs", body}, "",
                     [this, malformed, body, id = s.id](int status, const std::string&) {
                       on_invalid_job_reply(id, malformed, body, status);
                     });
}

void SimulatedCluster::make_unrunnable(wire::JobSpec& s) {
  static const std::vector<std::string> kWays{"cpus", "gpus", "memory", "zone",  "type",
                                              "team", "gang", "task",   "spread"};
  const std::string way = any_of(kWays);
  if (way == "cpus") s.cpus = kMachineCpus + 0.5;
  if (way == "gpus") s.gpus = 1;
  if (way == "memory") s.memory_gb = kMachineMemoryGb + 1;
  if (way == "zone") s.zone = "z";
  if (way == "type") s.types = {"none"};
  if (way == "team") s.team = "nobody";
  if (way == "spread") {  // half of the gang at most may be in its only zone
    s.shape = wire::JobShape::gang;
    s.spread = true;
    s.zone = "a";
  }
  if (way == "gang" || way == "task") {  // over its team's quota, or larger than any machine
    s.shape = way == "gang" ? wire::JobShape::gang : wire::JobShape::array;
    s.team = "tight";
    s.cpus = s.is_gang() ? 8 : 1e19;
    s.tasks = static_cast<std::uint32_t>(options_.limit_cpus / 8) + 1;
  }
}

// Removes a field of the body, or gives it an invalid value; sometimes the whole body is invalid.
std::string SimulatedCluster::malform(std::string body) {
  const auto [field, value] = invalid_field();
  rapidjson::Document doc;
  doc.Parse(body.c_str());
  doc.RemoveMember(field.c_str());
  body = wire::text_of(doc);
  if (!value.empty()) body = body.substr(0, body.size() - 1) + ",\"" + field + "\":" + value + "}";
  if (chance(0.1)) body = any_of({"", "{", "[]", "7", "null", body + "}"});
  return body;
}

// A field and an invalid value of it; "": left out.
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
      field = any_of(texts);
      value = any_of({"", "null", "5", "\"\"", "[]"});
      break;
    case 1:
      field = any_of(numbers);
      value = any_of({"", "null", "-1", "\"4\"", "[]", "true", "1e400", "NaN"});
      break;
    case 2:
      field = any_of(flags);
      value = any_of({"", "null", "1", "\"true\""});
      break;
    case 3:
      field = any_of(optional);
      value = any_of({"-1", "\"\"", "true", "[-1]", "{}"});
      break;
    default:  // a count is below 2^64, and has no fraction
      field = "loads";
      value = any_of({"18446744073709551616", "18446744073709551618", "1.5", "0", "100001"});
  }
  return {field, value};
}

// 400 if malformed, 422 if it can never run: users repeat all else in vain.
void SimulatedCluster::on_invalid_job_reply(const std::string& id, bool malformed,
                                            const std::string& body, int status) {
  result_.invalid_requests_answered += status != 0;
  if (status == 200 || status == 201) report_violation("accepted_wrong", body);
  if (status != 400 && status != 422) return;
  if (status != (malformed ? 400 : 422))
    report_violation("answer", std::to_string(status) + " to " + body);
  send_to_controller(any_controller_index(), {"GET", "/v1/jobs/" + id, ""}, "",
                     [this, id](int then, const std::string&) {
                       if (then == 200) report_violation("invented", id + " was refused");
                     });
}

}  // namespace scheduler::sim
