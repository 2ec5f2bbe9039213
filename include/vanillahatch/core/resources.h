// Amounts of what a worker has and a task takes.
#pragma once

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

} // namespace vanillahatch
