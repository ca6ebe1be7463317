// Users: submitting, asking, cancelling; and the end of jobs.
#include <algorithm>
#include <cmath>

#include "base/types.h"
#include "controller/controller.h"
#include "jobs/timeouts.h"
#include "scheduling/placement.h"

namespace scheduler {

namespace {

// Times that a cancellation is tried again when its job's record or the view changes under it.
constexpr int kCancelTries = 3;

}  // namespace

void Controller::reply_unavailable(std::uint64_t request, int retry_after_s) {
  reply(request, 503, wire::error_body("not now"), retry_after_s);
}

bool Controller::shed_load(std::uint64_t request) {
  if (waiting_requests_ < capacity_.waiting_requests) return false;
  reply(request, 429, wire::error_body("too many requests"), kRetryAfterS);
  return true;
}

void Controller::on_health(Ms now, std::uint64_t request) {
  bool healthy = ready() && !deposed(now) && !resynchronising(now);
  if (healthy) {
    const links::Decision decision = links_.may_serve_users(moment(now));
    healthy = decision.allowed;
    if (decision.allowed != serving_users_) log_decision("serve_users", decision);
    serving_users_ = decision.allowed;
  }
  if (healthy) {
    reply(request, 200, "{}");
  } else {
    reply(request, 503, wire::error_body("no state"), kRetryAfterS);
  }
}

std::string Controller::verdict(const wire::JobSpec& spec) const {
  const Team* t = team(spec.team);
  if (!t) return "unknown team";
  std::set<std::string> zones;  // with a type that fits
  for (const auto& type : replica_.catalog()) {
    if (!type_fits(spec, type)) continue;
    for (const auto& zone : type.zones)
      if (allowed(spec, type.name, zone, false)) zones.insert(zone);
  }
  if (zones.empty()) return "a task fits no allowed machine type";
  // Guards against tasks without number on one machine, beside every limit.
  if (spec.cpus <= 0 && spec.gpus <= 0) return "a task needs cpus or gpus";
  const bool all_at_once = spec.is_gang() || spec.is_service();
  const double n = all_at_once ? spec.tasks : 1;
  if ((t->cpus_max > 0 && n * spec.cpus > t->cpus_max) ||
      (t->gpus_max > 0 && n * spec.gpus > t->gpus_max))
    return "needs more than the team's limit";
  if (spec.is_gang() && spec.tasks > max_placements(spec.tasks)) return "gang is too large";
  if (spec.is_service() && spec.tasks > max_placements(0) * max_ranges())
    return "the service has too many replicas";
  if (all_at_once && spec.one_zone && spec.spread && spec.tasks > 1)
    return "together and scatter exclude each other";
  if (all_at_once && spec.spread && spec.tasks > 1 && zones.size() < 2)
    return "scatter needs a second zone";
  return "";
}

void Controller::on_submit(Ms now, std::uint64_t request, const std::string& body) {
  const auto job = wire::parse_job(body);
  if (!job) {
    reply(request, 400, wire::error_body(job.error().text()));
    return;
  }
  const wire::JobSpec& spec = *job;
  if (spec.is_service() && !services_enabled()) {
    // A controller of the former version could not read its records yet.
    if (settings_.record_format < wire::kServiceFormat) {
      reply(request, 400, wire::error_body("shape is missing or invalid"));
    } else {
      reply_unavailable(request, kRetryAfterOutageS);
    }
    return;
  }
  const std::string id = spec.id;
  auto known = [this, request, id](wire::JobState state) {
    reply(request, 200, wire::job_state_body(id, state));
  };
  if (const auto* final_state = replica_.final_state(id)) {
    known(final_state->done ? wire::JobState::done : wire::JobState::cancelled);
    return;
  }
  if (!can_write(now) || !replica_.has_catalog()) {
    reply_unavailable(request, kRetryAfterOutageS);
    return;
  }
  const std::string reason = verdict(spec);
  if (replica_.job(id) || !reason.empty()) {
    // What was accepted once is never refused later, whatever has changed since.
    read_job(now, request, id, now + kSubmitTimeoutMs,
             [this, request, reason, known](Ms, const JobStatus& status) {
               if (status.known) {
                 known(status.state);
               } else if (!reason.empty()) {
                 reply(request, 422, wire::error_body(reason));
               } else {
                 reply_unavailable(request, kRetryAfterS);
               }
             });
    return;
  }
  if (replica_.jobs().size() >= capacity_.live_jobs) {
    reply(request, 429, wire::error_body("too many jobs"), kRetryAfterOutageS);
    return;
  }
  if (shed_load(request)) return;
  wire::JobRecord record;
  record.spec = spec;
  record.submitted_ms = now + wall_offset_;
  record.shares = split_into_ranges(spec);
  std::string value = encode(record);
  if (static_cast<double>(value.size()) > value_bytes()) {
    // Types that nobody offers tell nothing.
    std::erase_if(record.spec.types, [this](const auto& type) { return !replica_.type(type); });
    value = encode(record);
  }
  if (static_cast<double>(value.size()) > value_bytes()) {
    reply(request, 422, wire::error_body("the description is too large"));
    return;
  }
  Transaction t;
  t.conditions = {view_unchanged(), {wire::job_key(id), 0}, {wire::final_state_key(id), 0}};
  t.writes.push_back({wire::job_key(id), value, std::nullopt});
  t.urgent = true;
  t.deadline = now + kSubmitTimeoutMs;
  ++waiting_requests_;
  t.done = [this, request, id, known, body](Ms at, TxnResult result, const auto& failed) {
    --waiting_requests_;
    if (result == TxnResult::conflict && failed.size() == 1 && failed[0] == wire::kViewKey) {
      // Only the view has changed meanwhile; nothing speaks against the job itself.
      state_client_.barrier_read(at, at + kPollTimeoutMs, [this, request, body](Ms then, bool ok) {
        ok ? on_submit(then, request, body) : reply_unavailable(request, kRetryAfterS);
      });
      return;
    }
    if (result == TxnResult::committed) {
      on_job_recorded(at, request, id);
    } else if (result == TxnResult::conflict) {
      // Known already, or the view has changed.
      read_job(at, request, id, at + kPollTimeoutMs,
               [this, request, known](Ms, const JobStatus& status) {
                 status.known ? known(status.state) : reply_unavailable(request, kRetryAfterS);
               });
    } else {
      reply_unavailable(request, result == TxnResult::refused ? kRetryAfterOutageS : kRetryAfterS);
    }
  };
  state_client_.submit(std::move(t));
  state_client_.tick(now);
}

// The job is written. The answer may have been on its way for long: what has become of the job
// since then may have been told already.
void Controller::on_job_recorded(Ms now, std::uint64_t request, const std::string& id) {
  const auto accepted = [this, request, id](wire::JobState state) {
    reply(request, 201, wire::job_state_body(id, state));
  };
  if (const auto* final_state = replica_.final_state(id)) {
    accepted(final_status(*final_state).state);
    return;
  }
  const Job* job = replica_.job(id);
  if (!job || (!job->record.cancelled && job->placed_tasks() == 0)) {
    accepted(wire::JobState::queued);
    return;
  }
  wait_until_job_settled(now, request, id, now + kPollTimeoutMs, [this, id, accepted](Ms) {
    const auto* final_state = replica_.final_state(id);
    const Job* settled = replica_.job(id);
    accepted(final_state ? final_status(*final_state).state
             : settled   ? state_of(*settled)
                         : wire::JobState::queued);
  });
}

void Controller::on_cancel(Ms now, std::uint64_t request, const std::string& id, int tries) {
  if (tries == 0) log(LogLevel::debug, "cancellation of " + id + " asked");
  // A job that we know of is cancelled by one guarded write: its conditions are the question
  // whether that is still so. Everything else is looked up first.
  if (tries == 0 && !replica_.final_state(id) && replica_.job(id) && can_write(now)) {
    write_cancelled(now, request, id, tries);
    return;
  }
  read_job(now, request, id, now + kSubmitTimeoutMs,
           [this, request, id, tries](Ms at, const JobStatus& status) {
             const bool ended =
                 status.state == wire::JobState::done || status.state == wire::JobState::cancelled;
             if (!status.known) {
               reply(request, 404, wire::error_body("no such job"));
             } else if (ended) {
               reply(request, 200, wire::job_state_body(id, status.state));
             } else if (!replica_.job(id) || tries > kCancelTries) {
               reply_unavailable(request, kRetryAfterS);
             } else {
               write_cancelled(at, request, id, tries);
             }
           });
}

void Controller::write_cancelled(Ms now, std::uint64_t request, const std::string& id, int tries) {
  const Job* job = replica_.job(id);
  if (job->record.cancelled) {  // on its way: its tasks are being stopped
    wait_until_cancelled(now, request, id);
    return;
  }
  if (shed_load(request)) return;
  wire::JobRecord record = job->record;
  record.cancelled = true;
  Transaction t;
  const std::string key = wire::job_key(id);
  t.conditions = {view_unchanged(), state_client_.unchanged(key)};
  t.writes = {{key, encode(record), std::nullopt}};
  t.urgent = true;
  t.deadline = now + kSubmitTimeoutMs;
  ++waiting_requests_;
  t.done = [this, request, id, tries](Ms at, TxnResult result, const auto&) {
    --waiting_requests_;
    if (result == TxnResult::committed) {
      log(LogLevel::info, "cancellation of " + id + " recorded");
      wait_until_cancelled(at, request, id);
    } else if (result == TxnResult::conflict) {
      on_cancel(at, request, id, tries + 1);
    } else {
      reply_unavailable(request, kRetryAfterS);
    }
  };
  state_client_.submit(std::move(t));
  state_client_.tick(now);
}

// ---- the end of jobs ----

void Controller::finish_jobs(Ms now) {
  if (!can_write(now) || jobs_to_check_.empty()) return;
  std::set<std::string> again;
  for (const auto& id : std::exchange(jobs_to_check_, {})) {
    auto it = replica_.jobs().find(id);
    if (it == replica_.jobs().end()) {
      failure_tracker_.forget_job(id);
      continue;
    }
    if (!is_leader_of(wire::job_key(id))) {
      // Looked at again when the view changes; cheap enough to keep.
      if (cluster_view_.live().empty()) again.insert(id);
      continue;
    }
    const Job& job = it->second;
    if (!job.known) {
      // Ranges that outlived their job, more than one transaction could remove.
      if (!finishing_.contains(id)) write_final_state(id, job);
      continue;
    }
    const bool all_done =
        job.whole() && std::all_of(job.ranges.begin(), job.ranges.end(),
                                   [](const auto& r) { return r.second.complete(); });
    const bool clear = job.placed_tasks() == 0;
    if (!clear || !(job.record.cancelled ? job.whole() : all_done)) continue;
    if (!finishing_.contains(id)) write_final_state(id, job);
  }
  jobs_to_check_.insert(again.begin(), again.end());
}

void Controller::write_final_state(const std::string& id, const Job& job) {
  Transaction t;
  t.conditions = {view_unchanged()};
  const std::string final_key = wire::final_state_key(id);
  const std::string key = wire::job_key(id);
  // Each range is a condition as far as conditions go. Beyond that they are not needed: a finished
  // range never changes, and once the watch has passed a cancellation nothing can be placed any
  // more, since every placement has the job's record as a condition.
  const bool compare_all = job.known && job.ranges.size() <= max_ranges();
  if (job.known && !compare_all && job.record.cancelled && !state_client_.has_applied(key)) {
    jobs_to_check_.insert(id);
    return;
  }
  if (job.known) {
    wire::FinalStateRecord record;
    record.done = !job.record.cancelled;
    record.tasks = job.record.spec.tasks;
    t.conditions.push_back({final_key, 0});
    t.conditions.push_back(state_client_.unchanged(key));
    t.writes.push_back({final_key, encode(record), std::nullopt});
    t.writes.push_back({key, std::nullopt, std::nullopt});
  } else {
    t.conditions.push_back({key, 0});  // that there is no such job is the store's word, not ours
  }
  for (const auto& [number, r] : job.ranges) {
    const std::string range = wire::range_key(id, number);
    // Those beyond one transaction are removed by a later one.
    const bool remove = static_cast<int>(t.writes.size()) < settings_.txn_ops &&
                        !job.unrecorded_ranges.contains(number);
    if (compare_all || remove) t.conditions.push_back(state_client_.unchanged(range));
    if (remove) t.writes.push_back({range, std::nullopt, std::nullopt});
  }
  finishing_.insert(id);
  t.done = [this, id](Ms at, TxnResult result, const auto&) {
    if (result == TxnResult::committed) {
      finishing_.erase(id);
      jobs_to_check_.insert(id);
      return;
    }
    state_client_.wait_until_settled(at, [this, id](Ms) {
      finishing_.erase(id);
      jobs_to_check_.insert(id);
    });
  };
  state_client_.submit(std::move(t));
}

}  // namespace scheduler
