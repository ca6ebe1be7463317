// A simulated cluster: several controllers, fakes of the state service, the cloud, workers and
// users, a network that delays, loses, reorders and duplicates messages, and an invariant checker
// that checks the rules of PROTOCOL at every step. A run is determined by its options, which
// include the seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "base/capacity.h"
#include "controller/controller.h"
#include "history/checker.h"
#include "sim/fake_state_service.h"
#include "sim/fingerprint.h"
#include "sim/link_cuts.h"
#include "sim/options.h"
#include "sim/result.h"

namespace scheduler::sim {

// Member functions are grouped by the file that defines them.
class SimulatedCluster {
 public:
  explicit SimulatedCluster(const Options& options);
  ~SimulatedCluster();
  Result run();

 private:
  struct SimulatedController;
  struct SimulatedCloud;
  struct SimulatedWorker;
  struct SubmittedJob;
  struct PendingCall;
  // A heartbeat that awaits its reply.
  struct Heartbeat {
    std::string worker;
    std::uint64_t number = 0;
    Ms sent_at = 0;
    std::uint64_t incarnation = 0;
  };
  using GangMember = std::pair<SimulatedWorker*, wire::TaskId>;
  using GangMembers = std::vector<GangMember>;

  // ---- the run (simulated_cluster.cpp) ----

  static Settings cluster_settings(const Options& options);
  void configure_state_service();
  void create_controllers();
  void plan_upgrade();
  void plan_submissions();
  void plan_checks(Ms end);
  void plan_cancellations();
  void begin_recovery();
  void end_network_faults();
  void end_controller_faults();
  void step();
  void collect_results();
  void count_accepted(const SubmittedJob& job);
  [[nodiscard]] int machines_known() const;
  // Number of values in the state service that are larger than Options::limits_after allows.
  [[nodiscard]] int oversized_values() const;
  void schedule_event(Ms time, std::function<void()> action);
  int random(int below) { return static_cast<int>(random_(static_cast<std::uint32_t>(below))); }
  bool chance(double p) { return random(1'000'000) < p * 1'000'000; }
  void trace(const std::string& text) const;

  // ---- controllers (controllers.cpp) ----

  [[nodiscard]] Settings settings_of(const SimulatedController& process) const;
  std::size_t random_controller_index() {
    return static_cast<std::size_t>(random(static_cast<int>(controllers_.size())));
  }
  void start_controller(std::size_t i);
  // `controller_down`: time until the controller is restarted; 0: a random time.
  void crash_controller(std::size_t i, Ms controller_down = 0);
  void keep_down(std::size_t i, Ms duration_ms);
  void resume_controller(std::size_t i);
  void tick_controller(std::size_t i, std::uint64_t generation);
  void tick_once(std::size_t i);
  // Delivers an input to a controller: immediately or, if the controller is paused, when it
  // resumes.
  void deliver_input(std::size_t i, std::function<void(Controller&)> handle_input);
  // Updates the longest time that a controller took to handle one input.
  void measure_input(const std::function<void()>& handle_input);
  // Sends all pending outputs of a controller.
  void send_outputs(std::size_t i);
  void send_to_peer(const SimulatedController& from, std::size_t to, const std::string& bytes);

  // ---- the network (network.cpp) ----

  Ms network_delay() { return chance(0.01) ? 200 + random(300) : 1 + random(8); }
  Ms worker_network_delay() { return slow_links_ ? 200 + random(1300) : network_delay(); }
  // Whether a partition separates two zones; "" stands for the regional services and the users.
  [[nodiscard]] bool partitioned(const std::string& a, const std::string& b) const;
  void plan_link_cut(const LinkCut& cut);
  // Takes the link down and up again, repeatedly until the given time.
  void flap(const LinkCut& cut, Ms until);
  // Records that a controller renewed the worker's lease or sent commands, or that the cut ended.
  void record_contact(SimulatedWorker& w);
  SimulatedWorker* worker_at(const std::string& address);
  std::string remote_end_of(const Call& call);
  void send(std::size_t i, const Call& call);
  bool blocked(const PendingCall& pending_call);
  bool reply_blocked(const PendingCall& pending_call);
  // Additional delay of a reply of the state service.
  Ms state_reply_delay(const Call& call);
  void send_reply(const std::shared_ptr<PendingCall>& pending_call, int status,
                  const std::string& body);
  void deliver_reply(const std::shared_ptr<PendingCall>& pending_call, int status,
                     std::string body);
  void execute_once_unblocked(const std::shared_ptr<PendingCall>& pending_call);
  void execute_late(const std::shared_ptr<PendingCall>& pending_call);
  void execute(const Call& call, std::size_t from, const Respond& respond);
  void execute_state_call(const Call& call, std::size_t from, const Respond& respond);
  void execute_worker_call(const Call& call, std::size_t from, const Respond& respond);
  void deliver_to_worker(SimulatedWorker& w, const Call& call, std::size_t from,
                         const Respond& respond);
  // `from_zone`: zone of the sending worker; "": a user sends the request.
  void send_to_controller(std::size_t i, const Request& request, const std::string& from_zone,
                          Respond respond);
  // Delivers a request without waiting for the reply.
  void deliver_request(std::size_t i, const Request& request);
  void await_reply(std::size_t i, const Request& request, bool worker, Respond respond);
  Respond delayed_by_slow_links(Respond respond);
  Respond reply_to_worker(std::size_t i, const std::string& zone, Respond respond);

  // ---- the cloud (cloud.cpp) ----

  void execute_cloud_call(const Call& call, const Respond& respond);
  void scale_out(const Call& call, const Respond& respond);
  void scale_in(const Call& call, const Respond& respond);
  void count_scale_in(const SimulatedWorker& w);
  void list_machines(const Call& call, const Respond& respond);

  // ---- machines (machines.cpp) ----

  void add_machine(const std::string& zone, bool spot, Ms up_at, const std::string& scale_out_name);
  void tick_worker(const std::string& id, std::uint64_t agent_generation);
  void expire_worker_lease(SimulatedWorker& w);
  // Removes all tasks from the machine.
  void clear_tasks(SimulatedWorker& w);
  std::string heartbeat_body(SimulatedWorker& w) const;
  void send_heartbeat(SimulatedWorker& w);
  void on_heartbeat_reply(const Heartbeat& heartbeat, int status, const std::string& body);
  void renew_worker_lease(SimulatedWorker& w, const Heartbeat& heartbeat, const wire::Json& reply);
  bool follow_redirect(SimulatedWorker& w, const std::string& owner);
  void try_next_controller(SimulatedWorker& w);
  void delay_heartbeat(std::uint64_t token, const Request& request, Ms until);

  // ---- tasks on machines (tasks.cpp) ----

  void execute_commands(SimulatedWorker& w, const wire::Json& commands);
  void start_task(SimulatedWorker& w, const wire::TaskId& task, std::uint64_t attempt);
  void stop_task(SimulatedWorker& w, const wire::TaskId& task, double grace_s);
  [[nodiscard]] double cpus_in_use(const SimulatedWorker& w) const;
  void step_worker(SimulatedWorker& w);
  void step_task(SimulatedWorker& w, const wire::TaskId& task);
  void finish_fetch(SimulatedWorker& w, const wire::TaskId& task);
  void run_task(SimulatedWorker& w, const wire::TaskId& task);
  void finish_checkpoint(SimulatedWorker& w, const wire::TaskId& task);
  void end_task(SimulatedWorker& w, const wire::TaskId& task, std::uint64_t attempt,
                wire::ExitCause cause, bool saved);
  void record_lease_expiry(const wire::TaskId& task);
  static double progress_at_checkpoint(const SubmittedJob& job, double work_ms);
  void step_gangs();
  void step_gang(const std::string& id, const GangMembers& members);
  static void start_gang(const SubmittedJob& job, const GangMembers& members);
  void end_gang_without_peers(const GangMembers& members);
  void run_gang(const std::string& id, const GangMembers& members);

  // ---- the invariant checker (invariant_checker.cpp) ----

  void report_violation(const std::string& rule, const std::string& what);
  void check_all();
  void check_reads_answered();
  void check_quotas(const std::map<std::string, double>& used);
  void check_start(const SimulatedWorker& w, const wire::TaskId& task);
  void check_runs_once(const SimulatedWorker& w, const wire::TaskId& task);
  void check_zones(const SimulatedWorker& w, const wire::TaskId& task);
  void check_cancelled_start(const SubmittedJob& job, const wire::TaskId& task,
                             const SimulatedWorker& w);
  void check_accepted(const SubmittedJob& job);
  // In the second phase, reports jobs that wait for too long although there is capacity for them.
  void check_waiting();
  [[nodiscard]] std::string reason_never_to_run(const wire::JobSpec& spec) const;
  [[nodiscard]] bool has_capacity(const SubmittedJob& job,
                                  const std::map<std::string, double>& used) const;
  [[nodiscard]] double free_cpus(const SimulatedWorker& w) const;
  [[nodiscard]] std::map<std::string, double> used_cpus() const;
  // Checks the job state in a reply to a user; `requested_at`: when the user sent the request.
  void on_job_state(const std::string& id, const std::string& status, Ms requested_at);
  void record_final_state(const std::string& key, const std::optional<std::string>& value);
  void report_history();

  // ---- users (users.cpp, invalid_requests.cpp) ----

  void submit_random_job();
  SubmittedJob random_job();
  void draw_placement(wire::JobSpec& spec, int kind);
  void make_large_gang(SubmittedJob& job) const;
  void make_large_or_small(SubmittedJob& job) const;
  static std::string job_request_body(const wire::JobSpec& spec);
  void submit(const std::string& id, int tries);
  void on_submission_reply(const std::string& id, int tries, Ms requested_at,
                           const HttpResult& reply);
  void on_accepted(const std::string& id, Ms requested_at, const HttpResult& reply);
  void follow_accepted(const SubmittedJob& job);
  void read_unknown_job();
  void poll(const std::string& id, bool repeat = true);
  void read_job(const std::string& id, std::size_t controller_index, bool repeat);
  // Sends reads to all controllers and repeated submissions, all within 250 ms.
  void read_everywhere(const std::string& id);
  void cancel(const std::string& id, int tries);
  void on_last_task_ended(const std::string& id);
  void send_invalid_request();
  std::string random_choice(const std::vector<std::string>& choices);
  void submit_invalid_job(bool malformed);
  void make_unrunnable(wire::JobSpec& spec);
  std::string malform(std::string body);
  std::pair<std::string, std::string> invalid_field();
  void on_invalid_job_reply(const std::string& id, bool malformed, const std::string& body,
                            int status);

  // ---- services (services.cpp) ----

  bool next_job_is_service();
  void submit_random_service();
  void check_refused(const SubmittedJob& job, int status);
  void on_replica_start(SimulatedWorker& w, const wire::TaskId& task);
  void exit_replica(SimulatedWorker& w, const wire::TaskId& task);
  [[nodiscard]] std::string machine_for_replica(const SubmittedJob& job,
                                                const wire::TaskId& replica,
                                                const std::map<std::string, double>& used) const;
  static double used_by(const std::string& team, const std::map<std::string, double>& used);
  [[nodiscard]] std::map<std::string, std::uint32_t> tasks_by_zone(const std::string& job) const;
  void check_services();
  void check_replica(const SubmittedJob& job, const wire::TaskId& replica, bool runs, bool placed,
                     const std::map<std::string, double>& used);

  // ---- faults (faults.cpp) ----

  void inject_fault();
  void inject_fault(Fault kind, std::size_t controller_index, Ms duration_ms);
  template <Ms SimulatedCluster::*Deadline>
  void set_until(std::size_t controller_index, Ms duration_ms);
  template <bool SimulatedCluster::*Flag>
  void set_for(std::size_t controller_index, Ms duration_ms);
  template <bool SimulatedController::*Flag>
  void set_on_controller(std::size_t controller_index, Ms duration_ms);
  void crash_one_controller(std::size_t controller_index, Ms duration_ms);
  void crash_all_controllers(std::size_t controller_index, Ms duration_ms);
  void restart_controller_twice(std::size_t controller_index, Ms duration_ms);
  void restart_controllers_in_turn(std::size_t controller_index, Ms duration_ms);
  void pause_controller(std::size_t controller_index, Ms duration_ms);
  void keep_all_controllers_down(std::size_t controller_index, Ms duration_ms);
  void crash_controllers_by_turns(std::size_t controller_index, Ms duration_ms);
  void fail_over_and_back(std::size_t controller_index, Ms duration_ms);
  void random_state_outage(std::size_t controller_index, Ms duration_ms);
  void refuse_one_then_all(std::size_t controller_index, Ms duration_ms);
  void slow_state_service(std::size_t controller_index, Ms duration_ms);
  void start_state_outage(Ms duration_ms);
  void isolate_controller(std::size_t controller_index, Ms duration_ms);
  void cut_off_zone(std::size_t controller_index, Ms duration_ms);
  void start_cloud_outage(std::size_t controller_index, Ms duration_ms);
  SimulatedWorker* random_running_machine();
  void hang_machine(std::size_t controller_index, Ms duration_ms);
  void fail_machine(std::size_t controller_index, Ms duration_ms);
  void restart_machine(std::size_t controller_index, Ms duration_ms);
  void make_machine_unreachable(std::size_t controller_index, Ms duration_ms);
  void lose_heartbeats(std::size_t controller_index, Ms duration_ms);
  // Whether the command starts a task of which the machine lists an earlier, exited attempt.
  static bool restarts_task(const SimulatedWorker& w, const wire::Json& command);
  // Begins to hold back the messages to the machine if this direct message restarts a task on it.
  void hold_restart(SimulatedWorker& w, const wire::Json& message);
  // Cancels the job, or preempts a machine with a task of it, other than the given one.
  void stop_job_elsewhere(const std::string& job, const std::string& held_machine);
  void make_machine_fail_tasks(std::size_t controller_index, Ms duration_ms);
  void give_preemption_notice(std::size_t controller_index, Ms duration_ms);
  void preempt_spot_machines(std::size_t controller_index, Ms duration_ms);
  void kill_machine(SimulatedWorker& w);
  void hang(SimulatedWorker& w, Ms duration_ms);
  void submit_burst(std::size_t controller_index, Ms duration_ms);
  void cancel_running(std::size_t controller_index, Ms duration_ms);
  void send_invalid_requests(std::size_t controller_index, Ms duration_ms);

  // ---- measurements (measurements.cpp) ----

  void probe_health();
  void count_served();

  // ---- time ----

  Options options_;
  pcg32 random_;
  Ms now_ = 1;
  std::uint64_t next_event_number_ = 0;  // number of the next event; orders events of the same time
  struct Event {
    Ms time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const {
      return time != o.time ? time > o.time : order > o.order;
    }
  };
  std::priority_queue<Event> events_;
  bool recovering_ = false;  // the second phase of the run
  Ms finished_since_ = 0;    // time since which all jobs have ended; 0: some have not

  // ---- parts of the cluster ----

  Settings settings_;
  Capacity capacity_;
  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::unique_ptr<FakeStateService> state_;
  std::unique_ptr<SimulatedCloud> cloud_;
  std::map<std::string, std::unique_ptr<SimulatedWorker>> workers_;
  std::map<std::string, SubmittedJob> jobs_;
  std::uint64_t next_request_ = 1;
  int next_job_ = 1, next_machine_ = 0, next_invalid_ = 0;
  Ms services_from_ = 0;  // no services are submitted before this time

  // ---- active faults ----

  LinkCuts link_cuts_;
  bool zones_partitioned_ = false, peers_refuse_ = false, slow_links_ = false;
  std::string cut_zone_;        // "": no zone is cut off
  int state_delay_factor_ = 1;  // factor of the delays to and from the state service
  Ms duplicate_heartbeats_until_ = 0, heartbeats_delayed_until_ = 0;
  Ms late_writes_until_ = 0, state_reorders_until_ = 0, watch_lags_until_ = 0;
  Ms replies_lost_until_ = 0, restarts_held_until_ = 0;
  Ms concurrent_reads_until_ = 0, cancel_at_end_until_ = 0;

  // ---- observations ----

  std::uint64_t newest_epoch_ = 0;  // newest epoch of the tokens that workers have received
  // Machines that received a start command for the task, by task: the task may run on any of them.
  std::map<wire::TaskId, std::set<std::string>> started_on_;
  // Time of a lease expiry that ended the task, until its next start.
  std::map<wire::TaskId, Ms> lease_expired_at_;
  std::set<wire::TaskId> replicas_started_;
  std::map<wire::TaskId, Ms> replica_down_since_;
  // Time at which the replica's machine failed, until its next start.
  std::map<wire::TaskId, Ms> replica_lost_at_;
  history::Checker history_;
  Fingerprint fingerprint_;
  Result result_;
};

}  // namespace scheduler::sim
