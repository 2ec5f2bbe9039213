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
  kBudget,    // the budget of unavailable instances is used up
  kFloor,     // no more instances serve than the pool's minimum
  kSpread,    // the others would be in too few racks or data centres
  kPeak,      // the contract postpones maintenance during a demand peak
  kDemand,    // the pool's demand needs all serving instances
  kProbation, // the instance was repaired recently
};

struct PoolCount
{
  uint32_t members_ = 0; // instances neither joining nor leaving the pool
  uint32_t joining_ = 0;
  uint32_t serving_ = 0;
  uint32_t onProbation_ = 0; // serving, but repaired recently
  uint32_t unavailable_ = 0; // instances in maintenance or draining for it,
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

  // Returns nothing if a serving instance may be taken out of service now.
  // Maintenance must leave the budget for one more unavailable instance. A move
  // makes the pool smaller; the remaining instances must satisfy the smaller
  // pool's budget, floor and spread.
  std::optional<Obstacle> ObstacleTo(InstanceIndex aInstance,
                                     Purpose aPurpose) const;

  // Counts the instance as draining for `aPurpose`.
  void CountDrain(InstanceIndex aInstance, Purpose aPurpose, PoolIndex aTarget);

  // Returns the number of instances that the pools would lack after the loss
  // of the worst rack. `aNeeded`: serving instances that each pool needs.
  uint32_t LargestLoss(std::span<const uint32_t> aNeeded) const;

private:
  // Serving instances of one pool in one rack.
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
  std::vector<RackCount> rackCounts_; // sorted by pool and rack
  // By pool: index in `rackCounts_` of its first element. A last element holds
  // the size of `rackCounts_`.
  std::vector<uint32_t> firstRackCounts_;
};

} // namespace vanillahatch
