#include "workers/shard_reachability.h"

#include <utility>
#include <vector>

namespace scheduler {

namespace {

constexpr std::size_t kReclaimProbes = 3;  // workers probed at once while the shard is given up

}  // namespace

void ShardReachability::tick(Ms now) {
  if (write_in_flight_ || now < next_check_ || !context_.can_write(now)) return;
  // Guards against mistaking workers that already send heartbeats to their new owner for a broken
  // link.
  if (status_.newest_epoch_seen() > context_.cluster_view.epoch()) return;
  if (context_.replica.view().unreachable.contains(context_.settings.name)) {
    reclaim_shard(now);
    return;
  }
  std::vector<std::string> others = context_.cluster_view.owners();
  std::erase(others, context_.settings.name);
  const links::Decision decision = links_.may_keep_machines(status_.moment(now), others);
  if (decision.allowed) return;
  context_.log_decision("keep_machines", decision);
  context_.log(LogLevel::info, "no worker reaches this controller; giving its shard up");
  links_.on_machines_given_up(now);
  set_unreachable(true);
}

void ShardReachability::reclaim_shard(Ms now) {
  next_check_ = now + links::kWorkerProbeIntervalMs;
  std::vector<std::string> in_own_zone;
  std::vector<std::string> in_other_zones;
  for (const auto& [id, record] : context_.replica.machines()) {
    if (record.incarnation == 0 || record.address.empty() ||
        record.state != wire::MachineState::ready)
      continue;
    (record.zone == context_.settings.zone ? in_own_zone : in_other_zones)
        .push_back(record.address);
  }
  auto& candidates = in_own_zone.empty() ? in_other_zones : in_own_zone;
  if (candidates.empty()) {
    set_unreachable(false);
    return;
  }
  std::vector<std::string> sample;
  while (sample.size() < kReclaimProbes && !candidates.empty()) {
    const auto at = probe_random_(static_cast<std::uint32_t>(candidates.size()));
    sample.push_back(std::move(candidates[at]));
    candidates.erase(candidates.begin() + at);
  }
  worker_links_.probe_workers(sample, [this](Ms at, bool answered) {
    links_.on_reclaim_probe(at, answered);
    const links::Decision decision = links_.may_reclaim_machines(at);
    if (!answered || !decision.allowed || !status_.ready() ||
        !context_.replica.view().unreachable.contains(context_.settings.name))
      return;
    context_.log_decision("take_machines_back", decision);
    context_.log(LogLevel::info, "workers reach this controller again; reclaiming its shard");
    set_unreachable(false);
  });
}

void ShardReachability::set_unreachable(bool unreachable) {
  if (write_in_flight_) return;
  write_in_flight_ = true;
  wire::ViewRecord next = context_.replica.view();
  ++next.epoch;
  if (unreachable) {
    next.unreachable.insert(context_.settings.name);
  } else {
    next.unreachable.erase(context_.settings.name);
  }
  Transaction transaction;
  transaction.conditions = {context_.view_unchanged()};
  transaction.writes = {{std::string(wire::kViewKey), encode(next), std::nullopt}};
  transaction.urgent = true;
  transaction.done = [this](Ms at, TxnResult, const auto&) {
    context_.state_client.barrier_read_with_retries(at, [this](Ms) { write_in_flight_ = false; });
  };
  context_.state_client.submit(std::move(transaction));
}

}  // namespace scheduler
