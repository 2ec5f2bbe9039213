// Short-term forecast of the work that arrives for one service.
//
// Demand peaks raise the demand of a queue within a few seconds to several
// times the capacity of its pool. A linear regression over the arrivals of the
// last two seconds detects the rise before a queue has built up, early enough
// for a machine that is moved at once to take part of the work.
//
//   DemandForecaster forecaster;
//   forecaster.RecordArrival(now, 5400);         // core-milliseconds
//   forecaster.ForecastCores(now, Seconds(2));   // cores busy two seconds
//   ahead
#pragma once

#include "vanillahatch/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillahatch {

class DemandForecaster
{
public:
  void RecordArrival(Millis aNow, double aCoreMillis);
  // Rate at which work is expected to arrive at `aNow + aAhead`, in cores;
  // never negative.
  double ForecastCores(Millis aNow, Millis aAhead) const;
  // Mean arrival rate over the whole window, in cores.
  double MeanCores(Millis aNow) const;

private:
  static constexpr std::size_t kBuckets = 8;
  static constexpr Millis kBucketWidth = Millis(250);

  // Clears the buckets that have left the window.
  void AdvanceWindow(Millis aNow);
  // Core-milliseconds of the bucket; 0 outside the window.
  double WorkIn(int64_t aBucket) const;

  std::array<double, kBuckets> work_{}; // core-milliseconds, a ring buffer
  int64_t newestBucket_ = 0;
};

} // namespace vanillahatch
