// Throttles best-effort tasks that share an instance with latency-sensitive
// ones.
//
// Best-effort tasks disturb tasks that have a target for their tail latency, by
// amounts that are not declared and that change within seconds. The listed tail
// latency is the only measurement, so the pace of best-effort tasks is halved
// while the tail is near its target, and raised in small steps while it is well
// below.
#pragma once

#include "vanillahatch/core/jobs/instance_view.h"

#include <vector>

namespace vanillahatch {

// An order to run a task at a part of its full speed.
struct PaceChange
{
  TaskRef task_;
  uint32_t run_ = 0;
  uint32_t percent_ = 100; // 0 suspends the task
};

// Returns the pace changes that follow from the latest listing of the instance.
std::vector<PaceChange> PaceBestEffortTasks(const InstanceView& aView);

// True if the instance runs both kinds of tasks, so that it must be listed
// often.
bool NeedsPacing(const InstanceView& aView);

} // namespace vanillahatch
