#include "jobs/job_reader.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "jobs/timeouts.h"
#include "state/job_revision.h"

namespace scheduler {

namespace {

std::string_view job_state_name(wire::JobState state) {
  switch (state) {
    case wire::JobState::queued:
      return "queued";
    case wire::JobState::running:
      return "running";
    case wire::JobState::done:
      return "done";
    case wire::JobState::cancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

void JobReader::log_job_reply(const std::string& id, wire::JobState state) const {
  if (!context_.logs_debug()) return;
  LogEvent event("job_reply");
  event.field("job", id).field("state", job_state_name(state));
  event.field("revision", newest_job_revision(context_.replica, context_.state_client, id))
      .field("applied", context_.state_client.applied_revision());
  context_.log(LogLevel::debug, event.text());
}

void JobReader::wait_until_job_settled(Ms now, std::uint64_t request, const std::string& id,
                                       Ms deadline, const std::function<void(Ms now)>& on_settled) {
  const std::uint64_t newest = newest_job_revision(context_.replica, context_.state_client, id);
  if (newest <= context_.state_client.applied_revision()) {
    on_settled(now);
    return;
  }
  if (waiting_requests_.shed_load(request)) return;
  waiting_requests_.add();
  ++delayed_reply_count_;
  context_.state_client.wait_for_revision(
      now, newest, deadline, [this, request, id, deadline, on_settled](Ms at, bool reached) {
        waiting_requests_.remove();
        if (!reached) {
          context_.reply_unavailable(request, kRetryAfterS);
          return;
        }
        wait_until_job_settled(at, request, id, deadline,
                               on_settled);  // the job may have been written again meanwhile
      });
}

JobStatus JobReader::final_status(const wire::FinalStateRecord& record) {
  if (!record.done) return {true, wire::JobState::cancelled, 0, 0};
  return {true, wire::JobState::done, record.tasks, 0};
}

void JobReader::read_job(Ms now, std::uint64_t request, const std::string& id, Ms deadline,
                         const OnJobRead& on_job_read) {
  // Final states never change, so one that the replica holds is the answer.
  if (const auto* final_state = context_.replica.final_state(id)) {
    on_job_read(now, final_status(*final_state));
    return;
  }
  if (!status_.ready() || !context_.state_client.answering(now) || !status_.resynchronised()) {
    context_.reply_unavailable(request, kRetryAfterOutageS);
    return;
  }
  if (waiting_requests_.shed_load(request)) return;
  waiting_requests_.add();
  context_.state_client.barrier_read(
      now, deadline, [this, request, id, deadline, on_job_read](Ms at, bool ok) {
        waiting_requests_.remove();
        if (!ok) {
          context_.reply_unavailable(request, kRetryAfterS);
          return;
        }
        wait_until_job_settled(at, request, id, deadline,
                               [this, request, id, on_job_read](Ms settled_at) {
                                 read_settled_job(settled_at, request, id, on_job_read);
                               });
      });
}

void JobReader::read_settled_job(Ms now, std::uint64_t request, const std::string& id,
                                 const OnJobRead& on_job_read) {
  if (const auto* final_state = context_.replica.final_state(id)) {
    on_job_read(now, final_status(*final_state));
    return;
  }
  if (const Job* job = context_.replica.job(id)) {
    const wire::JobState state = state_of(*job);
    log_job_reply(id, state);
    on_job_read(now, {true, state, job->done_tasks(), job->placed_tasks()});
    return;
  }
  waiting_requests_.add();
  context_.state_client.read(
      now, wire::final_state_key(id),
      [this, request, id, on_job_read](Ms at, const HttpResult& http_result) {
        waiting_requests_.remove();
        on_final_state_read(at, request, id, http_result, on_job_read);
      });
}

void JobReader::on_final_state_read(Ms now, std::uint64_t request, const std::string& id,
                                    const HttpResult& http_result, const OnJobRead& on_job_read) {
  const auto item = wire::parse_item(http_result.body);
  if (http_result.status == 200 && item && item->value) {
    if (const auto final_state = wire::decode<wire::FinalStateRecord>(*item->value)) {
      context_.replica.remember_final_state(id, *final_state);
      on_job_read(now, final_status(*final_state));
      return;
    }
  }
  // If the job was accepted between the two reads, the replica may hold it now.
  if (http_result.status != 404 || context_.replica.job(id) || context_.replica.final_state(id)) {
    context_.reply_unavailable(request, kRetryAfterS);
    return;
  }
  on_job_read(now, {});
}

wire::JobState JobReader::state_of(const Job& job) {
  if (job.record.cancelled && job.covers_all_tasks() && job.placed_tasks() == 0)
    return wire::JobState::cancelled;
  return job.placed_tasks() > 0 ? wire::JobState::running : wire::JobState::queued;
}

void JobReader::on_poll(Ms now, std::uint64_t request, const std::string& id) {
  read_job(now, request, id, now + kPollTimeoutMs,
           [this, request, id](Ms, const JobStatus& status) {
             if (!status.known) {
               context_.reply(request, 404, wire::error_body("no such job"));
               return;
             }
             context_.reply(request, 200,
                            wire::job_status_body(id, status.state, status.done, status.running));
           });
}

}  // namespace scheduler
