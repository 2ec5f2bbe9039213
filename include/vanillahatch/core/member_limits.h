// What the configuration allows members at one entry, worked out from the
// defaults and the exceptions in force.
//
//   std::vector<MemberLimit> limits = MemberLimitsOf(state, clock.UnixNow());
//
// The first limit carries no name and stands for every member without an
// exception of its own. Exceptions end by themselves, so the caller works the
// limits out again from time to time.
#pragma once

#include "vanillahatch/core/admission_queue.h"
#include "vanillahatch/core/clock.h"

#include "config.pb.h"

#include <vector>

namespace vanillahatch {

std::vector<MemberLimit> MemberLimitsOf(const v1::FleetState& aState,
                                        Millis aUnixNow);

} // namespace vanillahatch
