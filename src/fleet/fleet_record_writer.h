// Writes the records of the machines in the fleet. Only the fleet leader writes them.
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

// Collects changes of machines and answered scale-out requests, and writes them in one transaction
// at a time, each with as many changes as fit. If a write fails, its changes are dropped once the
// replica holds what was written instead; the caller detects the reason for a change again and
// requests it again.
class FleetRecordWriter {
 public:
  // Called after each write with the names of the scale-out requests whose records it removed.
  using OnWritten = std::function<void(const std::vector<std::string>& removed_scale_outs)>;
  FleetRecordWriter(const Context& context, OnWritten on_written);

  // Queues a change that records the machine with this state.
  void set_state(const std::string& id, wire::MachineRecord record, wire::MachineState state);
  // Queues the removal of the record of a terminated machine.
  void remove(const std::string& id);
  // Whether a change of the machine is queued or being written.
  [[nodiscard]] bool is_pending(const std::string& id) const { return pending_.contains(id); }
  // Called when the cloud has answered a scale-out request. The request's record is removed in the
  // transaction that records the last of its machines, or later.
  void settle_scale_out(const std::string& name, std::set<std::string> machines);
  // Drops all queued changes. Called when another controller is the fleet leader.
  void clear();
  // Writes queued changes, or splits a group of machines that is over the size limit.
  void write(Ms now);

 private:
  // The changes in one transaction.
  struct Batch {
    std::map<std::uint32_t, wire::FleetRecord> groups;
    std::set<std::string> machines;  // machines whose queued changes are done with this write
    std::vector<std::string> scale_out_requests;  // requests whose records are removed
  };

  [[nodiscard]] std::size_t machines_per_group() const;
  bool split_large_group();
  void add_pending_changes(Batch& batch) const;
  void add_change(Batch& batch, const std::string& id,
                  const std::optional<wire::MachineRecord>& record,
                  std::uint32_t& first_open_group) const;
  [[nodiscard]] std::uint32_t group_with_room(const Batch& batch, std::uint32_t first) const;
  wire::FleetRecord& batch_group(Batch& batch, std::uint32_t group) const;
  Transaction make_transaction(Batch& batch) const;
  void submit(Transaction transaction, std::function<void(Ms)> after_write);
  void on_settled(const Batch& batch);

  const Context& context_;
  OnWritten on_written_;
  std::map<std::string, std::optional<wire::MachineRecord>> pending_;  // nullopt: remove
  std::map<std::string, std::set<std::string>>
      settled_scale_outs_;  // by request: the machines that the cloud rented for it
  bool write_in_flight_ = false;
};

}  // namespace scheduler
