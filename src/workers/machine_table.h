// The machines of this controller's shard.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "membership/context.h"
#include "workers/machine.h"

namespace scheduler {

// Owns the state of each machine. The controller adds and removes machines according to the view
// and the records; the components of src/workers change single machines.
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

  // Adds a machine that now belongs to this controller's shard, or finds the existing entry.
  Map::iterator add(Ms now, const std::string& id);
  // Updates the machine from the stored records.
  void refresh_from_records(Machine& machine) const;
  // Current fencing token for commands to the machine.
  [[nodiscard]] std::uint64_t token(const Machine& machine) const {
    return ClusterView::token(context_.cluster_view.epoch(), machine.fence);
  }

  // ---- contact ----
  // Milliseconds without contact after which a machine gets no new tasks.
  [[nodiscard]] Ms unresponsive_after() const;
  // Milliseconds without contact after which a heartbeat is overdue and the machine is probed.
  [[nodiscard]] Ms overdue_after() const;
  // Milliseconds without contact after which this machine is probed; may be less than
  // overdue_after() for a machine that runs service replicas.
  [[nodiscard]] Ms probe_after(const Machine& machine) const;
  // Whether the machine is probed before its next heartbeat is overdue.
  [[nodiscard]] bool probed_early(const Machine& machine) const {
    return probe_after(machine) < overdue_after();
  }
  // Whether the machine's heartbeats are missing although it may answer direct messages. Only
  // replies to heartbeats renew its lease, so this guards against a machine that receives one task
  // after another and loses each with its lease.
  [[nodiscard]] bool heartbeats_missing(Ms now, const Machine& machine) const;
  // Whether the last contact is so recent that the machine is most likely alive.
  [[nodiscard]] bool contacted_recently(Ms now, const std::string& machine) const;
  // Whether tasks may be placed on the machine.
  [[nodiscard]] bool usable(Ms now, const Machine& machine) const;

 private:
  const Context& context_;
  Map machines_;
};

}  // namespace scheduler
