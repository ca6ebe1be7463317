// The links between this controller and its workers: who is heard, who is probed, and which
// messages are relayed through a peer.
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
  // `random`: of probes alone, so that they change no other draw.
  WorkerLinks(const Context& context, const ControllerStatus& status, const MachineTable& machines,
              links::Monitor& links, Relay& relay, pcg32& random)
      : context_(context),
        status_(status),
        machines_(machines),
        links_(links),
        relay_(relay),
        probe_random_(random) {}

  // Counts who is heard, and tells the links how many workers are expected to send heartbeats.
  links::Census take_census(Ms now);
  // Asks samples of workers where the links call for it.
  void probe_zones(Ms now);
  // Asks workers for their status. `done` is told once whether any of them has answered.
  void probe_workers(const std::vector<std::string>& addresses,
                     const std::function<void(Ms now, bool answered)>& done);
  // Which peer is to pass a command on to the machine; none: it is sent directly.
  [[nodiscard]] std::optional<std::string> relay_for(Ms now, const Machine& machine) const;
  // A peer may reach the machine, and has not tried yet. Guards against returning a machine that is
  // there because our own link to it is down: a peer that may reach it is asked first (indirect
  // probes, after SWIM: Das, Gupta and Motivala, 2002).
  [[nodiscard]] bool may_be_reached(Ms now, const Machine& machine) const;
  // A worker of another controller's shard sends its heartbeat here. Most have only not heard of
  // their owner yet; those that it can't hear are answered for it.
  void redirect_heartbeat(Ms now, std::uint64_t request, const std::string& owner,
                          const wire::Heartbeat& heartbeat, const std::string& body);

 private:
  // Up to kProbedAtOnce machines of the zone, drawn at random.
  std::vector<std::string> sample_zone(const std::string& zone);

  const Context& context_;
  const ControllerStatus& status_;
  const MachineTable& machines_;
  links::Monitor& links_;
  Relay& relay_;
  pcg32& probe_random_;
};

}  // namespace scheduler
