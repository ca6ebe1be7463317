#include "membership/cluster_view.h"

#include <algorithm>
#include <cmath>

namespace scheduler {

namespace {

// Number of low bits of a token that count the fences raised for one machine within one epoch; the
// bits above them hold the epoch.
constexpr int kFenceBits = 24;

}  // namespace

namespace {
// FNV-1a with a final mix. Unlike std::hash it gives the same value in every process.
std::uint64_t hash_pair(std::string_view key, std::string_view candidate) {
  std::uint64_t hash = 14695981039346656037ULL;
  auto add_bytes = [&hash](std::string_view bytes) {
    for (const char c : bytes) {
      hash ^= static_cast<unsigned char>(c);
      hash *= 1099511628211ULL;
    }
    hash ^= 0xff;
    hash *= 1099511628211ULL;
  };
  add_bytes(key);
  add_bytes(candidate);
  hash ^= hash >> 33;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  hash ^= hash >> 33;
  return hash;
}
}  // namespace

std::string pick_by_rendezvous_hash(std::string_view key,
                                    const std::vector<std::string>& candidates,
                                    const std::vector<double>& shares) {
  const std::string* best = nullptr;
  double best_score = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const double share = shares.empty() ? 1.0 : shares[i];
    if (share <= 0) continue;
    // Weighted rendezvous hashing: the score is the logarithm of a uniform number in (0, 1),
    // divided by the share.
    const double uniform =
        (static_cast<double>(hash_pair(key, candidates[i]) >> 11U) + 0.5) * 0x1p-53;
    const double score = std::log(uniform) / share;  // negative: the nearest to zero wins
    if (!best || score > best_score) {
      best = &candidates[i];
      best_score = score;
    }
  }
  return best ? *best : std::string();
}

ClusterView::ClusterView(const Settings& settings) : zones_(settings.zones) {
  zone_of_[settings.name] = settings.zone;
  for (const auto& peer : settings.peers) zone_of_[peer.name] = peer.zone;
}

void ClusterView::update(const wire::ViewRecord& view) {
  has_view_ = true;
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
    if (auto zone_entry = zone_of_.find(name); zone_entry != zone_of_.end())
      by_zone_[zone_entry->second].push_back(name);
  }
  // Every configured zone counts the same, since the number of machines in each is not known in
  // advance. An owner's share of the machines in zones without a controller is an equal part of all
  // zones minus its part of its own zone. Guards against a controller that is the only one in its
  // zone owning nearly half of the fleet.
  double total_share = 0;
  std::vector<double> own_zone_shares(owners_.size(), 0.0);
  for (std::size_t i = 0; i < owners_.size(); ++i) {
    auto zone_entry = zone_of_.find(owners_[i]);
    if (zone_entry == zone_of_.end()) continue;
    if (std::find(zones_.begin(), zones_.end(), zone_entry->second) == zones_.end()) continue;
    own_zone_shares[i] = 1.0 / static_cast<double>(by_zone_[zone_entry->second].size());
  }
  const double equal_share =
      owners_.empty() ? 0.0
                      : static_cast<double>(zones_.size()) / static_cast<double>(owners_.size());
  shares_.clear();
  for (const double own_zone_share : own_zone_shares) {
    shares_.push_back(std::max(0.0, equal_share - own_zone_share));
    total_share += shares_.back();
  }
  if (total_share <= 0) shares_.assign(owners_.size(), 1.0);
}

bool ClusterView::is_live(const std::string& name) const {
  return std::find(live_.begin(), live_.end(), name) != live_.end();
}

const std::string& ClusterView::machine_owner(const std::string& machine,
                                              const std::string& zone) const {
  if (auto it = owner_cache_.find(machine); it != owner_cache_.end()) return it->second;
  auto local = by_zone_.find(zone);
  return owner_cache_[machine] = local == by_zone_.end()
                                     ? pick_by_rendezvous_hash(machine, owners_, shares_)
                                     : pick_by_rendezvous_hash(machine, local->second);
}

std::string ClusterView::range_owner(const std::string& key, const std::string& recorded) const {
  return std::find(owners_.begin(), owners_.end(), recorded) != owners_.end()
             ? recorded
             : pick_by_rendezvous_hash(key, owners_);
}

std::uint64_t ClusterView::token(std::uint64_t epoch, std::uint64_t fence) {
  return (epoch << kFenceBits) | fence;
}

std::uint64_t ClusterView::epoch_of(std::uint64_t token) { return token >> kFenceBits; }

std::uint64_t ClusterView::fence_of(std::uint64_t token) {
  return token & ((std::uint64_t{1} << kFenceBits) - 1);
}

}  // namespace scheduler
