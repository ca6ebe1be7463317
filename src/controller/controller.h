// A controller as a deterministic state machine. Inputs are requests, results of calls, messages of
// peers and the passage of time; outputs are calls to make, replies, messages to peers and log
// lines. The class performs no I/O and reads no clock; the caller does both.
#pragma once

#include <cstdint>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "allocation/pass_trigger.h"
#include "allocation/range_table.h"
#include "base/capacity.h"
#include "base/types.h"
#include "controller/gossip.h"
#include "controller/health_endpoint.h"
#include "controller/request_log.h"
#include "fleet/fleet_coordinator.h"
#include "jobs/job_cancellation.h"
#include "jobs/job_completion.h"
#include "jobs/job_reader.h"
#include "jobs/job_submission.h"
#include "jobs/waiting_requests.h"
#include "links/monitor.h"
#include "membership/cluster_view.h"
#include "membership/context.h"
#include "membership/controller_status.h"
#include "membership/format_switch.h"
#include "membership/membership_manager.h"
#include "quota/quota_manager.h"
#include "quota/service_reserve.h"
#include "scheduling/candidate_cache.h"
#include "scheduling/range_planner.h"
#include "scheduling/scheduler.h"
#include "state/replica.h"
#include "state/state_client.h"
#include "workers/command_dispatcher.h"
#include "workers/command_planner.h"
#include "workers/failure_tracker.h"
#include "workers/gossiped_cancellations.h"
#include "workers/heartbeat_applier.h"
#include "workers/heartbeat_endpoint.h"
#include "workers/machine_monitor.h"
#include "workers/machine_table.h"
#include "workers/reconciler.h"
#include "workers/relay.h"
#include "workers/shard_reachability.h"
#include "workers/shard_record_writer.h"
#include "workers/worker_links.h"

namespace scheduler {

// A message to send to another controller.
struct OutgoingPeerMessage {
  std::string to;
  std::string bytes;
};

struct Output {
  std::vector<Call> calls;
  std::vector<HttpReply> replies;
  std::vector<OutgoingPeerMessage> peers;  // messages to peers
  std::vector<LogLine> logs;
};

// Wires the components together: routes inputs to them, collects their outputs and defines the
// order in which they run in a tick. All decisions are made by the components.
class Controller {
 public:
  // `seed` must differ between any two runs of the program: the incarnation is derived from it.
  Controller(Settings settings, std::uint64_t seed);
  ~Controller() = default;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;
  Controller(Controller&&) = delete;
  Controller& operator=(Controller&&) = delete;

  // `now` is the steady clock and `wall` the time of day, both in milliseconds.
  void start(Ms now, Ms wall);
  void tick(Ms now, Ms wall);
  // Handles a request of a user or a worker. The reply, immediate or later, carries the number
  // `request`.
  void on_request(Ms now, std::uint64_t request, const Request& http_request);
  // Handles the result of the call with this id.
  void on_result(Ms now, std::uint64_t id, const HttpResult& http_result);
  // Handles a message of another controller.
  void on_peer_message(Ms now, std::string_view bytes);
  // Time at which tick() should be called next if no other input arrives before.
  Ms next_tick(Ms now) const;
  Output take_output() { return std::exchange(out_, {}); }

  const Replica& replica() const { return replica_; }
  const Settings& settings() const { return settings_; }
  // Whether this controller is in the view and has read every record.
  bool ready() const { return status_.ready(); }
  // One line that summarizes the state of this controller, for the log.
  std::string status_line(Ms now) const;

 private:
  Context make_context();
  // ---- outputs of the components ----
  void call(Target target, std::string address, std::string method, std::string path,
            std::string body, Ms timeout, ResultHandler done);
  void reply(std::uint64_t request, int status, std::string body, int retry_after_s);
  void send_to_peer(const std::string& peer, std::string bytes);
  void log(LogLevel level, std::string text);

  // ---- changes of the records ----
  void on_record(Ms now, const wire::StoredItem& item);
  // Processes the machines and jobs whose records have changed since the previous call.
  void on_changes_applied(Ms now);
  void on_machine_changed(Ms now, const std::string& id);
  void on_view(Ms now);
  void log_view(bool views_skipped);
  // Drops the machines that the view assigns to other controllers, and adds those that it assigns
  // to this controller. `views_skipped`: there were views since the previous one that this
  // controller has not read.
  void update_shard(Ms now, bool views_skipped);
  bool owns_machine(const std::string& machine, const std::string& zone) const;

  // ---- inputs ----
  // Must be called for every input. Detects from the time since the previous input whether the
  // process was paused.
  void observe_input(Ms now);
  void on_pause(Ms now, Ms gap);
  // Waits for a barrier read that starts after the pause. Once it completes, the replica holds
  // everything that was written during the pause.
  void wait_until_resynchronised(Ms now, std::uint64_t pause);
  void update_membership(Ms now);
  bool is_peer(const std::string& name) const;

  Settings settings_;
  Capacity capacity_;
  pcg32 random_;
  pcg32 probe_random_;  // for probes only, so that probes don't shift the sequence of `random_`
  std::string incarnation_;
  Output out_;
  std::uint64_t next_call_ = 1;
  std::unordered_map<std::uint64_t, ResultHandler> handlers_;

  Replica replica_;
  StateClient state_client_;
  ClusterView cluster_view_;
  Context context_;
  ControllerStatus status_;
  FleetCoordinator fleet_;
  links::Monitor links_;
  MembershipManager membership_manager_;
  FormatSwitch format_switch_;

  PassTrigger pass_trigger_;
  MachineTable machines_;
  RangeTable ranges_;
  FailureTracker failure_tracker_;
  ShardRecordWriter shard_records_;
  GossipedCancellations gossiped_cancellations_;
  Reconciler reconciler_;
  HeartbeatApplier heartbeat_applier_;
  Relay relay_;
  WorkerLinks worker_links_;
  ShardReachability reachability_;
  CommandPlanner command_planner_;
  CommandDispatcher commands_;
  HeartbeatEndpoint heartbeats_;
  MachineMonitor machine_monitor_;

  CandidateCache candidate_cache_;
  RangePlanner planner_;
  ServiceReserve service_reserve_;
  QuotaManager quota_;
  Scheduler scheduler_;

  WaitingRequests waiting_requests_;
  JobReader job_reader_;
  JobSubmission submission_;
  JobCancellation cancellation_;
  JobCompletion completion_;
  HealthEndpoint health_;
  RequestLog request_log_;
  Gossip gossip_;
};

}  // namespace scheduler
