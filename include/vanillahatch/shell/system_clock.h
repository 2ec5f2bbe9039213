// The operating system's clocks behind the project's clock type.
#pragma once

#include "vanillahatch/core/clock.h"

namespace vanillahatch {

class SystemClock : public Clock
{
public:
  Millis Now() const override;
  Millis UnixNow() const override;
};

} // namespace vanillahatch
