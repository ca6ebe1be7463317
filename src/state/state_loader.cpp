#include "state/state_loader.h"

#include <algorithm>
#include <iterator>

#include "wire/record_keys.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Key prefixes in the order in which they are read. Final states are left out so that they don't
// delay the recovery of a controller.
constexpr std::string_view kLoadedPrefixes[] = {
    wire::kViewKey,        wire::kFormatKey,   wire::kCatalogKey,      wire::kLivePrefix,
    wire::kFleetPrefix,    wire::kShardPrefix, wire::kJobPrefix,       wire::kRangePrefix,
    wire::kScaleOutPrefix, wire::kQuotaPrefix, wire::kShardGuardPrefix};
// Items per page; the service allows 1,000 items and 512 KiB (PROTOCOL).
constexpr std::uint32_t kPageItems = 250;

}  // namespace

void StateLoader::restart(Ms now) {
  phase_ = Phase::not_started;
  begin_at_ = now;
}

void StateLoader::tick(Ms now) {
  if (phase_ == Phase::not_started && now >= begin_at_) begin(now);
}

void StateLoader::begin(Ms now) {
  phase_ = Phase::reading;
  prefix_index_ = 0;
  last_key_.clear();
  first_revision_known_ = false;
  newest_revision_ = 0;
  found_keys_.clear();
  read_page(now);
}

void StateLoader::read_page(Ms now) {
  connection_.request(now, "GET",
                      wire::page_path(kLoadedPrefixes[prefix_index_], last_key_, kPageItems), "",
                      [this](Ms at, const HttpResult& http_result) { on_page(at, http_result); });
}

void StateLoader::on_page(Ms now, const HttpResult& http_result) {
  if (phase_ != Phase::reading) return;
  const auto page = wire::parse_page(http_result.body);
  if (http_result.status != 200 || !page) {
    restart(now + kStateProbeMs);
    return;
  }
  // Keep the revision of the first page. A separate flag marks it as set, since the revision itself
  // may be 0; watching from a later page's revision would miss changes.
  if (!first_revision_known_) first_revision_ = page->revision;
  first_revision_known_ = true;
  newest_revision_ = std::max(newest_revision_, page->revision);
  for (const auto& item : page->items) {
    found_keys_.insert(item.key);
    last_key_ = item.key;
    feed_.apply(now, item);
  }
  if (!page->more) {
    last_key_.clear();
    ++prefix_index_;
  }
  if (prefix_index_ < std::size(kLoadedPrefixes)) {
    read_page(now);
  } else {
    finish(now);
  }
}

void StateLoader::finish(Ms now) {
  feed_.finish_full_read(now, first_revision_, found_keys_);
  found_keys_.clear();
  phase_ = Phase::catching_up;
  log_.info("state read up to revision " + std::to_string(feed_.applied_revision()));
  on_applied();
  on_pages_read_(now);
}

void StateLoader::on_applied() {
  if (phase_ == Phase::catching_up && feed_.applied_revision() >= newest_revision_)
    phase_ = Phase::complete;
}

}  // namespace scheduler
