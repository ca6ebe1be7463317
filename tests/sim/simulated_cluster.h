// A small world for several cores: stand-ins for the state service, the cloud, workers and users,
// a network that delays, loses, holds back and repeats, and a referee that checks PROTOCOL's
// rules at every step. Everything follows from one seed.
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

namespace scheduler::sim {

enum class Fault : std::uint8_t {
  controller_crash,
  all_controllers_crash,
  state_outage,
  state_refuses_one,
  cut_from_state,
  cut_from_workers,
  zones_partitioned,
  machine_hangs,
  machine_dies,
  preemption_notice,
  machine_fails_tasks,
  cloud_outage,
  machine_unreachable,   // its reports arrive; answers and commands do not reach it
  duplicate_heartbeats,  // of reports, up to three leases late, to any controller
  controller_isolated,   // a controller has its workers, neither state service nor peers
  quick_restart,         // of a controller, back within a fraction of a second, and once more
  machine_restarts,      // with all counters low, within a fraction of a second
  process_pause,         // a controller, while its clocks run on; what comes meanwhile waits for it
  zone_cut,              // a zone from everything, the one without a controller or another
  peers_refuse,          // controllers each other's connections
  state_slow,            // the state service answers twenty times slower
  spot_wave,             // a third of the spot machines is taken, some without notice
  rolling_restart,       // of all controllers, one after the other
  job_burst,             // several jobs a second
  late_writes,           // transactions without an answer that are carried out 2 to 12 s later
  all_controllers_down,  // all controllers, for the given time
  controller_down,       // one controller, for the given time
  view_changes,          // ten restarts, one after the other, within the given time
  failback,  // a controller leaves, returns, all end, and it alone returns within a second
  refused_then_outage,      // the state service refuses one, a second later all, for the given time
  machine_heartbeats_lost,  // reaches no controller; direct commands reach it
  heartbeats_delayed,       // until the owner of another view has acted, and then to it
  slow_links,               // between controllers and workers, up to 1.5 s each way
  cancel_now,               // of many running jobs at once, while some of their machines hang
  cancel_at_end,            // of jobs whose last task has just ended; questions and repeats as well
  invalid_requests,  // jobs that cannot run or lack a field, repeats, jobs that nobody submitted
  // Not among the random ones:
  state_reorders,    // answers of the state service overtake one another, up to 500 ms late
  watch_lags,        // only the state service's watches answer up to 500 ms late
  answers_lost,      // one transaction in twenty is carried out without an answer
  concurrent_reads,  // users ask at all nodes within milliseconds of each answer, and most cancel
  count
};

struct PlannedFault {
  Ms at = 0;
  Fault kind = Fault::controller_crash;
  std::size_t node = 0;
  Ms lasts = 0;
};

// What a run is like, and which of the world's own safeguards are taken out of it, to show that
// the referee sees what they prevent.
struct Options {
  std::uint64_t seed = 1;
  Ms fault_ms = 90'000;         // troubles and new jobs
  Ms recovery_ms = 240'000;     // everything works: all must come to an end
  bool until_finished = false;  // the run ends 40 s after all were told, if that is earlier
  bool faults = true;
  std::vector<PlannedFault> planned_faults;  // besides, or instead, of random ones
  std::vector<LinkCut> link_cuts;
  bool relays = false;  // controllers pass messages on for others
  int longest_task_s = 8;
  int gang_tenths = 2;
  double copied = 0.3;                         // share of reports of which late_copies makes a copy
  int free_team_tenths = 6;                    // share of jobs of the team without a limit
  Ms cancel_all_at = 0;                        // users cancel all jobs then; 0: never
  std::vector<std::pair<Ms, double>> cancels;  // when, and the share of the jobs under way
  double uneven = 0;  // share of jobs of two or three tasks that end far apart
  Fault random_faults_before = Fault::state_reorders;  // random troubles are those before it
  double limit_cpus = 40;                              // of team "tight"
  double mistaken = 0.03;                              // share of jobs that fail on every machine
  double repeated = 0.02;  // share of requests of which a copy is executed again later
  // Size: machines at the start, what the cloud has of each zone and kind, the largest array, and
  // milliseconds between jobs on average.
  int machines = 6, capacity = 3, largest_array = 60;
  int job_every_ms = 1500;
  int controllers = 3;
  // What a controller is told that it may hold; 0: nothing is stated.
  double memory_mb = 0;
  int sockets = 0;
  // Rates that controllers are told, and whether the state service and the cloud keep to them.
  double state_writes_per_s = 150, cloud_rps = 5;
  bool enforces_rates = false;
  unsigned txn_ops = 24;
  double gang_wait_s = 6, gang_peer_s = 2;
  int spot_every = 0;  // of so many machines at the start one is a spot machine; 0: none
  // Rules, gangs and watches are looked at so often, and workers move on. Large fleets are sampled.
  Ms check_every_ms = 20, worker_step_ms = 50;
  bool one_large_array = false;  // the third job, and no other, has so many tasks
  Ms jobs_until_ms = 0;          // new jobs until then; 0: as long as there are troubles
  std::uint32_t large_gang = 0;  // tasks of one gang of whole machines, as the tenth job
  double bound = 0;              // share of jobs that `together` or `yard` binds to one zone
  double cancel_s = 20;
  std::uint64_t changes_kept = 10'000;  // by the state service, for watches
  double state_rps = 400;  // requests that the state service allows, as controllers are told
  // Share of jobs that are services, of which half are cancelled when they have run for 20 to 60 s,
  // the others in calm after `services_calm_ms`; and share of replicas that end by themselves.
  double services = 0;
  Ms services_calm_ms = 60'000;
  double replicas_end = 0;
  // All controllers begin as the production version. Each is ended once and comes back with the new
  // one, in an order drawn from the seed: the first at `upgrade_from`, each other that much later.
  Ms upgrade_from = 0;  // 0: the new version from the start
  Ms upgrade_every = 8000;
  // The limits of the state service from then on, without notice; 0: never.
  Ms limits_drop_at = 0;
  StateLimits limits_after{8, 2 * 1024, 28};
  std::string trace;  // prints what mentions this (a machine, a job) to standard error
  // Taken out:
  bool state_ignores_conditions = false;
  bool workers_ignore_tokens = false;
  bool workers_ignore_incarnations = false;
  double heartbeat_interval_s = 1, lease_s = 8;  // of workers
  Ms dead_listed_ms = 5000;           // for which a dead machine is still listed as running
  double believed_lease_share = 1.0;  // the lease that cores believe in, of the workers' real one
  Ms starts_ignored_from = 0;         // by workers; 0: never
  // Changes what a controller answered a user, as a fault of the controller would.
  std::function<void(const Request&, Ms now, int& status, std::string& body)> forge;
};

struct Result {
  std::vector<std::string> violations;  // rules, each with what happened
  std::vector<std::string> unfinished;  // jobs not over at the end
  int accepted = 0, done = 0, cancelled = 0, starts = 0, gangs_done = 0, spread_done = 0;
  int stopped_saved = 0;
  std::uint64_t writes = 0;  // of the state service
  // Jobs that could have been over by the end, and those that were, by class, team and the largest
  // tenth of each class; and how many of the largest had not begun after four minutes.
  std::map<std::string, std::pair<int, int>> served;
  bool large_gang_done = false;
  // Transactions that the state service refuses for their size, and for their rate.
  int over_limits = 0, throttled = 0;
  // Values stored at the last turn of the upgrade that are too large for the lowered limits, and
  // those when the limits drop.
  int oversized_at_upgrade = 0, oversized_at_drop = 0;
  int largest_late = 0, largest_seen = 0;
  // Most that were served in a second: requests, and changes.
  int peak_requests = 0, peak_writes = 0;
  int running_returned = 0;  // tasks that ran on machines in good order as these were returned
  int live_returns = 0;      // machines in good order that were returned, while there were troubles
  // Tasks that ended with a lease, and those of them begun elsewhere before the zone was back.
  int lost_by_lease = 0, back_in_cut = 0;
  // What the planned meetings brought about: reports that arrived after another controller had
  // acted, jobs called off or asked about as they ended, odd requests that got an answer, starts on
  // machines that reach nobody, and halts or starts that a machine carried out after hanging.
  int delayed_heartbeats_arrived = 0, requests_at_end = 0, invalid_requests_answered = 0,
      starts_without_heartbeats = 0, late_commands = 0;
  int cancelled_hanging = 0, old_heartbeats = 0, zone_losses = 0;
  int quarantined_starts = 0;  // on machines that had been deaf for longer than a lease
  // Answers to /healthz of a controller isolated for over 10 s, and in an outage that all share.
  int isolated_healthy = 0, isolated_unhealthy = 0, outage_healthy = 0, outage_unhealthy = 0;
  int too_large = 0;  // answers over what a controller takes in
  double longest_pass_ms =
      0;  // of real time, in one input of a controller; differs from run to run
  int list_pages = 0, cloud_throttled = 0;  // of the cloud: pages of its list, refusals
  int machines = 0, most_machines = 0;      // rented at the end, and at most
  int machines_heard = 0;     // of those that are up, the ones that a controller has in its part
  int watches_too_old = 0;    // answered 410: the controller reads everything again
  int users_at_isolated = 0;  // requests of users that an isolated controller answered
  int concurrent_reads = 0;   // answers after which users asked at all nodes at once
  std::vector<std::pair<Ms, Ms>> cancellations;  // confirmed: when first asked for, and when told
  // Services accepted; replicas that ended by themselves, and starts of those that had run before;
  // seconds of replicas in calm that were due, of accepted services with room, and were served.
  int services = 0, replicas_ended = 0, replica_restarts = 0;
  int replica_s_due = 0, replica_s_served = 0;
  // Replicas that began again after their machine had died, and how long they were away in all.
  int replicas_back = 0;
  Ms replicas_away_ms = 0;
  // Of runs with link cuts: for each worker that was up as a cut began, how long it took until a
  // controller's word reached it (at most until the cut's end); and by controller, how often it was
  // asked for its health and did not answer 200.
  std::vector<Ms> unserved_ms;
  std::map<std::string, int> unhealthy;
  int views = 0;
  std::uint64_t fingerprint = 0;            // of all outputs of controllers (sim/fingerprint.h)
  int late_applied = 0, late_void = 0;      // late transactions that changed something, or failed
  std::map<std::string, double> most_used;  // CPUs, by team
};

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

  void at(Ms time, std::function<void()> action);
  std::size_t any_controller_index() {
    return static_cast<std::size_t>(random(static_cast<int>(controllers_.size())));
  }
  SimulatedWorker* worker_at(const std::string& address);
  // Keeps the longest time that a controller took for one input.
  void timed(const std::function<void()>& pass);
  int machines_heard() const;
  int random(int below) { return static_cast<int>(random_(static_cast<std::uint32_t>(below))); }
  bool chance(double p) { return random(1'000'000) < p * 1'000'000; }
  Ms network_delay() { return chance(0.01) ? 200 + random(300) : 1 + random(8); }
  Ms worker_network_delay() { return slow_links_ ? 200 + random(1300) : network_delay(); }
  void trace(const std::string& text) const;
  void report_violation(const std::string& rule, const std::string& what);

  Settings settings_of(const SimulatedController& node) const;
  void plan_upgrade();
  int oversized_values() const;
  void start_controller(std::size_t i);
  void crash_controller(std::size_t i, Ms controller_down = 0);  // 0: about what it takes
  void keep_down(std::size_t i, Ms lasts);
  void outage(Ms lasts);
  void carry_out_late(std::size_t i, const Call& call);
  // How much longer than usual an answer of the state service takes.
  Ms state_answer_delay(const Call& call);
  void tick_controller(std::size_t i, std::uint64_t generation);
  void tick_once(std::size_t i);
  void drain(std::size_t i);
  void send(std::size_t i, const Call& call);
  void execute(const Call& call, std::size_t from, Respond respond);
  void send_to_controller(std::size_t i, const Request& request, const std::string& from_zone,
                          Respond respond);
  void plan_link_cut(const LinkCut& cut);
  void served(SimulatedWorker& w);
  // The link goes down, and up again, for as long as it is to flap.
  void flap(const LinkCut& cut, Ms until);
  // The far end of a controller's call, as in LinkCut.
  std::string end_of(const Call& call);
  // Also of the regional services and users, whose zone is "".
  bool partitioned(const std::string& a, const std::string& b) const;
  // An input of a controller: at once, or when it no longer stands still.
  void input(std::size_t i, std::function<void(Controller&)> deliver);
  void resume_controller(std::size_t i);

  void add_machine(const std::string& zone, bool spot, Ms up_at, const std::string& scale_out_name);
  void tick_worker(const std::string& id, std::uint64_t life);
  void send_heartbeat(SimulatedWorker& w);
  void execute_commands(SimulatedWorker& w, const wire::Json& orders);
  void delay_heartbeat(const std::string& id, std::uint64_t token, const std::string& body,
                       Ms until);
  std::string heartbeat_body(SimulatedWorker& w);
  void step_worker(SimulatedWorker& w);
  void expire_worker_lease(SimulatedWorker& w);
  void check_start(SimulatedWorker& w, const wire::TaskId& task);
  void check_cancelled_start(const SubmittedJob& job, const wire::TaskId& task,
                             const SimulatedWorker& w);
  std::string reason_never_to_run(const wire::JobSpec& spec) const;
  void check_accepted(const SubmittedJob& job);
  void check_all();
  // In calm: who waits although there is room.
  void check_waiting();
  bool has_room(const SubmittedJob& job, const std::map<std::string, double>& used) const;
  double free_cpus(const SimulatedWorker& w) const;
  std::map<std::string, double> used_cpus() const;
  void end_task(SimulatedWorker& w, const wire::TaskId& task, std::uint64_t attempt,
                wire::ExitCause cause, bool saved);
  void gang_step();
  void job_lost(const wire::TaskId& task);

  void new_job();
  void make_large_or_small(SubmittedJob& job);
  void submit(const std::string& id, int tries);
  void poll(const std::string& id, bool again = true);
  void ask_state(const std::string& id, std::size_t node, bool again);
  // Questions and repeated submissions at all nodes within a quarter of a second.
  void read_everywhere(const std::string& id);
  void send_invalid_request();
  void submit_invalid_job(bool malformed);
  void ends(const std::string& id);
  void cancel(const std::string& id, int tries);
  void told(const std::string& id, const std::string& status, Ms asked);

  bool service_is_next();
  void new_service();
  void check_refused(const SubmittedJob& job, int status);
  void replica_begins(SimulatedWorker& w, const wire::TaskId& task);
  void replica_ends(SimulatedWorker& w, const wire::TaskId& task);
  std::string room_for_replica(const SubmittedJob& job, const wire::TaskId& replica,
                               const std::map<std::string, double>& used) const;
  void check_services();

  // All that the machine has is gone.
  void clear_tasks(SimulatedWorker& w);
  void note_result(const std::string& key, const std::optional<std::string>& value);
  void report_history();
  void machine_dies(SimulatedWorker& w);
  void hang(SimulatedWorker& w, Ms lasts);
  void cancel_running(Ms lasts);
  void inject_fault();
  void inject_fault(Fault kind, std::size_t node, Ms lasts);
  void probe_health();
  void count_served();

  Options options_;
  Capacity capacity_;
  pcg32 random_;
  Ms now_ = 1;
  std::uint64_t order_ = 0;
  struct Event {
    Ms time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const {
      return time != o.time ? time > o.time : order > o.order;
    }
  };
  std::priority_queue<Event> events_;
  Settings settings_;
  std::vector<std::unique_ptr<SimulatedController>> controllers_;
  std::unique_ptr<FakeStateService> state_;
  std::unique_ptr<SimulatedCloud> cloud_;
  std::map<std::string, std::unique_ptr<SimulatedWorker>> workers_;
  std::map<std::string, SubmittedJob> jobs_;
  std::set<wire::TaskId> replicas_begun_;
  std::map<wire::TaskId, Ms> replica_down_since_;
  std::map<wire::TaskId, Ms> replica_lost_at_;  // with its machine, which died
  Ms services_from_ = 0;                        // none are submitted before
  // Machines that were ever told to start the task: where it may be.
  std::map<wire::TaskId, std::set<std::string>> started_on_;
  std::map<wire::TaskId, Ms> lost_;  // by the end of a lease, when; until begun again
  std::uint64_t next_request_ = 1;
  int next_job_ = 1, next_machine_ = 0;
  bool zones_partitioned_ = false, peers_refuse_ = false;
  LinkCuts link_cuts_;
  std::string cut_zone_;
  int state_slower_ = 1;
  Ms duplicate_heartbeats_until_ = 0, late_writes_until_ = 0;
  Ms state_reorders_until_ = 0, watch_lags_until_ = 0, answers_lost_until_ = 0;
  Ms concurrent_reads_until_ = 0;
  Ms heartbeats_delayed_until_ = 0, cancel_at_end_until_ = 0;
  Ms over_since_ = 0;  // all jobs
  int next_invalid_ = 0;
  std::uint64_t newest_epoch_ = 0;  // that any worker has heard of
  bool slow_links_ = false;
  bool recovering_ = false;
  history::Checker history_;
  Fingerprint fingerprint_;
  Result result_;
};

}  // namespace scheduler::sim
