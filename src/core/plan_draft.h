// One plan in the making: the view, the counts that follow its steps, and what
// each pool needs. The parts of the planner add their steps to it.
#pragma once

#include "vanillahatch/core/planner.h"

#include <optional>

namespace vanillahatch {

// Serving instances that a pool needs.
struct PoolNeed
{
  uint32_t now_ = 0;      // for the demand of now and its floor
  uint32_t ahead_ = 0;    // for the most demanded until the horizon
  uint32_t keep_ = 0;     // below this it gives none away
  uint32_t borrowed_ = 0; // beside these, so that it can be maintained
  bool inPeak_ = false;
  bool isRollingOut_ = false;
  bool isRollOutStopped_ = false;
  bool isProven_ = false; // a member serves in the wanted version
  uint32_t trials_ = 0;   // newcomers that try it first, and failures of it
};

class PlanDraft
{
public:
  PlanDraft(const FleetView& aView,
            std::span<const DemandOutlook> aOutlooks,
            const PlannerOptions& aOptions,
            const Objective& aObjective,
            Millis aNow);

  void ContinueSteps();
  void Grow();
  void Shrink();
  // Of all pools but the spare one, and of that one.
  void RollOut();
  void RollOutSpare();
  void MaintainDue();
  Plan Finish();

private:
  // What is still wanted of the spare pool by one pool.
  struct Want
  {
    PoolIndex pool_{};
    uint32_t urgent_ = 0; // for demand of now: may use the shared buffer
    uint32_t ahead_ = 0;  // may not
  };

  bool IsFree(const InstanceView& aInstance) const;
  bool IsDue(const InstanceView& aInstance) const;
  void RollOutPool(PoolIndex aPool, uint32_t aReserve);
  bool NeedsRollOut(const InstanceView& aInstance) const;
  void StudyVersions();
  void StudyNeeds(std::span<const DemandOutlook> aOutlooks);

  void SizeBuffer();

  void ContinueDrain(InstanceIndex aInstance);
  Version VersionOfNewcomer(PoolIndex aPool);
  void RollBack(InstanceIndex aInstance);
  void ContinueMaintenance(InstanceIndex aInstance);

  std::vector<Want> Wants();
  void Lend(const Want& aWant);
  bool MayLend(bool aUrgent, PoolIndex aTo) const;
  std::optional<InstanceIndex> PickSpare(std::span<const uint32_t> aOwn);
  std::vector<uint32_t> CountByRack(PoolIndex aPool) const;
  void PrepareSpares();
  void GiveBack(PoolIndex aPool, uint32_t aSurplus, bool aOnlyOldVersion);

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
  std::vector<std::vector<InstanceIndex>> members_; // serving, by pool
  std::vector<std::vector<InstanceIndex>> spares_;  // to lend, by rack
  std::vector<uint32_t> lent_; // of all pools but the spare one, by rack
  std::vector<bool> isTaken_;  // by a step of this plan
  std::optional<PoolIndex> spare_;
  uint32_t drains_ = 0;
  bool hasUnmetDemand_ = false;
  Plan plan_;
};

} // namespace vanillahatch
