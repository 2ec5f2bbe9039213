// Tracks the lease of the runs on one instance, and determines when it has
// expired for certain.
//
// An instance measures leases on its own steady clock, which may run slow. Its
// clock is sampled from replies, and the local time since the latest sample
// gives a lower bound of its current value. A lease of this leader has expired
// once that bound is past the latest deadline that was sent. A lease of an
// earlier leader has expired once its length has passed on the slowest clock
// since that leader can have granted it last.
#pragma once

#include "vanillahatch/core/clock.h"

#include <optional>

namespace vanillahatch {

class InstanceLease
{
public:
  // `aLongestLease`: the longest lease that any leader grants.
  // `aLastGrantAt`: an earlier leader may have granted one until then.
  InstanceLease(Millis aLongestLease, Millis aLastGrantAt);

  // The instance may hold a lease of up to `aLongestLease` that was granted
  // until `aNow` on other clocks than the known one.
  void ExpectUnknownLease(Millis aLongestLease, Millis aNow);

  // True once no lease of an earlier leader, or of unknown length, can hold.
  bool HaveEarlierGrantsExpired(Millis aNow) const;

  // Records a reply that arrived at `aNow` with the instance's clock `aClock`.
  void Observe(Millis aClock, Millis aNow);
  bool IsClockKnown() const { return sample_.has_value(); }
  // Local time of the latest sample. The clock must be known.
  Millis ObservedAt() const { return sample_->at_; }
  // Lower bound of the instance's clock at `aNow`. The clock must be known.
  Millis ClockAt(Millis aNow) const;

  // Records a deadline, on the instance's clock, that is sent to the instance.
  void Extend(Millis aDeadline);
  // The latest deadline, on the instance's clock; renewals must precede it.
  Millis Deadline() const { return deadline_; }
  // True once no run can continue under any lease, of this or an earlier
  // leader.
  bool HasExpired(Millis aNow) const;

private:
  struct Sample
  {
    Millis clock_; // of the instance
    Millis at_;    // local time
  };

  Millis longestLease_;
  Millis earlierGrantsEndAt_; // local time
  std::optional<Sample> sample_;
  Millis deadline_; // on the instance's clock
};

} // namespace vanillahatch
