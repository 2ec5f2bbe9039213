// Estimates the resources that tasks of one kind need: the declared size until
// enough tasks have been measured, then a high quantile of the measurements.
#pragma once

#include "vanillahatch/core/resources.h"

#include <cstddef>
#include <vector>

namespace vanillahatch {

class TaskSizeEstimator
{
public:
  // Records the maximum that one task used over its run.
  void Record(const Resources& aPeakUse);

  // Returns what to reserve for the next task of this kind. Accelerators are
  // allocated whole, so the declared number is used.
  Resources ReservationFor(const Resources& aDeclared) const;

private:
  static constexpr size_t kMaxSamples = 64; // latest tasks
  static constexpr size_t kMinSamples =
    8; // before they replace the declared size
  static constexpr int64_t kPercentile = 95;
  static constexpr int64_t kMarginPercent = 10;

  std::vector<Resources> samples_; // ring buffer
  size_t oldest_ = 0;
};

} // namespace vanillahatch
