#include "vanillahatch/core/jobs/instance_lease.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// An instance's clock may lose two percent (the platform's bound).
constexpr int64_t kSlowClockPercent = 98;
// Rounding of both clocks, and the time an instance takes to end its runs.
constexpr Millis kLapseSlack = Millis(150);

Millis AtLeast(Millis aElapsed)
{
  return aElapsed * kSlowClockPercent / 100;
}

} // namespace

InstanceLease::InstanceLease(Millis aLongest, Millis aNow)
  : longest_(aLongest)
  , takenOverAt_(aNow)
{
}

void InstanceLease::Observe(Millis aClock, Millis aNow)
{
  if (!sample_) {
    // Leases of earlier leaders end within this.
    deadline_ = std::max(deadline_, aClock + longest_);
  }
  // The larger lower bound is the better one; answers may overtake each other.
  if (!sample_ || aClock >= ClockAt(aNow)) {
    sample_ = { .clock_ = aClock, .at_ = aNow };
  }
}

Millis InstanceLease::ClockAt(Millis aNow) const
{
  return sample_->clock_ + AtLeast(aNow - sample_->at_);
}

void InstanceLease::Extend(Millis aDeadline)
{
  deadline_ = std::max(deadline_, aDeadline);
}

bool InstanceLease::HasLapsed(Millis aNow) const
{
  if (!sample_) {
    return AtLeast(aNow - takenOverAt_) > longest_ + kLapseSlack;
  }
  return ClockAt(aNow) > deadline_ + kLapseSlack;
}

} // namespace vanillahatch
