// Derives the commands to the machines of this controller's shard from the records and sends them
// as direct messages.
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

// Only recorded placements are started, and no task is started while the state service does not
// answer. Every message carries the machine's fencing token. When an earlier message may still be
// executed, the token is raised so that the worker rejects that message.
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

  // Commands for the machine as of now. Raises its token if needed.
  std::vector<wire::Command> commands_for(Ms now, Machine& machine);
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
  // Commands collected for a message, and the capacity that further starts may use.
  struct CommandPlan {
    std::vector<wire::Command> commands;
    // Free capacity as counted by the worker; unbounded while the machine type is not known.
    Resources free{kUnbounded, kUnbounded, kUnbounded};
    bool has_forget = false;  // has a command to forget an exited task
    bool stopping = false;    // some task is being stopped
  };
  // A task listed by the worker, with its records.
  struct ListedTask {
    const Job* job = nullptr;
    const wire::Placement* placement = nullptr;  // null: attempt not recorded on the machine
    TaskRef ref;                                 // of the placement
  };
  static constexpr double kUnbounded = 1e9;

  [[nodiscard]] ListedTask find_listed(const Machine& machine, const TaskAttempt& attempt) const;
  // Seconds that a listed task gets before it must end; none if it may keep running.
  [[nodiscard]] std::optional<double> grace_to_stop(const Machine& machine,
                                                    const ListedTask& listed,
                                                    const TaskAttempt& attempt) const;
  // Adds the command to stop a listed task. Returns true if its capacity becomes free soon.
  bool add_stop(const Machine& machine, const ListedTask& listed, const TaskAttempt& attempt,
                const ReportedTask& reported, double grace_s, CommandPlan& plan) const;
  // Adds commands to stop or forget listed tasks that should not be on the machine.
  void add_commands_for_listed(const Machine& machine, CommandPlan& plan) const;
  // Adds starts of tasks that are recorded on the machine but not listed by it.
  void add_starts(Ms now, Machine& machine, CommandPlan& plan);
  void log_command(const Machine& machine, const wire::Command& command,
                   const wire::Placement* placement, std::string_view reason) const;
  // Gives up a start that has waited too long for capacity. Two controllers may have filled the
  // same machine at the same time with services, which do not end. The task is placed again once
  // the machine has proven that it does not have it.
  void abandon_blocked_start(Ms now, Machine& machine, const TaskAttempt& attempt);
  [[nodiscard]] bool needs_direct_command(const Machine& machine,
                                          const std::vector<wire::Command>& commands) const;
  void on_command_result(Ms now, const SentCommands& sent, const HttpResult& http_result);
  // The commands may still be executed, so the token is raised to make the worker reject them.
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
