#include "jobs/job_submission.h"

#include <set>
#include <utility>

#include "allocation/placement.h"
#include "jobs/timeouts.h"

namespace scheduler {

std::optional<AdmissionError> JobSubmission::placement_error(const wire::JobSpec& spec,
                                                             std::size_t zones) const {
  const bool all_at_once = spec.is_gang() || spec.is_service();
  if (spec.is_gang() && spec.tasks > planner_.max_placements(spec.tasks))
    return AdmissionError{"gang is too large"};
  if (spec.is_service() && spec.tasks > planner_.max_placements(0) * planner_.max_ranges())
    return AdmissionError{"the service has too many replicas"};
  if (all_at_once && spec.one_zone && spec.spread && spec.tasks > 1)
    return AdmissionError{"together and scatter exclude each other"};
  if (all_at_once && spec.spread && spec.tasks > 1 && zones < 2)
    return AdmissionError{"scatter needs a second zone"};
  return std::nullopt;
}

std::optional<AdmissionError> JobSubmission::admission_error(const wire::JobSpec& spec) const {
  const Team* team = context_.team(spec.team);
  if (!team) return AdmissionError{"unknown team"};
  std::set<std::string> zones;  // allowed zones with a machine type that a task fits on
  for (const auto& type : context_.replica.catalog()) {
    if (!type_fits(spec, type)) continue;
    for (const auto& zone : type.zones)
      if (allowed(spec, type.name, zone, false)) zones.insert(zone);
  }
  if (zones.empty()) return AdmissionError{"a task fits no allowed machine type"};
  // An unlimited number of tasks without cpus and gpus would fit on one machine, and no limit of
  // the team would apply to them.
  if (spec.cpus <= 0 && spec.gpus <= 0) return AdmissionError{"a task needs cpus or gpus"};
  const bool all_at_once = spec.is_gang() || spec.is_service();
  const double tasks = all_at_once ? spec.tasks : 1;
  if ((team->cpus_max > 0 && tasks * spec.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && tasks * spec.gpus > team->gpus_max))
    return AdmissionError{"needs more than the team's limit"};
  return placement_error(spec, zones.size());
}

bool JobSubmission::refuse_unsupported_service(std::uint64_t request,
                                               const wire::JobSpec& spec) const {
  if (!spec.is_service() || context_.services_enabled()) return false;
  // Controllers of the previous version can't read the records of services.
  if (context_.settings.record_format < wire::kServiceFormat) {
    context_.reply(request, 400, wire::error_body("shape is missing or invalid"));
  } else {
    context_.reply_unavailable(request, kRetryAfterOutageS);
  }
  return true;
}

void JobSubmission::reply_state(std::uint64_t request, const std::string& id,
                                wire::JobState state) const {
  context_.reply(request, 200, wire::job_state_body(id, state));
}

void JobSubmission::reply_known_or_refuse(Ms now, std::uint64_t request, const std::string& id,
                                          std::optional<AdmissionError> error) {
  // A job that has been accepted is never refused later, even if it could not be admitted now.
  reader_.read_job(now, request, id, now + kSubmitTimeoutMs,
                   [this, request, id, error](Ms, const JobStatus& status) {
                     if (status.known) {
                       reply_state(request, id, status.state);
                     } else if (error) {
                       context_.reply(request, 422, wire::error_body(error->reason));
                     } else {
                       context_.reply_unavailable(request, kRetryAfterS);
                     }
                   });
}

std::optional<std::string> JobSubmission::record_value(Ms now, const wire::JobSpec& spec) {
  wire::JobRecord record;
  record.spec = spec;
  record.submitted_ms = status_.wall(now);
  record.initial_ranges = planner_.split_into_ranges(spec);
  std::string value = encode(record);
  if (static_cast<double>(value.size()) > context_.value_bytes()) {
    // Machine types that the catalog doesn't offer have no effect, so they are left out to save
    // space.
    std::erase_if(record.spec.types,
                  [this](const auto& type) { return !context_.replica.type(type); });
    value = encode(record);
  }
  if (static_cast<double>(value.size()) > context_.value_bytes()) return std::nullopt;
  return value;
}

void JobSubmission::on_submit(Ms now, std::uint64_t request, const std::string& body) {
  const auto job = wire::parse_job(body);
  if (!job) {
    context_.reply(request, 400, wire::error_body(job.error().text()));
    return;
  }
  const wire::JobSpec& spec = *job;
  if (refuse_unsupported_service(request, spec)) return;
  if (const auto* final_state = context_.replica.final_state(spec.id)) {
    reply_state(request, spec.id, JobReader::final_status(*final_state).state);
    return;
  }
  if (!context_.can_write(now) || !context_.replica.has_catalog()) {
    context_.reply_unavailable(request, kRetryAfterOutageS);
    return;
  }
  const std::optional<AdmissionError> error = admission_error(spec);
  if (context_.replica.job(spec.id) || error) {
    reply_known_or_refuse(now, request, spec.id, error);
    return;
  }
  if (context_.replica.jobs().size() >= context_.capacity.unfinished_jobs) {
    context_.reply(request, 429, wire::error_body("too many jobs"), kRetryAfterOutageS);
    return;
  }
  if (waiting_requests_.shed_load(request)) return;
  std::optional<std::string> value = record_value(now, spec);
  if (!value) {
    context_.reply(request, 422, wire::error_body("the description is too large"));
    return;
  }
  write_job(now, request, spec.id, std::move(*value), body);
}

void JobSubmission::write_job(Ms now, std::uint64_t request, const std::string& id,
                              std::string value, const std::string& body) {
  Transaction transaction;
  transaction.conditions = {
      context_.view_unchanged(), {wire::job_key(id), 0}, {wire::final_state_key(id), 0}};
  transaction.writes.push_back({wire::job_key(id), std::move(value), std::nullopt});
  transaction.urgent = true;
  transaction.deadline = now + kSubmitTimeoutMs;
  waiting_requests_.add();
  transaction.done = [this, request, id, body](Ms at, TxnResult result, const auto& failed) {
    waiting_requests_.remove();
    switch (result) {
      case TxnResult::committed:
        on_job_recorded(at, request, id);
        break;
      case TxnResult::conflict:
        on_write_conflict(at, request, id, body, failed);
        break;
      case TxnResult::refused:
        context_.reply_unavailable(request, kRetryAfterOutageS);
        break;
      case TxnResult::rejected:
      case TxnResult::unknown:
        context_.reply_unavailable(request, kRetryAfterS);
        break;
    }
  };
  context_.state_client.submit(std::move(transaction));
  context_.state_client.tick(now);
}

void JobSubmission::on_write_conflict(Ms now, std::uint64_t request, const std::string& id,
                                      const std::string& body,
                                      const std::vector<std::string>& failed) {
  const Ms deadline = now + kPollTimeoutMs;
  if (failed.size() == 1 && failed[0] == wire::kViewKey) {
    // Only the view has changed; the job itself can still be accepted, so the submission is
    // retried.
    context_.state_client.barrier_read(now, deadline, [this, request, body](Ms read_at, bool ok) {
      ok ? on_submit(read_at, request, body) : context_.reply_unavailable(request, kRetryAfterS);
    });
    return;
  }
  // Another condition failed: the job may exist already.
  reader_.read_job(now, request, id, deadline, [this, request, id](Ms, const JobStatus& status) {
    status.known ? reply_state(request, id, status.state)
                 : context_.reply_unavailable(request, kRetryAfterS);
  });
}

void JobSubmission::on_job_recorded(Ms now, std::uint64_t request, const std::string& id) {
  const auto reply_accepted = [this, request, id](wire::JobState state) {
    context_.reply(request, 201, wire::job_state_body(id, state));
  };
  if (const auto* final_state = context_.replica.final_state(id)) {
    reply_accepted(JobReader::final_status(*final_state).state);
    return;
  }
  const Job* job = context_.replica.job(id);
  if (!job || (!job->record.cancelled && job->placed_tasks() == 0)) {
    reply_accepted(wire::JobState::queued);
    return;
  }
  reader_.wait_until_job_settled(
      now, request, id, now + kPollTimeoutMs, [this, id, reply_accepted](Ms) {
        const auto* final_state = context_.replica.final_state(id);
        const Job* settled = context_.replica.job(id);
        if (final_state) {
          reply_accepted(JobReader::final_status(*final_state).state);
          return;
        }
        reply_accepted(settled ? JobReader::state_of(*settled) : wire::JobState::queued);
      });
}

}  // namespace scheduler
