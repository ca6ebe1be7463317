// The one picture of the links that every decision about reachability rests on.
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

// The two clocks. Ages of our own evidence follow the steady one, those of rows the time of day.
struct Moment {
  Ms now = 0;   // steady
  Ms wall = 0;  // time of day
};

struct MonitorSettings {
  std::string name;                // of this controller
  std::vector<std::string> peers;  // the other controllers that are configured
  Ms heartbeat_interval = 0;       // of workers
  Ms gossip_interval = 0;          // of messages between controllers
  bool relays = false;             // this controller passes messages on for others
};

// Joins this controller's own evidence with the rows of the others. It decides nothing that the
// rules depend on: those hold whatever it says, and it only chooses who serves.
class Monitor {
 public:
  // The links to the two services belong to those who send the requests.
  Monitor(MonitorSettings settings, const RequestLink& state, const RequestLink& cloud);

  // ---- evidence ----
  void peer_heard(Ms now, const std::string& peer);
  void merge(const Moment& moment, const wire::LinkRow& row);
  // Links to the workers of a zone. Zones beyond a bound share one entry.
  ZoneLinks& zone(const std::string& name);
  [[nodiscard]] const std::map<std::string, ZoneLinks>& zones() const { return zones_; }
  // So many workers of each zone report to this controller; none in zones that aren't named.
  void expect_workers(Ms now, const std::map<std::string, std::size_t>& by_zone);
  // Watches the link to the state service; to be called several times a second.
  void tick(Ms now);
  void on_pause(Ms now);

  // ---- what the others are told ----
  [[nodiscard]] wire::LinkRow row(const Moment& moment) const;
  // Our own row and those of others that are fresh.
  [[nodiscard]] std::vector<wire::LinkRow> rows_to_spread(const Moment& moment) const;
  [[nodiscard]] const Matrix& matrix() const { return matrix_; }
  [[nodiscard]] Status peer(Ms now, const std::string& name) const;

  // ---- decisions ----
  // Whether users should be sent here, as far as the link to the state service goes.
  [[nodiscard]] Decision may_serve_users(const Moment& moment) const;
  // Whether to go on owning machines. `others`: who could own them instead.
  [[nodiscard]] Decision may_keep_machines(const Moment& moment,
                                           const std::vector<std::string>& others) const;
  // After machines were given up: whether to own them again.
  [[nodiscard]] Decision may_reclaim_machines(Ms now) const;
  void on_machines_given_up(Ms now);
  // Result of a round of probes while machines are given up.
  void probed_while_given_up(Ms now, bool answered);
  // After being removed from the view: whether to join it again. `others_live`: somebody else
  // serves meanwhile.
  [[nodiscard]] Decision may_join(Ms now, bool others_live) const;
  void removed_from_view(Ms now);
  void joined_view() { out_of_view_ = false; }
  // Whether workers of a zone that are silent count as dead. `quiet`: how long this one is silent.
  [[nodiscard]] Decision may_declare_dead(const Moment& moment, const std::string& zone,
                                          const Census& census, Ms quiet) const;
  // Remembers which zones are mostly silent; to be called with each census.
  void note_census(Ms now, const Census& census);
  // The controller that should pass a message on to a worker of the zone, if any may reach it.
  [[nodiscard]] std::optional<std::string> relay_to(const Moment& moment,
                                                    const std::string& zone) const;
  // Whether heartbeats of workers of the zone should be passed on to their owner, which doesn't
  // hear them, instead of sending the workers there.
  [[nodiscard]] bool should_forward(const Moment& moment, const std::string& owner,
                                    const std::string& zone) const;
  // Whether the owner reaches workers of the zone, so that one may try whether heartbeats arrive
  // again.
  [[nodiscard]] bool commands_arrive(const std::string& owner, const std::string& zone) const;

 private:
  // A fresh row whose controller is known to reach the workers of the zone, or may.
  [[nodiscard]] static bool may_reach(const wire::LinkRow& row, const std::string& zone);
  // The controller has heard workers after our links to those zones went down, or knows none.
  static bool heard_since(const Moment& moment, const Matrix::Entry& entry,
                          const std::vector<std::string>& zones, Ms since_wall);

  MonitorSettings settings_;
  const RequestLink& state_;
  const RequestLink& cloud_;
  Matrix matrix_;
  std::map<std::string, PhiDetector> peers_;
  std::map<std::string, ZoneLinks> zones_;
  std::map<std::string, Ms>
      mostly_unresponsive_at_;  // by zone, at the last census that found it so
  // Most cuts from the state service come alone, and the workers of a controller's own zone are
  // best served by it: the first one costs nothing. Probes of workers tell less than their
  // heartbeats do.
  FlapDamper state_damper_{1};
  FlapDamper workers_damper_{0};
  bool out_of_view_ = false;  // after having been in it
  Ms state_up_since_ = 0;     // 0: it doesn't answer
  Ms workers_up_since_ = 0;   // while machines are given up; 0: probes go unanswered
};

}  // namespace scheduler::links
