#include "vanillahatch/core/jobs/instance_lease.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// The platform guarantees that an instance's clock loses at most 2 percent.
constexpr int64_t kMinClockRatePercent = 98;
// Covers rounding of both clocks and the time an instance takes to end its
// runs.
constexpr Millis kExpiryMargin = Millis(150);

Millis MinElapsedOnInstance(Millis aElapsed)
{
  return aElapsed * kMinClockRatePercent / 100;
}

} // namespace

InstanceLease::InstanceLease(Millis aLongestLease, Millis aLastGrantAt)
  : longestLease_(aLongestLease)
  , earlierGrantsEndAt_(aLastGrantAt)
{
}

void InstanceLease::ExpectUnknownLease(Millis aLongestLease, Millis aNow)
{
  longestLease_ = std::max(longestLease_, aLongestLease);
  earlierGrantsEndAt_ = std::max(earlierGrantsEndAt_, aNow);
}

void InstanceLease::Observe(Millis aClock, Millis aNow)
{
  if (!sample_) {
    // An earlier leader may have granted a lease right before this reply.
    deadline_ = std::max(deadline_, aClock + longestLease_);
  }
  // Replies may arrive out of order; the larger lower bound is the tighter one.
  if (!sample_ || aClock >= ClockAt(aNow)) {
    sample_ = { .clock_ = aClock, .at_ = aNow };
  }
}

Millis InstanceLease::ClockAt(Millis aNow) const
{
  return sample_->clock_ + MinElapsedOnInstance(aNow - sample_->at_);
}

void InstanceLease::Extend(Millis aDeadline)
{
  deadline_ = std::max(deadline_, aDeadline);
}

bool InstanceLease::HaveEarlierGrantsExpired(Millis aNow) const
{
  return MinElapsedOnInstance(aNow - earlierGrantsEndAt_) >
         longestLease_ + kExpiryMargin;
}

bool InstanceLease::HasExpired(Millis aNow) const
{
  const bool hasOwnExpired =
    !sample_ || ClockAt(aNow) > deadline_ + kExpiryMargin;
  return HaveEarlierGrantsExpired(aNow) && hasOwnExpired;
}

} // namespace vanillahatch
