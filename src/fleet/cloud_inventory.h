// Reads the cloud's list of machines page by page, at regular intervals.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/types.h"
#include "links/request_link.h"
#include "membership/context.h"
#include "wire/messages.h"

namespace scheduler {

// Milliseconds between two reads of the whole machine list.
constexpr std::int64_t kListIntervalMs = 2000;
// Milliseconds until a cloud request counts as unanswered.
constexpr std::int64_t kCloudTimeoutMs = 8000;
// Most machines in one request to return machines, and in one page of the list (PROTOCOL).
constexpr std::size_t kMaxMachinesPerScaleIn = 100;
constexpr std::uint32_t kMaxMachinesPerPage = 500;

// The machine list of the cloud lags behind, and a list may be older than the previous one
// (PROTOCOL): a machine that is missing from the list may exist, and a listed machine may no longer
// exist.
class CloudInventory {
 public:
  // `on_complete` is called whenever all pages of a list have been read.
  CloudInventory(const Context& context, std::function<void(Ms now)> on_complete);

  void tick(Ms now);
  // Discards the list. Called while this controller isn't the fleet leader or can't write.
  void clear();
  // Called when this process was paused. A list that was requested before the pause is older by the
  // length of the pause, in addition to the usual lag, so it is discarded and requested again.
  void on_pause(Ms now);
  // Whether a whole list has been read since the last one was discarded.
  [[nodiscard]] bool has_list() const { return completed_at_ != 0; }
  [[nodiscard]] const links::RequestLink& link() const { return link_; }
  [[nodiscard]] bool contains(const std::string& id) const { return machines_.contains(id); }
  [[nodiscard]] const std::map<std::string, wire::CloudMachine>& machines() const {
    return machines_;
  }

 private:
  void read_page(Ms now, const std::string& after);
  void on_page(Ms now, std::uint64_t generation, const HttpResult& http_result);
  void finish(Ms now);
  // Earliest time for the next read of the list, such that reading pages uses no more than its
  // share of the cloud's request rate.
  [[nodiscard]] Ms next_read_time(Ms now) const;

  const Context& context_;
  std::function<void(Ms)> on_complete_;
  bool reading_ = false;
  Ms next_read_at_ = 0;
  Ms page_retry_at_ = 0;  // when to retry the failed page; 0: no retry is due
  int page_tries_ = 0;    // failed reads of the current page
  std::size_t pages_read_ = 0;
  // Number of pauses so far. Replies to requests from before the last pause are ignored.
  std::uint64_t generation_ = 0;
  std::vector<wire::CloudMachine> machines_read_;  // machines of the pages read so far
  std::map<std::string, wire::CloudMachine> machines_;
  Ms completed_at_ = 0;
  links::RequestLink link_;  // to the cloud
};

}  // namespace scheduler
