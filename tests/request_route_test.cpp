// Tests of the mapping from HTTP requests to operations.
#include "controller/request_route.h"

#include <gtest/gtest.h>

namespace scheduler {
namespace {

Operation operation(const char* method, const char* path) {
  return route_of({method, path, ""}).operation;
}

TEST(RequestRoute, EachPathAcceptsOnlyItsMethod) {
  EXPECT_EQ(operation("POST", "/hello"), Operation::heartbeat);
  EXPECT_EQ(operation("GET", "/healthz?full=1"), Operation::health);
  EXPECT_EQ(operation("POST", "/v1/jobs"), Operation::submit);
  EXPECT_EQ(operation("GET", "/v1/jobs/req-000001"), Operation::poll);
  EXPECT_EQ(operation("POST", "/v1/jobs/req-000001/withdraw"), Operation::cancel);
  for (const char* path : {"/hello", "/v1/jobs", "/v1/jobs/req-000001/withdraw"})
    EXPECT_EQ(operation("GET", path), Operation::method_not_allowed) << path;
  for (const char* path : {"/healthz", "/v1/jobs/req-000001"})
    EXPECT_EQ(operation("POST", path), Operation::method_not_allowed) << path;
}

TEST(RequestRoute, UnknownPathsAndInvalidJobIdsAreDistinguished) {
  EXPECT_EQ(operation("GET", "/"), Operation::no_such_path);
  EXPECT_EQ(operation("GET", "/v1/jobs/a/b"), Operation::no_such_path);
  EXPECT_EQ(operation("GET", "/v1/jobs/x"), Operation::no_such_job);
  EXPECT_EQ(operation("POST", "/v1/jobs/x/withdraw"), Operation::no_such_job);
  EXPECT_EQ(route_of({"GET", "/v1/jobs/req-000001", ""}).job, "req-000001");
}

}  // namespace
}  // namespace scheduler
