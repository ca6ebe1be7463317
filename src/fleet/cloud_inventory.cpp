#include "fleet/cloud_inventory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace scheduler {

namespace {

// Share of the cloud's rate that reading its list may take, page after page: scale-out and scale-in
// need the rest.
constexpr double kListRateShare = 0.4;
// Times that a page of the list is asked for again before the list is begun anew, and milliseconds
// in between: the cloud refuses what is over its rate for less than that.
constexpr int kPageTries = 4;
constexpr std::int64_t kPageRetryMs = 700;

}  // namespace

CloudInventory::CloudInventory(const Context& context, std::function<void(Ms now)> complete)
    : context_(context), complete_(std::move(complete)) {}

void CloudInventory::tick(Ms now) {
  if (busy_ && page_at_ != 0 && now >= page_at_) {
    page_at_ = 0;
    read_page(now, pages_.empty() ? "" : pages_.back().id);
    return;
  }
  if (busy_ || now < next_at_) return;
  busy_ = true;
  pages_.clear();
  pages_read_ = 0;
  page_tries_ = 0;
  read_page(now, "");
}

void CloudInventory::clear() {
  machines_.clear();
  listed_at_ = 0;
  if (page_at_ == 0) return;
  // Between two tries of a page no answer is on its way: the list is begun anew.
  busy_ = false;
  page_at_ = 0;
}

void CloudInventory::on_pause(Ms now) {
  clear();
  ++generation_;
  next_at_ = now;
}

void CloudInventory::read_page(Ms /*now*/, const std::string& after) {
  context_.call(Target::cloud, "", "GET", wire::machine_list_path(after, kListPage), "",
                kCloudTimeoutMs,
                [this, generation = generation_](Ms now, const HttpResult& http_result) {
                  on_page(now, generation, http_result);
                });
}

void CloudInventory::on_page(Ms now, std::uint64_t generation, const HttpResult& http_result) {
  if (generation == generation_) {
    if (http_result.status == kNoReply) link_.unanswered(now);
    if (http_result.status == 503) link_.refused(now);
    if (http_result.status == 200) link_.answered(now);
  }
  auto page = http_result.status == 200 && generation == generation_
                  ? wire::parse_machine_list(http_result.body)
                  : wire::decode_error("status", "200 to the newest request");
  if (page) std::move(page->machines.begin(), page->machines.end(), std::back_inserter(pages_));
  const bool read = page && !page->unreadable;
  if (read) {
    ++pages_read_;
    page_tries_ = 0;
  }
  if (read && page->more && !pages_.empty()) {
    read_page(now, pages_.back().id);
    return;
  }
  // Guards against a list of many pages that is never complete, because one of them is refused each
  // time: the cloud is at its rate, or lost one answer.
  if (!read && generation == generation_ && ++page_tries_ < kPageTries) {
    page_at_ = now + kPageRetryMs;
    return;
  }
  busy_ = false;
  next_at_ = next_list_at(now);
  if (read) finish(now);
}

Ms CloudInventory::next_list_at(Ms now) const {
  const double rate = std::max(context_.settings.cloud_rps * kListRateShare, 0.1);
  const auto paid = static_cast<Ms>(1000.0 * static_cast<double>(pages_read_) / rate);
  return now + std::max(kListEveryMs, paid);
}

void CloudInventory::finish(Ms now) {
  machines_.clear();
  for (auto& machine : pages_) machines_[machine.id] = std::move(machine);
  pages_.clear();
  listed_at_ = now;
  complete_(now);
}

}  // namespace scheduler
