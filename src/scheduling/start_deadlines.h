// Computes by when the tasks of a job must have started to meet the objectives of its class.
#pragma once

#include "base/types.h"
#include "scheduling/pending_order.h"
#include "state/replica.h"
#include "wire/messages.h"

namespace scheduler {

// Returns the job as input to the order of pending work, with the latest start time for each
// objective that it can still meet. `age_s`: seconds since its submission.
PendingJob pending_job(const Settings& settings, const Job& job, double age_s);

// True for services, and for other jobs if little time is left to start tasks of the job for the
// next objective of its class that can still be met.
bool is_urgent(const Settings& settings, const wire::JobSpec& spec, double age_s);

}  // namespace scheduler
