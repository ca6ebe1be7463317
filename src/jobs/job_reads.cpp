// What users are told of a job, and which revision of the state service that rests on.
//
// The replica holds every change up to `Store::watched()`, and beyond it only what this controller
// has written itself, as soon as that is answered. Between two answers of the watch it can thus be
// a state that never existed: a later write of our own known, an earlier one not. So every answer
// about a job that is not over is the job's state at revision `watched()`, and it is given only
// when the replica holds nothing newer of this job (`when_settled`). `watched()` never falls, so no
// answer is older than one that this controller gave before; a barrier read that was asked for
// after the question makes it no older than what any controller had told by then. Final states
// never change and are told from whatever names them.
//
// Two answers rest on our own newest write, ahead of the watch, and are true at its revision:
// - A submission that has just been written: the job is queued.
// - A cancellation whose record the watch has passed: from then on placements of the job can only
//   go, each by its owner's write. If the replica holds none, there is none.
#include <algorithm>

#include "base/log_event.h"
#include "base/types.h"
#include "controller/controller.h"
#include "jobs/timeouts.h"

namespace scheduler {

namespace {

std::string_view name_of(wire::JobState state) {
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

std::uint64_t Controller::newest_revision(const std::string& id) const {
  std::uint64_t newest = std::max(state_client_.version(wire::job_key(id)),
                                  state_client_.version(wire::final_state_key(id)));
  const auto job = replica_.jobs().find(id);
  if (job == replica_.jobs().end()) return newest;
  for (const auto& [number, range] : job->second.ranges)
    newest = std::max(newest, state_client_.version(wire::range_key(id, number)));
  return newest;
}

void Controller::log_job_reply(const std::string& id, wire::JobState state) {
  if (!logs_debug()) return;
  LogEvent event("answer");
  event.field("job", id).field("state", name_of(state));
  event.field("revision", newest_revision(id)).field("watched", state_client_.applied_revision());
  log(LogLevel::debug, event.text());
}

void Controller::wait_until_job_settled(Ms now, std::uint64_t request, const std::string& id,
                                        Ms deadline, const std::function<void(Ms now)>& then) {
  const std::uint64_t newest = newest_revision(id);
  if (newest <= state_client_.applied_revision()) {
    then(now);
    return;
  }
  if (shed_load(request)) return;
  ++waiting_requests_;
  ++replies_delayed_;
  state_client_.wait_for_revision(
      now, newest, deadline, [this, request, id, deadline, then](Ms at, bool reached) {
        --waiting_requests_;
        if (!reached) {
          reply_unavailable(request, kRetryAfterS);
          return;
        }
        wait_until_job_settled(at, request, id, deadline,
                               then);  // written again meanwhile, perhaps
      });
}

Controller::JobStatus Controller::final_status(const wire::FinalStateRecord& record) {
  if (!record.done) return {true, wire::JobState::cancelled, 0, 0};
  return {true, wire::JobState::done, record.tasks, 0};
}

void Controller::read_job(Ms now, std::uint64_t request, const std::string& id, Ms deadline,
                          OnJobRead on_job_read) {
  // Final states never change, so the first one known is the answer.
  if (const auto* final_state = replica_.final_state(id)) {
    on_job_read(now, final_status(*final_state));
    return;
  }
  if (!ready() || !state_client_.answering(now) || resynchronising_until_ != 0) {
    reply_unavailable(request, kRetryAfterOutageS);
    return;
  }
  if (shed_load(request)) return;
  ++waiting_requests_;
  state_client_.barrier_read(
      now, deadline, [this, request, id, deadline, on_job_read](Ms at, bool ok) {
        --waiting_requests_;
        if (!ok) {
          reply_unavailable(request, kRetryAfterS);
          return;
        }
        wait_until_job_settled(at, request, id, deadline,
                               [this, request, id, on_job_read](Ms then) {
                                 read_settled_job(then, request, id, on_job_read);
                               });
      });
}

// What the replica holds of the job is settled.
void Controller::read_settled_job(Ms now, std::uint64_t request, const std::string& id,
                                  const OnJobRead& on_job_read) {
  if (const auto* final_state = replica_.final_state(id)) {
    on_job_read(now, final_status(*final_state));
    return;
  }
  if (const Job* job = replica_.job(id)) {
    const wire::JobState state = state_of(*job);
    log_job_reply(id, state);
    on_job_read(now, {true, state, job->done_tasks(), job->placed_tasks()});
    return;
  }
  ++waiting_requests_;
  state_client_.read(now, wire::final_state_key(id),
                     [this, request, id, on_job_read](Ms at, const HttpResult& http_result) {
                       --waiting_requests_;
                       on_final_state_read(at, request, id, http_result, on_job_read);
                     });
}

void Controller::on_final_state_read(Ms now, std::uint64_t request, const std::string& id,
                                     const HttpResult& http_result, const OnJobRead& on_job_read) {
  wire::StoredItem item;
  if (http_result.status == 200 && wire::parse_item(http_result.body, item) && item.value) {
    if (const auto final_state = wire::decode<wire::FinalStateRecord>(*item.value)) {
      replica_.remember_final_state(id, *final_state);
      on_job_read(now, final_status(*final_state));
      return;
    }
  }
  // Accepted between the two reads: then the replica may have it by now.
  if (http_result.status != 404 || replica_.job(id) || replica_.final_state(id)) {
    reply_unavailable(request, kRetryAfterS);
    return;
  }
  on_job_read(now, {});
}

// A cancellation is told once nothing of the job is left on any machine, by the records. Guards
// against tasks that run on in a zone cut off together with a controller, which renews their leases
// and cannot know: nobody was told that they are gone.
wire::JobState Controller::state_of(const Job& job) const {
  if (job.record.cancelled && job.whole() && job.placed_tasks() == 0)
    return wire::JobState::cancelled;
  return job.placed_tasks() > 0 ? wire::JobState::running : wire::JobState::queued;
}

void Controller::on_poll(Ms now, std::uint64_t request, const std::string& id) {
  read_job(
      now, request, id, now + kPollTimeoutMs, [this, request, id](Ms, const JobStatus& status) {
        if (!status.known) {
          reply(request, 404, wire::error_body("no such job"));
          return;
        }
        reply(request, 200, wire::job_status_body(id, status.state, status.done, status.running));
      });
}

// The cancellation is recorded. It is told as soon as the records say that nothing of the job is
// left on any machine, which takes a halt and a write. What takes longer is told to come back: at
// once when a machine of ours is known not to answer, or the state service does not.
void Controller::wait_until_cancelled(Ms now, std::uint64_t request, const std::string& id) {
  if (waiting_requests_ >= capacity_.waiting_requests) {
    reply_unavailable(request, kRetryAfterS);
    return;
  }
  ++waiting_requests_;
  // Guards against telling users while a start is on its way: our own write is known at once, what
  // another controller had placed before it only when the watch has passed it.
  state_client_.wait_until_current(
      now, now + kCancelTimeoutMs, [this, request, id](Ms at, bool ok) {
        --waiting_requests_;
        if (ok && reply_if_cancelled(request, id)) return;
        if (!ok || !can_be_proven_soon(at, id)) {
          reply_unavailable(request, kRetryAfterS);
          return;
        }
        ++waiting_requests_;
        pending_cancellations_[id].push_back({request, at + kCancelTimeoutMs});
      });
}

// Answers when the end of the job is known, whichever it is.
bool Controller::reply_if_cancelled(std::uint64_t request, const std::string& id) {
  wire::JobState state = wire::JobState::queued;
  if (const auto* final_state = replica_.final_state(id)) {
    state = final_state->done ? wire::JobState::done : wire::JobState::cancelled;
  } else if (const Job* job = replica_.job(id)) {
    state = state_of(*job);
  }
  if (state != wire::JobState::done && state != wire::JobState::cancelled) return false;
  log(LogLevel::info, "cancellation of " + id + " told");
  log_job_reply(id, state);
  reply(request, 200, wire::job_state_body(id, state));
  return true;
}

// Whether the machines of ours that still have tasks of the job answer, as far as we know.
bool Controller::can_be_proven_soon(Ms now, const std::string& id) const {
  const Job* job = replica_.job(id);
  if (!job || !can_write(now)) return false;
  for (const auto& [number, r] : job->ranges) {
    for (const auto& [task, p] : r.placed) {
      auto m = machines_.find(p.machine);
      if (m != machines_.end() &&
          (m->second.unanswered_commands > 0 || m->second.unreachable_since != 0 ||
           now - m->second.last_contact > unresponsive_after()))
        return false;
    }
  }
  return true;
}

void Controller::reply_to_cancellations(Ms now) {
  for (auto it = pending_cancellations_.begin(); it != pending_cancellations_.end();) {
    auto& waits = it->second;
    const bool misses_every_objective = !can_be_proven_soon(now, it->first);
    std::erase_if(waits, [&](const PendingCancellation& w) {
      const bool told = reply_if_cancelled(w.request, it->first);
      if (!told && !misses_every_objective && now < w.deadline) return false;
      if (!told) reply_unavailable(w.request, kRetryAfterS);
      --waiting_requests_;
      return true;
    });
    it = waits.empty() ? pending_cancellations_.erase(it) : std::next(it);
  }
}

}  // namespace scheduler
