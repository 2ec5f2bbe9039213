// Time in whole milliseconds, for durations and points in time.
//
// The source of a point in time defines its origin: `Clock::Now()` reads a
// monotonic clock, whose values are comparable only within one process;
// `Clock::UnixNow()` counts from the Unix epoch and is used only for times that
// people read or write (end times, logs).
//
//   Millis deadline = clock.Now() + Seconds(3);
//   if (clock.Now() >= deadline) { ... }
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace vanillahatch {

class Millis
{
public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t aCount)
    : count_(aCount)
  {
  }

  constexpr int64_t Count() const { return count_; }

  // Later than any time that occurs. Adding to it would overflow.
  static constexpr Millis Max()
  {
    return Millis(std::numeric_limits<int64_t>::max());
  }

  friend constexpr auto operator<=>(Millis, Millis) = default;
  friend constexpr Millis operator+(Millis aLeft, Millis aRight)
  {
    return Millis(aLeft.count_ + aRight.count_);
  }
  friend constexpr Millis operator-(Millis aLeft, Millis aRight)
  {
    return Millis(aLeft.count_ - aRight.count_);
  }
  friend constexpr Millis operator*(Millis aLeft, int64_t aFactor)
  {
    return Millis(aLeft.count_ * aFactor);
  }
  friend constexpr Millis operator/(Millis aLeft, int64_t aDivisor)
  {
    return Millis(aLeft.count_ / aDivisor);
  }

private:
  int64_t count_ = 0;
};

constexpr Millis Seconds(int64_t aCount)
{
  return Millis(aCount * 1000);
}

// The source of time for code that performs I/O. State machines hold no clock:
// the current time is passed to them as an argument.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Millis Now() const = 0;
  virtual Millis UnixNow() const = 0;
};

} // namespace vanillahatch
