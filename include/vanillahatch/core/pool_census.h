// Counts the instances of a fleet view by pool and decides whether an instance
// may be taken out of service. No other code decides that.
//
// The counts are updated with each step of the plan being made, so that the
// steps of one plan together stay within the budget.
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
  kFloor,     // the number of serving members is at the floor
  kSpread,    // the others would be in too few racks or data centres
  kPeak,      // the contract postpones maintenance during a demand peak
  kDemand,    // the pool's demand needs all serving members
  kProbation, // the instance was repaired recently
};

struct PoolCount
{
  uint32_t members_ = 0; // of the pool, neither joining nor leaving it
  uint32_t joining_ = 0;
  uint32_t serving_ = 0;
  uint32_t onProbation_ = 0; // serving, but repaired recently
  uint32_t unavailable_ = 0; // members in maintenance or draining for it,
                             // down or unreachable
  uint32_t incoming_ = 0;    // draining in another pool to move to this one
  uint32_t maintained_ = 0;  // draining for maintenance or in it

  // Instances that serve or will serve once their moves complete.
  uint32_t Capacity() const { return serving_ + joining_ + incoming_; }
  uint32_t OutOfProbation() const { return serving_ - onProbation_; }
};

class PoolCensus
{
public:
  // `aProbation`: how long after its repair an instance counts as unavailable,
  // since a second failure often follows soon after a repair.
  PoolCensus(const FleetView& aView, Millis aProbation, Millis aNow);

  const PoolCount& Of(PoolIndex aPool) const { return counts_[At(aPool)]; }

  // Returns nothing if a serving member may be taken out of service now.
  // Maintenance must leave the budget for one more unavailable member. A move
  // makes the pool smaller; the remaining members must satisfy the smaller
  // pool's budget, floor and spread.
  std::optional<Obstacle> ObstacleTo(InstanceIndex aInstance,
                                     Purpose aPurpose) const;

  // Counts the member as draining for `aPurpose`.
  void CountDrain(InstanceIndex aInstance, Purpose aPurpose, PoolIndex aTarget);

  // Returns the number of instances that the pools would lack after the loss
  // of the worst rack. `aNeeded`: serving members that each pool needs.
  uint32_t LargestLoss(std::span<const uint32_t> aNeeded) const;

private:
  // Serving members of one pool in one rack.
  struct RackCount
  {
    PoolIndex pool_{};
    RackIndex rack_{};
    DataCentreIndex dataCentre_{};
    uint32_t serving_ = 0;
  };

  bool IsOutOfProbation(const InstanceView& aInstance) const;
  bool BreaksSpread(const InstanceView& aInstance) const;
  RackCount* FindRackCount(const InstanceView& aInstance);
  const RackCount* FindRackCount(PoolIndex aPool, RackIndex aRack) const;
  void CountByRack();

  const FleetView& view_;
  Millis probation_;
  Millis now_;
  std::vector<PoolCount> counts_;
  std::vector<RackCount> rackCounts_;     // sorted by pool and rack
  std::vector<uint32_t> firstRackCounts_; // by pool, then the end
};

} // namespace vanillahatch
