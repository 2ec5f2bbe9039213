// Amounts of what a worker has and a task takes.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace vanillahatch {

struct Resources
{
  int64_t milliCpus_ = 0; // thousandths of a processor
  int64_t memoryMb_ = 0;
  int64_t accelerators_ = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  // Whether this much fits into `aRoom`.
  constexpr bool FitsInto(const Resources& aRoom) const
  {
    return milliCpus_ <= aRoom.milliCpus_ && memoryMb_ <= aRoom.memoryMb_ &&
           accelerators_ <= aRoom.accelerators_;
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

// Cores of a machine of `aCapacity` that `aUse` keeps from other work: its
// largest share of any resource. A task that takes half of the memory takes
// half of the machine, however few cores it needs.
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
