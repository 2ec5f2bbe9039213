// Resource amounts: the capacity of a worker, or the requirement of a task.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace vanillahatch {

struct Resources
{
  int64_t milliCpus_ = 0; // thousandths of a core
  int64_t memoryMb_ = 0;
  int64_t accelerators_ = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  // True if no amount exceeds that of `aCapacity`.
  constexpr bool FitsInto(const Resources& aCapacity) const
  {
    return milliCpus_ <= aCapacity.milliCpus_ &&
           memoryMb_ <= aCapacity.memoryMb_ &&
           accelerators_ <= aCapacity.accelerators_;
  }

  friend constexpr Resources operator+(Resources aLeft, const Resources& aRight)
  {
    aLeft.milliCpus_ += aRight.milliCpus_;
    aLeft.memoryMb_ += aRight.memoryMb_;
    aLeft.accelerators_ += aRight.accelerators_;
    return aLeft;
  }
  friend constexpr Resources operator-(Resources aLeft, const Resources& aRight)
  {
    aLeft.milliCpus_ -= aRight.milliCpus_;
    aLeft.memoryMb_ -= aRight.memoryMb_;
    aLeft.accelerators_ -= aRight.accelerators_;
    return aLeft;
  }
};

// Number of cores of a machine of `aCapacity` that `aUse` makes unavailable to
// other work: the largest share of any resource, times the machine's cores. A
// task that uses half of the memory occupies half of the machine, even if it
// needs few cores.
constexpr double OccupiedCores(const Resources& aUse,
                               const Resources& aCapacity)
{
  constexpr double kMillisOfCore = 1000.0;
  const auto share = [](int64_t aPart, int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : 0.0;
  };
  const double cores =
    static_cast<double>(aCapacity.milliCpus_) / kMillisOfCore;
  return cores == 0.0
           ? static_cast<double>(aUse.milliCpus_) / kMillisOfCore
           : cores *
               std::max({ share(aUse.milliCpus_, aCapacity.milliCpus_),
                          share(aUse.memoryMb_, aCapacity.memoryMb_),
                          share(aUse.accelerators_, aCapacity.accelerators_) });
}

} // namespace vanillahatch
