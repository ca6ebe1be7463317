// Users: they submit, read and cancel jobs, and check the replies against earlier ones.
#include <algorithm>

#include "sim/cluster_members.h"
#include "sim/simulated_cluster.h"
#include "wire/messages.h"

namespace scheduler::sim {

void SimulatedCluster::submit_random_job() {
  if (next_job_is_service()) return submit_random_service();
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
  // The large array is never cancelled, because the test of Options::one_large_array measures it.
  const bool keep = options_.one_large_array && next_job_ == 4;
  if (chance(0.12) && !keep) schedule_event(now_ + random(12'000), [this, id] { cancel(id, 0); });
  read_unknown_job();
}

SimulatedCluster::SubmittedJob SimulatedCluster::random_job() {
  SubmittedJob job;
  auto& s = job.spec;
  s.id = "req-" + six_digits(next_job_++);
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

// Draws the zone constraints of the job.
void SimulatedCluster::draw_placement(wire::JobSpec& s, int kind) {
  if (kind == 2) s.one_zone = true;
  if (kind == 3) s.spread = true;
  if (kind == 4) s.zone = kZones[random(3)];
  if (s.is_gang() && chance(0.4)) (chance(0.5) ? s.one_zone : s.spread) = true;
  if (options_.spread_arrays > 0 && chance(options_.spread_arrays)) {
    s.shape = wire::JobShape::array;
    s.spread = true;
    s.one_zone = false;
    s.zone.clear();
    return;
  }
  if (options_.zone_bound_jobs <= 0 || !chance(options_.zone_bound_jobs)) return;
  s.spread = false;
  if (chance(0.6)) {
    s.one_zone = true;
    s.zone.clear();
  } else {
    s.zone = kZones[random(3)];
  }
}

// Every task of the large gang needs a whole machine.
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
  send_to_controller(
      random_controller_index(), {"GET", "/v1/jobs/req-9" + six_digits(random(100000)), ""}, "",
      [this](int status, const std::string&) {
        if (status == 200)
          report_violation("invented", "status 200 for a job that was not submitted");
      });
}

// Makes the third job an array of the largest size and limits all others to 20 tasks.
void SimulatedCluster::make_large_or_small(SubmittedJob& job) const {
  auto& s = job.spec;
  constexpr std::uint32_t kSmallTasks = 20;
  const bool large = next_job_ == 4;
  s.tasks =
      large ? static_cast<std::uint32_t>(options_.largest_array) : std::min(s.tasks, kSmallTasks);
  if (!large) return;
  s.shape = wire::JobShape::array;
  s.team = "free";
  s.job_class = "fast";  // the whole array is to start at once
  s.cpus = 2;
  s.spot = true;
  s.zone.clear();
  s.one_zone = s.spread = job.fails_everywhere = job.uneven = false;
  s.deadline_s.reset();
}

void SimulatedCluster::submit(const std::string& id, int tries) {
  send_to_controller(random_controller_index(),
                     {"POST", "/v1/jobs", job_request_body(jobs_.at(id).spec)}, "",
                     [this, id, tries, requested_at = now_](int status, const std::string& body) {
                       on_submission_reply(id, tries, requested_at, {status, body});
                     });
}

std::string SimulatedCluster::job_request_body(const wire::JobSpec& spec) {
  rapidjson::StringBuffer buffer;
  wire::Writer writer(buffer);
  writer.StartObject();
  wire::write_job_fields(writer, spec);
  writer.EndObject();
  return buffer.GetString();
}

void SimulatedCluster::on_submission_reply(const std::string& id, int tries, Ms requested_at,
                                           const HttpResult& reply) {
  const auto& job = jobs_.at(id);
  if (reply.status == 200 || reply.status == 201) {
    on_accepted(id, requested_at, reply);
  } else if (reply.status == 400 || reply.status == 422) {
    if (job.accepted)
      report_violation("forgotten",
                       id + " was accepted, now refused with " + std::to_string(reply.status));
    check_refused(job, reply.status);
  } else if (tries < 60) {
    schedule_event(now_ + 1000, [this, id, tries] { submit(id, tries + 1); });
  }
}

void SimulatedCluster::on_accepted(const std::string& id, Ms requested_at,
                                   const HttpResult& reply) {
  auto& job = jobs_.at(id);
  const bool first = !job.accepted;
  if (first) job.accepted_at = now_;
  history_.add(now_, history::JobAccepted{id, job.spec.tasks, job.spec.is_service()});
  if (reply.status == 201 && !first && requested_at > job.accepted_at)
    report_violation("went_back", id + " accepted as new again");
  job.accepted = true;
  check_accepted(job);
  job.last_reply_at = now_;
  rapidjson::Document doc;
  if (!wire::parse_object(reply.body, doc)) return report_violation("answer", reply.body);
  on_job_state(id, doc["status"].GetString(), requested_at);
  if (first) follow_accepted(job);
  // Submissions are idempotent: some users repeat theirs at a random time within a minute.
  if (chance(0.3)) schedule_event(now_ + random(60'000), [this, id] { submit(id, 0); });
}

// Schedules the user's requests about an accepted job.
void SimulatedCluster::follow_accepted(const SubmittedJob& job) {
  const std::string& id = job.spec.id;
  schedule_event(now_ + 1000, [this, id] { poll(id); });
  if (now_ < concurrent_reads_until_) {
    read_everywhere(id);
    if (chance(0.8)) schedule_event(now_ + random(150), [this, id] { cancel(id, 0); });
  }
  if (job.cancel_planned_at) schedule_event(job.cancel_planned_at, [this, id] { cancel(id, 0); });
}

void SimulatedCluster::read_everywhere(const std::string& id) {
  ++result_.concurrent_reads;
  for (std::size_t controller_index = 0; controller_index < controllers_.size();
       ++controller_index) {
    for (int k = 1 + random(4); k > 0; --k)
      schedule_event(now_ + random(250),
                     [this, id, controller_index] { read_job(id, controller_index, false); });
  }
  for (int k = random(3); k > 0; --k)
    schedule_event(now_ + random(250), [this, id] { submit(id, 60); });
}

void SimulatedCluster::poll(const std::string& id, bool repeat) {
  read_job(id, random_controller_index(), repeat);
}

void SimulatedCluster::read_job(const std::string& id, std::size_t controller_index, bool repeat) {
  send_to_controller(controller_index, {"GET", "/v1/jobs/" + id, ""}, "",
                     [this, id, repeat, requested_at = now_](int status, const std::string& body) {
                       auto& job = jobs_.at(id);
                       rapidjson::Document doc;
                       if (status == 404) report_violation("forgotten", id);
                       if (status == 404)
                         history_.add(now_, history::JobUnknownReported{id, requested_at});
                       if (status == 200) job.last_reply_at = now_;
                       if (status == 200 && wire::parse_object(body, doc))
                         on_job_state(id, doc["status"].GetString(), requested_at);
                       if (!repeat) return;
                       const bool ended = job.reported_done || job.reported_cancelled;
                       schedule_event(
                           now_ + (ended ? 10'000 + random(10'000) : 1500 + random(1000)),
                           [this, id] { poll(id); });
                     });
}

void SimulatedCluster::cancel(const std::string& id, int tries) {
  auto& job = jobs_.at(id);
  if (!job.cancel_requested) job.cancel_requested_at = now_;
  if (!job.cancel_requested) history_.add(now_, history::CancelRequested{id});
  job.cancel_requested = true;
  send_to_controller(
      random_controller_index(), {"POST", "/v1/jobs/" + id + "/withdraw", ""}, "",
      [this, id, tries, requested_at = now_](int status, const std::string& body) {
        rapidjson::Document doc;
        if (status == 404 && jobs_.at(id).accepted && requested_at > jobs_.at(id).accepted_at)
          report_violation("forgotten", id + " not found by a cancellation");
        if (status == 200 && wire::parse_object(body, doc)) {
          const std::string state = doc["status"].GetString();
          if (state != "done" && state != "withdrawn")
            report_violation("answer", "cancellation of " + id + " got status " + state);
          on_job_state(id, state, requested_at);
          if (now_ < concurrent_reads_until_) read_everywhere(id);
        } else if (tries < 600) {  // repeated every second until there is a reply (PROTOCOL)
          schedule_event(now_ + 1000, [this, id, tries] { cancel(id, tries + 1); });
        }
      });
}

// Sends requests about a job whose end no user has been told yet.
void SimulatedCluster::on_last_task_ended(const std::string& id) {
  auto& job = jobs_.at(id);
  if (now_ < concurrent_reads_until_ && job.accepted) read_everywhere(id);
  if (now_ >= cancel_at_end_until_ || !job.accepted || !chance(0.6)) return;
  ++result_.requests_at_end;
  // Immediately, or while the controllers record the exit.
  auto random_time = [this] { return now_ + (chance(0.4) ? 0 : random(1500)); };
  if (chance(0.6)) schedule_event(random_time(), [this, id] { cancel(id, 0); });
  for (int k = random(4); k > 0; --k)
    schedule_event(random_time(), [this, id] { poll(id, false); });
  for (int k = random(3); k > 0; --k) schedule_event(random_time(), [this, id] { submit(id, 60); });
}

}  // namespace scheduler::sim
