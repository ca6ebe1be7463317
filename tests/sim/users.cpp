// Users: they submit, ask, cancel, and remember what they were told.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"
#include "wire/records.h"

namespace scheduler::sim {

void SimulatedCluster::new_job() {
  if (service_is_next()) return new_service();
  SubmittedJob job;
  auto& s = job.spec;
  s.id = "req-" + pad(next_job_++);
  s.job_class = chance(0.3) ? "fast" : chance(0.5) ? "small" : "due";
  s.team = chance(1.0 - options_.free_team_tenths / 10.0) ? "tight" : "free";
  s.priority = static_cast<wire::Priority>(random(4));
  const int kind = random(10);
  if (kind < options_.gang_tenths) s.shape = wire::JobShape::gang;
  s.tasks = static_cast<std::uint32_t>(s.is_gang()   ? 2 + random(4)
                                       : chance(0.1) ? options_.largest_array
                                                     : 1 + random(options_.largest_array / 6));
  s.cpus = 1 + random(4);
  s.memory_gb = 1;
  s.image = "i" + std::to_string(random(4));
  s.image_gb = 0.4;
  if (kind == 2) s.one_zone = true;
  if (kind == 3) s.spread = true;
  if (kind == 4) s.zone = kZones[random(3)];
  if (s.is_gang() && chance(0.4)) (chance(0.5) ? s.one_zone : s.spread) = true;
  if (options_.bound > 0 && chance(options_.bound)) {
    s.spread = false;
    if (chance(0.6)) {
      s.one_zone = true;
      s.zone.clear();
    } else {
      s.zone = kZones[random(3)];
    }
  }
  s.spot = chance(0.6);
  job.work_ms = 1000 + random((options_.longest_task_s - 1) * 1000);
  s.estimate_s = job.work_ms / 1000 * (0.5 + random(100) / 100.0);
  if (chance(0.4)) {
    s.checkpoint_interval_s = 2;
    s.checkpoint_write_s = 1;
  }
  if (chance(0.5)) s.deadline_s = s.estimate_s * 2 + 5;
  job.mistake = chance(options_.mistaken);
  if (options_.large_gang && next_job_ == 11) {
    s.shape = wire::JobShape::gang;
    s.tasks = options_.large_gang;
    s.cpus = 8;
    s.team = "free";
    s.zone.clear();
    s.one_zone = s.spread = job.mistake = false;
    s.spot = true;
  }
  if (options_.uneven > 0 && !s.is_gang() && chance(options_.uneven)) {
    job.uneven = true;
    s.tasks = static_cast<std::uint32_t>(2 + random(2));
  }
  if (options_.one_large_array) make_large_or_small(job);
  job.submitted_at = now_;
  const std::string id = s.id;
  jobs_[id] = job;
  submit(id, 0);
  // The one large array is what its run is about.
  const bool kept = options_.one_large_array && next_job_ == 4;
  if (chance(0.12) && !kept) at(now_ + random(12'000), [this, id] { cancel(id, 0); });
  // Somebody asks about a job that nobody has submitted.
  send_to_controller(any_controller_index(), {"GET", "/v1/jobs/req-9" + pad(random(100000)), ""},
                     "", [this](int status, const std::string&) {
                       if (status == 200) report_violation("invented", "a job nobody submitted");
                     });
}

// The third job is an array of the largest size, all others are small.
void SimulatedCluster::make_large_or_small(SubmittedJob& job) {
  auto& s = job.spec;
  constexpr std::uint32_t kSmallTasks = 20;
  const bool large = next_job_ == 4;
  s.tasks =
      large ? static_cast<std::uint32_t>(options_.largest_array) : std::min(s.tasks, kSmallTasks);
  if (!large) return;
  s.shape = wire::JobShape::array;
  s.team = "free";
  s.job_class = "fast";  // all of it is to start at once
  s.cpus = 2;
  s.spot = true;
  s.zone.clear();
  s.one_zone = s.spread = job.mistake = job.uneven = false;
  s.deadline_s.reset();
}

void SimulatedCluster::submit(const std::string& id, int tries) {
  rapidjson::StringBuffer buffer;
  wire::Writer writer(buffer);
  writer.StartObject();
  wire::write_job_fields(writer, jobs_.at(id).spec);
  writer.EndObject();
  send_to_controller(
      any_controller_index(), {"POST", "/v1/jobs", buffer.GetString()}, "",
      [this, id, tries, asked = now_](int status, const std::string& body) {
        auto& job = jobs_.at(id);
        if (status == 200 || status == 201) {
          const bool first = !job.accepted;
          if (first) job.accepted_at = now_;
          history_.add(now_, history::Accepted{id, job.spec.tasks, job.spec.is_service()});
          if (status == 201 && !first && asked > job.accepted_at)
            report_violation("went_back", id + " accepted once more");
          job.accepted = true;
          check_accepted(job);
          job.answered_at = now_;
          rapidjson::Document doc;
          if (!wire::parse_object(body, doc)) return report_violation("answer", body);
          told(id, doc["status"].GetString(), asked);
          if (first) at(now_ + 1000, [this, id] { poll(id); });
          if (first && now_ < concurrent_reads_until_) {
            read_everywhere(id);
            if (chance(0.8)) at(now_ + random(150), [this, id] { cancel(id, 0); });
          }
          if (first && job.cancel_planned_at)
            at(job.cancel_planned_at, [this, id] { cancel(id, 0); });
          // Repeated at any later time.
          if (chance(0.3)) at(now_ + random(60'000), [this, id] { submit(id, 0); });
          return;
        }
        if (status == 400 || status == 422) {
          if (job.accepted) report_violation("forgotten", id + " is now " + std::to_string(status));
          check_refused(job, status);
          // Gangs over the team's limit and the like: right to refuse.
          return;
        }
        if (tries < 60) at(now_ + 1000, [this, id, tries] { submit(id, tries + 1); });
      });
}

void SimulatedCluster::read_everywhere(const std::string& id) {
  ++result_.concurrent_reads;
  for (std::size_t node = 0; node < controllers_.size(); ++node) {
    for (int k = 1 + random(4); k > 0; --k)
      at(now_ + random(250), [this, id, node] { ask_state(id, node, false); });
  }
  for (int k = random(3); k > 0; --k) at(now_ + random(250), [this, id] { submit(id, 60); });
}

void SimulatedCluster::poll(const std::string& id, bool again) {
  ask_state(id, any_controller_index(), again);
}

void SimulatedCluster::ask_state(const std::string& id, std::size_t node, bool again) {
  send_to_controller(node, {"GET", "/v1/jobs/" + id, ""}, "",
                     [this, id, again, asked = now_](int status, const std::string& body) {
                       auto& job = jobs_.at(id);
                       rapidjson::Document doc;
                       if (status == 404) report_violation("forgotten", id);
                       if (status == 404) history_.add(now_, history::AnsweredUnknown{id, asked});
                       if (status == 200) job.answered_at = now_;
                       if (status == 200 && wire::parse_object(body, doc))
                         told(id, doc["status"].GetString(), asked);
                       if (!again) return;
                       const bool over = job.told_done || job.told_cancelled;
                       at(now_ + (over ? 10'000 + random(10'000) : 1500 + random(1000)),
                          [this, id] { poll(id); });
                     });
}

void SimulatedCluster::cancel(const std::string& id, int tries) {
  auto& job = jobs_.at(id);
  if (!job.asked_cancel) job.cancel_asked_at = now_;
  if (!job.asked_cancel) history_.add(now_, history::CancelAsked{id});
  job.asked_cancel = true;
  send_to_controller(
      any_controller_index(), {"POST", "/v1/jobs/" + id + "/withdraw", ""}, "",
      [this, id, tries, asked = now_](int status, const std::string& body) {
        rapidjson::Document doc;
        if (status == 404 && jobs_.at(id).accepted && asked > jobs_.at(id).accepted_at)
          report_violation("forgotten", id + " cannot be cancelled");
        if (status == 200 && wire::parse_object(body, doc)) {
          const std::string state = doc["status"].GetString();
          if (state != "done" && state != "withdrawn")
            report_violation("answer", "asked to cancel " + id + ": " + state);
          told(id, state, asked);
          if (now_ < concurrent_reads_until_) read_everywhere(id);
        } else if (tries < 600) {  // repeated until it is answered (PROTOCOL)
          at(now_ + 1000, [this, id, tries] { cancel(id, tries + 1); });
        }
      });
}

// The last task of a job has just ended, and nobody has been told.
void SimulatedCluster::ends(const std::string& id) {
  auto& job = jobs_.at(id);
  if (now_ < concurrent_reads_until_ && job.accepted) read_everywhere(id);
  if (now_ >= cancel_at_end_until_ || !job.accepted || !chance(0.6)) return;
  ++result_.requests_at_end;
  // At once, or while the end is on its way to the records.
  auto moment = [this] { return now_ + (chance(0.4) ? 0 : random(1500)); };
  if (chance(0.6)) at(moment(), [this, id] { cancel(id, 0); });
  for (int k = random(4); k > 0; --k) at(moment(), [this, id] { poll(id, false); });
  for (int k = random(3); k > 0; --k) at(moment(), [this, id] { submit(id, 60); });
}

void SimulatedCluster::send_invalid_request() {
  std::vector<std::string> accepted, done;
  for (const auto& [id, j] : jobs_) {
    if (j.accepted) accepted.push_back(id);
    if (j.told_done) done.push_back(id);
  }
  auto any = [this](const std::vector<std::string>& of) {
    return of[static_cast<std::size_t>(random(static_cast<int>(of.size())))];
  };
  const auto n = any_controller_index();
  auto unknown = [this](int status, const std::string& body) {
    result_.invalid_requests_answered += status != 0;
    if (status == 200) report_violation("invented", "a job nobody submitted: " + body);
  };
  const std::string nobody = "/v1/jobs/req-7" + pad(random(100'000));
  switch (random(6)) {
    case 0:
      if (!accepted.empty()) submit(any(accepted), 60);
      break;
    case 1:
      if (!done.empty()) cancel(any(done), 60);
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

// A job with a field that is missing or invalid, or one that is in order but can never run.
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
  if (!malformed) {
    const std::string ways[] = {"cpus", "gpus", "memory", "zone", "type",
                                "team", "gang", "task",   "apart"};
    const std::string& way = ways[random(9)];
    if (way == "cpus") s.cpus = 8.5;
    if (way == "gpus") s.gpus = 1;
    if (way == "memory") s.memory_gb = 33;
    if (way == "zone") s.zone = "z";
    if (way == "type") s.types = {"none"};
    if (way == "team") s.team = "nobody";
    if (way == "apart") {  // half of the gang at most may be in its only zone
      s.shape = wire::JobShape::gang;
      s.spread = true;
      s.zone = "a";
    }
    if (way == "gang" || way == "task") {  // over the limit of its team, or of a machine
      s.shape = way == "gang" ? wire::JobShape::gang : wire::JobShape::array;
      s.team = "tight";
      s.cpus = s.is_gang() ? 8 : 1e19;
      s.tasks = static_cast<std::uint32_t>(options_.limit_cpus / 8) + 1;
    }
  }
  rapidjson::StringBuffer buffer;
  wire::Writer writer(buffer);
  writer.StartObject();
  wire::write_job_fields(writer, s);
  writer.EndObject();
  std::string body = buffer.GetString();
  if (malformed) {
    static const std::vector<std::string> texts{"id", "queue", "crew", "shape", "rank", "kit"};
    static const std::vector<std::string> numbers{"loads",  "cpus",  "gpus", "memGb",
                                                  "pullGb", "haulS", "tipS", "stowS"};
    static const std::vector<std::string> flags{"together", "scatter", "standby"};
    static const std::vector<std::string> optional{"fleets", "yard", "dueS"};
    auto one = [this](const std::vector<std::string>& of) {
      return of[static_cast<std::size_t>(random(static_cast<int>(of.size())))];
    };
    std::string field, value;  // "": left out
    switch (random(5)) {
      case 0:
        field = one(texts);
        value = one({"", "null", "5", "\"\"", "[]"});
        break;
      case 1:
        field = one(numbers);
        value = one({"", "null", "-1", "\"4\"", "[]", "true", "1e400", "NaN"});
        break;
      case 2:
        field = one(flags);
        value = one({"", "null", "1", "\"true\""});
        break;
      case 3:
        field = one(optional);
        value = one({"-1", "\"\"", "true", "[-1]", "{}"});
        break;
      default:  // a count is below 2^64, and has no fraction
        field = "loads";
        value = one({"18446744073709551616", "18446744073709551618", "1.5", "0", "100001"});
    }
    rapidjson::Document doc;
    doc.Parse(body.c_str());
    doc.RemoveMember(field.c_str());
    body = wire::text_of(doc);
    if (!value.empty())
      body = body.substr(0, body.size() - 1) + ",\"" + field + "\":" + value + "}";
    if (chance(0.1)) body = one({"", "{", "[]", "7", "null", body + "}"});
  }
  const auto n = any_controller_index();
  send_to_controller(n, {"POST", "/v1/jobs", body}, "",
                     [this, malformed, body, id = s.id](int status, const std::string&) {
                       result_.invalid_requests_answered += status != 0;
                       if (status == 200 || status == 201) report_violation("accepted_wrong", body);
                       // 400: malformed; 422: it cannot run. All else is repeated in vain.
                       if (status == 400 || status == 422) {
                         if (status != (malformed ? 400 : 422))
                           report_violation("answer", std::to_string(status) + " to " + body);
                         send_to_controller(any_controller_index(), {"GET", "/v1/jobs/" + id, ""},
                                            "", [this, id](int then, const std::string&) {
                                              if (then == 200)
                                                report_violation("invented", id + " was refused");
                                            });
                       }
                     });
}

}  // namespace scheduler::sim
