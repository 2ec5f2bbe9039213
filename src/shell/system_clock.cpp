#include "vanillahatch/shell/system_clock.h"

#include <chrono>
#include <ctime>

namespace vanillahatch {

namespace {

constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kNanosPerMilli = 1000000;

} // namespace

Millis BootTimeNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(now.tv_sec * kMillisPerSecond + now.tv_nsec / kNanosPerMilli);
}

Millis SystemClock::Now() const
{
  return BootTimeNow();
}

Millis SystemClock::UnixNow() const
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return Millis(
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace vanillahatch
