#include "controller/request_route.h"

#include <string_view>

#include "wire/messages.h"

namespace scheduler {

namespace {

// Routes a path below the path of the jobs. `job` is the rest of the path: a job id, followed by
// the cancel suffix if the job is to be cancelled.
RequestRoute route_of_job(std::string job, bool is_get, bool is_post) {
  const std::string_view suffix = wire::kCancelSuffix;
  const bool cancel = job.ends_with(suffix);
  if (cancel) job.resize(job.size() - suffix.size());
  if (job.find('/') != std::string::npos) return {Operation::no_such_path, ""};
  if (cancel ? !is_post : !is_get) return {Operation::method_not_allowed, ""};
  if (!wire::valid_job_id(job)) return {Operation::no_such_job, ""};
  return {cancel ? Operation::cancel : Operation::poll, std::move(job)};
}

}  // namespace

RequestRoute route_of(const Request& request) {
  const std::string path = request.path.substr(0, request.path.find('?'));
  const bool is_get = request.method == "GET";
  const bool is_post = request.method == "POST";
  const auto route_if = [](bool allowed, Operation operation) -> RequestRoute {
    return {allowed ? operation : Operation::method_not_allowed, ""};
  };
  if (path == wire::kHeartbeatPath) return route_if(is_post, Operation::heartbeat);
  if (path == wire::kHealthPath) return route_if(is_get, Operation::health);
  if (path == wire::kJobsPath) return route_if(is_post, Operation::submit);
  const std::string job_prefix = std::string(wire::kJobsPath) + "/";
  if (path.starts_with(job_prefix))
    return route_of_job(path.substr(job_prefix.size()), is_get, is_post);
  return {Operation::no_such_path, ""};
}

}  // namespace scheduler
