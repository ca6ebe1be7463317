#include "fleet/cloud_inventory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace scheduler {

namespace {

// Share of the cloud's request rate for reading the machine list; scale-out and scale-in need the
// rest.
constexpr double kListRateShare = 0.4;
// Tries for a page before the list is read from the beginning, and milliseconds between two tries.
// The cloud refuses requests over its rate limit for less than this delay.
constexpr int kMaxPageTries = 4;
constexpr std::int64_t kPageRetryDelayMs = 700;

}  // namespace

CloudInventory::CloudInventory(const Context& context, std::function<void(Ms now)> on_complete)
    : context_(context), on_complete_(std::move(on_complete)) {}

void CloudInventory::tick(Ms now) {
  if (reading_ && page_retry_at_ != 0 && now >= page_retry_at_) {
    page_retry_at_ = 0;
    read_page(now, machines_read_.empty() ? "" : machines_read_.back().id);
    return;
  }
  if (reading_ || now < next_read_at_) return;
  reading_ = true;
  machines_read_.clear();
  pages_read_ = 0;
  page_tries_ = 0;
  read_page(now, "");
}

void CloudInventory::clear() {
  machines_.clear();
  completed_at_ = 0;
  if (page_retry_at_ == 0) return;
  // While a retry of a page is due, no request is in flight. Reading restarts with the first page.
  reading_ = false;
  page_retry_at_ = 0;
}

void CloudInventory::on_pause(Ms now) {
  clear();
  ++generation_;
  next_read_at_ = now;
}

void CloudInventory::read_page(Ms /*now*/, const std::string& after) {
  context_.send_request(Target::cloud, "", "GET",
                        wire::machine_list_path(after, kMaxMachinesPerPage), "", kCloudTimeoutMs,
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
  if (page)
    std::move(page->machines.begin(), page->machines.end(), std::back_inserter(machines_read_));
  const bool readable = page && !page->unreadable;
  if (readable) {
    ++pages_read_;
    page_tries_ = 0;
  }
  if (readable && page->more && !machines_read_.empty()) {
    read_page(now, machines_read_.back().id);
    return;
  }
  // Retries only the failed page, which the cloud refused because of its rate limit or whose reply
  // was lost. Otherwise a list of many pages might never be complete, since one page fails each
  // time.
  if (!readable && generation == generation_ && ++page_tries_ < kMaxPageTries) {
    page_retry_at_ = now + kPageRetryDelayMs;
    return;
  }
  reading_ = false;
  next_read_at_ = next_read_time(now);
  if (readable) finish(now);
}

Ms CloudInventory::next_read_time(Ms now) const {
  const double rate = std::max(context_.settings.cloud_rps * kListRateShare, 0.1);
  const auto min_interval = static_cast<Ms>(1000.0 * static_cast<double>(pages_read_) / rate);
  return now + std::max(kListIntervalMs, min_interval);
}

void CloudInventory::finish(Ms now) {
  machines_.clear();
  for (auto& machine : machines_read_) machines_[machine.id] = std::move(machine);
  machines_read_.clear();
  completed_at_ = now;
  on_complete_(now);
}

}  // namespace scheduler
