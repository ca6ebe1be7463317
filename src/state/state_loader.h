// Reading every record from the state service.
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
// Final states are not read: they grow for ever, and are read one at a time.
class StateLoader {
 public:
  // `on_pages_read`: every page has been read, so the watch may be opened.
  StateLoader(StateConnection& connection, ReplicaFeed& feed, const StateLog& log,
              std::function<void(Ms now)> on_pages_read)
      : connection_(connection), feed_(feed), log_(log), on_pages_read_(std::move(on_pages_read)) {}

  // Everything is to be read (again), from `now` on.
  void restart(Ms now);
  // Begins the reading if it is due.
  void tick(Ms now);
  // The watch has brought more changes.
  void on_applied();

  // The watch may be open: it starts where the first page was read.
  [[nodiscard]] bool pages_read() const {
    return phase_ == Phase::catching_up || phase_ == Phase::complete;
  }
  // Guards against replies and decisions from pages that were read at different revisions: a job's
  // record from before its end, say, without the range that was removed with it.
  [[nodiscard]] bool complete() const { return phase_ == Phase::complete; }

 private:
  enum class Phase : std::uint8_t {
    none,         // to be begun
    reading,      // page after page
    catching_up,  // all pages are read; the watch has not passed the newest of them
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

  Phase phase_ = Phase::none;
  Ms due_ = 0;              // while none
  std::size_t prefix_ = 0;  // index of the prefix that is being read
  std::string after_;       // the last key read of it
  std::uint64_t first_revision_ = 0;
  bool first_revision_known_ = false;
  std::uint64_t newest_revision_ = 0;  // of all pages
  std::set<std::string> found_;
};

}  // namespace scheduler
