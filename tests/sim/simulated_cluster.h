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

enum class Trouble : std::uint8_t {
  crash_one,
  crash_all,
  state_outage,
  state_refuses_one,
  cut_from_state,
  cut_from_workers,
  zones_apart,
  machine_hangs,
  machine_dies,
  machine_noticed,
  machine_sick,
  cloud_outage,
  machine_deaf,      // its reports arrive; answers and commands do not reach it
  late_copies,       // of reports, up to three leases late, to any controller
  isolated,          // a controller has its workers, neither state service nor peers
  quick_restart,     // of a controller, back within a fraction of a second, and once more
  machine_restarts,  // with all counters low, within a fraction of a second
  stands_still,      // a controller, while its clocks run on; what comes meanwhile waits for it
  zone_cut,          // a zone from everything, the one without a controller or another
  peers_refuse,      // controllers each other's connections
  state_slow,        // the state service answers twenty times slower
  spot_wave,         // a third of the spot machines is taken, some without notice
  rolling_restart,   // of all controllers, one after the other
  job_burst,         // several jobs a second
  late_writes,       // transactions without an answer that are carried out 2 to 12 s later
  all_away,          // all controllers, for the given time
  away,              // one controller, for the given time
  views_change,      // ten restarts, one after the other, within the given time
  hand_back,         // a controller leaves, returns, all end, and it alone returns within a second
  refused_then_out,  // the state service refuses one, a second later all, for the given time
  machine_mute,      // reaches no controller; direct commands reach it
  reports_held,      // until the owner of another view has acted, and then to it
  links_slow,        // between controllers and workers, up to 1.5 s each way
  cancel_now,        // of many running jobs at once, while some of their machines hang
  cancel_at_end,     // of jobs whose last task has just ended; questions and repeats as well
  odd_requests,      // jobs that cannot run or lack a field, repeats, jobs that nobody submitted
  // Not among the random ones:
  state_reorders,  // answers of the state service overtake one another, up to 500 ms late
  watch_lags,      // only the state service's watches answer up to 500 ms late
  answers_lost,    // one transaction in twenty is carried out without an answer
  close_looks,     // users ask at all nodes within milliseconds of each answer, and most cancel
  count
};

struct Planned {
  Ms at = 0;
  Trouble kind = Trouble::crash_one;
  std::size_t node = 0;
  Ms lasts = 0;
};

// What a run is like, and which of the world's own safeguards are taken out of it, to show that
// the referee sees what they prevent.
struct Options {
  std::uint64_t seed = 1;
  Ms busy_ms = 90'000;      // troubles and new jobs
  Ms calm_ms = 240'000;     // everything works: all must come to an end
  bool until_over = false;  // the run ends 40 s after all were told, if that is earlier
  bool troubles = true;
  std::vector<Planned> planned;  // besides, or instead, of random ones
  std::vector<LinkCut> link_cuts;
  bool relays = false;  // controllers pass messages on for others
  int longest_task_s = 8;
  int gang_tenths = 2;
  double copied = 0.3;                         // share of reports of which late_copies makes a copy
  int free_team_tenths = 6;                    // share of jobs of the team without a limit
  Ms cancel_all_at = 0;                        // users cancel all jobs then; 0: never
  std::vector<std::pair<Ms, double>> cancels;  // when, and the share of the jobs under way
  double uneven = 0;  // share of jobs of two or three tasks that end far apart
  Trouble mix_before = Trouble::state_reorders;  // random troubles are those before it
  double limit_cpus = 40;                        // of team "tight"
  double mistaken = 0.03;                        // share of jobs that fail on every machine
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
  double report_s = 1, lease_s = 8;   // of workers
  Ms dead_listed_ms = 5000;           // for which a dead machine is still listed as running
  double believed_lease_share = 1.0;  // the lease that cores believe in, of the workers' real one
  Ms starts_ignored_from = 0;         // by workers; 0: never
  // Changes what a controller answered a user, as a fault of the controller would.
  std::function<void(const Request&, Ms now, int& status, std::string& body)> forge;
};

struct Result {
  std::vector<std::string> broken;      // rules, each with what happened
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
  int held_arrived = 0, met_at_end = 0, odd_answered = 0, mute_starts = 0, late_orders = 0;
  int cancelled_hanging = 0, old_reports = 0, zone_losses = 0;
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
  int close_looks = 0;        // answers after which users asked at all nodes at once
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

class World {
 public:
  explicit World(const Options& options);
  ~World();
  Result run();

 private:
  struct Node;
  struct Cloud;
  struct Worker;
  struct UserJob;

  void at(Ms time, std::function<void()> action);
  std::size_t any_node() {
    return static_cast<std::size_t>(random(static_cast<int>(nodes_.size())));
  }
  Worker* worker_at(const std::string& address);
  // Keeps the longest time that a controller took for one input.
  void timed(const std::function<void()>& pass);
  int machines_heard() const;
  int random(int below) { return static_cast<int>(random_(static_cast<std::uint32_t>(below))); }
  bool chance(double p) { return random(1'000'000) < p * 1'000'000; }
  Ms hop() { return chance(0.01) ? 200 + random(300) : 1 + random(8); }
  Ms worker_hop() { return links_slow_ ? 200 + random(1300) : hop(); }
  void trace(const std::string& text) const;
  void broke(const std::string& rule, const std::string& what);

  Settings settings_of(const Node& node) const;
  void plan_upgrade();
  int oversized_values() const;
  void start_node(std::size_t i);
  void crash_node(std::size_t i, Ms away = 0);  // 0: about what it takes
  void keep_away(std::size_t i, Ms lasts);
  void outage(Ms lasts);
  void carry_out_late(std::size_t i, const Call& call);
  // How much longer than usual an answer of the state service takes.
  Ms state_answer_delay(const Call& call);
  void tick_node(std::size_t i, std::uint64_t generation);
  void tick_once(std::size_t i);
  void drain(std::size_t i);
  void send(std::size_t i, const Call& call);
  void execute(const Call& call, std::size_t from, Respond respond);
  void ask_node(std::size_t i, const Request& request, const std::string& from_zone,
                Respond respond);
  void plan_link_cut(const LinkCut& cut);
  void served(Worker& w);
  // The link goes down, and up again, for as long as it is to flap.
  void flap(const LinkCut& cut, Ms until);
  // The far end of a controller's call, as in LinkCut.
  std::string end_of(const Call& call);
  // Also of the regional services and users, whose zone is "".
  bool apart(const std::string& a, const std::string& b) const;
  // An input of a controller: at once, or when it no longer stands still.
  void input(std::size_t i, std::function<void(Controller&)> deliver);
  void wake_node(std::size_t i);

  void add_machine(const std::string& zone, bool spot, Ms up_at, const std::string& hire);
  void worker_tick(const std::string& id, std::uint64_t life);
  void worker_report(Worker& w);
  void worker_commands(Worker& w, const wire::Json& orders);
  void hold_report(const std::string& id, std::uint64_t token, const std::string& body, Ms until);
  std::string worker_body(Worker& w);
  void worker_step(Worker& w);
  void worker_lease(Worker& w);
  void check_start(Worker& w, const wire::TaskId& task);
  void check_cancelled_start(const UserJob& job, const wire::TaskId& task, const Worker& w);
  std::string reason_never_to_run(const wire::JobSpec& spec) const;
  void check_accepted(const UserJob& job);
  void check_all();
  // In calm: who waits although there is room.
  void check_waiting();
  bool has_room(const UserJob& job, const std::map<std::string, double>& used) const;
  double free_cpus(const Worker& w) const;
  std::map<std::string, double> used_cpus() const;
  void end_task(Worker& w, const wire::TaskId& task, std::uint64_t attempt, wire::ExitCause cause,
                bool saved);
  void gang_step();
  void job_lost(const wire::TaskId& task);

  void new_job();
  void make_large_or_small(UserJob& job);
  void submit(const std::string& id, int tries);
  void poll(const std::string& id, bool again = true);
  void ask_state(const std::string& id, std::size_t node, bool again);
  // Questions and repeated submissions at all nodes within a quarter of a second.
  void look_closely(const std::string& id);
  void odd_request();
  void odd_submission(bool malformed);
  void ends(const std::string& id);
  void cancel(const std::string& id, int tries);
  void told(const std::string& id, const std::string& status, Ms asked);

  bool service_is_next();
  void new_service();
  void check_refused(const UserJob& job, int status);
  void replica_begins(Worker& w, const wire::TaskId& task);
  void replica_ends(Worker& w, const wire::TaskId& task);
  std::string room_for_replica(const UserJob& job, const wire::TaskId& replica,
                               const std::map<std::string, double>& used) const;
  void check_services();

  // All that the machine has is gone.
  void clear_tasks(Worker& w);
  void note_result(const std::string& key, const std::optional<std::string>& value);
  void report_history();
  void machine_dies(Worker& w);
  void hang(Worker& w, Ms lasts);
  void cancel_running(Ms lasts);
  void trouble();
  void trouble(Trouble kind, std::size_t node, Ms lasts);
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
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unique_ptr<StateStandIn> state_;
  std::unique_ptr<Cloud> cloud_;
  std::map<std::string, std::unique_ptr<Worker>> workers_;
  std::map<std::string, UserJob> jobs_;
  std::set<wire::TaskId> replicas_begun_;
  std::map<wire::TaskId, Ms> replica_down_since_;
  std::map<wire::TaskId, Ms> replica_lost_at_;  // with its machine, which died
  Ms services_from_ = 0;                        // none are submitted before
  // Machines that were ever told to start the task: where it may be.
  std::map<wire::TaskId, std::set<std::string>> started_on_;
  std::map<wire::TaskId, Ms> lost_;  // by the end of a lease, when; until begun again
  std::uint64_t next_request_ = 1;
  int next_job_ = 1, next_machine_ = 0;
  bool zones_apart_ = false, peers_refuse_ = false;
  LinkCuts link_cuts_;
  std::string cut_zone_;
  int state_slower_ = 1;
  Ms late_copies_until_ = 0, late_writes_until_ = 0;
  Ms state_reorders_until_ = 0, watch_lags_until_ = 0, answers_lost_until_ = 0;
  Ms close_looks_until_ = 0;
  Ms reports_held_until_ = 0, cancel_at_end_until_ = 0;
  Ms over_since_ = 0;  // all jobs
  int next_odd_ = 0;
  std::uint64_t newest_epoch_ = 0;  // that any worker has heard of
  bool links_slow_ = false;
  bool calm_ = false;
  history::Checker history_;
  Fingerprint fingerprint_;
  Result result_;
};

}  // namespace scheduler::sim
