// Commands to the machines of this controller's shard: what follows from the records, and the
// direct messages that carry them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "allocation/range_table.h"
#include "base/resources.h"
#include "links/monitor.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "workers/heartbeat_applier.h"
#include "workers/machine_table.h"
#include "workers/reconciler.h"
#include "workers/relay.h"
#include "workers/worker_links.h"

namespace scheduler {

// Starts follow from recorded placements only, and nothing is started while the state service is
// silent. Every message carries the machine's fencing token; one that may still be executed is
// outrun by a higher token.
class CommandDispatcher {
 public:
  CommandDispatcher(const Context& context, const ControllerStatus& status, MachineTable& machines,
                    const RangeTable& ranges, Reconciler& reconciler, HeartbeatApplier& heartbeats,
                    const GossipedCancellations& cancellations, links::Monitor& links,
                    WorkerLinks& worker_links, Relay& relay)
      : context_(context),
        status_(status),
        machines_(machines),
        ranges_(ranges),
        reconciler_(reconciler),
        heartbeat_applier_(heartbeats),
        cancellations_(cancellations),
        links_(links),
        worker_links_(worker_links),
        relay_(relay) {}

  // What the machine is to be told now. Raises its token where that is needed.
  std::vector<wire::Command> commands_for(Ms now, Machine& machine);
  // Sends a direct message if one is needed, or in any case as a `probe`.
  void send(Ms now, Machine& machine, bool probe = false);

 private:
  // What is known of a message when it is sent.
  struct SentCommands {
    std::string machine;
    std::uint64_t owned_since_epoch = 0;
    HeartbeatCounters counters;  // of the machine
    bool suspect = false;        // it left a message unanswered, or is silent
    bool relayed = false;        // through a peer
    std::uint64_t pauses = 0;
  };
  // Commands so far, and the capacity that further starts may use.
  struct CommandPlan {
    std::vector<wire::Command> commands;
    // Free, as the worker counts; without a bound while its type is not known.
    Resources free{kUnbounded, kUnbounded, kUnbounded};
    bool forgets = false;   // some exited task is to be forgotten
    bool stopping = false;  // some task is being stopped
  };
  // A task that the worker lists, and what the records say of it.
  struct ListedTask {
    const Job* job = nullptr;
    const wire::Placement* placement = nullptr;  // none: this attempt is not recorded here
    TaskRef ref;                                 // of the placement
  };
  static constexpr double kUnbounded = 1e9;

  [[nodiscard]] ListedTask find_listed(const Machine& machine, const wire::TaskId& task,
                                       const ReportedTask& reported) const;
  // Seconds that a listed task has to end; none: it may run on.
  [[nodiscard]] std::optional<double> grace_to_stop(const Machine& machine,
                                                    const ListedTask& listed,
                                                    const wire::TaskId& task,
                                                    const ReportedTask& reported) const;
  // Adds the command to stop a listed task. True if its capacity is free soon.
  bool add_stop(const Machine& machine, const ListedTask& listed, const wire::TaskId& task,
                const ReportedTask& reported, double grace_s, CommandPlan& plan) const;
  // Stops and forgets what the worker lists and should not.
  void add_commands_for_listed(const Machine& machine, CommandPlan& plan) const;
  // Starts what is recorded and not listed.
  void add_starts(Ms now, Machine& machine, CommandPlan& plan);
  void log_command(const Machine& machine, const wire::Command& command,
                   const wire::Placement* placement, std::string_view reason) const;
  // Guards against a start that waits for ever: two controllers may have filled the same machine at
  // the same time, and what runs there may be a service, which does not end. The task is placed
  // anew once the machine has shown that it does not have it.
  void abandon_blocked_start(Ms now, Machine& machine, const wire::TaskId& task,
                             std::uint64_t attempt);
  [[nodiscard]] bool needs_direct_command(const Machine& machine,
                                          const std::vector<wire::Command>& list) const;
  void on_command_result(Ms now, const SentCommands& sent, const HttpResult& http_result);
  // May still be executed: everything sent from now on outruns it.
  void on_commands_unanswered(Ms now, Machine& machine, const SentCommands& sent);

  const Context& context_;
  const ControllerStatus& status_;
  MachineTable& machines_;
  const RangeTable& ranges_;
  Reconciler& reconciler_;
  HeartbeatApplier& heartbeat_applier_;
  const GossipedCancellations& cancellations_;
  links::Monitor& links_;
  WorkerLinks& worker_links_;
  Relay& relay_;
  int direct_commands_in_flight_ = 0, probes_in_flight_ = 0;
};

}  // namespace scheduler
