// The records of which machines there are. Only the fleet leader writes them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/types.h"
#include "membership/context.h"
#include "state/state_client.h"
#include "wire/records.h"

namespace scheduler {

// Gathers changes of machines and of settled scale-out requests, and writes them: one transaction
// at a time carries as much as fits. A change whose write did not succeed is dropped once the
// replica holds what was written instead; whoever asked for it finds its cause again.
class FleetRecordWriter {
 public:
  // Called with the names of scale-out requests that are forgotten, after each write.
  using Written = std::function<void(const std::vector<std::string>& forgotten_scale_outs)>;
  FleetRecordWriter(const Context& context, Written written);

  // Asks for the machine to be recorded with this standing.
  void set_state(const std::string& id, wire::MachineRecord record, wire::MachineState state);
  // Asks for the record of a machine that is gone to be removed.
  void forget(const std::string& id);
  // Whether a change of the machine waits to be written.
  [[nodiscard]] bool pending(const std::string& id) const { return pending_.contains(id); }
  // The cloud has answered a scale-out request; it is forgotten together with, or after, the
  // recording of the machines that it brought.
  void settle_scale_out(const std::string& name, std::set<std::string> machines);
  // Forgets what waits: another controller is the fleet leader now.
  void clear();
  // Writes what waits, or splits a group of machines that is over the limit.
  void write(Ms now);

 private:
  // What one transaction carries.
  struct Batch {
    std::map<std::uint32_t, wire::FleetRecord> groups;
    std::set<std::string> machines;               // whose changes it carries, or that need none
    std::vector<std::string> scale_out_requests;  // that are forgotten with it
  };

  [[nodiscard]] std::size_t machines_per_group() const;
  bool split_large_group();
  void add_machines(Batch& batch) const;
  [[nodiscard]] std::uint32_t group_with_room(const Batch& batch, std::uint32_t first) const;
  wire::FleetRecord& group_of_batch(Batch& batch, std::uint32_t group) const;
  Transaction transaction_of(Batch& batch) const;
  void submit(Transaction transaction, std::function<void(Ms)> settled);
  void on_settled(const Batch& batch);

  const Context& context_;
  Written written_;
  std::map<std::string, std::optional<wire::MachineRecord>> pending_;  // none: to be forgotten
  std::map<std::string, std::set<std::string>>
      settled_scale_outs_;  // with the machines they brought
  bool busy_ = false;
};

}  // namespace scheduler
