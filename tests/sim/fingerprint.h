// A hash of all messages that the controllers of a simulated run send, in order. It differs if a
// code change alters the behaviour of the controllers.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string_view>

#include "controller/controller.h"

namespace scheduler::sim {

// Hashes the outputs of controllers: calls, replies and messages to peers, but no log lines.
class Fingerprint {
 public:
  Fingerprint() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }

  // `controller_index`: the controller that sends the output. `now`: simulated time in
  // milliseconds.
  void add(Ms now, std::size_t controller_index, const Output& output) {
    for (const auto& call : output.calls) {
      add_header(now, controller_index, Kind::call);
      add_number(call.id);
      add_number(static_cast<std::uint64_t>(call.target));
      add_text(call.address);
      add_text(call.method);
      add_text(call.path);
      add_text(call.body);
      add_number(static_cast<std::uint64_t>(call.timeout));
    }
    for (const auto& answer : output.replies) {
      add_header(now, controller_index, Kind::answer);
      add_number(answer.request);
      add_number(static_cast<std::uint64_t>(answer.status));
      add_text(answer.body);
      add_number(static_cast<std::uint64_t>(answer.retry_after_s));
    }
    for (const auto& message : output.peers) {
      add_header(now, controller_index, Kind::peer_message);
      add_text(message.to);
      add_text(message.bytes);
    }
  }

  [[nodiscard]] std::uint64_t value() const { return XXH3_64bits_digest(state_.get()); }

 private:
  enum class Kind : std::uint8_t { call, answer, peer_message };
  struct Release {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };

  void add_header(Ms now, std::size_t controller_index, Kind kind) {
    add_number(static_cast<std::uint64_t>(now));
    add_number(controller_index);
    add_number(static_cast<std::uint64_t>(kind));
  }
  void add_number(std::uint64_t number) {
    XXH3_64bits_update(state_.get(), &number, sizeof(number));
  }
  // Also hashes the length, so that two consecutive texts differ from the same characters divided
  // at another place.
  void add_text(std::string_view text) {
    add_number(text.size());
    XXH3_64bits_update(state_.get(), text.data(), text.size());
  }

  std::unique_ptr<XXH3_state_t, Release> state_;
};

}  // namespace scheduler::sim
