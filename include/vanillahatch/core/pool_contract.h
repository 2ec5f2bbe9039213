// The contract of a pool: its size limits, how many instances may be
// unavailable at once, and how they are spread over racks and data centres.
//
//   PoolContract loops{ .name_ = PoolName("loops"), .floor_ = 2, ... };
//   uint32_t allowed = loops.budget_.Allowed(12);
#pragma once

#include "vanillahatch/core/ids.h"

#include <algorithm>
#include <cstdint>

namespace vanillahatch {

// How many instances may be unavailable at once, for any reason: as a count, as
// a share of the pool, or as the smaller of both. A share allows at least one
// instance, so that a small pool can be maintained at all.
struct AvailabilityBudget
{
  uint32_t count_ = 0;   // 0: no limit by count
  uint32_t percent_ = 0; // 0: no limit by share

  constexpr uint32_t Allowed(uint32_t aMembers) const
  {
    if (percent_ == 0) {
      return count_;
    }
    const uint32_t share = std::max(1U, aMembers * percent_ / 100);
    return count_ == 0 ? share : std::min(count_, share);
  }
};

struct PoolContract
{
  PoolName name_;
  ServiceName service_;
  uint32_t floor_ = 0;            // minimum number of serving instances
  uint32_t ceiling_ = UINT32_MAX; // maximum number of instances
  AvailabilityBudget budget_;
  bool spare_ = false;      // lends its instances to other pools
  uint32_t priority_ = 0;   // higher priorities get capacity first
  uint32_t rackSpread_ = 0; // minimum number of racks with serving instances
  uint32_t dataCentreSpread_ = 0; // likewise for data centres
  bool yieldToPeak_ = false;      // maintenance waits while demand peaks
  uint32_t slotsPerInstance_ = 8;
};

} // namespace vanillahatch
