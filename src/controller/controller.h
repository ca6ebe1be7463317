// One controller as a state machine: inputs are requests, outcomes of calls and the passing of
// time; outputs are calls to make, answers to give and lines to log. It does no input or output
// of its own and reads no clock.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/capacity.h"
#include "base/types.h"
#include "fleet/fleet_coordinator.h"
#include "links/monitor.h"
#include "membership/cluster_view.h"
#include "membership/context.h"
#include "membership/format_switch.h"
#include "membership/membership_manager.h"
#include "quota/quota_leases.h"
#include "scheduling/pending_order.h"
#include "scheduling/placement.h"
#include "state/replica.h"
#include "state/state_client.h"
#include "wire/messages.h"
#include "wire/peer.h"
#include "workers/failure_tracker.h"
#include "workers/relay.h"

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

class Controller {
 public:
  // `seed` must differ between any two runs of the program: the incarnation comes from it.
  Controller(Settings settings, std::uint64_t seed);

  void start(Ms now, Ms wall);
  void tick(Ms now, Ms wall);
  void on_request(Ms now, std::uint64_t request, const Request& r);
  void on_result(Ms now, std::uint64_t call, const HttpResult& http_result);
  void on_peer(Ms now, std::string_view bytes);
  // When tick() should be called next, if nothing else happens.
  Ms next_tick(Ms now) const;
  Output take_output() { return std::exchange(out_, {}); }

  const Replica& replica() const { return replica_; }
  const Settings& settings() const { return settings_; }
  // In the view and with everything read.
  bool ready() const;
  std::string status_line(Ms now) const;

 private:
  // A task's attempt on a machine as last reported.
  struct ReportedTask {
    std::uint64_t attempt = 0;
    wire::TaskState state = wire::TaskState::fetching;
    wire::ExitCause cause = wire::ExitCause::none;
    bool checkpointed = false;
    Ms running_since = 0;
  };
  struct Machine {
    std::string id, address, type, zone;
    bool spot = false;
    std::uint64_t owned_since_epoch = 0;  // epoch
    bool token_confirmed = false;  // has shown a token of ours: no other answer counts for it
    std::uint64_t fence = 0;
    std::uint64_t highest_token_seen = 0;
    std::uint64_t start_token = 0;  // highest token with which a start was sent
    std::uint64_t incarnation = 0, sequence = 0;
    std::pair<std::uint64_t, std::uint64_t>
        last_heartbeat_counters;  // counters of the newest report
    Ms last_contact = 0;          // by a report or a direct answer
    Ms last_heartbeat = 0;        // by a report; only these keep its lease
    Ms lease_granted_at = 0;      // no answer that counts was given after this
    bool lease_known = false;
    bool preemption_notice = false;
    Ms preemption_at = 0;
    std::map<wire::TaskId, ReportedTask> tasks;
    std::map<wire::TaskId, std::pair<std::uint64_t, double>> stop_requests;  // attempt, grace
    std::map<wire::TaskId, std::uint64_t> unconfirmed_starts;  // attempt -> its last token
    std::map<wire::TaskId, Ms>
        start_blocked_since;  // starts that find no room although none is made
    std::vector<std::string> images;
    Ms full_until = 0;
    // From our records: whether the machine is recorded, and what is to become of it, including a
    // verdict of ours that is still to be written.
    bool recorded = false;
    wire::MachineState state = wire::MachineState::ready;
    // Reports show that a machine is there, not that anything reaches it. Only what it received
    // does: an answer to a direct message, a task that we started, a token that only we had given.
    Ms unreachable_since = 0;  // 0: no sign that it is out of reach
    std::uint64_t reachability_token =
        0;                            // a token that it can only show if something reached it since
    bool heartbeat_answered = false;  // a report of it, since it is of our part
    bool suspect = false;             // reports look old: late copies, or it has restarted
    // What we placed on it as seen by placement; rebuilt when something of it changes.
    mutable Candidate candidate;
    mutable bool candidate_known = false;
    bool commands_in_flight = false;
    bool resend_commands = false;
    Ms next_command_at = 0;
    Ms next_command_check = 0;  // when to look whether it needs a direct message
    int unanswered_commands = 0;
    bool relayed_command_unanswered = false;  // nor did it answer what a peer passed on
    Ms direct_command_failed_at =
        0;  // of the last command that was not passed on; 0: it was answered
    double reserved_cpus = 0, reserved_gpus = 0, reserved_memory = 0;
  };
  struct Released {
    std::uint64_t attempt = 0;
    bool done = false;
  };
  struct RangeState {
    bool busy = false;
    Ms retry_at = 0;
    Ms first_seen = 0;
    std::map<std::uint32_t, Released> released;                   // proven, to be recorded
    Ms released_since = 0;                                        // of the first of them
    std::map<std::uint32_t, wire::Placement> pending_placements;  // being written
    std::uint32_t cursor = 0;                                     // no unstarted task before it
    bool stop_requested = false;  // gang to be stopped in good order
    std::string_view waits_for;   // of a gang; for the log
    // A write of `placing` got no answer and may still be applied; until the record is written
    // again, which voids it, the placements count as made.
    bool write_uncertain = false;
    double cpus = 0, gpus = 0, memory_gb = 0;  // of each task in `placing`
  };
  // Resources of placements that are being written.
  struct Amounts {
    double cpus = 0, gpus = 0, memory_gb = 0;
  };
  // Machines of one part that are alike.
  using ShardMachineKind =
      std::tuple<std::string, std::string, std::string, bool>;  // part, type, zone, spot
  struct PendingCancellation {
    std::uint64_t request = 0;
    Ms deadline = 0;
  };

  // ---- pause.cpp ----
  // Called with every input. Finds out whether this controller has stood still.
  void detect_pause(Ms now);
  void on_pause(Ms now, Ms gap);
  void wait_until_resynchronised(Ms now, std::uint64_t resume);
  // Has stood still and has not yet heard from the state service what changed meanwhile.
  bool resynchronising(Ms now) const {
    return resynchronising_until_ != 0 && now < resynchronising_until_;
  }

  // ---- controller.cpp ----
  void call(Target target, std::string address, std::string method, std::string path,
            std::string body, Ms timeout, ResultHandler done);
  void reply(std::uint64_t request, int status, std::string body, int retry_after_s = 0);
  // For the log: a user's request that is not answered yet.
  struct UserRequest {
    std::string_view kind;
    Ms asked_at = 0;
  };
  void track_request(Ms now, std::uint64_t request, std::string_view kind);
  void log_reply(std::uint64_t request, int status);
  void log(LogLevel level, std::string text);
  // Lines of level debug are built only if this is true.
  bool logs_debug() const { return settings_.log_debug; }
  void on_record(Ms now, const wire::StoredItem& item);
  void on_changes_applied(Ms now);
  void on_view(Ms now);
  void discard_unrecorded_releases(const std::string& machine);
  std::map<std::string, Machine>::iterator add_machine(Ms now, const std::string& id);
  void update_membership(Ms now);
  wire::Compare view_unchanged() const { return context_.view_unchanged(); }
  bool can_write(Ms now) const {
    return ready() && state_client_.answering(now) && resynchronising_until_ == 0;
  }
  bool is_leader_of(std::string_view duty) const { return context_.is_leader_of(duty); }
  const Team* team(const std::string& name) const;

  struct SchedulingPass;  // pass.h

  // ---- services.cpp ----
  // Whether services may be accepted: every controller reads their records.
  bool services_enabled() const { return context_.services_enabled(); }
  // Records the format that all controllers support, once they do.
  void switch_format(Ms now);
  // Replicas of our services that are on no machine, in amounts of their team's limit. They are
  // kept free for them, so that nothing else starves a restart.
  Usage service_reserve(const std::string& team_name) const;
  void count_service_reserve();
  void place_service(SchedulingPass& pass, const RangeId& id, const Job& job,
                     const wire::RangeRecord& range);
  // What a replica's machine may be.
  struct ReplicaChoice {
    const wire::JobSpec* spec = nullptr;
    wire::TaskId replica;
    std::set<std::string> taken;                          // machines that have a replica
    std::optional<std::set<std::string>> zones;           // none: any
    std::optional<Ms> avoid_failures = kFailureMemoryMs;  // of the job, for so long
    bool without_replica = false;                         // not where the job has a replica
    bool contacted_recently = false;                      // only where a word came lately
  };
  int pick_for_replica(SchedulingPass& pass, const Job& job, std::uint32_t task);
  bool other_machine_left(const SchedulingPass& pass, const ReplicaChoice& choice) const;
  // One of our own machines, or -1.
  int pick_local_for_replica(SchedulingPass& pass, ReplicaChoice choice);
  std::vector<int> replica_candidates(const SchedulingPass& pass, const ReplicaChoice& choice,
                                      bool add_machine) const;
  bool contacted_recently(Ms now, const std::string& machine) const;
  // Machines that have a replica of the job, or are to get one.
  std::set<std::string> machines_of(const Job& job) const;
  // What a replica's end says about its job.
  void on_replica_end(Ms now, const Machine& m, const TaskRef& ref, const ReportedTask& seen);
  // Stops a replica whose machine is about to go, so that it starts elsewhere.
  static void move_replica(Machine& m, const wire::TaskId& task, std::uint64_t attempt);

  // ---- jobs.cpp ----
  void on_submit(Ms now, std::uint64_t request, const std::string& body);
  void on_job_recorded(Ms now, std::uint64_t request, const std::string& job);
  void on_cancel(Ms now, std::uint64_t request, const std::string& job, int tries);
  void write_cancelled(Ms now, std::uint64_t request, const std::string& job, int tries);
  void on_health(Ms now, std::uint64_t request);
  void reply_unavailable(std::uint64_t request, int retry_after_s);
  bool shed_load(std::uint64_t request);
  std::string verdict(const wire::JobSpec& spec) const;
  void finish_jobs(Ms now);
  void write_final_state(const std::string& id, const Job& job);

  // ---- job_answers.cpp ----
  struct JobStatus {
    bool known = false;  // false: nobody ever submitted it
    wire::JobState state = wire::JobState::queued;
    std::uint64_t done = 0, running = 0;  // tasks
  };
  using OnJobRead = std::function<void(Ms now, const JobStatus& reply)>;
  // Finds the job as of now or later. Whoever cannot be told is answered 503 or 429 at once, or at
  // `give_up`.
  void read_job(Ms now, std::uint64_t request, const std::string& job, Ms deadline,
                OnJobRead on_job_read);
  // Calls `then` once the replica is the job's state at revision `Store::watched()`, with nothing
  // newer. At `give_up` the request is answered 503 instead.
  void wait_until_job_settled(Ms now, std::uint64_t request, const std::string& job, Ms deadline,
                              const std::function<void(Ms now)>& then);
  void read_settled_job(Ms now, std::uint64_t request, const std::string& job,
                        const OnJobRead& on_job_read);
  void on_final_state_read(Ms now, std::uint64_t request, const std::string& job,
                           const HttpResult& http_result, const OnJobRead& on_job_read);
  void on_poll(Ms now, std::uint64_t request, const std::string& job);
  void wait_until_cancelled(Ms now, std::uint64_t request, const std::string& job);
  bool reply_if_cancelled(std::uint64_t request, const std::string& job);
  bool can_be_proven_soon(Ms now, const std::string& job) const;
  void reply_to_cancellations(Ms now);
  wire::JobState state_of(const Job& job) const;
  static JobStatus final_status(const wire::FinalStateRecord& record);
  // The newest revision of what the replica holds of the job; 0 if it holds nothing.
  std::uint64_t newest_revision(const std::string& job) const;
  // Which revision an answer about a job rests on.
  void log_job_reply(const std::string& job, wire::JobState state);

  // ---- reports.cpp ----
  void on_heartbeat(Ms now, std::uint64_t request, const std::string& body);
  // False when the report says nothing new.
  bool apply_heartbeat(Ms now, Machine& m, const wire::Heartbeat& heartbeat);
  void on_agent_restart(Ms now, Machine& m, const wire::Heartbeat& heartbeat);
  void mark_unreachable(Ms now, Machine& m);
  void reconcile(Ms now, Machine& m);
  void release_task(const TaskRef& ref, std::uint64_t attempt, bool done);
  void on_exit(Ms now, Machine& m, const TaskRef& ref, const ReportedTask& seen);
  std::uint64_t token(const Machine& m) const {
    return ClusterView::token(cluster_view_.epoch(), m.fence);
  }

  // ---- commands.cpp ----
  std::vector<wire::Command> commands_for(Ms now, Machine& m);
  void abandon_blocked_start(Ms now, Machine& m, const wire::TaskId& task, std::uint64_t attempt);
  bool needs_direct_command(const Machine& m, const std::vector<wire::Command>& commands_for) const;
  void log_command(const Machine& m, const wire::Command& command, const wire::Placement* placement,
                   std::string_view reason);
  // The task is not to be on any machine: cancelled, being stopped, or of a gang that failed.
  bool must_not_run(const Machine& m, const TaskRef& ref, const wire::Placement& p) const;
  bool has_unproven_absence(const Machine& m) const;
  void send_commands(Ms now, Machine& m, bool probe = false);
  // Session and sequence of a machine, by which messages are ordered.
  using Counters = std::pair<std::uint64_t, std::uint64_t>;
  // What is known of a message when it is sent.
  struct SentCommands {
    std::string machine;
    std::uint64_t owned_since_epoch = 0;  // epoch
    Counters counters;                    // of the machine
    bool suspect = false;                 // it left a message unanswered, or is silent
    bool relayed = false;                 // through a peer
    std::uint64_t pauses = 0;
  };
  void on_command_result(Ms now, const SentCommands& sent, const HttpResult& http_result);
  void on_commands_unanswered(Ms now, Machine& m, const SentCommands& sent);

  // ---- watch.cpp ----
  void check_machines(Ms now);
  void drain(Machine& m);
  void drain_before_preemption(Ms now, Machine& m);
  void learn_lease(Ms now, Machine& m) const;
  bool lease_expired(Ms now, const Machine& m) const;
  bool usable(Ms now, const Machine& m) const;
  bool heartbeats_missing(Ms now, const Machine& m) const;
  bool peers_acknowledged_epoch(std::uint64_t epoch) const;
  Ms unresponsive_after() const;
  Ms overdue_after() const;
  // How long a machine may be quiet before it is asked directly.
  Ms probe_after(const Machine& m) const;
  // The machine is asked before its next report is overdue.
  bool probed_early(const Machine& m) const { return probe_after(m) < overdue_after(); }
  // It has been asked and has not answered, for so long that it is most likely dead. `early`: of
  // the machines of its zone that are asked early.
  bool presumed_dead(Ms now, const Machine& m, const links::ContactCount& early) const;
  bool restart_elsewhere_first(const Machine& m) const;

  // ---- worker_links.cpp ----
  links::Moment moment(Ms now) const { return {now, now + wall_offset_}; }
  // Counts who is heard, and tells the links how many workers are expected to report.
  links::Census take_census(Ms now);
  // Asks samples of workers where the links call for it.
  void probe_zones(Ms now);
  // Asks workers for their status. `done` is told once whether any of them has answered.
  void probe_workers(const std::vector<std::string>& addresses,
                     const std::function<void(Ms now, bool answered)>& done);
  // Gives up our machines when our links to all of them are down and another's are not, and takes
  // them back once ours have been up for long enough.
  void update_reachability(Ms now);
  void reclaim_shard(Ms now);
  void set_unreachable(bool unreachable);
  // A decision that rests on the links, with its evidence.
  void log_decision(std::string_view subject, const links::Decision& decision);
  // Who is to pass a command on to the machine; none: it is sent directly.
  std::optional<std::string> relay_for(Ms now, const Machine& m) const;
  // A peer may reach the machine, and has not tried yet.
  bool may_be_reached(Ms now, const Machine& m) const;
  void redirect_heartbeat(Ms now, std::uint64_t request, const std::string& owner,
                          const wire::Heartbeat& heartbeat, const std::string& body);

  // ---- machine_records.cpp ----
  // What this controller wants recorded of machines of one group; written together.
  struct ShardWrite {
    bool busy = false;
    Ms due = 0;
    std::map<std::string, wire::ShardRecord::Contact> pending;
  };
  void refresh_from_records(Machine& m) const;  // from the records
  void record_machine_state(Ms now, Machine& m, wire::MachineState state, Ms within);
  void write_shard_records(Ms now);
  // Pending entries follow their machines into the groups that these are in now.
  void regroup_pending();
  // Whether our record of the group has entries of machines that are in another group now.
  bool has_strays(const wire::ShardRecord& record, std::uint32_t group) const;
  // Writes such entries into our records of the groups that their machines are in.
  void move_strays(std::uint32_t group, const wire::ShardRecord& record);
  double value_bytes() const { return context_.value_bytes(); }
  // What a value written by the former version may take; ours may too until all are new.
  double stored_value_bytes() const {
    const double now = services_enabled() ? 0.0 : settings_.stored_value_kb * 1024.0;
    return std::max(now, value_bytes());
  }

  // ---- schedule.cpp ----
  // When a range is served.
  struct SchedulingPriority {
    bool has_started = true;              // false: goes before all others with a few tasks
    bool misses_every_objective = false;  // meets none of its class's aims any more
    std::size_t place = 0;                // of its job among all that wait (order.h)
  };
  double age_s(Ms now, const Job& job) const;
  PendingJob pending_job(Ms now, const Job& job) const;
  double total_fleet_cpus(Ms now);  // of all machines that may be used
  // Little time is left to start its tasks for the next aim of its class.
  bool is_urgent(Ms now, const Job& job) const;
  void schedule(Ms now);
  Candidate& candidate(Ms now, const Machine& m) const;
  Candidate remote_candidate(Ms now, const std::string& id,
                             const wire::MachineRecord& record) const;
  void add_remote_candidates(SchedulingPass& pass);
  // Machines of the pool that the job may use, in that zone if one is named (indices).
  static const std::vector<int>& machines_for(SchedulingPass& pass, const wire::JobSpec& spec,
                                              const std::string& zone, bool remote);
  static void reserve(SchedulingPass& pass, const wire::JobSpec& spec, std::size_t tasks);
  void place_array(SchedulingPass& pass, const RangeId& id, const Job& job,
                   const wire::RangeRecord& range, const SchedulingPriority& scheduling_priority);
  // Machines with room that are sampled before all others for the tasks of one range.
  struct PreferredMachines {
    std::vector<int> with_image;        // if fetching it takes long
    std::vector<int> useless_to_gangs;  // spot or in use, while gangs need whole machines
  };
  bool is_whole_machine_gang(const wire::JobSpec& spec) const;
  PreferredMachines find_preferred(const SchedulingPass& pass, const wire::JobSpec& spec,
                                   const std::vector<int>& eligible) const;
  int pick_preferred(SchedulingPass& pass, const wire::JobSpec& spec,
                     const std::vector<int>& eligible, PreferredMachines& preferred);
  // Zones that the next task of the job may go to, of those of the pool.
  std::set<std::string> zones_open(const SchedulingPass& pass, const Job& job) const;
  // Changes what is booked on a machine for placements that are being written.
  void adjust_reservation(const std::string& machine, const wire::JobSpec& spec, int sign);
  // Counts them anew for machines of other parts: which machines these are has changed.
  void recount_remote_reservations();
  Ms pass_interval() const;
  void assign(SchedulingPass& pass, RangeState& work, const Job& job, std::uint32_t task,
              std::uint64_t attempt, int machine, bool booked);
  bool released(const TaskRef& ref, std::uint64_t attempt) const;
  static std::size_t open_tasks(const RangeState& work, const wire::RangeRecord& range);
  void drop_pending_placements(RangeState& work, std::size_t count);
  void clear_pending_placements(RangeState& work);
  bool is_unstarted(const RangeState& work, const wire::RangeRecord& range,
                    std::uint32_t task) const;
  double elapsed_s(Ms now, const Machine& m, const TaskRef& ref, std::uint64_t attempt) const;
  static Ms ends_at(Ms from, const wire::JobSpec& spec);

  // ---- gangs.cpp ----
  void place_gang(SchedulingPass& pass, const RangeId& id, const Job& job,
                  const wire::RangeRecord& range, bool has_started);
  std::vector<int> allocate_gang(SchedulingPass& pass, const wire::JobSpec& spec, bool remote,
                                 const std::string& only);
  // The machines of the first zone, or of all, that can hold the gang; empty: none can.
  std::vector<int> find_gang_allocation(SchedulingPass& pass, const wire::JobSpec& spec);
  void log_gang_wait(Ms now, const RangeId& id, const Job& job, RangeState& work,
                     std::string_view reason);

  // ---- preemption.cpp ----
  // `zones`: where the machine may be; none: anywhere.
  int preempt_for(SchedulingPass& pass, const wire::JobSpec& spec, bool is_urgent,
                  const std::set<std::string>* zones);

  // ---- ranges.cpp ----
  std::size_t max_placements(std::uint32_t tasks) const;
  std::vector<wire::JobRecord::Share> split_into_ranges(const wire::JobSpec& spec);
  struct ShardCapacity {
    double free_capacity = 0, capacity = 0, load = 0;  // in tasks of one job
  };
  std::map<std::string, ShardCapacity> shard_capacities(const wire::JobSpec& spec);
  static std::map<std::string, ShardCapacity>::iterator most_free(
      std::map<std::string, ShardCapacity>& parts, const std::string& first);
  // How many usable machines each part has, by kind; counted again after a second.
  const std::map<ShardMachineKind, std::size_t>& shard_machines();
  std::vector<wire::JobRecord::Share> limit_range_sizes(
      const wire::JobSpec& spec, const std::map<std::string, std::uint32_t>& given) const;
  void steal_ranges(Ms now, SchedulingPass& pass);
  double free_capacity_for(SchedulingPass& pass, const wire::JobSpec& spec) const;
  void write_stolen_range(const RangeId& from, std::uint32_t first, const RangeId& to);
  bool completes(const RangeId& id, const RangeState& w) const;
  bool must_write_now(Ms now, const RangeId& id, RangeState& w, bool may_queue_writes) const;
  // Ranges of one job that are still divided further, so that one transaction can end it.
  std::size_t max_ranges() const;
  static bool record_completions(const wire::JobSpec& spec, RangeState& work,
                                 wire::RangeRecord& record);
  static bool record_stop(const wire::JobSpec& spec, const RangeState& work,
                          wire::RangeRecord& record);
  void fit_placements(const wire::JobSpec& spec, RangeState& work, const wire::RangeRecord& record);
  void record_placements(const Job& job, const RangeState& work, wire::RangeRecord& record,
                         Transaction& t);
  bool write_pieces(const Job& job, const wire::RangeRecord& record, Transaction& t);
  void write_range(const RangeId& id);
  void on_range_written(Ms now, const RangeId& id, TxnResult result);

  // ---- grants.cpp ----
  bool quota_allows(SchedulingPass& pass, const wire::JobSpec& spec);
  // So many tasks wait for a larger grant.
  void add_quota_demand(const wire::JobSpec& spec, std::uint32_t tasks);
  void update_quota_leases(Ms now);

  // ---- peers.cpp ----
  void gossip(Ms now);
  void on_gossip(Ms now, const wire::GossipMessage& gossip_message);
  void log_link_changes(const wire::LinkRow& row);
  std::vector<std::string> recent_cancellations(Ms now);
  void remember_cancellation(Ms now, const std::string& id);
  void apply_gossiped_cancellations(Ms now, const std::vector<std::string>& jobs);
  // Cancelled by our records, or by a peer's word while we can't read them.
  bool is_cancelled(const std::string& id, const Job& job) const {
    return job.record.cancelled || gossiped_cancellations_.contains(id);
  }
  // A newer view exists that we cannot read: whoever it names gives the commands now.
  bool deposed(Ms now) const;

  Settings settings_;
  Capacity capacity_;
  pcg32 random_;
  pcg32 probe_random_;  // of probes alone, so that they change no other draw
  std::string incarnation_;
  Output out_;
  std::uint64_t next_call_ = 1;
  std::unordered_map<std::uint64_t, ResultHandler> handlers_;
  Ms wall_offset_ = 0;  // time of day minus steady time

  Replica replica_;
  StateClient state_client_;
  ClusterView cluster_view_;
  Context context_;
  FailureTracker failure_tracker_;
  FleetCoordinator fleet_;
  links::Monitor links_;
  MembershipManager membership_manager_;
  Relay relay_;
  FormatSwitch format_switch_;
  bool format_write_in_flight_ = false;
  std::map<std::string, Usage> service_reserve_;  // by team; see service_reserve()

  Ms last_input_at_ = 0;          // last input
  Ms resynchronising_until_ = 0;  // 0: not catching up after a pause
  std::uint64_t pauses_ = 0;
  bool reachability_write_in_flight_ = false;
  Ms next_reachability_check_ = 0;
  bool view_known_ = false;
  std::uint64_t known_epoch_ = 0;

  std::map<std::string, Machine> machines_;  // of our part
  std::map<RangeId, RangeState> range_states_;
  // Machines of other parts as placement sees them, kept until something about them changes.
  std::unordered_map<std::string, Candidate> remote_candidates_;
  std::unordered_map<std::string, Amounts> remote_reservations_;
  std::map<ShardMachineKind, std::size_t> shard_machines_;
  Ms shard_machines_at_ = 0;
  std::map<std::uint32_t, ShardWrite> shard_writes_;
  std::size_t contact_writes_in_flight_ = 0;  // under way that carry no verdict on a machine
  Ms next_stray_check_ = 0;                   // when to look for them next
  int direct_commands_in_flight_ = 0, probes_in_flight_ = 0;  // direct messages under way
  std::set<std::string> finishing_;
  std::set<std::string> jobs_to_check_;
  bool dirty_ = false;
  Ms schedule_after_ = 0;
  double fleet_cpus_ = 0;
  Ms fleet_cpus_at_ = 0;
  std::size_t waiting_requests_ = 0;
  std::uint64_t replies_delayed_ = 0;  // waits of when_settled()
  std::unordered_map<std::uint64_t, UserRequest>
      user_requests_;  // only while debug lines are wanted
  std::map<std::string, std::vector<PendingCancellation>>
      pending_cancellations_;  // by job; counted in the former
  std::map<std::string, bool> quota_write_in_flight_;
  std::set<std::string> quota_uncertain_;  // busy until written again
  std::map<std::string, wire::QuotaRecord::Amount> quota_demand_;
  std::map<std::string, Ms> quota_stuck_since_;      // with a grant too small for all that waits
  std::map<std::string, YieldMemory> quota_yields_;  // by team
  Ms next_quota_check_ = 0;

  bool serving_users_ = true;  // by the last verdict
  Ms next_gossip_ = 0;
  wire::LinkRow last_sent_row_;                   // our own links, as last told
  std::map<std::string, Ms> cancelled_at_;        // jobs, by when we read of it
  std::set<std::string> gossiped_cancellations_;  // jobs that a peer says are cancelled
  std::uint64_t newest_epoch_seen_ = 0;           // of any view heard of
  Ms next_machine_check_ = 0;
};

}  // namespace scheduler
