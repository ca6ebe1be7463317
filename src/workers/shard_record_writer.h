// The records of what this controller heard from the machines of its shard and decided on them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "membership/context.h"
#include "wire/records.h"
#include "workers/machine_table.h"

namespace scheduler {

// The one writer of `part/NAME/G` for its own NAME. Many machines share a record and each record
// has one writer, so that a wave of machines coming or going costs a few writes and no conflicts:
// the fleet leader writes which machines there are (fleet/fleet_record_writer.h), each
// controller its own shard's state.
class ShardRecordWriter {
 public:
  ShardRecordWriter(const Context& context, MachineTable& machines)
      : context_(context), machines_(machines) {}

  // Asks for the machine's address, incarnation and state to be recorded within so many
  // milliseconds. States are never taken back.
  void record_machine_state(Ms now, Machine& machine, wire::MachineState state, Ms within);
  // Writes what is due.
  void write(Ms now);

 private:
  // What is to be recorded of machines of one group; written together.
  struct ShardWrite {
    bool busy = false;
    Ms due = 0;
    std::map<std::string, wire::ShardRecord::Contact> pending;
  };

  // Pending entries follow their machines into the groups that these are in now.
  void regroup_pending();
  // Whether our record of the group has entries of machines that are in another group now.
  bool has_strays(const wire::ShardRecord& record, std::uint32_t group) const;
  // Writes such entries into our records of the groups that their machines are in.
  void move_strays(std::uint32_t group, const wire::ShardRecord& record);

  const Context& context_;
  MachineTable& machines_;
  std::map<std::uint32_t, ShardWrite> shard_writes_;  // by group
  std::size_t contact_writes_in_flight_ = 0;          // that change no machine's state
  Ms next_stray_check_ = 0;
};

}  // namespace scheduler
