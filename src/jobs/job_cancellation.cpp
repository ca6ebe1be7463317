#include "jobs/job_cancellation.h"

#include <iterator>
#include <utility>

#include "jobs/timeouts.h"

namespace scheduler {

namespace {

// Retries of a cancellation whose write fails because the job's record or the view has changed.
constexpr int kMaxCancelRetries = 3;

}  // namespace

void JobCancellation::cancel(Ms now, std::uint64_t request, const std::string& id, int retries) {
  if (retries == 0) context_.log(LogLevel::debug, "cancellation of " + id + " asked");
  // If the replica holds the job, one conditional write cancels it: the conditions fail if the
  // job's record or the view has changed. In all other cases the job's state is read first.
  if (retries == 0 && !context_.replica.final_state(id) && context_.replica.job(id) &&
      context_.can_write(now)) {
    write_cancelled(now, request, id, retries);
    return;
  }
  reader_.read_job(now, request, id, now + kSubmitTimeoutMs,
                   [this, request, id, retries](Ms at, const JobStatus& status) {
                     const bool ended = status.state == wire::JobState::done ||
                                        status.state == wire::JobState::cancelled;
                     if (!status.known) {
                       context_.reply(request, 404, wire::error_body("no such job"));
                     } else if (ended) {
                       context_.reply(request, 200, wire::job_state_body(id, status.state));
                     } else if (!context_.replica.job(id) || retries > kMaxCancelRetries) {
                       context_.reply_unavailable(request, kRetryAfterS);
                     } else {
                       write_cancelled(at, request, id, retries);
                     }
                   });
}

void JobCancellation::write_cancelled(Ms now, std::uint64_t request, const std::string& id,
                                      int retries) {
  const Job* job = context_.replica.job(id);
  if (job->record.cancelled) {  // recorded before: the tasks are being stopped
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
  transaction.done = [this, request, id, retries](Ms at, TxnResult result, const auto&) {
    waiting_requests_.remove();
    if (result == TxnResult::committed) {
      context_.log(LogLevel::info, "cancellation of " + id + " recorded");
      wait_until_cancelled(at, request, id);
    } else if (result == TxnResult::conflict) {
      cancel(at, request, id, retries + 1);
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
  // The replica holds this controller's own write as soon as that is answered, but placements that
  // another controller wrote before it only once the watch has delivered them. Without this wait, a
  // user could receive a confirmation while a task of the job is being started.
  context_.state_client.wait_until_current(
      now, now + kCancelTimeoutMs, [this, request, id](Ms at, bool ok) {
        waiting_requests_.remove();
        if (ok && reply_if_cancelled(request, id)) return;
        if (!ok || !can_be_confirmed_soon(at, id)) {
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

bool JobCancellation::can_be_confirmed_soon(Ms now, const std::string& id) const {
  const Job* job = context_.replica.job(id);
  if (!job || !context_.can_write(now)) return false;
  for (const auto& [number, range] : job->ranges) {
    for (const auto& [task, placement] : range.placed) {
      auto machine = machines_.find(placement.machine);
      if (machine != machines_.end() &&
          (machine->second.unanswered_commands > 0 || machine->second.unreachable_since != 0 ||
           now - machine->second.last_contact > machines_.unresponsive_after()))
        return false;
    }
  }
  return true;
}

void JobCancellation::tick(Ms now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& requests = it->second;
    const bool cannot_confirm = !can_be_confirmed_soon(now, it->first);
    std::erase_if(requests, [&](const PendingCancellation& pending) {
      const bool replied = reply_if_cancelled(pending.request, it->first);
      if (!replied && !cannot_confirm && now < pending.deadline) return false;
      if (!replied) context_.reply_unavailable(pending.request, kRetryAfterS);
      waiting_requests_.remove();
      return true;
    });
    it = requests.empty() ? pending_.erase(it) : std::next(it);
  }
}

}  // namespace scheduler
