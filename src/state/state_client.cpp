#include "state/state_client.h"

#include <algorithm>
#include <iterator>
#include <memory>

#include "base/log_event.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Life of a controller's hold, milliseconds. Longer than a restart (about 3 s) so that a crash
// alone moves no machines, shorter than any worker lease.
constexpr std::int64_t kSessionLeaseMs = 5000;
// Milliseconds between extensions of the hold: three may fail before it ends.
constexpr std::int64_t kLeaseRenewalMs = 1200;
// Milliseconds until an unanswered request counts as such; answers take 10 ms, rarely hundreds.
constexpr std::int64_t kStateTimeoutMs = 2000;
// Milliseconds that a watch is left open by the service.
constexpr std::int64_t kWatchMs = 10000;
// Milliseconds beyond that after which a watch counts as lost.
constexpr std::int64_t kWatchGraceMs = 2500;
// Milliseconds for which the watch may be behind what other answers name before it is reopened;
// it usually takes a few tens.
constexpr std::int64_t kWatchBehindMs = 800;
// Share of the service's request rate that all controllers together plan to use.
constexpr double kRateShare = 0.85;
// Of that, the shares for reopening watches and for barrier reads; transactions get the rest.
constexpr double kWatchRateShare = 0.30;
constexpr double kBarrierRateShare = 0.25;
// Transactions under way at once: one slow answer must not hold up everything.
constexpr int kTransactionsInFlight = 3;
// Share of a second's writes that is kept for what users wait for.
constexpr double kUrgentShare = 0.25;
// Milliseconds between looks at the time while nothing waits, and while something does. Waking up
// costs more processor time than what is done then.
constexpr std::int64_t kIdleLookMs = 100;
constexpr std::int64_t kBusyLookMs = 20;
// Share of a second's writes that must be left for what can wait to be written.
constexpr double kWriteHeadroomShare = 0.5;
// Milliseconds to wait after a 429.
constexpr std::int64_t kThrottledPauseMs = 250;
// Items per page when reading prefixes (limit 1,000 and 512 KiB).
constexpr std::uint32_t kPageItems = 250;

}  // namespace

namespace {
// Read at the start, in this order; final states stay out of recovery's way.
const std::string_view kLoadedPrefixes[] = {
    wire::kViewKey,        wire::kFormatKey,   wire::kCatalogKey,      wire::kLivePrefix,
    wire::kFleetPrefix,    wire::kShardPrefix, wire::kJobPrefixKey,    wire::kRangePrefix,
    wire::kScaleOutPrefix, wire::kQuotaPrefix, wire::kShardGuardPrefix};
// Never written: asking for it tells the current revision.
constexpr std::string_view kBarrierKey = "barrier";
}  // namespace

StateClient::StateClient(const Settings& settings, Send send, Apply apply, Log log)
    : settings_(settings),
      send_(std::move(send)),
      apply_(std::move(apply)),
      log_(std::move(log)),
      rate_sharers_(std::max(1, settings.controllers)) {}

void StateClient::start(Ms now) {
  write_refilled_ = now;
  write_tokens_ = share(settings_.state_write_rps) / 2;
  load_retry_at_ = now;
  tick(now);
}

std::uint64_t StateClient::version(const std::string& key) const {
  auto it = versions_.find(key);
  return it == versions_.end() ? 0 : it->second;
}

void StateClient::call(Ms sent, std::string method, std::string path, std::string body,
                       ResultHandler done) {
  send_(Target::state, "", std::move(method), std::move(path), std::move(body), kStateTimeoutMs,
        [this, sent, pauses = pauses_, done = std::move(done)](Ms now,
                                                               const HttpResult& http_result) {
          // Guards against taking single answers that were lost for a service that is down: what
          // was asked later has been answered.
          const bool single = http_result.status == 0 && link_.last_answer() > sent;
          if (!single) note(now, http_result, pauses == pauses_);
          done(now, http_result);
        });
}

void StateClient::on_pause(Ms now) {
  ++pauses_;
  link_.on_pause(now, kStateProbeMs);
  lease_due_ = next_barrier_ = now;
  behind_since_ = now;
  std::vector<Barrier> old = std::exchange(queued_barriers_, {});
  for (auto& w : std::exchange(revision_waits_, {})) old.push_back(std::move(w.barrier));
  for (auto& b : old) b.done(now, false);
}

void StateClient::note(Ms now, const HttpResult& http_result, bool current) {
  if (!current && http_result.status != 429) return;
  if (http_result.status == kNoReply) {
    link_.unanswered(now);
  } else if (http_result.status == 503) {
    link_.refused(now);
  } else if (http_result.status == 429) {
    paused_until_ = std::max(paused_until_, now + kThrottledPauseMs);
  } else {
    link_.answered(now);
  }
}

void StateClient::tick(Ms now) {
  if (load_phase_ == LoadPhase::none && now >= load_retry_at_) begin_load(now);
  if (watch_allowed()) {
    // Guards against a watch whose answer was lost: other answers name revisions that it should
    // have brought long ago. Whatever it still answers is ignored.
    const bool behind =
        newest_known_revision_ > applied_revision_ && now - behind_since_ > kWatchBehindMs;
    if (watching_ && (behind || now - watch_opened_ > kWatchMs + kWatchGraceMs)) {
      ++watch_generation_;
      watching_ = false;
      behind_since_ = now;
    }
    if (!watching_ && now >= watch_at_) open_watch(now);
    renew_lease(now);
    // While nothing else is asked, a barrier read tells whether the service answers.
    const Ms quiet = now - link_.last_word();
    const bool probe = answering(now) ? quiet > kLeaseRenewalMs : quiet > kStateProbeMs;
    if ((probe || !queued_barriers_.empty()) && !barrier_in_flight_ && now >= next_barrier_)
      send_barrier(now);
  }
  std::vector<Barrier> late;
  auto expire = [&](auto& list, auto&& of) {
    for (std::size_t i = 0; i < list.size();) {
      if (of(list[i]).deadline && now >= of(list[i]).deadline) {
        late.push_back(std::move(of(list[i])));
        list.erase(list.begin() + static_cast<std::ptrdiff_t>(i));
      } else {
        ++i;
      }
    }
  };
  expire(queued_barriers_, [](Barrier& b) -> Barrier& { return b; });
  expire(revision_waits_, [](RevisionWait& w) -> Barrier& { return w.barrier; });
  for (auto& b : late) b.done(now, false);
  release_rejected(now);
  flush(now);
}

// ---- reading everything ----

void StateClient::begin_load(Ms now) {
  load_phase_ = LoadPhase::reading;
  load_prefix_ = 0;
  load_after_.clear();
  load_revision_known_ = false;
  load_newest_ = 0;
  load_seen_.clear();
  load_next(now);
}

void StateClient::load_next(Ms now) {
  const std::string prefix(kLoadedPrefixes[load_prefix_]);
  call(now, "GET", wire::page_path(prefix, load_after_, kPageItems), "",
       [this](Ms at, const HttpResult& http_result) {
         if (load_phase_ != LoadPhase::reading) return;
         const auto page = wire::parse_page(http_result.body);
         if (http_result.status != 200 || !page) {
           load_phase_ = LoadPhase::none;
           load_retry_at_ = at + kStateProbeMs;
           return;
         }
         // Guards against watching from a later page's revision: the first one may well be 0.
         if (!load_revision_known_) load_revision_ = page->revision;
         load_revision_known_ = true;
         load_newest_ = std::max(load_newest_, page->revision);
         for (const auto& item : page->items) {
           load_seen_.insert(item.key);
           load_after_ = item.key;
           apply(at, item);
         }
         if (!page->more) {
           load_after_.clear();
           ++load_prefix_;
         }
         if (load_prefix_ < std::size(kLoadedPrefixes)) {
           load_next(at);
           return;
         }
         on_pages_read(at);
       });
}

void StateClient::on_pages_read(Ms now) {
  // What an earlier reading knew and this one did not find was removed in between.
  std::vector<std::string> vanished;
  for (const auto& [key, version] : versions_) {
    if (version <= load_revision_ && !load_seen_.contains(key) &&
        !key.starts_with(wire::kFinalStatePrefix))
      vanished.push_back(key);
  }
  for (auto& key : vanished) apply(now, {std::move(key), std::nullopt, load_revision_ + 1});
  load_seen_.clear();
  applied_revision_ = load_revision_;
  load_phase_ = LoadPhase::catching_up;
  log_(LogLevel::info, "state read up to revision " + std::to_string(applied_revision_));
  complete_load();
  tick(now);
}

// Guards against answers and decisions from pages that were read at different revisions: a job's
// record from before its end, say, without the range that was removed with it.
void StateClient::complete_load() {
  if (load_phase_ == LoadPhase::catching_up && applied_revision_ >= load_newest_)
    load_phase_ = LoadPhase::complete;
}

void StateClient::apply(Ms now, const wire::StoredItem& item) {
  if (auto it = removed_.find(item.key); it != removed_.end()) {
    if (item.version <= it->second) return;
    if (item.value) removed_.erase(it);
  }
  auto known = versions_.find(item.key);
  if (known != versions_.end() && item.version <= known->second) return;
  if (item.value) {
    versions_[item.key] = item.version;
  } else {
    versions_.erase(item.key);
    // Older events of this key may still come from the watch; they must not bring it back.
    removed_[item.key] = item.version;
  }
  apply_(now, item);
}

// ---- watch ----

void StateClient::open_watch(Ms now) {
  watching_ = true;
  watch_opened_ = now;
  const std::uint64_t generation = ++watch_generation_;
  send_(Target::state, "", "GET", wire::watch_path(applied_revision_, kWatchMs), "",
        kWatchMs + kWatchGraceMs,
        [this, generation, pauses = pauses_](Ms at, const HttpResult& http_result) {
          on_watch(at, generation, pauses, http_result);
        });
}

void StateClient::on_watch(Ms now, std::uint64_t generation, std::uint64_t pauses,
                           const HttpResult& http_result) {
  if (generation != watch_generation_) return;
  watching_ = false;
  const double rate = share(settings_.state_rps) * kRateShare * kWatchRateShare;
  watch_at_ = std::max(now, watch_opened_ + static_cast<Ms>(1000.0 / std::max(rate, 0.1)));
  // Guards against asking for ever for an answer that is longer each time, after a long cut.
  if (http_result.status == 410 || http_result.status == kReplyTooLarge) {
    log_(LogLevel::info, "watch fell behind; reading the state again");
    load_phase_ = LoadPhase::none;
    load_retry_at_ = now;
    return;
  }
  const auto events = wire::parse_events(http_result.body);
  if (http_result.status != 200 || !events) {
    watch_at_ = now + kStateProbeMs;
    return;
  }
  if (pauses == pauses_) link_.answered(now);
  for (const auto& e : events->items) apply(now, e);
  applied_revision_ = std::max(applied_revision_, events->revision);
  log_read(now, watch_opened_, "watch", events->revision, events->items.size());
  std::erase_if(removed_, [this](const auto& r) { return r.second <= applied_revision_; });
  complete_load();
  release_barriers(now);
  if (now >= watch_at_) open_watch(now);
}

void StateClient::log_read(Ms now, Ms sent, std::string_view kind, std::uint64_t revision,
                           std::size_t count) {
  if (!settings_.log_debug) return;
  LogEvent event(kind);
  event.field("revision", revision).field("watched", applied_revision_);
  event.field("count", count).field("took_ms", now - sent);
  log_(LogLevel::debug, event.text());
}

void StateClient::note_revision(Ms now, std::uint64_t revision) {
  if (newest_known_revision_ <= applied_revision_) behind_since_ = now;
  newest_known_revision_ = std::max(newest_known_revision_, revision);
}

// ---- barriers ----

void StateClient::barrier_read(Ms now, Ms deadline, std::function<void(Ms, bool)> done) {
  queued_barriers_.push_back({deadline, std::move(done)});
  if (watch_allowed() && !barrier_in_flight_ && now >= next_barrier_) send_barrier(now);
}

void StateClient::wait_until_settled(Ms now, std::function<void(Ms)> done) {
  barrier_read(now, 0, [this, done = std::move(done)](Ms at, bool passed) {
    if (passed) {
      done(at);
      return;
    }
    wait_until_settled(at, done);
  });
}

void StateClient::wait_for_revision(Ms now, std::uint64_t revision, Ms deadline,
                                    std::function<void(Ms, bool)> done) {
  revision_waits_.push_back({revision, {deadline, std::move(done)}});
  release_barriers(now);
}

void StateClient::send_barrier(Ms now) {
  barrier_in_flight_ = true;
  const double rate = share(settings_.state_rps) * kRateShare * kBarrierRateShare;
  next_barrier_ = now + static_cast<Ms>(1000.0 / std::max(rate, 0.1));
  auto batch = std::make_shared<std::vector<Barrier>>(std::move(queued_barriers_));
  queued_barriers_.clear();
  call(now, "GET", wire::item_path(kBarrierKey), "",
       [this, batch, sent = now, pauses = pauses_](Ms at, const HttpResult& http_result) {
         barrier_in_flight_ = false;
         const auto revision = wire::parse_revision(http_result.body);
         if (pauses == pauses_ && http_result.status == 404 && revision) {
           note_revision(at, *revision);
           log_read(at, sent, "barrier", *revision, batch->size());
           for (auto& b : *batch) revision_waits_.push_back({*revision, std::move(b)});
           release_barriers(at);
           return;
         }
         for (auto& b : *batch) b.done(at, false);
       });
}

void StateClient::release_barriers(Ms now) {
  if (!loaded()) return;
  std::vector<Barrier> ready;
  for (std::size_t i = 0; i < revision_waits_.size();) {
    if (revision_waits_[i].revision <= applied_revision_) {
      ready.push_back(std::move(revision_waits_[i].barrier));
      revision_waits_.erase(revision_waits_.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  for (auto& b : ready) b.done(now, true);
}

void StateClient::read(Ms now, const std::string& key, ResultHandler done) {
  call(now, "GET", wire::item_path(key), "", std::move(done));
}

// ---- hold ----

void StateClient::renew_lease(Ms now) {
  if (lease_in_flight_ || now < lease_due_) return;
  // Guards against a lease that is kept up by requests whose answers are lost: this controller
  // could neither write nor read, and nobody would take its place. A refusal is no reason: it comes
  // in an outage, after which every lease has its full time again.
  if (lease_id_ != 0 && link_.silent(now)) return;
  lease_in_flight_ = true;
  if (lease_id_ == 0) {
    call(now, "POST", wire::kLeasesPath, wire::lease_body(kSessionLeaseMs),
         [this](Ms at, const HttpResult& http_result) {
           lease_in_flight_ = false;
           lease_due_ = at + kStateProbeMs;
           const auto lease_id = wire::parse_lease_id(http_result.body);
           if (http_result.status == 200 && lease_id) {
             lease_id_ = *lease_id;
             lease_due_ = at + kLeaseRenewalMs;
           }
         });
    return;
  }
  call(now, "POST", wire::renew_lease_path(lease_id_), "{}",
       [this](Ms at, const HttpResult& http_result) {
         lease_in_flight_ = false;
         lease_due_ = at + (http_result.status == 200 ? kLeaseRenewalMs : kStateProbeMs);
         if (http_result.status == 404) {
           log_(LogLevel::info, "our hold has ended");
           lease_id_ = 0;
           lease_due_ = at;
         }
       });
}

// ---- transactions ----

void StateClient::submit(Transaction transaction) {
  if (transaction.urgent) {
    auto at = std::find_if(queue_.begin(), queue_.end(), [](const auto& t) { return !t.urgent; });
    queue_.insert(at, std::move(transaction));
  } else {
    queue_.push_back(std::move(transaction));
  }
}

bool StateClient::has_write_headroom(Ms now) const {
  const double rate = share(settings_.state_write_rps);
  const double tokens = write_tokens_ + rate * static_cast<double>(now - write_refilled_) / 1000.0;
  return queue_.empty() && in_flight_ < kTransactionsInFlight &&
         tokens >= rate * kWriteHeadroomShare;
}

Ms StateClient::next_tick(Ms now) const {
  Ms at = now + kIdleLookMs;
  if (!queue_.empty() && in_flight_ < kTransactionsInFlight)
    at = std::min(at, std::max({next_transaction_, paused_until_, now + kBusyLookMs}));
  if (!queued_barriers_.empty() && !barrier_in_flight_)
    at = std::min(at, std::max(next_barrier_, now));
  if (watch_allowed() && !watching_) at = std::min(at, std::max(watch_at_, now));
  return at;
}

void StateClient::flush(Ms now) {
  if (queue_.empty()) return;
  // Refuse at once what cannot be sent; whoever asked decides whether to come back.
  const bool down = link_.status(now) == links::Status::down;
  std::vector<Transaction> refused;
  for (std::size_t i = 0; i < queue_.size();) {
    if (down || (queue_[i].deadline && now >= queue_[i].deadline)) {
      refused.push_back(std::move(queue_[i]));
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
    } else {
      ++i;
    }
  }
  for (auto& t : refused) t.done(now, TxnResult::refused, {});
  if (down || !loaded() || now < paused_until_) return;

  const double rate = share(settings_.state_write_rps);
  write_tokens_ =
      std::min(rate, write_tokens_ + rate * static_cast<double>(now - write_refilled_) / 1000.0);
  write_refilled_ = now;
  const double request_rate =
      share(settings_.state_rps) * kRateShare * (1.0 - kWatchRateShare - kBarrierRateShare);
  std::vector<Transaction> oversize;
  const auto most = static_cast<std::size_t>(std::max(1, settings_.txn_ops));
  while (!queue_.empty() && in_flight_ < kTransactionsInFlight && now >= next_transaction_) {
    std::vector<Transaction> group;
    std::set<std::string> written, compared;
    std::size_t writes = 0, bytes = 0;
    for (std::size_t i = 0; i < queue_.size();) {
      Transaction& t = queue_[i];
      std::size_t size = 0, conditions = 0;
      bool clash = false;
      for (const auto& g : t.conditions) {
        clash = clash || written.contains(g.key);
        // Conditions that several share, the view above all, are sent once.
        if (compared.contains(g.key)) continue;
        ++conditions;
        size += g.key.size() + 40;
      }
      for (const auto& x : t.writes) {
        size += x.key.size() + 60 + (x.value ? x.value->size() : 0);
        clash = clash || written.contains(x.key);
      }
      if (!group.empty() && (t.exclusive || group.front().exclusive)) break;
      const bool allowed = writes + t.writes.size() <= most &&
                           compared.size() + conditions <= most * wire::kConditionsPerWrite &&
                           bytes + size <= wire::kTransactionBytes;
      if (!allowed && group.empty()) {
        // Guards against one that can never be sent holding up all behind it.
        log_(LogLevel::error,
             "a transaction over the service's limits: " + std::to_string(t.writes.size()) +
                 " writes, " + std::to_string(conditions) + " conditions, " + std::to_string(size) +
                 " bytes");
        oversize.push_back(std::move(t));
        queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
        continue;
      }
      // What users wait for finds something left of the rate.
      const double left = write_tokens_ - (t.urgent ? 0.0 : rate * kUrgentShare);
      const bool paid = left >= static_cast<double>(writes + t.writes.size()) ||
                        (group.empty() && write_tokens_ >= rate - 1);
      if (!allowed || !paid) break;
      if (clash) {
        ++i;
        continue;
      }
      for (const auto& x : t.writes) written.insert(x.key);
      for (const auto& g : t.conditions) compared.insert(g.key);
      writes += t.writes.size();
      bytes += size;
      group.push_back(std::move(t));
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    if (group.empty()) break;
    write_tokens_ -= static_cast<double>(writes);
    next_transaction_ = now + static_cast<Ms>(1000.0 / std::max(request_rate, 0.1));
    send_group(now, std::move(group));
  }
  for (auto& t : oversize) reject(now, std::move(t));
}

void StateClient::send_group(Ms now, std::vector<Transaction> group) {
  ++in_flight_;
  std::vector<wire::Compare> conditions;
  std::vector<wire::Write> writes;
  std::set<std::string> compared;
  for (const auto& t : group) {
    for (const auto& g : t.conditions) {
      // The same key with another version would make the whole group fail; keep both, so that it
      // does and the members are told apart by the conflict.
      if (compared.insert(g.key + "#" + std::to_string(g.version)).second) conditions.push_back(g);
    }
    writes.insert(writes.end(), t.writes.begin(), t.writes.end());
  }
  auto shared = std::make_shared<std::vector<Transaction>>(std::move(group));
  call(now, "POST", wire::kTransactionPath, wire::transaction_body(conditions, writes),
       [this, shared, sent = now](Ms at, const HttpResult& http_result) {
         --in_flight_;
         log_write(at, sent, shared->front().writes, http_result);
         on_group(at, std::move(*shared), http_result);
       });
}

void StateClient::log_write(Ms now, Ms sent, const std::vector<wire::Write>& writes,
                            const HttpResult& http_result) {
  if (!settings_.log_debug) return;
  const std::uint64_t revision =
      http_result.status == 200 ? wire::parse_revision(http_result.body).value_or(0) : 0;
  LogEvent event("transaction");
  event.field("status", http_result.status).field("revision", revision);
  event.field("watched", applied_revision_)
      .field("first", writes.empty() ? "-" : writes.front().key);
  event.field("took_ms", now - sent);
  log_(LogLevel::debug, event.text());
}

void StateClient::log_conflict(const std::vector<std::string>& failed) {
  if (!settings_.log_debug) return;
  for (const auto& key : failed) {
    LogEvent event("conflict");
    event.field("key", key).field("version", version(key)).field("watched", applied_revision_);
    log_(LogLevel::debug, event.text());
  }
}

void StateClient::on_group(Ms now, std::vector<Transaction> group, const HttpResult& http_result) {
  const auto revision = wire::parse_revision(http_result.body);
  const auto conflict = wire::parse_conflict(http_result.body);
  if (http_result.status == 200 && revision) {
    on_committed(now, std::move(group), *revision);
  } else if (http_result.status == 409 && conflict) {
    on_conflict(now, std::move(group), conflict->failed_keys);
  } else if (http_result.status == 429) {
    on_throttled(std::move(group));
  } else if (http_result.status == 400) {
    on_bad_request(now, std::move(group), http_result.body);
  } else {
    const TxnResult result = http_result.status == 503 ? TxnResult::refused : TxnResult::unknown;
    for (auto& t : group) t.done(now, result, {});
  }
}

void StateClient::on_committed(Ms now, std::vector<Transaction> group, std::uint64_t revision) {
  note_revision(now, revision);
  // Guards against bringing back what the watch has meanwhile seen removed: an answer that comes
  // after the watch has passed its revision tells nothing new.
  if (revision > applied_revision_) {
    for (const auto& t : group) {
      for (const auto& w : t.writes) {
        // The view comes by the watch alone, after everything written before it. Guards against
        // acting as an owner on records from before the view that made us one.
        if (w.key != wire::kViewKey) apply(now, {w.key, w.value, revision});
      }
    }
  }
  for (auto& t : group) t.done(now, TxnResult::committed, {});
  flush(now);
}

void StateClient::on_conflict(Ms now, std::vector<Transaction> group,
                              const std::vector<std::string>& failed) {
  log_conflict(failed);
  std::vector<Transaction> conflicted, innocent;
  for (auto& t : group) {
    const bool hit = std::any_of(t.conditions.begin(), t.conditions.end(), [&](const auto& g) {
      return std::find(failed.begin(), failed.end(), g.key) != failed.end();
    });
    (hit ? conflicted : innocent).push_back(std::move(t));
  }
  if (conflicted.empty()) conflicted.swap(innocent);
  requeue(std::move(innocent));
  for (auto& t : conflicted) t.done(now, TxnResult::conflict, failed);
  flush(now);
}

// The rate was exceeded, by us or by others that share it: nothing is left of this second's.
void StateClient::on_throttled(std::vector<Transaction> group) {
  ++throttles_;
  write_tokens_ = std::min(write_tokens_, 0.0);
  requeue(std::move(group));
}

void StateClient::on_bad_request(Ms now, std::vector<Transaction> group,
                                 const std::string& reason) {
  // A lease that has ended meanwhile is no fault: the next one carries the record.
  if (reason.find("no such lease") != std::string::npos) {
    log_(LogLevel::info, "the state service rejected a transaction: " + reason);
    lease_id_ = 0;
    lease_due_ = now;
    for (auto& t : group) t.done(now, TxnResult::refused, {});
    return;
  }
  ++rejections_;
  if (group.size() > 1) {
    // Guards against one that is too large making all that were sent with it fail.
    for (auto& t : group) t.exclusive = true;
    requeue(std::move(group));
    flush(now);
    return;
  }
  log_(LogLevel::error, "the state service rejected a transaction: " + reason);
  for (auto& t : group) reject(now, std::move(t));
}

void StateClient::requeue(std::vector<Transaction> group) {
  for (auto it = group.rbegin(); it != group.rend(); ++it) queue_.push_front(std::move(*it));
}

// Guards against asking for the same again at once and for ever: whoever asked hears of it after a
// pause, unless a user waits.
void StateClient::reject(Ms now, Transaction transaction) {
  if (transaction.deadline != 0) {
    transaction.done(now, TxnResult::rejected, {});
    return;
  }
  rejected_.push_back({now + kRejectedPauseMs, std::move(transaction)});
}

void StateClient::release_rejected(Ms now) {
  std::vector<Transaction> due;
  while (!rejected_.empty() && now >= rejected_.front().release_at) {
    due.push_back(std::move(rejected_.front().transaction));
    rejected_.erase(rejected_.begin());
  }
  for (auto& t : due) t.done(now, TxnResult::rejected, {});
}

}  // namespace scheduler
