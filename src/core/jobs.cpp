// Users: submitting, asking, cancelling; and the end of jobs.
#include <algorithm>
#include <cmath>

#include "core/constants.h"
#include "core/controller.h"
#include "core/log_event.h"
#include "core/placement.h"

namespace puffinhaven::core {

namespace k = constants;

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

void Controller::decline(std::uint64_t request, int retry_after_s) {
  answer(request, 503, wire::error_body("not now"), retry_after_s);
}

bool Controller::shed(std::uint64_t request) {
  if (waiting_requests_ < k::kWaitingRequests) return false;
  answer(request, 429, wire::error_body("too many requests"), k::kRetryAfterS);
  return true;
}

void Controller::lookup(Ms now, std::uint64_t request, const std::string& id, Ms give_up,
                        Found found) {
  // Final states never change, so the first one known is the answer.
  if (const auto* over = replica_.over(id)) {
    found(now, true, over->done ? wire::JobState::done : wire::JobState::cancelled,
          over->done ? over->tasks : 0, 0);
    return;
  }
  if (!ready() || !store_.answering(now) || catching_up_until_ != 0) {
    decline(request, k::kRetryAfterOutageS);
    return;
  }
  if (shed(request)) return;
  ++waiting_requests_;
  store_.barrier(now, give_up, [this, request, id, found](Ms at, bool ok) {
    --waiting_requests_;
    if (!ok) {
      decline(request, k::kRetryAfterS);
      return;
    }
    if (const auto* over = replica_.over(id)) {
      found(at, true, over->done ? wire::JobState::done : wire::JobState::cancelled,
            over->done ? over->tasks : 0, 0);
      return;
    }
    if (const Job* job = replica_.job(id)) {
      log_answer(id, state_of(*job));
      found(at, true, state_of(*job), job->done_tasks(), job->placed_tasks());
      return;
    }
    ++waiting_requests_;
    store_.read(at, wire::over_key(id),
                [this, request, id, found](Ms then, const Outcome& outcome) {
                  --waiting_requests_;
                  wire::StoredItem item;
                  wire::OverRecord over;
                  if (outcome.status == 200 && wire::parse_item(outcome.body, item) && item.value &&
                      decode(*item.value, over)) {
                    replica_.remember_over(id, over);
                    found(then, true, over.done ? wire::JobState::done : wire::JobState::cancelled,
                          over.done ? over.tasks : 0, 0);
                  } else if (outcome.status == 404) {
                    // Accepted between the two reads: then the replica may have it by now.
                    if (replica_.job(id) || replica_.over(id)) {
                      decline(request, k::kRetryAfterS);
                      return;
                    }
                    found(then, false, wire::JobState::queued, 0, 0);
                  } else {
                    decline(request, k::kRetryAfterS);
                  }
                });
  });
}

// A cancellation is told once nothing of the job is left on any machine, by the records. Guards
// against tasks that run on in a zone cut off together with a controller, which renews their leases
// and cannot know: nobody was told that they are gone.
wire::JobState Controller::state_of(const Job& job) const {
  if (job.record.cancelled && job.whole() && job.placed_tasks() == 0)
    return wire::JobState::cancelled;
  return job.placed_tasks() > 0 ? wire::JobState::running : wire::JobState::queued;
}

std::uint64_t Controller::newest_revision(const std::string& id) const {
  std::uint64_t newest =
      std::max(store_.version(wire::job_key(id)), store_.version(wire::over_key(id)));
  const auto job = replica_.jobs().find(id);
  if (job == replica_.jobs().end()) return newest;
  for (const auto& [number, range] : job->second.ranges)
    newest = std::max(newest, store_.version(wire::range_key(id, number)));
  return newest;
}

void Controller::log_answer(const std::string& id, wire::JobState state) {
  if (!logs_debug()) return;
  LogEvent event("answer");
  event.field("job", id).field("state", name_of(state));
  event.field("revision", newest_revision(id)).field("watched", store_.watched());
  log(LogLevel::debug, event.text());
}

void Controller::on_health(Ms now, std::uint64_t request) {
  bool healthy = ready() && !superseded(now) && !catching_up(now);
  if (healthy && !store_.answering(now)) {
    // An outage that all share is no reason to send users elsewhere; being cut off or refused alone
    // is. A peer's word tells them apart. Without any: a state service that refuses us is there, so
    // it is an outage as far as we know, but one that is silent is beyond a cut of ours.
    bool word = false;
    for (const auto& [name, p] : peers_) {
      if (now - p.heard_at >= 2 * k::kStateSilentMs) continue;
      word = true;
      // At the ends of an outage one notices before the other.
      const Ms said = now - std::max(p.answers_since, store_.last_answer());
      if (p.state_answers && said > k::kPeerWordMs) healthy = false;
    }
    if (!word && !settings_.peers.empty() && store_.silent(now)) healthy = false;
  }
  if (healthy) {
    answer(request, 200, "{}");
  } else {
    answer(request, 503, wire::error_body("no state"), k::kRetryAfterS);
  }
}

void Controller::on_poll(Ms now, std::uint64_t request, const std::string& id) {
  lookup(now, request, id, now + k::kPollPatienceMs,
         [this, request, id](Ms, bool known, wire::JobState state, std::uint64_t done,
                             std::uint64_t running) {
           if (!known) {
             answer(request, 404, wire::error_body("no such job"));
           } else {
             answer(request, 200, wire::job_status_body(id, state, done, running));
           }
         });
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
  if (spec.is_gang() && spec.tasks > placed_most(spec.tasks)) return "gang is too large";
  if (spec.is_service() && spec.tasks > placed_most(0) * most_ranges())
    return "the service has too many replicas";
  if (all_at_once && spec.one_zone && spec.spread && spec.tasks > 1)
    return "together and scatter exclude each other";
  if (all_at_once && spec.spread && spec.tasks > 1 && zones.size() < 2)
    return "scatter needs a second zone";
  return "";
}

void Controller::on_submit(Ms now, std::uint64_t request, const std::string& body) {
  wire::JobSpec spec;
  if (const std::string error = wire::parse_job(body, spec); !error.empty()) {
    answer(request, 400, wire::error_body(error));
    return;
  }
  if (spec.is_service() && !services_enabled()) {
    // A controller of the former version could not read its records yet.
    if (settings_.record_format < wire::kServiceFormat) {
      answer(request, 400, wire::error_body("shape is missing or invalid"));
    } else {
      decline(request, k::kRetryAfterOutageS);
    }
    return;
  }
  const std::string id = spec.id;
  auto known = [this, request, id](wire::JobState state) {
    answer(request, 200, wire::job_state_body(id, state));
  };
  if (const auto* over = replica_.over(id)) {
    known(over->done ? wire::JobState::done : wire::JobState::cancelled);
    return;
  }
  if (!can_write(now) || !replica_.has_catalog()) {
    decline(request, k::kRetryAfterOutageS);
    return;
  }
  const std::string reason = verdict(spec);
  if (replica_.job(id) || !reason.empty()) {
    // What was accepted once is never refused later, whatever has changed since.
    lookup(now, request, id, now + k::kSubmitPatienceMs,
           [this, request, reason, known](Ms, bool found, wire::JobState state, std::uint64_t,
                                          std::uint64_t) {
             if (found) {
               known(state);
             } else if (!reason.empty()) {
               answer(request, 422, wire::error_body(reason));
             } else {
               decline(request, k::kRetryAfterS);
             }
           });
    return;
  }
  if (replica_.jobs().size() >= k::kLiveJobs) {
    answer(request, 429, wire::error_body("too many jobs"), k::kRetryAfterOutageS);
    return;
  }
  if (shed(request)) return;
  wire::JobRecord record;
  record.spec = spec;
  record.submitted_ms = now + wall_offset_;
  record.shares = divide(spec);
  std::string value = encode(record);
  if (static_cast<double>(value.size()) > value_bytes()) {
    // Types that nobody offers tell nothing.
    std::erase_if(record.spec.types, [this](const auto& type) { return !replica_.type(type); });
    value = encode(record);
  }
  if (static_cast<double>(value.size()) > value_bytes()) {
    answer(request, 422, wire::error_body("the description is too large"));
    return;
  }
  Transaction t;
  t.guards = {view_guard(), {wire::job_key(id), 0}, {wire::over_key(id), 0}};
  t.writes.push_back({wire::job_key(id), value, std::nullopt});
  t.urgent = true;
  t.give_up = now + k::kSubmitPatienceMs;
  ++waiting_requests_;
  t.done = [this, request, id, known, body](Ms at, Committed result, const auto& failed) {
    --waiting_requests_;
    if (result == Committed::conflict && failed.size() == 1 && failed[0] == wire::kViewKey) {
      // Only the view has changed meanwhile; nothing speaks against the job itself.
      store_.barrier(at, at + k::kPollPatienceMs, [this, request, body](Ms then, bool ok) {
        ok ? on_submit(then, request, body) : decline(request, k::kRetryAfterS);
      });
      return;
    }
    if (result == Committed::yes) {
      answer(request, 201, wire::job_state_body(id, wire::JobState::queued));
    } else if (result == Committed::conflict) {
      // Known already, or the view has changed.
      lookup(at, request, id, at + k::kPollPatienceMs,
             [this, request, known](Ms, bool found, wire::JobState state, std::uint64_t,
                                    std::uint64_t) {
               found ? known(state) : decline(request, k::kRetryAfterS);
             });
    } else {
      decline(request, result == Committed::refused ? k::kRetryAfterOutageS : k::kRetryAfterS);
    }
  };
  store_.submit(std::move(t));
  store_.tick(now);
}

void Controller::on_cancel(Ms now, std::uint64_t request, const std::string& id, int tries) {
  if (tries == 0) log(LogLevel::debug, "cancellation of " + id + " asked");
  // A job that we know of is cancelled by one guarded write: its conditions are the question
  // whether that is still so. Everything else is looked up first.
  if (tries == 0 && !replica_.over(id) && replica_.job(id) && can_write(now)) {
    write_cancelled(now, request, id, tries);
    return;
  }
  lookup(now, request, id, now + k::kSubmitPatienceMs,
         [this, request, id, tries](Ms at, bool known, wire::JobState state, std::uint64_t,
                                    std::uint64_t) {
           if (!known) {
             answer(request, 404, wire::error_body("no such job"));
           } else if (state == wire::JobState::done || state == wire::JobState::cancelled) {
             answer(request, 200, wire::job_state_body(id, state));
           } else if (!replica_.job(id) || tries > k::kCancelTries) {
             decline(request, k::kRetryAfterS);
           } else {
             write_cancelled(at, request, id, tries);
           }
         });
}

void Controller::write_cancelled(Ms now, std::uint64_t request, const std::string& id, int tries) {
  const Job* job = replica_.job(id);
  if (job->record.cancelled) {  // on its way: its tasks are being stopped
    await_cancelled(now, request, id);
    return;
  }
  if (shed(request)) return;
  wire::JobRecord record = job->record;
  record.cancelled = true;
  Transaction t;
  const std::string key = wire::job_key(id);
  t.guards = {view_guard(), store_.guard(key)};
  t.writes = {{key, encode(record), std::nullopt}};
  t.urgent = true;
  t.give_up = now + k::kSubmitPatienceMs;
  ++waiting_requests_;
  t.done = [this, request, id, tries](Ms at, Committed result, const auto&) {
    --waiting_requests_;
    if (result == Committed::yes) {
      log(LogLevel::info, "cancellation of " + id + " recorded");
      await_cancelled(at, request, id);
    } else if (result == Committed::conflict) {
      on_cancel(at, request, id, tries + 1);
    } else {
      decline(request, k::kRetryAfterS);
    }
  };
  store_.submit(std::move(t));
  store_.tick(now);
}

// The cancellation is recorded. It is told as soon as the records say that nothing of the job is
// left on any machine, which takes a halt and a write. What takes longer is told to come back: at
// once when a machine of ours is known not to answer, or the state service does not.
void Controller::await_cancelled(Ms now, std::uint64_t request, const std::string& id) {
  if (waiting_requests_ >= k::kWaitingRequests) {
    decline(request, k::kRetryAfterS);
    return;
  }
  ++waiting_requests_;
  // Guards against telling users while a start is on its way: our own write is known at once, what
  // another controller had placed before it only when the watch has passed it.
  store_.passed(now, now + k::kCancelPatienceMs, [this, request, id](Ms at, bool ok) {
    --waiting_requests_;
    if (ok && answer_cancelled(request, id)) return;
    if (!ok || !provable_soon(at, id)) {
      decline(request, k::kRetryAfterS);
      return;
    }
    ++waiting_requests_;
    cancel_waits_[id].push_back({request, at + k::kCancelPatienceMs});
  });
}

// Answers when the end of the job is known, whichever it is.
bool Controller::answer_cancelled(std::uint64_t request, const std::string& id) {
  wire::JobState state = wire::JobState::queued;
  if (const auto* over = replica_.over(id)) {
    state = over->done ? wire::JobState::done : wire::JobState::cancelled;
  } else if (const Job* job = replica_.job(id)) {
    state = state_of(*job);
  }
  if (state != wire::JobState::done && state != wire::JobState::cancelled) return false;
  log(LogLevel::info, "cancellation of " + id + " told");
  log_answer(id, state);
  answer(request, 200, wire::job_state_body(id, state));
  return true;
}

// Whether the machines of ours that still have tasks of the job answer, as far as we know.
bool Controller::provable_soon(Ms now, const std::string& id) const {
  const Job* job = replica_.job(id);
  if (!job || !can_write(now)) return false;
  for (const auto& [number, r] : job->ranges) {
    for (const auto& [task, p] : r.placed) {
      auto m = machines_.find(p.machine);
      if (m != machines_.end() && (m->second.orders_failed > 0 || m->second.unreached_since != 0 ||
                                   now - m->second.heard_at > silent_after()))
        return false;
    }
  }
  return true;
}

void Controller::keep_cancel_waits(Ms now) {
  for (auto it = cancel_waits_.begin(); it != cancel_waits_.end();) {
    auto& waits = it->second;
    const bool hopeless = !provable_soon(now, it->first);
    std::erase_if(waits, [&](const CancelWait& w) {
      const bool told = answer_cancelled(w.request, it->first);
      if (!told && !hopeless && now < w.give_up) return false;
      if (!told) decline(w.request, k::kRetryAfterS);
      --waiting_requests_;
      return true;
    });
    it = waits.empty() ? cancel_waits_.erase(it) : std::next(it);
  }
}

// ---- the end of jobs ----

void Controller::finish_jobs(Ms now) {
  if (!can_write(now) || check_finish_.empty()) return;
  std::set<std::string> again;
  for (const auto& id : std::exchange(check_finish_, {})) {
    auto it = replica_.jobs().find(id);
    if (it == replica_.jobs().end()) {
      health_.forget_job(id);
      continue;
    }
    if (!coordinates(wire::job_key(id))) {
      // Looked at again when the view changes; cheap enough to keep.
      if (membership_.live().empty()) again.insert(id);
      continue;
    }
    const Job& job = it->second;
    if (!job.known) {
      // Ranges that outlived their job, more than one transaction could remove.
      if (!finishing_.contains(id)) finish(id, job);
      continue;
    }
    const bool all_done =
        job.whole() && std::all_of(job.ranges.begin(), job.ranges.end(),
                                   [](const auto& r) { return r.second.complete(); });
    const bool clear = job.placed_tasks() == 0;
    if (!clear || !(job.record.cancelled ? job.whole() : all_done)) continue;
    if (!finishing_.contains(id)) finish(id, job);
  }
  check_finish_.insert(again.begin(), again.end());
}

void Controller::finish(const std::string& id, const Job& job) {
  Transaction t;
  t.guards = {view_guard()};
  const std::string over = wire::over_key(id), key = wire::job_key(id);
  // Each range is a condition as far as conditions go. Beyond that they are not needed: a finished
  // range never changes, and once the watch has passed a cancellation nothing can be placed any
  // more, since every placement has the job's record as a condition.
  const bool guard_all = job.known && job.ranges.size() <= most_ranges();
  if (job.known && !guard_all && job.record.cancelled && !store_.watched_past(key)) {
    check_finish_.insert(id);
    return;
  }
  if (job.known) {
    wire::OverRecord record;
    record.done = !job.record.cancelled;
    record.tasks = job.record.spec.tasks;
    t.guards.push_back({over, 0});
    t.guards.push_back(store_.guard(key));
    t.writes.push_back({over, encode(record), std::nullopt});
    t.writes.push_back({key, std::nullopt, std::nullopt});
  } else {
    t.guards.push_back({key, 0});  // that there is no such job is the store's word, not ours
  }
  for (const auto& [number, r] : job.ranges) {
    const std::string range = wire::range_key(id, number);
    // Those beyond one transaction are removed by a later one.
    const bool remove =
        static_cast<int>(t.writes.size()) < settings_.txn_ops && !job.unwritten.contains(number);
    if (guard_all || remove) t.guards.push_back(store_.guard(range));
    if (remove) t.writes.push_back({range, std::nullopt, std::nullopt});
  }
  finishing_.insert(id);
  t.done = [this, id](Ms at, Committed result, const auto&) {
    if (result == Committed::yes) {
      finishing_.erase(id);
      check_finish_.insert(id);
      return;
    }
    store_.settle(at, [this, id](Ms) {
      finishing_.erase(id);
      check_finish_.insert(id);
    });
  };
  store_.submit(std::move(t));
}

}  // namespace puffinhaven::core
