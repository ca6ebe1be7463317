// Users: they submit, read and cancel jobs, and remember what they were told.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"

namespace scheduler::sim {

void SimulatedCluster::new_job() {
  if (service_is_next()) return new_service();
  SubmittedJob job = random_job();
  if (options_.large_gang && next_job_ == 11) make_large_gang(job);
  if (options_.uneven_jobs > 0 && !job.spec.is_gang() && chance(options_.uneven_jobs)) {
    job.uneven = true;
    job.spec.tasks = static_cast<std::uint32_t>(2 + random(2));
  }
  if (options_.one_large_array) make_large_or_small(job);
  job.submitted_at = now_;
  const std::string id = job.spec.id;
  jobs_[id] = job;
  submit(id, 0);
  // The one large array is never cancelled: its run is about it.
  const bool keep = options_.one_large_array && next_job_ == 4;
  if (chance(0.12) && !keep) at(now_ + random(12'000), [this, id] { cancel(id, 0); });
  read_unknown_job();
}

SimulatedCluster::SubmittedJob SimulatedCluster::random_job() {
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
  draw_placement(s, kind);
  s.spot = chance(0.6);
  job.work_ms = 1000 + random((options_.longest_task_s - 1) * 1000);
  s.estimate_s = job.work_ms / 1000 * (0.5 + random(100) / 100.0);
  if (chance(0.4)) {
    s.checkpoint_interval_s = 2;
    s.checkpoint_write_s = 1;
  }
  if (chance(0.5)) s.deadline_s = s.estimate_s * 2 + 5;
  job.fails_everywhere = chance(options_.failing_jobs);
  return job;
}

// Which zones its tasks may be in.
void SimulatedCluster::draw_placement(wire::JobSpec& s, int kind) {
  if (kind == 2) s.one_zone = true;
  if (kind == 3) s.spread = true;
  if (kind == 4) s.zone = kZones[random(3)];
  if (s.is_gang() && chance(0.4)) (chance(0.5) ? s.one_zone : s.spread) = true;
  if (options_.zone_bound_jobs <= 0 || !chance(options_.zone_bound_jobs)) return;
  s.spread = false;
  if (chance(0.6)) {
    s.one_zone = true;
    s.zone.clear();
  } else {
    s.zone = kZones[random(3)];
  }
}

// Every task needs a whole machine.
void SimulatedCluster::make_large_gang(SubmittedJob& job) const {
  auto& s = job.spec;
  s.shape = wire::JobShape::gang;
  s.tasks = options_.large_gang;
  s.cpus = kMachineCpus;
  s.team = "free";
  s.zone.clear();
  s.one_zone = s.spread = job.fails_everywhere = false;
  s.spot = true;
}

void SimulatedCluster::read_unknown_job() {
  send_to_controller(any_controller_index(), {"GET", "/v1/jobs/req-9" + pad(random(100000)), ""},
                     "", [this](int status, const std::string&) {
                       if (status == 200) report_violation("invented", "a job nobody submitted");
                     });
}

// The third job is an array of the largest size, all others are small.
void SimulatedCluster::make_large_or_small(SubmittedJob& job) const {
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
  s.one_zone = s.spread = job.fails_everywhere = job.uneven = false;
  s.deadline_s.reset();
}

void SimulatedCluster::submit(const std::string& id, int tries) {
  send_to_controller(any_controller_index(), {"POST", "/v1/jobs", body_of(jobs_.at(id).spec)}, "",
                     [this, id, tries, asked = now_](int status, const std::string& body) {
                       on_submission_reply(id, tries, asked, {status, body});
                     });
}

std::string SimulatedCluster::body_of(const wire::JobSpec& spec) {
  rapidjson::StringBuffer buffer;
  wire::Writer writer(buffer);
  writer.StartObject();
  wire::write_job_fields(writer, spec);
  writer.EndObject();
  return buffer.GetString();
}

void SimulatedCluster::on_submission_reply(const std::string& id, int tries, Ms asked,
                                           const HttpResult& reply) {
  const auto& job = jobs_.at(id);
  if (reply.status == 200 || reply.status == 201) {
    on_accepted(id, asked, reply);
  } else if (reply.status == 400 || reply.status == 422) {
    if (job.accepted) report_violation("forgotten", id + " is now " + std::to_string(reply.status));
    check_refused(job, reply.status);
  } else if (tries < 60) {
    at(now_ + 1000, [this, id, tries] { submit(id, tries + 1); });
  }
}

void SimulatedCluster::on_accepted(const std::string& id, Ms asked, const HttpResult& reply) {
  auto& job = jobs_.at(id);
  const bool first = !job.accepted;
  if (first) job.accepted_at = now_;
  history_.add(now_, history::Accepted{id, job.spec.tasks, job.spec.is_service()});
  if (reply.status == 201 && !first && asked > job.accepted_at)
    report_violation("went_back", id + " accepted once more");
  job.accepted = true;
  check_accepted(job);
  job.answered_at = now_;
  rapidjson::Document doc;
  if (!wire::parse_object(reply.body, doc)) return report_violation("answer", reply.body);
  on_told(id, doc["status"].GetString(), asked);
  if (first) follow_accepted(job);
  // An idempotent submission, at any later time.
  if (chance(0.3)) at(now_ + random(60'000), [this, id] { submit(id, 0); });
}

// What its user does from now on.
void SimulatedCluster::follow_accepted(const SubmittedJob& job) {
  const std::string& id = job.spec.id;
  at(now_ + 1000, [this, id] { poll(id); });
  if (now_ < concurrent_reads_until_) {
    read_everywhere(id);
    if (chance(0.8)) at(now_ + random(150), [this, id] { cancel(id, 0); });
  }
  if (job.cancel_planned_at) at(job.cancel_planned_at, [this, id] { cancel(id, 0); });
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
                         on_told(id, doc["status"].GetString(), asked);
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
          on_told(id, state, asked);
          if (now_ < concurrent_reads_until_) read_everywhere(id);
        } else if (tries < 600) {  // repeated until it is answered (PROTOCOL)
          at(now_ + 1000, [this, id, tries] { cancel(id, tries + 1); });
        }
      });
}

// Nobody has been told yet.
void SimulatedCluster::on_last_task_ended(const std::string& id) {
  auto& job = jobs_.at(id);
  if (now_ < concurrent_reads_until_ && job.accepted) read_everywhere(id);
  if (now_ >= cancel_at_end_until_ || !job.accepted || !chance(0.6)) return;
  ++result_.requests_at_end;
  // At once, or while the exit is being recorded.
  auto moment = [this] { return now_ + (chance(0.4) ? 0 : random(1500)); };
  if (chance(0.6)) at(moment(), [this, id] { cancel(id, 0); });
  for (int k = random(4); k > 0; --k) at(moment(), [this, id] { poll(id, false); });
  for (int k = random(3); k > 0; --k) at(moment(), [this, id] { submit(id, 60); });
}

}  // namespace scheduler::sim
