// Computes the limits of members at one entry from the configured defaults and
// the exceptions in force.
//
//   auto limits = EffectiveMemberLimits(state, clock.UnixNow());
//
// The first limit has no name and applies to every member without an exception
// of its own. Exceptions expire, so the caller must recompute the limits
// periodically.
#pragma once

#include "vanillahatch/core/admission_queue.h"
#include "vanillahatch/core/clock.h"

#include "config.pb.h"

#include <vector>

namespace vanillahatch {

std::vector<MemberLimit> EffectiveMemberLimits(const v1::FleetState& aState,
                                               Millis aUnixNow);

} // namespace vanillahatch
