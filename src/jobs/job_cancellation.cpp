#include "jobs/job_cancellation.h"

#include <iterator>
#include <utility>

#include "jobs/timeouts.h"

namespace scheduler {

namespace {

// Times that a cancellation is tried again when its job's record or the view changes under it.
constexpr int kCancelTries = 3;

}  // namespace

void JobCancellation::cancel(Ms now, std::uint64_t request, const std::string& id, int tries) {
  if (tries == 0) context_.log(LogLevel::debug, "cancellation of " + id + " asked");
  // A job that we know of is cancelled by one guarded write: its conditions are the question
  // whether that is still so. Everything else is looked up first.
  if (tries == 0 && !context_.replica.final_state(id) && context_.replica.job(id) &&
      context_.can_write(now)) {
    write_cancelled(now, request, id, tries);
    return;
  }
  reader_.read_job(now, request, id, now + kSubmitTimeoutMs,
                   [this, request, id, tries](Ms at, const JobStatus& status) {
                     const bool ended = status.state == wire::JobState::done ||
                                        status.state == wire::JobState::cancelled;
                     if (!status.known) {
                       context_.reply(request, 404, wire::error_body("no such job"));
                     } else if (ended) {
                       context_.reply(request, 200, wire::job_state_body(id, status.state));
                     } else if (!context_.replica.job(id) || tries > kCancelTries) {
                       context_.reply_unavailable(request, kRetryAfterS);
                     } else {
                       write_cancelled(at, request, id, tries);
                     }
                   });
}

void JobCancellation::write_cancelled(Ms now, std::uint64_t request, const std::string& id,
                                      int tries) {
  const Job* job = context_.replica.job(id);
  if (job->record.cancelled) {  // on its way: its tasks are being stopped
    wait_until_cancelled(now, request, id);
    return;
  }
  if (waiting_requests_.shed_load(request)) return;
  wire::JobRecord record = job->record;
  record.cancelled = true;
  Transaction transaction;
  const std::string key = wire::job_key(id);
  transaction.conditions = {context_.view_unchanged(), context_.state_client.unchanged(key)};
  transaction.writes = {{key, encode(record), std::nullopt}};
  transaction.urgent = true;
  transaction.deadline = now + kSubmitTimeoutMs;
  waiting_requests_.add();
  transaction.done = [this, request, id, tries](Ms at, TxnResult result, const auto&) {
    waiting_requests_.remove();
    if (result == TxnResult::committed) {
      context_.log(LogLevel::info, "cancellation of " + id + " recorded");
      wait_until_cancelled(at, request, id);
    } else if (result == TxnResult::conflict) {
      cancel(at, request, id, tries + 1);
    } else {
      context_.reply_unavailable(request, kRetryAfterS);
    }
  };
  context_.state_client.submit(std::move(transaction));
  context_.state_client.tick(now);
}

void JobCancellation::wait_until_cancelled(Ms now, std::uint64_t request, const std::string& id) {
  if (waiting_requests_.full()) {
    context_.reply_unavailable(request, kRetryAfterS);
    return;
  }
  waiting_requests_.add();
  // Guards against telling users while a start is on its way: our own write is known at once, what
  // another controller had placed before it only when the watch has passed it.
  context_.state_client.wait_until_current(
      now, now + kCancelTimeoutMs, [this, request, id](Ms at, bool ok) {
        waiting_requests_.remove();
        if (ok && reply_if_cancelled(request, id)) return;
        if (!ok || !can_be_proven_soon(at, id)) {
          context_.reply_unavailable(request, kRetryAfterS);
          return;
        }
        waiting_requests_.add();
        pending_[id].push_back({request, at + kCancelTimeoutMs});
      });
}

bool JobCancellation::reply_if_cancelled(std::uint64_t request, const std::string& id) {
  wire::JobState state = wire::JobState::queued;
  if (const auto* final_state = context_.replica.final_state(id)) {
    state = final_state->done ? wire::JobState::done : wire::JobState::cancelled;
  } else if (const Job* job = context_.replica.job(id)) {
    state = JobReader::state_of(*job);
  }
  if (state != wire::JobState::done && state != wire::JobState::cancelled) return false;
  context_.log(LogLevel::info, "cancellation of " + id + " confirmed");
  reader_.log_job_reply(id, state);
  context_.reply(request, 200, wire::job_state_body(id, state));
  return true;
}

bool JobCancellation::can_be_proven_soon(Ms now, const std::string& id) const {
  const Job* job = context_.replica.job(id);
  if (!job || !context_.can_write(now)) return false;
  for (const auto& [number, range] : job->ranges) {
    for (const auto& [task, placement] : range.placed) {
      auto m = machines_.find(placement.machine);
      if (m != machines_.end() &&
          (m->second.unanswered_commands > 0 || m->second.unreachable_since != 0 ||
           now - m->second.last_contact > machines_.unresponsive_after()))
        return false;
    }
  }
  return true;
}

void JobCancellation::tick(Ms now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& waits = it->second;
    const bool unprovable = !can_be_proven_soon(now, it->first);
    std::erase_if(waits, [&](const PendingCancellation& w) {
      const bool told = reply_if_cancelled(w.request, it->first);
      if (!told && !unprovable && now < w.deadline) return false;
      if (!told) context_.reply_unavailable(w.request, kRetryAfterS);
      waiting_requests_.remove();
      return true;
    });
    it = waits.empty() ? pending_.erase(it) : std::next(it);
  }
}

}  // namespace scheduler
