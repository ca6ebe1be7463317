// One controller as a state machine: inputs are requests, results of calls and the passing of time;
// outputs are calls to make, replies to give and lines to log. It does no input or output of its
// own and reads no clock.
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

struct PeerSend {
  std::string to;
  std::string bytes;
};

struct Output {
  std::vector<Call> calls;
  std::vector<HttpReply> replies;
  std::vector<PeerSend> peers;
  std::vector<LogLine> logs;
};

// Composition alone: it routes inputs to the components, gathers their outputs, and keeps the order
// of a tick. What is decided is decided by the components.
class Controller {
 public:
  // `seed` must differ between any two runs of the program: the incarnation comes from it.
  Controller(Settings settings, std::uint64_t seed);
  ~Controller() = default;
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;
  Controller(Controller&&) = delete;
  Controller& operator=(Controller&&) = delete;

  // `now`: steady clock, `wall`: time of day, both in milliseconds.
  void start(Ms now, Ms wall);
  void tick(Ms now, Ms wall);
  // A request of a user or a worker. Its reply, now or later, carries the same number.
  void on_request(Ms now, std::uint64_t request, const Request& r);
  // What came of a call.
  void on_result(Ms now, std::uint64_t id, const HttpResult& http_result);
  // A message of another controller.
  void on_peer(Ms now, std::string_view bytes);
  // When tick() should be called next, if nothing else happens.
  Ms next_tick(Ms now) const;
  Output take_output() { return std::exchange(out_, {}); }

  const Replica& replica() const { return replica_; }
  const Settings& settings() const { return settings_; }
  // In the view and with everything read.
  bool ready() const { return status_.ready(); }
  // One line about the state of things.
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
  // Acts on all that has changed since the last call.
  void on_changes_applied(Ms now);
  void on_machine_changed(Ms now, const std::string& id);
  void on_view(Ms now);
  void log_view(bool skipped);
  // Gives up machines that the view gives to others, and adds those that it gives to us.
  // `skipped`: views in between were not seen.
  void update_shard(Ms now, bool skipped);
  bool is_ours(const std::string& machine, const std::string& zone) const;

  // ---- inputs ----
  // To be called with every input: finds out whether the process was paused.
  void observe_input(Ms now);
  void on_pause(Ms now, Ms gap);
  // Everything written while we were paused is known once a read asked for after it has been
  // passed.
  void wait_until_resynchronised(Ms now, std::uint64_t pause);
  void update_membership(Ms now);
  bool is_peer(const std::string& name) const;

  Settings settings_;
  Capacity capacity_;
  pcg32 random_;
  pcg32 probe_random_;  // of probes alone, so that they change no other draw
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
