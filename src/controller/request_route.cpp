#include "controller/request_route.h"

#include <string_view>

#include "wire/messages.h"

namespace scheduler {

namespace {

// A path below that of the jobs: the name of a job, and perhaps what is to be done with it.
RequestRoute route_of_job(std::string job, bool get, bool post) {
  const std::string_view suffix = wire::kCancelSuffix;
  const bool cancel = job.ends_with(suffix);
  if (cancel) job.resize(job.size() - suffix.size());
  if (job.find('/') != std::string::npos) return {Operation::no_such_path, ""};
  if (cancel ? !post : !get) return {Operation::method_not_allowed, ""};
  if (!wire::valid_job_id(job)) return {Operation::no_such_job, ""};
  return {cancel ? Operation::cancel : Operation::poll, std::move(job)};
}

}  // namespace

RequestRoute route_of(const Request& request) {
  const std::string path = request.path.substr(0, request.path.find('?'));
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  const auto only_if = [](bool allowed, Operation operation) -> RequestRoute {
    return {allowed ? operation : Operation::method_not_allowed, ""};
  };
  if (path == wire::kHeartbeatPath) return only_if(post, Operation::heartbeat);
  if (path == wire::kHealthPath) return only_if(get, Operation::health);
  if (path == wire::kJobsPath) return only_if(post, Operation::submit);
  const std::string jobs = std::string(wire::kJobsPath) + "/";
  if (path.starts_with(jobs)) return route_of_job(path.substr(jobs.size()), get, post);
  return {Operation::no_such_path, ""};
}

}  // namespace scheduler
