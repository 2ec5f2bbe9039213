// What is known of one instance's clock, and until when anything that was
// leased there may run.
//
// An instance measures leases on its own steady clock, which may be slow. It
// is read only from answers, so it is known as a lower bound that grows with
// the time passed here. A lease has lapsed for certain once that lower bound
// is past the latest deadline ever sent.
#pragma once

#include "vanillahatch/core/clock.h"

#include <optional>

namespace vanillahatch {

class InstanceLease
{
public:
  // `aLongest`: the longest lease that any leader gives. An earlier leader
  // may have given one up to `aNow`.
  InstanceLease(Millis aLongest, Millis aNow);

  // An answer came in at `aNow` that read `aClock` at the instance.
  void Observe(Millis aClock, Millis aNow);
  bool IsClockKnown() const { return sample_.has_value(); }
  // The clock must be known.
  Millis ObservedAt() const { return sample_->at_; }
  // Not later than the instance's clock at `aNow`. The clock must be known.
  Millis ClockAt(Millis aNow) const;

  // A deadline is on its way to the instance.
  void Extend(Millis aDeadline);
  // When what is leased there ends, as a time to aim renewals at.
  Millis Deadline() const { return deadline_; }
  // True once nothing that was leased can still run.
  bool HasLapsed(Millis aNow) const;

private:
  struct Sample
  {
    Millis clock_;
    Millis at_;
  };

  Millis longest_;
  Millis takenOverAt_;
  std::optional<Sample> sample_;
  Millis deadline_; // on the instance's clock
};

} // namespace vanillahatch
