// Handles heartbeats of workers; the replies renew their leases and carry commands.
#pragma once

#include <string>

#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "workers/command_dispatcher.h"
#include "workers/command_planner.h"
#include "workers/heartbeat_applier.h"
#include "workers/machine_table.h"
#include "workers/worker_links.h"

namespace scheduler {

class HeartbeatEndpoint {
 public:
  HeartbeatEndpoint(const Context& context, ControllerStatus& status, MachineTable& machines,
                    HeartbeatApplier& heartbeats, CommandPlanner& planner,
                    CommandDispatcher& commands, WorkerLinks& worker_links, links::Monitor& links)
      : context_(context),
        status_(status),
        machines_(machines),
        heartbeat_applier_(heartbeats),
        planner_(planner),
        commands_(commands),
        worker_links_(worker_links),
        links_(links) {}

  void on_heartbeat(Ms now, std::uint64_t request, const std::string& body);

 private:
  // Whether this controller may answer for the machine now. Sends an error or redirect reply
  // otherwise.
  bool accepts(Ms now, std::uint64_t request, const wire::Heartbeat& heartbeat,
               const std::string& body);
  void on_shard_heartbeat(Ms now, std::uint64_t request, Machine& machine,
                          const wire::Heartbeat& heartbeat);

  const Context& context_;
  ControllerStatus& status_;
  MachineTable& machines_;
  HeartbeatApplier& heartbeat_applier_;
  CommandPlanner& planner_;
  CommandDispatcher& commands_;
  WorkerLinks& worker_links_;
  links::Monitor& links_;
};

}  // namespace scheduler
