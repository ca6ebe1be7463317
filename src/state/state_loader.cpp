#include "state/state_loader.h"

#include <algorithm>
#include <iterator>

#include "wire/record_keys.h"
#include "wire/state_service.h"

namespace scheduler {

namespace {

// Read in this order; final states stay out of recovery's way.
constexpr std::string_view kLoadedPrefixes[] = {
    wire::kViewKey,        wire::kFormatKey,   wire::kCatalogKey,      wire::kLivePrefix,
    wire::kFleetPrefix,    wire::kShardPrefix, wire::kJobPrefixKey,    wire::kRangePrefix,
    wire::kScaleOutPrefix, wire::kQuotaPrefix, wire::kShardGuardPrefix};
// Items per page (PROTOCOL allows 1,000 and 512 KiB).
constexpr std::uint32_t kPageItems = 250;

}  // namespace

void StateLoader::restart(Ms now) {
  phase_ = Phase::none;
  due_ = now;
}

void StateLoader::tick(Ms now) {
  if (phase_ == Phase::none && now >= due_) begin(now);
}

void StateLoader::begin(Ms now) {
  phase_ = Phase::reading;
  prefix_ = 0;
  after_.clear();
  first_revision_known_ = false;
  newest_revision_ = 0;
  found_.clear();
  read_page(now);
}

void StateLoader::read_page(Ms now) {
  connection_.request(now, "GET", wire::page_path(kLoadedPrefixes[prefix_], after_, kPageItems), "",
                      [this](Ms at, const HttpResult& http_result) { on_page(at, http_result); });
}

void StateLoader::on_page(Ms now, const HttpResult& http_result) {
  if (phase_ != Phase::reading) return;
  const auto page = wire::parse_page(http_result.body);
  if (http_result.status != 200 || !page) {
    restart(now + kStateProbeMs);
    return;
  }
  // Guards against watching from a later page's revision: the first one may well be 0.
  if (!first_revision_known_) first_revision_ = page->revision;
  first_revision_known_ = true;
  newest_revision_ = std::max(newest_revision_, page->revision);
  for (const auto& item : page->items) {
    found_.insert(item.key);
    after_ = item.key;
    feed_.apply(now, item);
  }
  if (!page->more) {
    after_.clear();
    ++prefix_;
  }
  if (prefix_ < std::size(kLoadedPrefixes)) {
    read_page(now);
  } else {
    finish(now);
  }
}

void StateLoader::finish(Ms now) {
  feed_.restart(now, first_revision_, found_);
  found_.clear();
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
