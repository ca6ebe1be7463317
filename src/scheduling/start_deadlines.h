// By when the tasks of a job must have started to meet the objectives of its class.
#pragma once

#include "base/types.h"
#include "scheduling/pending_order.h"
#include "state/replica.h"
#include "wire/messages.h"

namespace scheduler {

// The job as the order of pending work sees it: the objectives that it can still meet, as times by
// which its tasks must have started. `age_s`: seconds since its submission.
PendingJob pending_job(const Settings& settings, const Job& job, double age_s);

// Little time is left to start tasks of such a job for the next objective of its class.
bool is_urgent(const Settings& settings, const wire::JobSpec& spec, double age_s);

}  // namespace scheduler
