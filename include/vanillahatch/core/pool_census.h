// Counts of a fleet view by pool, and the one place that decides whether an
// instance may be taken out of service.
//
// The counts follow the steps of the plan being made, so that several steps of
// one plan together stay within the budget.
#pragma once

#include "vanillahatch/core/fleet_view.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace vanillahatch {

// Why an instance may not be taken out of service now.
enum class Obstacle : uint8_t
{
  kBudget,    // as many members are unavailable as the budget allows
  kFloor,     // no more than the floor's number of members serve
  kSpread,    // the others would stand in too few racks or data centres
  kPeak,      // demand peaks and the contract lets maintenance wait
  kDemand,    // the pool's demand needs all serving members
  kProbation, // the instance came back from a failure only just now
};

struct PoolCount
{
  uint32_t members_ = 0; // seen serving in the pool and not leaving it
  uint32_t joining_ = 0;
  uint32_t serving_ = 0;
  uint32_t unsettled_ = 0;   // of the serving, repaired only just now
  uint32_t unavailable_ = 0; // members in maintenance or draining for it,
                             // down or cut off
  uint32_t incoming_ = 0;    // draining elsewhere to move here
  uint32_t maintained_ = 0;  // draining for or in maintenance

  // Members of now or soon that can serve.
  uint32_t Capacity() const { return serving_ + joining_ + incoming_; }
  uint32_t Settled() const { return serving_ - unsettled_; }
};

class PoolCensus
{
public:
  // `aProbation`: how long an instance that came back from a failure is not
  // relied on, since a second one is often lost right after a repair.
  PoolCensus(const FleetView& aView, Millis aProbation, Millis aNow);

  const PoolCount& Of(PoolIndex aPool) const { return counts_[At(aPool)]; }

  // Nothing if a serving member may be taken out of service now. Maintenance
  // needs room for one more unavailable member. A move makes the pool smaller,
  // and what stays must be within the smaller pool's budget, floor and spread.
  std::optional<Obstacle> ObstacleTo(InstanceIndex aInstance,
                                     Purpose aPurpose) const;

  // Counts the member as draining from now on.
  void CountDrain(InstanceIndex aInstance, Purpose aPurpose, PoolIndex aTarget);

  // The most instances that the pools would be short of if one rack were
  // lost; `aNeeded` has the serving members that each pool needs.
  uint32_t LargestLoss(std::span<const uint32_t> aNeeded) const;

private:
  struct Place
  {
    PoolIndex pool_{};
    RackIndex rack_{};
    DataCentreIndex dataCentre_{};
    uint32_t serving_ = 0;
  };

  bool IsSettled(const InstanceView& aInstance) const;
  bool BreaksSpread(const InstanceView& aInstance) const;
  Place* FindPlace(const InstanceView& aInstance);
  const Place* FindPlace(PoolIndex aPool, RackIndex aRack) const;
  void CountPlaces();

  const FleetView& view_;
  Millis probation_;
  Millis now_;
  std::vector<PoolCount> counts_;
  std::vector<Place> places_;         // sorted by pool and rack
  std::vector<uint32_t> firstPlaces_; // of each pool, and the end
};

} // namespace vanillahatch
