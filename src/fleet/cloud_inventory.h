// The cloud's list of machines, read page by page again and again.
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

// Milliseconds between machine lists.
constexpr std::int64_t kListEveryMs = 2000;
// Milliseconds until a cloud request counts as unanswered.
constexpr std::int64_t kCloudTimeoutMs = 8000;
// Names in one request to return machines, and machines in one page of the list (PROTOCOL).
constexpr std::size_t kMachinesPerScaleIn = 100;
constexpr std::uint32_t kListPage = 500;

// The list lags behind, and one may be older than the one before (PROTOCOL): what it lacks may
// exist, and what it names may be gone.
class CloudInventory {
 public:
  // `complete` is called after each whole list.
  CloudInventory(const Context& context, std::function<void(Ms now)> complete);

  void tick(Ms now);
  // Forgets the list: this controller isn't the fleet leader, or can't write.
  void clear();
  // This process was paused: a list that was asked for before is as old as that, on top of its own
  // lag, and is asked for anew.
  void on_pause(Ms now);
  // Whether a whole list has come since it was last forgotten.
  [[nodiscard]] bool known() const { return listed_at_ != 0; }
  [[nodiscard]] const links::RequestLink& link() const { return link_; }
  [[nodiscard]] bool contains(const std::string& id) const { return machines_.contains(id); }
  [[nodiscard]] const std::map<std::string, wire::CloudMachine>& machines() const {
    return machines_;
  }

 private:
  void read_page(Ms now, const std::string& after);
  void on_page(Ms now, std::uint64_t generation, const HttpResult& http_result);
  void finish(Ms now);
  // When the list may be read again, so that its pages take their share of the cloud's rate only.
  [[nodiscard]] Ms next_list_at(Ms now) const;

  const Context& context_;
  std::function<void(Ms)> complete_;
  bool busy_ = false;
  Ms next_at_ = 0;
  Ms page_at_ = 0;      // when to ask for a refused page again; 0: none was refused
  int page_tries_ = 0;  // of the page that is being read
  std::size_t pages_read_ = 0;
  std::uint64_t generation_ = 0;  // of what was asked for; counts the pauses
  std::vector<wire::CloudMachine> pages_;
  std::map<std::string, wire::CloudMachine> machines_;
  Ms listed_at_ = 0;
  links::RequestLink link_;  // to the cloud
};

}  // namespace scheduler
