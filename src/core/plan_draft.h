// A plan under construction: the view, the counts updated with each step, and
// the needs of each pool. The phases of the planner add their steps to it.
#pragma once

#include "vanillahatch/core/planner.h"

#include <optional>

namespace vanillahatch {

// Numbers of serving instances that a pool needs.
struct PoolNeed
{
  uint32_t now_ = 0;      // for current demand, at least the floor
  uint32_t ahead_ = 0;    // for the maximum demand until the horizon
  uint32_t keep_ = 0;     // returns no instance below this number
  uint32_t borrowed_ = 0; // additional, to allow maintenance
  bool inPeak_ = false;
  bool isRollingOut_ = false;
  bool isRollOutStopped_ = false;
  bool isConfirmed_ = false; // a member serves in the pool's version
  uint32_t trialCount_ = 0; // joining instances that try the version first, and
                            // its failures
};

class PlanDraft
{
public:
  PlanDraft(const FleetView& aView,
            std::span<const DemandOutlook> aOutlooks,
            const PlannerOptions& aOptions,
            const Objective& aObjective,
            Millis aNow);

  // Continues or cancels the steps in progress.
  void ContinueSteps();
  // Lends spare instances to pools that need them.
  void Grow();
  // Returns surplus instances to the spare pool.
  void Shrink();
  // Roll-outs of all pools except the spare pool, and of the spare pool.
  void RollOut();
  void RollOutSpare();
  void MaintainDue();
  Plan Finish();

private:
  // Instances that one pool needs from the spare pool.
  struct Shortage
  {
    PoolIndex pool_{};
    uint32_t urgent_ = 0; // for current demand: may use the shared buffer
    uint32_t ahead_ = 0;  // for later demand: may not use it
  };

  // Whether it serves and neither a pending step nor a hold forbids a new step.
  bool IsFree(const InstanceView& aInstance) const;
  bool IsDue(const InstanceView& aInstance) const;
  void RollOutPool(PoolIndex aPool, uint32_t aReserve);
  bool NeedsRollOut(const InstanceView& aInstance) const;
  void CountVersions();
  void ComputeNeeds(std::span<const DemandOutlook> aOutlooks);

  void SizeSharedBuffer();

  void ContinueDrain(InstanceIndex aInstance);
  Version ChooseJoiningVersion(PoolIndex aPool);
  void RollBack(InstanceIndex aInstance);
  void ContinueMaintenance(InstanceIndex aInstance);

  std::vector<Shortage> Shortages();
  void Lend(const Shortage& aShortage);
  bool MayLend(bool aUrgent, PoolIndex aTo) const;
  std::optional<InstanceIndex> PickSpare(
    std::span<const uint32_t> aBorrowerByRack);
  std::vector<uint32_t> CountByRack(PoolIndex aPool) const;
  void CollectSpares();
  void ReturnToSpare(PoolIndex aPool, uint32_t aSurplus, bool aOnlyOldVersion);

  bool Maintain(InstanceIndex aInstance, Purpose aPurpose, StepReason aReason);
  void Drain(InstanceIndex aInstance,
             Purpose aPurpose,
             PoolIndex aTarget,
             StepReason aReason);
  void Hold(PoolIndex aPool, Purpose aPurpose, StepReason aReason);
  Step MakeStep(InstanceIndex aInstance, StepKind aKind, StepReason aReason);
  const InstanceView& View(InstanceIndex aInstance) const;
  const PoolContract& Contract(PoolIndex aPool) const;
  PoolNeed& Need(PoolIndex aPool) { return needs_[At(aPool)]; }
  const PoolNeed& Need(PoolIndex aPool) const { return needs_[At(aPool)]; }

  const FleetView& view_;
  const PlannerOptions& options_;
  const Objective& objective_;
  Millis now_;
  PoolCensus census_;
  std::vector<PoolNeed> needs_;
  std::vector<std::vector<InstanceIndex>> members_; // free, by pool
  std::vector<std::vector<InstanceIndex>> spares_;  // to lend, by rack
  std::vector<uint32_t> lentByRack_; // instances outside the spare pool
  std::vector<bool> hasStep_;        // in this plan, by instance
  std::optional<PoolIndex> spare_;
  uint32_t drainCount_ = 0;
  bool hasUnmetDemand_ = false;
  Plan plan_;
};

} // namespace vanillahatch
