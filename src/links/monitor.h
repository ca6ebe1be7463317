// Link state of this controller and its peers, used by all decisions about reachability.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "links/census.h"
#include "links/decision.h"
#include "links/flap_damper.h"
#include "links/matrix.h"
#include "links/phi_detector.h"
#include "links/request_link.h"
#include "links/types.h"
#include "links/zone_links.h"

namespace scheduler::links {

// Current time on both clocks. Ages of this controller's own evidence use the steady clock, those
// of rows the time of day.
struct Moment {
  Ms now = 0;   // steady
  Ms wall = 0;  // time of day
};

struct MonitorSettings {
  std::string name;                // of this controller
  std::vector<std::string> peers;  // the other controllers that are configured
  Ms heartbeat_interval = 0;       // of workers
  Ms gossip_interval = 0;          // of messages between controllers
  bool relays = false;             // this controller relays messages for others
};

// Combines this controller's own evidence with the rows of other controllers. The safety rules of
// the protocol don't depend on its decisions; they only choose which controller serves.
class Monitor {
 public:
  // The links to the two services are owned and updated by the modules that send the requests.
  Monitor(MonitorSettings settings, const RequestLink& state, const RequestLink& cloud);

  // ---- evidence ----
  void on_peer_message(Ms now, const std::string& peer);
  void merge(const Moment& moment, const wire::LinkRow& row);
  // Links to the workers of a zone. Zones beyond kMaxRowEntries share one entry.
  ZoneLinks& zone(const std::string& name);
  [[nodiscard]] const std::map<std::string, ZoneLinks>& zones() const { return zones_; }
  // Sets the number of workers of each zone that send heartbeats to this controller; 0 for zones
  // that are not listed.
  void expect_workers(Ms now, const std::map<std::string, std::size_t>& by_zone);
  // Updates the state of the link to the state service; call it several times a second.
  void tick(Ms now);
  void on_pause(Ms now);

  // ---- gossip ----
  [[nodiscard]] wire::LinkRow row(const Moment& moment) const;
  // This controller's own row and the fresh rows of others.
  [[nodiscard]] std::vector<wire::LinkRow> rows_to_gossip(const Moment& moment) const;
  [[nodiscard]] const Matrix& matrix() const { return matrix_; }
  [[nodiscard]] Status peer(Ms now, const std::string& name) const;

  // ---- decisions ----
  // Whether this controller should serve users, judged by its link to the state service.
  [[nodiscard]] Decision may_serve_users(const Moment& moment) const;
  // Whether to keep the machines of the shard. `others`: controllers that could own them instead.
  [[nodiscard]] Decision may_keep_machines(const Moment& moment,
                                           const std::vector<std::string>& others) const;
  // Whether to own machines again after they were given up.
  [[nodiscard]] Decision may_reclaim_machines(Ms now) const;
  void on_machines_given_up(Ms now);
  // Called with the result of a round of probes of workers while machines are given up.
  void on_reclaim_probe(Ms now, bool answered);
  // Whether to rejoin the view after being removed from it. `others_live`: another controller
  // serves meanwhile.
  [[nodiscard]] Decision may_join(Ms now, bool others_live) const;
  void on_removed_from_view(Ms now);
  void on_joined_view() { out_of_view_ = false; }
  // Whether a silent worker of the zone may be declared dead. `silent_ms`: milliseconds since the
  // last contact with it.
  [[nodiscard]] Decision may_declare_dead(const Moment& moment, const std::string& zone,
                                          const Census& census, Ms silent_ms) const;
  // Stores which zones are mostly silent; call it with each census.
  void record_census(Ms now, const Census& census);
  // The controller that should relay a message to a worker of the zone, if any may reach it.
  [[nodiscard]] std::optional<std::string> relay_to(const Moment& moment,
                                                    const std::string& zone) const;
  // Whether to relay heartbeats of workers of the zone to their owner instead of redirecting the
  // workers to it, because the owner's links to the zone are down.
  [[nodiscard]] bool should_forward(const Moment& moment, const std::string& owner,
                                    const std::string& zone) const;
  // Whether the owner's commands reach workers of the zone, so that one worker may test whether
  // heartbeats arrive there again.
  [[nodiscard]] bool commands_arrive(const std::string& owner, const std::string& zone) const;

 private:
  // Whether the controller of the row is known to reach the workers of the zone, or may reach them.
  [[nodiscard]] static bool may_reach(const wire::LinkRow& row, const std::string& zone);
  // Whether the controller has received heartbeats from these zones since this controller's links
  // to them went down, or knows of no workers at all.
  static bool reaches_workers_since(const Moment& moment, const Matrix::Entry& entry,
                                    const std::vector<std::string>& zones, Ms since_wall);

  MonitorSettings settings_;
  const RequestLink& state_;
  const RequestLink& cloud_;
  Matrix matrix_;
  std::map<std::string, PhiDetector> peers_;
  std::map<std::string, ZoneLinks> zones_;
  std::map<std::string, Ms>
      mostly_unresponsive_at_;  // by zone, time of the last census with most workers silent
  // The first failure of the link to the state service is free: such cuts are usually single, and a
  // controller serves the workers of its own zone best. The link to workers has no free failure,
  // because probes are weaker evidence than heartbeats.
  FlapDamper state_damper_{1};
  FlapDamper workers_damper_{0};
  bool out_of_view_ = false;  // after having been a member
  Ms state_up_since_ = 0;     // 0: the service doesn't answer
  Ms workers_up_since_ = 0;   // while machines are given up; 0: probes are unanswered
};

}  // namespace scheduler::links
