#include "membership/cluster_view.h"

#include <algorithm>
#include <cmath>

namespace scheduler {

namespace {

// Bits of a token below the epoch: fences raised per machine within one epoch.
constexpr int kFenceBits = 24;

}  // namespace

namespace {
// FNV-1a with a final mix: the hash must be the same in every process, unlike std::hash.
std::uint64_t weight(std::string_view key, std::string_view candidate) {
  std::uint64_t h = 14695981039346656037ULL;
  auto feed = [&h](std::string_view s) {
    for (const char c : s) {
      h ^= static_cast<unsigned char>(c);
      h *= 1099511628211ULL;
    }
    h ^= 0xff;
    h *= 1099511628211ULL;
  };
  feed(key);
  feed(candidate);
  h ^= h >> 33;
  h *= 0xff51afd7ed558ccdULL;
  h ^= h >> 33;
  h *= 0xc4ceb9fe1a85ec53ULL;
  h ^= h >> 33;
  return h;
}
}  // namespace

std::string rendezvous(std::string_view key, const std::vector<std::string>& candidates,
                       const std::vector<double>& shares) {
  const std::string* best = nullptr;
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double share = shares.empty() ? 1.0 : shares[i];
    if (share <= 0) continue;
    // Weighted highest random weight: a uniform number in (0, 1), by its logarithm.
    const double u = (static_cast<double>(weight(key, candidates[i]) >> 11U) + 0.5) * 0x1p-53;
    const double score = std::log(u) / share;  // negative: the nearest to zero wins
    if (!best || score > best_score) {
      best = &candidates[i];
      best_score = score;
    }
  }
  return best ? *best : std::string();
}

ClusterView::ClusterView(const Settings& settings) : zones_(settings.zones) {
  zone_of_[settings.name] = settings.zone;
  for (const auto& p : settings.peers) zone_of_[p.name] = p.zone;
}

void ClusterView::update(const wire::ViewRecord& view) {
  known_ = true;
  epoch_ = view.epoch;
  live_.clear();
  owners_.clear();
  by_zone_.clear();
  owner_cache_.clear();
  for (const auto& [name, incarnation] : view.live) {
    live_.push_back(name);
    if (!view.unreachable.contains(name)) owners_.push_back(name);
  }
  if (owners_.empty()) owners_ = live_;
  for (const auto& name : owners_) {
    if (auto z = zone_of_.find(name); z != zone_of_.end()) by_zone_[z->second].push_back(name);
  }
  // Zones count alike, since how many machines each will have is not known. Guards against a
  // controller that is alone in its zone carrying nearly half of the fleet.
  double all = 0;
  std::vector<double> own(owners_.size(), 0.0);
  for (std::size_t i = 0; i < owners_.size(); ++i) {
    auto z = zone_of_.find(owners_[i]);
    if (z == zone_of_.end()) continue;
    if (std::find(zones_.begin(), zones_.end(), z->second) == zones_.end()) continue;
    own[i] = 1.0 / static_cast<double>(by_zone_[z->second].size());
  }
  const double each =
      owners_.empty() ? 0.0
                      : static_cast<double>(zones_.size()) / static_cast<double>(owners_.size());
  shares_.clear();
  for (const double o : own) {
    shares_.push_back(std::max(0.0, each - o));
    all += shares_.back();
  }
  if (all <= 0) shares_.assign(owners_.size(), 1.0);
}

bool ClusterView::is_live(const std::string& name) const {
  return std::find(live_.begin(), live_.end(), name) != live_.end();
}

const std::string& ClusterView::machine_owner(const std::string& machine,
                                              const std::string& zone) const {
  if (auto it = owner_cache_.find(machine); it != owner_cache_.end()) return it->second;
  auto local = by_zone_.find(zone);
  return owner_cache_[machine] = local == by_zone_.end() ? rendezvous(machine, owners_, shares_)
                                                         : rendezvous(machine, local->second);
}

std::string ClusterView::range_owner(const std::string& key, const std::string& recorded) const {
  return std::find(owners_.begin(), owners_.end(), recorded) != owners_.end()
             ? recorded
             : rendezvous(key, owners_);
}

std::uint64_t ClusterView::token(std::uint64_t epoch, std::uint64_t fence) {
  return (epoch << kFenceBits) | fence;
}

std::uint64_t ClusterView::epoch_of(std::uint64_t token) { return token >> kFenceBits; }

std::uint64_t ClusterView::fence_of(std::uint64_t token) {
  return token & ((std::uint64_t{1} << kFenceBits) - 1);
}

}  // namespace scheduler
