#include "core/machine_list.h"

#include <utility>

#include "core/constants.h"

namespace puffinhaven::core {

namespace k = constants;

MachineList::MachineList(const Context& context, std::function<void(Ms now)> complete)
    : context_(context), complete_(std::move(complete)) {}

void MachineList::tick(Ms now) {
  if (busy_ || now < next_at_) return;
  busy_ = true;
  pages_.clear();
  read_page(now, "");
}

void MachineList::clear() {
  machines_.clear();
  listed_at_ = 0;
}

void MachineList::on_pause(Ms now) {
  clear();
  ++generation_;
  next_at_ = now;
}

void MachineList::read_page(Ms /*now*/, const std::string& after) {
  context_.call(Target::cloud, "", "GET", wire::machine_list_path(after, k::kListPage), "",
                k::kCloudTimeoutMs,
                [this, generation = generation_](Ms now, const Outcome& outcome) {
                  on_page(now, generation, outcome);
                });
}

void MachineList::on_page(Ms now, std::uint64_t generation, const Outcome& outcome) {
  bool more = false;
  const bool read = outcome.status == 200 && generation == generation_ &&
                    wire::parse_machine_list(outcome.body, pages_, more);
  if (read && more && !pages_.empty()) {
    read_page(now, pages_.back().id);
    return;
  }
  busy_ = false;
  next_at_ = now + k::kListEveryMs;
  if (!read) return;
  machines_.clear();
  for (auto& machine : pages_) machines_[machine.id] = std::move(machine);
  pages_.clear();
  listed_at_ = now;
  complete_(now);
}

}  // namespace puffinhaven::core
