#include "vanillahatch/core/task_size.h"

#include <algorithm>

namespace vanillahatch {

void TaskSize::Learn(const Resources& aPeakUse)
{
  if (seen_.size() < kKept) {
    seen_.push_back(aPeakUse);
    return;
  }
  seen_[next_] = aPeakUse;
  next_ = (next_ + 1) % kKept;
}

Resources TaskSize::Reserve(const Resources& aDeclared) const
{
  if (seen_.size() < kEnough) {
    return aDeclared;
  }
  const auto quantile = [&](int64_t Resources::*aPart) {
    std::vector<int64_t> values;
    for (const Resources& use : seen_) {
      values.push_back(use.*aPart);
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
