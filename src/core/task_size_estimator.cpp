#include "vanillahatch/core/task_size_estimator.h"

#include <algorithm>

namespace vanillahatch {

void TaskSizeEstimator::Record(const Resources& aPeakUse)
{
  if (samples_.size() < kMaxSamples) {
    samples_.push_back(aPeakUse);
    return;
  }
  samples_[oldest_] = aPeakUse;
  oldest_ = (oldest_ + 1) % kMaxSamples;
}

Resources TaskSizeEstimator::ReservationFor(const Resources& aDeclared) const
{
  if (samples_.size() < kMinSamples) {
    return aDeclared;
  }
  const auto quantile = [&](int64_t Resources::*aResource) {
    std::vector<int64_t> values;
    for (const Resources& use : samples_) {
      values.push_back(use.*aResource);
    }
    const auto rank =
      static_cast<std::ptrdiff_t>((values.size() - 1) * kPercentile / 100);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<size_t>(rank)] * (100 + kMarginPercent) / 100;
  };
  return { .milliCpus_ = quantile(&Resources::milliCpus_),
           .memoryMb_ = quantile(&Resources::memoryMb_),
           .accelerators_ = aDeclared.accelerators_ };
}

} // namespace vanillahatch
