// Implements Clock with the clocks of the operating system.
#pragma once

#include "vanillahatch/core/clock.h"

namespace vanillahatch {

// Monotonic time since boot, including the time in which the machine was
// suspended: permissions and leases expire during a suspension, and a process
// that resumes must observe that.
Millis BootTimeNow();

class SystemClock : public Clock
{
public:
  Millis Now() const override;
  Millis UnixNow() const override;
};

} // namespace vanillahatch
