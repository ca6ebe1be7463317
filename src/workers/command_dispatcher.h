// Sends commands to the machines of this controller's shard as direct messages.
#pragma once

#include <string>
#include <vector>

#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "workers/command_planner.h"
#include "workers/heartbeat_applier.h"
#include "workers/machine_table.h"
#include "workers/reconciler.h"
#include "workers/relay.h"
#include "workers/worker_links.h"

namespace scheduler {

// Every message carries the machine's fencing token. When an earlier message may still be executed,
// the token is raised so that the worker rejects that message.
class CommandDispatcher {
 public:
  CommandDispatcher(const Context& context, const ControllerStatus& status, MachineTable& machines,
                    CommandPlanner& planner, const Reconciler& reconciler,
                    HeartbeatApplier& heartbeats, links::Monitor& links, WorkerLinks& worker_links,
                    Relay& relay)
      : context_(context),
        status_(status),
        machines_(machines),
        planner_(planner),
        reconciler_(reconciler),
        heartbeat_applier_(heartbeats),
        links_(links),
        worker_links_(worker_links),
        relay_(relay) {}

  // Sends a direct message if one is needed; a `probe` is sent in any case.
  void send(Ms now, Machine& machine, bool probe = false);

 private:
  // State of a machine at the time when a message was sent to it.
  struct SentCommands {
    std::string machine;
    std::uint64_t owned_since_epoch = 0;
    HeartbeatCounters counters;  // of the machine
    bool unresponsive = false;   // the machine left a message unanswered, or is silent
    bool relayed = false;        // through a peer
    std::uint64_t pauses = 0;    // number of pauses of this process before the message
  };
  [[nodiscard]] bool needs_direct_command(const Machine& machine,
                                          const std::vector<wire::Command>& commands) const;
  void on_command_result(Ms now, const SentCommands& sent, const HttpResult& http_result);
  // The commands may still be executed, so the token is raised to make the worker reject them.
  void on_commands_unanswered(Ms now, Machine& machine, const SentCommands& sent);

  const Context& context_;
  const ControllerStatus& status_;
  MachineTable& machines_;
  CommandPlanner& planner_;
  const Reconciler& reconciler_;
  HeartbeatApplier& heartbeat_applier_;
  links::Monitor& links_;
  WorkerLinks& worker_links_;
  Relay& relay_;
  int direct_commands_in_flight_ = 0, probes_in_flight_ = 0;
};

}  // namespace scheduler
