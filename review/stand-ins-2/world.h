// Stand-ins of the state service, the cloud, the workers and the users for the cases of this
// review. They follow PROTOCOL and run in one process on loopback; the controllers are separate
// processes.
#pragma once

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "wire/json.h"

namespace review {

using Ms = std::int64_t;
using scheduler::net::HttpClient;
using scheduler::net::HttpServer;

// Milliseconds since the start of the run.
Ms now_ms();

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct MachineType {
  std::string name;
  double cpus = 0, gpus = 0, memory_gb = 0, price = 0, spot_price = 0, boot_s = 0,
         fetch_gb_per_s = 1;
  std::vector<std::string> zones;
};

// The settings of a deployment. The defaults are those that several sites share.
struct Deployment {
  std::vector<std::string> controller_zones;  // one controller each
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<MachineType> types;
  std::string objectives;  // TOML
  double report_s = 5, lease_s = 22, gang_wait_s = 45, gang_peer_s = 6, cancel_s = 42;
  double state_rps = 200, state_write_rps = 50, value_kb = 8;
  int txn_ops = 24;
  // Limits that the settings announce (`state.next`); 0: none.
  double next_value_kb = 0, next_write_rps = 0;
  int next_txn_ops = 0;
  double cloud_rps = 6, list_lag_s = 10;
  double cpu_share = 0.12, ram_mb = 104;
  int fd_limit = 3000;
  double clock_off_ms = 25;
  int name_digits = 6;  // of the machines' names: n-000231
  double state_latency_ms = 4;
  double cloud_latency_ms = 100;
};

// What a user submits, and how long its tasks really run.
struct Job {
  std::string id, job_class, team, shape = "batch", rank = "standard", image;
  unsigned tasks = 1;
  double cpus = 1, gpus = 0, memory_gb = 1, image_gb = 0.5;
  std::string zone;             // empty: any
  std::set<std::string> types;  // empty: any
  bool together = false, scatter = false, standby = false;
  double estimate_s = 60, checkpoint_s = 0, save_s = 0;
  std::optional<double> due_s;
  double run_s = 60;

  bool gang() const { return shape == "ensemble"; }
  bool service() const { return shape == "daemon"; }
  std::string body() const;
};

// What the users know of a job.
struct JobView {
  Job job;
  bool sent = false, accepted = false, cancel_asked = false, cancel_told = false, done_told = false;
  Ms sent_at = 0, accepted_at = 0, cancel_told_at = 0;
  std::string last_status;
  std::string refused;  // status that is not retried
};

class World;

// The state service.
class StateService {
 public:
  explicit StateService(World& world) : world_(world) {}
  void serve(std::size_t node, const HttpServer::Request& request,
             std::function<void(int, std::string)> respond);
  void tick();
  void begin_outage() { outage_ = true; }
  void end_outage();
  std::set<std::size_t> refused_nodes;  // get 503
  // The network between these nodes and the service is cut: requests are held back, and carried out
  // in order when the cut ends. Their senders have given up by then.
  void cut(std::size_t node) { cut_nodes_.insert(node); }
  void end_cut(std::size_t node);
  double late_share = 0;  // transactions without an answer, carried out 2 to 12 s later
  double lost_share = 0;  // transactions carried out at once whose answer is lost
  double extra_latency_s = 0;
  bool newest_first = false;  // order of the events of a watch

 private:
  struct Item {
    std::string value;
    std::uint64_t stamp = 0, lease = 0;
  };
  struct Change {
    std::uint64_t stamp;
    std::string key;
    std::optional<std::string> value;
  };
  struct Lease {
    Ms expires_at, life;
  };
  struct Watch {
    std::size_t node;
    std::string prefix;
    std::uint64_t after;
    Ms until;
    std::function<void(int, std::string)> respond;
  };
  struct Bucket {
    double tokens = 0;
    Ms at = 0;
    bool take(double rate, double wanted);
  };
  void change(const std::string& key, std::optional<std::string> value);
  void transact(const std::string& body, const std::function<void(int, std::string)>& respond);
  void page(const std::map<std::string, std::string>& query,
            const std::function<void(int, std::string)>& respond);
  bool refuses(std::size_t node) const { return outage_ || refused_nodes.contains(node); }

  World& world_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<Watch> watches_;
  std::uint64_t ledger_ = 0, next_lease_ = 1;
  Bucket requests_, writes_;
  bool outage_ = false;
  std::set<std::size_t> cut_nodes_;
  std::map<std::size_t, std::vector<HttpServer::Request>> held_;
};

// Passes the bytes of TCP connections on, or holds them back, or refuses connections.
class Proxy {
 public:
  Proxy(asio::io_context& io, const std::string& listen, const std::string& target);
  void hold() { holding_ = true; }
  void pass();
  void refuse(bool refused) { refusing_ = refused; }

 private:
  struct Pair;
  void accept();
  void pump(const std::shared_ptr<Pair>& pair, bool forth);
  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::endpoint target_;
  bool holding_ = false, refusing_ = false;
  std::vector<std::function<void()>> held_;
};

using TaskKey = std::tuple<std::string, unsigned, std::uint64_t>;  // job, index, attempt

struct Task {
  std::string job;
  unsigned index = 0;
  std::uint64_t attempt = 0;
  std::string state = "fetching", cause;
  bool saved = false;
  Ms image_at = 0;     // when the image is there
  Ms waits_since = 0;  // gang
  Ms ends_at = 0;      // of a running task of an array
  bool on_machine() const {
    return state == "gathering" || state == "running" || state == "saving";
  }
};

// A worker and its machine.
class Machine {
 public:
  Machine(World& world, std::string id, const MachineType& type, std::string zone, bool spot);
  void start(std::size_t first_node);
  void tick();
  // The machine loses its power with all that is on it.
  void stop();
  void hang();
  // Ends the cut that far_nodes and hold_above describe.
  void rejoin();
  // A machine that hangs past its lease kills its tasks before anything else when it goes on.
  bool lost_lease() const;
  void go_on();

  std::string id, zone, endpoint;
  const MachineType& type;
  bool spot = false, up = false, gone = false;
  bool fails_tasks = false;         // every task that starts fails
  bool hangs = false;               // executes nothing, and may go on
  bool deaf = false;                // answers and direct commands to it are lost
  bool mute = false;                // its reports are lost
  std::set<std::size_t> far_nodes;  // controllers that its reports don't reach
  // Direct commands with a token above this are held back; 0: none are.
  std::uint64_t hold_above = 0;
  Ms taken_at = 0;  // when the cloud takes it back after a notice; 0: not at all
  Ms rented_at = 0, boots_until = 0, died_at = 0, gone_at = 0;
  std::set<std::string> images;
  std::map<TaskKey, Task> tasks;
  std::uint64_t shift = 1, tally = 0, baton = 0;

 private:
  friend class World;
  void report();
  void on_reply(Ms sent_at, std::uint64_t sent_shift, int status, const std::string& body);
  std::string report_body();
  void execute(const scheduler::wire::Json& orders);
  void start_task(const std::string& job, unsigned index, std::uint64_t attempt);
  void end_task(Task& task, const std::string& cause);
  void on_orders(std::uint64_t request, const HttpServer::Request& http);
  void changed() { changed_ = true; }

  World& world_;
  std::unique_ptr<HttpServer> server_;
  std::size_t node_ = 0;
  Ms lease_base_ = 0, next_report_at_ = 0, last_report_at_ = 0, hold_until_ = 0;
  bool in_flight_ = false, changed_ = false;
  Ms hangs_since_ = 0;
  std::vector<std::function<void()>> held_;  // what arrived while it hung
  std::vector<HttpServer::Request> held_orders_;
};

// The cloud.
class Cloud {
 public:
  explicit Cloud(World& world) : world_(world) {}
  void serve(const HttpServer::Request& request, std::function<void(int, std::string)> respond);
  Machine& rent(const std::string& type, const std::string& zone, bool spot, bool up_at_once);
  void tick();
  // No further machine of this type can be rented in this zone (empty: in any zone).
  std::set<std::pair<std::string, std::string>> full;
  std::map<std::string, std::unique_ptr<Machine>> machines;
  struct Hire {
    Ms at;
    std::string type, zone;
    bool spot;
    unsigned asked, got;
  };
  std::vector<Hire> hires;  // executed requests, in order
  std::vector<std::string> returned;

 private:
  World& world_;
  std::map<std::string, std::string> answers_;  // by name of the hire
  double tokens_ = 0;
  Ms tokens_at_ = 0;
  unsigned next_name_ = 1;
};

struct Controller {
  std::string name, zone, bind, peer, config, log;
  pid_t pid = 0;
  bool healthy = false, served = false;
};

struct GangRun {
  Ms started_at = 0, ends_at = 0, broken_at = 0;
  std::map<unsigned, Machine*> members;
};

class World {
 public:
  World(Deployment deployment, int argc, char** argv);
  ~World();

  // Writes a line to the record of the run.
  void note(const std::string& line);
  void after(double seconds, std::function<void()> action);
  void every(double seconds, std::function<void()> action);
  double random(double low, double high);

  void start_controller(std::size_t index);
  // The announced limits of the state service come into force.
  void lower_limits();
  void kill_controller(std::size_t index);
  void pause_controller(std::size_t index);
  void resume_controller(std::size_t index);

  // Users. submit() repeats until an answer is final; afterwards the job is polled every 5 s.
  void submit(const Job& job);
  void cancel(const std::string& id);

  // A task has its image on the machine; checks that it is on no other.
  void on_task_started(Machine& machine, Task& task);
  void on_task_left(Machine& machine, const Task& task, const std::string& how);

  // Ends the run: exit code 1 if a rule was broken, 2 if the run was no test, 0 otherwise.
  void finish(int code, const std::string& why);
  void broken(const std::string& rule, const std::string& what);
  int run(double limit_s);

  // Number of tasks of the job on machines, by zone.
  std::map<std::string, unsigned> running(const std::string& job);
  unsigned running_total(const std::string& job);

  Deployment deployment;
  bool trouble = true;
  asio::io_context io;
  HttpClient client;
  StateService state;
  Cloud cloud;
  std::vector<Controller> controllers;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Proxy>> peer_links;  // from, to
  std::map<std::string, JobView> jobs;
  std::map<std::pair<std::string, std::uint64_t>, GangRun> gangs;
  std::map<std::string, std::vector<std::pair<Ms, std::string>>> starts;  // by job: when, where
  std::set<std::pair<std::string, unsigned>> done_tasks;
  std::set<std::size_t> far_from_users;  // controllers that no user reaches
  double late_commands = 0;  // share of direct commands carried out 2 to 16 s late, unanswered
  double late_reports = 0;   // share of reports of which a copy arrives again later
  std::vector<std::string> violations;
  std::mt19937_64 generator;

 private:
  friend class Machine;
  friend class Cloud;
  void check_place(const Machine& machine, const Task& task, const Job& job);
  void submit_to(const std::string& id, std::size_t node);
  void cancel_at(const std::string& id, std::size_t node);
  void poll(const std::string& id);
  std::size_t pick_node();
  std::string free_address();
  void tick();

  std::string binary_, folder_, temporary_;
  std::ofstream record_;
  std::vector<std::unique_ptr<HttpServer>> state_servers_;
  std::unique_ptr<HttpServer> cloud_server_;
  std::size_t next_node_ = 0;
  int code_ = 2;
  bool finished_ = false;
};

}  // namespace review
