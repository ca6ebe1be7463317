#include "core/membership.h"

#include <algorithm>

#include "core/constants.h"

namespace puffinhaven::core {

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

std::string rendezvous(std::string_view key, const std::vector<std::string>& candidates) {
  const std::string* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto& c : candidates) {
    const std::uint64_t w = weight(key, c);
    if (!best || w > best_weight) {
      best = &c;
      best_weight = w;
    }
  }
  return best ? *best : std::string();
}

Membership::Membership(const Settings& settings) {
  zone_of_[settings.name] = settings.zone;
  for (const auto& p : settings.peers) zone_of_[p.name] = p.zone;
}

void Membership::update(const wire::ViewRecord& view) {
  epoch_ = view.epoch;
  live_.clear();
  owners_.clear();
  by_zone_.clear();
  owner_cache_.clear();
  for (const auto& [name, incarnation] : view.live) {
    live_.push_back(name);
    if (!view.deaf.contains(name)) owners_.push_back(name);
  }
  if (owners_.empty()) owners_ = live_;
  for (const auto& name : owners_) {
    if (auto z = zone_of_.find(name); z != zone_of_.end()) by_zone_[z->second].push_back(name);
  }
}

bool Membership::is_live(const std::string& name) const {
  return std::find(live_.begin(), live_.end(), name) != live_.end();
}

const std::string& Membership::machine_owner(const std::string& machine,
                                             const std::string& zone) const {
  if (auto it = owner_cache_.find(machine); it != owner_cache_.end()) return it->second;
  auto local = by_zone_.find(zone);
  return owner_cache_[machine] =
             rendezvous(machine, local == by_zone_.end() ? owners_ : local->second);
}

std::string Membership::range_owner(const std::string& key, const std::string& recorded) const {
  return std::find(owners_.begin(), owners_.end(), recorded) != owners_.end()
             ? recorded
             : rendezvous(key, owners_);
}

std::uint64_t Membership::token(std::uint64_t epoch, std::uint64_t fence) {
  return (epoch << constants::kFenceBits) | fence;
}

std::uint64_t Membership::epoch_of(std::uint64_t token) { return token >> constants::kFenceBits; }

}  // namespace puffinhaven::core
