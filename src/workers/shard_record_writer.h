// Writes the records of the contacts with this controller's machines and of the states decided for
// them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "membership/context.h"
#include "wire/records.h"
#include "workers/machine_table.h"

namespace scheduler {

// The only writer of the shard records `part/NAME/G` of its own controller NAME. Many machines
// share a record and each record has one writer, so that a batch of machines that come or go costs
// few writes and no conflicts. The fleet leader writes which machines exist
// (fleet/fleet_record_writer.h), each controller the state of its own shard.
class ShardRecordWriter {
 public:
  ShardRecordWriter(const Context& context, MachineTable& machines)
      : context_(context), machines_(machines) {}

  // Schedules a write of the machine's address, incarnation and state within `max_delay`
  // milliseconds. A state never goes back to an earlier one.
  void record_machine_state(Ms now, Machine& machine, wire::MachineState state, Ms max_delay);
  // Submits the writes that are due.
  void write(Ms now);

 private:
  using Contacts = std::map<std::string, wire::ShardRecord::Contact>;  // by machine
  // Pending entries of the machines of one group, which are written together.
  struct ShardWrite {
    bool busy = false;  // the group's record is being written
    Ms due = 0;         // when to write the entries; 0: no write is scheduled
    Contacts pending;
  };

  // Moves pending entries to the current groups of their machines.
  void regroup_pending();
  // Whether this controller's record of the group has entries of machines that are now in another
  // group.
  [[nodiscard]] bool has_misplaced_entries(const wire::ShardRecord& record,
                                           std::uint32_t group) const;
  // Moves the entries of machines that are now in another group to this controller's records of the
  // machines' current groups.
  void move_misplaced_entries(std::uint32_t group, const wire::ShardRecord& record);

  // At intervals, checks all records of this controller for entries of machines that are now in
  // another group, and moves them.
  void move_all_misplaced_entries(Ms now);
  // Submits the pending entries of one group, unless the write must wait.
  void write_group(std::uint32_t group, ShardWrite& write);
  // This controller's record of the group with the pending entries applied. `fleet`: the existing
  // machines of the group.
  [[nodiscard]] wire::ShardRecord next_record(std::uint32_t group, const ShardWrite& write,
                                              const wire::FleetRecord& fleet) const;
  void on_written(Ms now, std::uint32_t group, TxnResult result, const Contacts& sent);

  const Context& context_;
  MachineTable& machines_;
  std::map<std::uint32_t, ShardWrite> shard_writes_;  // by group
  std::size_t contact_writes_in_flight_ = 0;          // writes that change no machine's state
  Ms next_misplaced_check_ = 0;
};

}  // namespace scheduler
