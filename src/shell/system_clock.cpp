#include "vanillahatch/shell/system_clock.h"

#include <chrono>

namespace vanillahatch {

namespace {

template<class Source>
Millis Read()
{
  const auto since = Source::now().time_since_epoch();
  return Millis(
    std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

} // namespace

Millis SystemClock::Now() const
{
  return Read<std::chrono::steady_clock>();
}

Millis SystemClock::UnixNow() const
{
  return Read<std::chrono::system_clock>();
}

} // namespace vanillahatch
