#include "membership/context.h"

#include "base/log_event.h"
#include "wire/json.h"

namespace scheduler {

void Context::reply_unavailable(std::uint64_t request, int retry_after_s) const {
  reply(request, 503, wire::error_body("not now"), retry_after_s);
}

bool Context::is_member() const {
  const auto& live = replica.view().live;
  const auto own = live.find(settings.name);
  return own != live.end() && own->second == incarnation;
}

const Team* Context::team(const std::string& name) const {
  for (const Team& candidate : settings.teams)
    if (candidate.name == name) return &candidate;
  return nullptr;
}

void Context::log_decision(std::string_view subject, const links::Decision& decision) const {
  LogEvent event("decision");
  event.field("subject", subject).field("allowed", static_cast<int>(decision.allowed));
  event.field("reason", links::name(decision.reason));
  if (!decision.through.empty()) event.field("through", decision.through);
  event.field("evidence_age_ms", decision.evidence_age_ms);
  log(LogLevel::info, event.text());
}

}  // namespace scheduler
