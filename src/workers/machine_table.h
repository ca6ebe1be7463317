// The machines of this controller's shard.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "membership/context.h"
#include "workers/machine.h"

namespace scheduler {

// Owns what this controller knows of each machine. Which machines are in it follows the view and
// the records; the components of src/workers change single machines.
class MachineTable {
 public:
  using Map = std::map<std::string, Machine>;

  explicit MachineTable(const Context& context) : context_(context) {}

  Map::iterator begin() { return machines_.begin(); }
  Map::iterator end() { return machines_.end(); }
  [[nodiscard]] Map::const_iterator begin() const { return machines_.begin(); }
  [[nodiscard]] Map::const_iterator end() const { return machines_.end(); }
  Map::iterator find(const std::string& id) { return machines_.find(id); }
  [[nodiscard]] Map::const_iterator find(const std::string& id) const { return machines_.find(id); }
  [[nodiscard]] bool contains(const std::string& id) const { return machines_.contains(id); }
  Machine& at(const std::string& id) { return machines_.at(id); }
  [[nodiscard]] std::size_t size() const { return machines_.size(); }
  Map::iterator erase(Map::iterator machine) { return machines_.erase(machine); }
  template <typename Predicate>
  void erase_if(Predicate&& predicate) {
    std::erase_if(machines_, std::forward<Predicate>(predicate));
  }

  // Adds a machine that is of our shard now, or finds it.
  Map::iterator add(Ms now, const std::string& id);
  // Takes over what the records say of the machine.
  void refresh_from_records(Machine& machine) const;
  // The fencing token of commands to the machine.
  [[nodiscard]] std::uint64_t token(const Machine& machine) const {
    return ClusterView::token(context_.cluster_view.epoch(), machine.fence);
  }

  // ---- contact ----
  // Milliseconds without contact after which a machine gets nothing new.
  [[nodiscard]] Ms unresponsive_after() const;
  // Milliseconds without contact after which a heartbeat is overdue and the machine is asked.
  [[nodiscard]] Ms overdue_after() const;
  // The same for this machine, which may be asked earlier.
  [[nodiscard]] Ms probe_after(const Machine& machine) const;
  // The machine is asked before its next heartbeat is overdue.
  [[nodiscard]] bool probed_early(const Machine& machine) const {
    return probe_after(machine) < overdue_after();
  }
  // It answers direct messages, but its heartbeats do not come, and only replies to those renew its
  // lease. Guards against a machine that draws task after task and loses each with its lease.
  [[nodiscard]] bool heartbeats_missing(Ms now, const Machine& machine) const;
  // There was contact so lately that it is most likely alive.
  [[nodiscard]] bool contacted_recently(Ms now, const std::string& machine) const;
  // Tasks may be placed on it.
  [[nodiscard]] bool usable(Ms now, const Machine& machine) const;

 private:
  const Context& context_;
  Map machines_;
};

}  // namespace scheduler
