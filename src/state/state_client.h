// The state service as the core sees it: one watch feeding a replica, grouped guarded writes,
// shared barrier reads, and a hold.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types.h"
#include "links/request_link.h"
#include "wire/records.h"
#include "wire/state_service.h"

namespace scheduler {

// Milliseconds before a refused write is tried again.
constexpr std::int64_t kRefusedRetryMs = 250;
// Milliseconds between probes while the service does not answer.
constexpr std::int64_t kStateProbeMs = 400;
// Milliseconds before a change that the service has refused for its size is tried again: it can
// only succeed once something has shrunk.
constexpr std::int64_t kRejectedPauseMs = 5000;

enum class TxnResult : std::uint8_t {
  committed,
  conflict,  // a condition failed; nothing was written
  refused,   // not executed
  rejected,  // over the service's limits: never executed as it is
  unknown    // no answer: executed, or still to be executed, or lost
};

struct Transaction {
  std::vector<wire::Compare> conditions;
  std::vector<wire::Write> writes;
  std::function<void(Ms now, TxnResult, const std::vector<std::string>& failed)> done;
  bool urgent = false;     // users wait for it
  Ms deadline = 0;         // 0: never; afterwards it is refused instead of sent
  bool exclusive = false;  // not sent together with others, one of which the service has rejected
};

class StateClient {
 public:
  using Send = std::function<void(Target, std::string address, std::string method, std::string path,
                                  std::string body, Ms timeout, ResultHandler)>;
  using Apply = std::function<void(Ms now, const wire::StoredItem&)>;
  using Log = std::function<void(LogLevel, std::string)>;

  StateClient(const Settings& settings, Send send, Apply apply, Log log);

  void start(Ms now);
  // Nobody looked at the time or at answers for a while. What was asked before says nothing about
  // now: the service counts as not answering until something asked from here on is answered.
  void on_pause(Ms now);
  void tick(Ms now);
  // When tick() should be called next at the latest.
  Ms next_tick(Ms now) const;
  // True once every record has been read and the watch has passed all that was read: before that,
  // the replica is a mixture of the moments at which its pages were read.
  bool loaded() const { return load_phase_ == LoadPhase::complete; }
  // True while the service answers.
  bool answering(Ms now) const { return link_.answering(now); }
  const links::RequestLink& link() const { return link_; }
  bool lease_valid() const { return lease_id_ != 0; }
  std::uint64_t lease_id() const { return lease_id_; }
  std::uint64_t version(const std::string& key) const;
  wire::Compare unchanged(const std::string& key) const { return {key, version(key)}; }

  void submit(Transaction transaction);
  // Calls back once the replica holds everything written before this call, or with false.
  void barrier_read(Ms now, Ms deadline, std::function<void(Ms now, bool ok)> done);
  // After a write that did not succeed: calls back once the replica holds whatever was written
  // instead, however long that takes.
  void wait_until_settled(Ms now, std::function<void(Ms now)> done);
  // Calls back once the replica holds every change up to the revision; or, at `give_up`, with
  // false.
  void wait_for_revision(Ms now, std::uint64_t revision, Ms deadline,
                         std::function<void(Ms now, bool ok)> done);
  // The same for the newest change that any answer has named, our own last write among them.
  void wait_until_current(Ms now, Ms deadline, std::function<void(Ms now, bool ok)> done) {
    wait_for_revision(now, newest_known_revision_, deadline, std::move(done));
  }
  void read(Ms now, const std::string& key, ResultHandler done);
  std::size_t queued() const { return queue_.size(); }
  // Revision up to which the replica holds every change. Beyond it, it holds only what this
  // controller has written itself.
  std::uint64_t applied_revision() const { return applied_revision_; }
  // The replica holds every change up to the newest of this key.
  bool has_applied(const std::string& key) const { return version(key) <= applied_revision_; }
  // Answers that a transaction was over the limit on sizes, or on the rate of changes.
  std::uint64_t rejections() const { return rejections_; }
  std::uint64_t throttles() const { return throttles_; }
  // Nothing waits and enough of the write rate is left: what can wait may be written now.
  bool has_write_headroom(Ms now) const;
  // Live controllers share the rates.
  void set_rate_sharers(int controllers) { rate_sharers_ = controllers < 1 ? 1 : controllers; }

 private:
  struct Barrier {
    Ms deadline;
    std::function<void(Ms, bool)> done;
  };
  struct RevisionWait {
    std::uint64_t revision;
    Barrier barrier;
  };

  void begin_load(Ms now);
  void load_next(Ms now);
  void on_pages_read(Ms now);
  void complete_load();
  // The watch may be open: it starts where the first page was read.
  bool watch_allowed() const {
    return load_phase_ == LoadPhase::catching_up || load_phase_ == LoadPhase::complete;
  }
  void open_watch(Ms now);
  void on_watch(Ms now, std::uint64_t generation, std::uint64_t pauses,
                const HttpResult& http_result);
  void flush(Ms now);
  void send_group(Ms now, std::vector<Transaction> group);
  void on_group(Ms now, std::vector<Transaction> group, const HttpResult& http_result);
  void on_committed(Ms now, std::vector<Transaction> group, std::uint64_t revision);
  void on_conflict(Ms now, std::vector<Transaction> group, const std::vector<std::string>& failed);
  void on_throttled(std::vector<Transaction> group);
  void on_bad_request(Ms now, std::vector<Transaction> group, const std::string& reason);
  void requeue(std::vector<Transaction> group);
  void reject(Ms now, Transaction transaction);
  void release_rejected(Ms now);
  void send_barrier(Ms now);
  void release_barriers(Ms now);
  void renew_lease(Ms now);
  void note(Ms now, const HttpResult& http_result, bool current);
  void apply(Ms now, const wire::StoredItem& item);
  // What the state service said, at which revision, and how long it took from `sent` on.
  void log_write(Ms now, Ms sent, const std::vector<wire::Write>& writes,
                 const HttpResult& http_result);
  void log_conflict(const std::vector<std::string>& failed);
  void log_read(Ms now, Ms sent, std::string_view kind, std::uint64_t revision, std::size_t count);
  void call(Ms sent, std::string method, std::string path, std::string body, ResultHandler done);
  double share(double rate) const { return rate / rate_sharers_; }

  const Settings& settings_;
  Send send_;
  Apply apply_;
  Log log_;
  int rate_sharers_;

  std::unordered_map<std::string, std::uint64_t> versions_;
  std::unordered_map<std::string, std::uint64_t> removed_;  // key -> revision, until watched past

  // Reading every record, at the start and whenever the watch has fallen too far behind.
  enum class LoadPhase : std::uint8_t {
    none,         // to be begun
    reading,      // page after page
    catching_up,  // all pages are read; the watch has not passed the newest of them
    complete
  };
  LoadPhase load_phase_ = LoadPhase::none;
  std::size_t load_prefix_ = 0;
  std::string load_after_;
  std::uint64_t load_revision_ = 0;  // of the first page read
  std::uint64_t load_newest_ = 0;    // of all pages
  bool load_revision_known_ = false;
  std::set<std::string> load_seen_;
  Ms load_retry_at_ = 0;

  std::uint64_t applied_revision_ = 0;
  std::uint64_t watch_generation_ = 0;
  bool watching_ = false;
  std::uint64_t newest_known_revision_ = 0;  // newest that any answer has named
  Ms behind_since_ = 0;
  void note_revision(Ms now, std::uint64_t revision);
  Ms watch_opened_ = 0, watch_at_ = 0;

  std::deque<Transaction> queue_;
  int in_flight_ = 0;
  Ms next_transaction_ = 0, paused_until_ = 0;
  double write_tokens_ = 0;
  Ms write_refilled_ = 0;

  struct Rejected {
    Ms release_at;
    Transaction transaction;
  };
  std::vector<Rejected> rejected_;  // whoever asked is told after a pause
  std::uint64_t rejections_ = 0, throttles_ = 0;

  std::vector<Barrier> queued_barriers_;      // to be read
  std::vector<RevisionWait> revision_waits_;  // read, waiting for the watch
  bool barrier_in_flight_ = false;
  Ms next_barrier_ = 0;

  std::uint64_t lease_id_ = 0;
  bool lease_in_flight_ = false;
  Ms lease_due_ = 0;

  std::uint64_t pauses_ = 0;
  links::RequestLink link_;
};

}  // namespace scheduler
