// Reads every record from the state service.
#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "base/types.h"
#include "state/replica_feed.h"
#include "state/state_connection.h"
#include "state/state_log.h"

namespace scheduler {

// Reads all records page by page, at the start and whenever the watch has fallen too far behind.
// Final states are not loaded, since their number grows without limit; they are read one at a time
// when needed.
class StateLoader {
 public:
  // `on_pages_read` is called when every page has been read, so that the watch may be opened.
  StateLoader(StateConnection& connection, ReplicaFeed& feed, const StateLog& log,
              std::function<void(Ms now)> on_pages_read)
      : connection_(connection), feed_(feed), log_(log), on_pages_read_(std::move(on_pages_read)) {}

  // Schedules a full read of all records, to begin at `now` or later.
  void restart(Ms now);
  // Begins the full read if it is due.
  void tick(Ms now);
  // Checks whether the full read is complete; to be called when the watch has applied changes.
  void on_applied();

  // Whether all pages have been read, so that the watch may be open. The watch starts at the
  // revision of the first page.
  [[nodiscard]] bool pages_read() const {
    return phase_ == Phase::catching_up || phase_ == Phase::complete;
  }
  // Whether the watch has also passed the newest revision of the pages. Guards against replies and
  // decisions based on pages of different revisions: for example a job's record from before the
  // job's end without the range that was removed at its end.
  [[nodiscard]] bool complete() const { return phase_ == Phase::complete; }

 private:
  enum class Phase : std::uint8_t {
    not_started,
    reading,      // reading pages
    catching_up,  // all pages are read; the watch has not passed their newest revision yet
    complete
  };

  void begin(Ms now);
  void read_page(Ms now);
  void on_page(Ms now, const HttpResult& http_result);
  void finish(Ms now);

  StateConnection& connection_;
  ReplicaFeed& feed_;
  const StateLog& log_;
  std::function<void(Ms)> on_pages_read_;

  Phase phase_ = Phase::not_started;
  Ms begin_at_ = 0;               // start time of the full read, in Phase::not_started
  std::size_t prefix_index_ = 0;  // index of the key prefix that is being read
  std::string last_key_;          // last key read with that prefix
  std::uint64_t first_revision_ = 0;
  bool first_revision_known_ = false;
  std::uint64_t newest_revision_ = 0;  // newest revision of any page
  std::set<std::string> found_keys_;
};

}  // namespace scheduler
