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
  using Contacts = std::map<std::string, wire::ShardRecord::Contact>;  // by machine
  // What is to be recorded of machines of one group; written together.
  struct ShardWrite {
    bool busy = false;
    Ms due = 0;
    Contacts pending;
  };

  // Pending entries follow their machines into the groups that these are in now.
  void regroup_pending();
  // Whether our record of the group has entries of machines that are in another group now.
  [[nodiscard]] bool has_strays(const wire::ShardRecord& record, std::uint32_t group) const;
  // Writes such entries into our records of the groups that their machines are in.
  void move_strays(std::uint32_t group, const wire::ShardRecord& record);

  // Looks for such entries in all our records now and then.
  void move_all_strays(Ms now);
  // Writes what is pending of one group, if it may be written now.
  void write_group(std::uint32_t group, ShardWrite& write);
  // Our record of the group with what is pending. `fleet`: which machines there are.
  [[nodiscard]] wire::ShardRecord next_record(std::uint32_t group, const ShardWrite& write,
                                              const wire::FleetRecord& fleet) const;
  void on_written(Ms now, std::uint32_t group, TxnResult result, const Contacts& sent);

  const Context& context_;
  MachineTable& machines_;
  std::map<std::uint32_t, ShardWrite> shard_writes_;  // by group
  std::size_t contact_writes_in_flight_ = 0;          // that change no machine's state
  Ms next_stray_check_ = 0;
};

}  // namespace scheduler
