// How much work arrives for one service, and how much is to be expected when
// a machine that is moved now can take some of it.
//
// Load that it answers: queues whose demand rises within a few seconds to
// several times what their pool holds, and falls again. A line is laid through
// the arrivals of the last moments; its slope tells the start of such a turn
// before a queue has built up.
//
//   Demand demand;
//   demand.Add(now, 5400);                  // core-milliseconds
//   demand.ForecastCores(now, Seconds(2));  // cores kept busy by then
#pragma once

#include "vanillahatch/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillahatch {

class Demand
{
public:
  // Work of `aCoreMillis` arrived.
  void Add(Millis aNow, double aCoreMillis);
  // Work that arrives per time at `aNow + aAhead`, as cores; 0 at least.
  double ForecastCores(Millis aNow, Millis aAhead) const;
  // Over the whole window.
  double MeanCores(Millis aNow) const;

private:
  static constexpr std::size_t kBuckets = 8;
  static constexpr Millis kBucket = Millis(250);

  // Forgets what has left the window.
  void Advance(Millis aNow);
  double At(int64_t aSlot) const;

  std::array<double, kBuckets> work_{};
  int64_t newest_ = 0; // slot
};

} // namespace vanillahatch
