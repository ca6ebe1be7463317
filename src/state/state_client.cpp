#include "state/state_client.h"

#include <algorithm>
#include <utility>

namespace scheduler {

namespace {

// Milliseconds between ticks while nothing is queued. More frequent ticks would cost more processor
// time for waking up than for the work.
constexpr std::int64_t kIdleTickMs = 100;

}  // namespace

StateClient::StateClient(const Settings& settings, Send send, Apply apply, Log log)
    : rates_(settings),
      connection_(std::move(send)),
      feed_(std::move(apply)),
      log_(settings, feed_, std::move(log)),
      loader_(connection_, feed_, log_, [this](Ms now) { tick(now); }),
      watch_(rates_, connection_, feed_, log_,
             {.on_applied =
                  [this](Ms now) {
                    loader_.on_applied();
                    barriers_.release(now);
                  },
              .on_fell_behind = [this](Ms now) { loader_.restart(now); }}),
      lease_(connection_, log_),
      barriers_(rates_, connection_, feed_, loader_, log_),
      transactions_({settings, rates_, connection_, feed_, loader_, lease_, log_}) {}

void StateClient::start(Ms now) {
  transactions_.start(now);
  loader_.restart(now);
  tick(now);
}

void StateClient::tick(Ms now) {
  loader_.tick(now);
  if (loader_.pages_read()) {
    watch_.tick(now);
    lease_.tick(now);
    barriers_.send_due(now);
  }
  barriers_.expire(now);
  transactions_.tick(now);
}

Ms StateClient::next_tick(Ms now) const {
  const Ms watch = loader_.pages_read() ? watch_.next_tick(now) : kNever;
  return std::min(
      {now + kIdleTickMs, transactions_.next_tick(now), barriers_.next_tick(now), watch});
}

void StateClient::on_pause(Ms now) {
  connection_.on_pause(now);
  lease_.on_pause(now);
  feed_.restart_behind_timer(now);
  barriers_.on_pause(now);
}

void StateClient::read(Ms now, const std::string& key, ResultHandler done) {
  connection_.request(now, "GET", wire::item_path(key), "", std::move(done));
}

}  // namespace scheduler
