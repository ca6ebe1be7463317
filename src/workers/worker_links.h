// Tracks the links between this controller and its workers: counts which workers are in contact,
// probes them, and chooses which messages are relayed through a peer.
#pragma once

#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "workers/machine_table.h"
#include "workers/relay.h"

namespace scheduler {

class WorkerLinks {
 public:
  // `random`: generator used only for probes, so that probes don't affect the random numbers of
  // other modules.
  WorkerLinks(const Context& context, const ControllerStatus& status, const MachineTable& machines,
              links::Monitor& links, Relay& relay, pcg32& random)
      : context_(context),
        status_(status),
        machines_(machines),
        links_(links),
        relay_(relay),
        probe_random_(random) {}

  // Counts the workers with and without recent contact and passes the counts to the link monitor,
  // with the number of workers that are expected to send heartbeats.
  links::Census take_census(Ms now);
  // Probes a sample of workers in each zone where the link monitor requests it.
  void probe_zones(Ms now);
  // Requests the status of the workers. `done` is called once with whether any of them has
  // answered, unless this process is paused meanwhile.
  void probe_workers(const std::vector<std::string>& addresses,
                     const std::function<void(Ms now, bool answered)>& done);
  // The peer that should relay a command to the machine; none: send it directly.
  [[nodiscard]] std::optional<std::string> relay_for(Ms now, const Machine& machine) const;
  // Whether a peer may reach the machine and has not tried yet. Guards against returning a machine
  // that is alive because this controller's own link to it is down: a peer that may reach the
  // machine tries first (indirect probes, after SWIM: Das, Gupta and Motivala, 2002).
  [[nodiscard]] bool may_be_reachable_by_relay(Ms now, const Machine& machine) const;
  // Handles a heartbeat from a worker of another controller's shard. Most such workers don't know
  // their owner yet and are redirected to it. If the owner can't be reached from the worker, the
  // heartbeat is relayed.
  void redirect_heartbeat(Ms now, std::uint64_t request, const std::string& owner,
                          const wire::Heartbeat& heartbeat, const std::string& body);

 private:
  // Addresses of up to kProbeSampleSize machines of the zone, drawn at random.
  std::vector<std::string> sample_zone(const std::string& zone);

  const Context& context_;
  const ControllerStatus& status_;
  const MachineTable& machines_;
  links::Monitor& links_;
  Relay& relay_;
  pcg32& probe_random_;
};

}  // namespace scheduler
