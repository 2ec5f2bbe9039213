// The operating system's clocks behind the project's clock type.
#pragma once

#include "vanillahatch/core/clock.h"

namespace vanillahatch {

// Monotonic, and counts on while the machine is suspended: permissions and
// leases run out meanwhile, and whoever wakes must see that.
Millis SuspendableNow();

class SystemClock : public Clock
{
public:
  Millis Now() const override;
  Millis UnixNow() const override;
};

} // namespace vanillahatch
