// The one clock type of the project: whole milliseconds.
//
// `Millis` serves for spans and for instants alike. An instant counts from an
// origin that its source states: `Clock::Now()` counts on a monotonic clock
// and is only comparable inside one process, `Clock::UnixNow()` counts from
// the Unix epoch and is used only for what people write (end times, logs).
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

  // A span or instant later than any that occurs; adding to it is not allowed.
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

// Where a shell reads time. State machines never hold one; they are told.
class Clock
{
public:
  virtual ~Clock() = default;
  virtual Millis Now() const = 0;
  virtual Millis UnixNow() const = 0;
};

} // namespace vanillahatch
