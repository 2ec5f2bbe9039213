// How fast tasks that fill may work beside tasks that serve.
//
// Load that it answers: filling tasks share an instance with tasks whose
// response times have a target, and disturb them by amounts that nobody
// declares and that change within seconds. The listed tail is the only
// measurement, so the share of work is cut by half while the tail is near its
// target and raised in small steps while it is well below.
#pragma once

#include "vanillahatch/core/jobs/instance_view.h"

#include <vector>

namespace vanillahatch {

struct PaceChange
{
  TaskRef task_;
  uint32_t run_ = 0;
  uint32_t percent_ = 100;
};

// Changes that one fresh listing of the instance calls for.
std::vector<PaceChange> PaceFillers(const InstanceView& aView);

// True if the instance carries both kinds, so that it must be listed often.
bool NeedsPacing(const InstanceView& aView);

} // namespace vanillahatch
