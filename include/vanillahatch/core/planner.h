// Plans moves, maintenance and roll-outs: a pure function of the fleet's state
// and of the time.
//
// The state of every step that has begun is part of the view, because steps
// are applied through the replicated log; the planner itself remembers
// nothing. So a new leader continues where the last one stopped. Each step
// has a change id made from the instance, its epoch and the number of steps
// applied to it: a step that is proposed again carries the same id and is
// applied once.
//
//   Planner planner(options, *MakeObjective("idle-capacity"));
//   Plan plan = planner.MakePlan(view, outlooks, now);
//   for (const Step& step : plan.steps_) { Propose(step); }
#pragma once

#include "vanillahatch/core/fleet_view.h"
#include "vanillahatch/core/forecast.h"
#include "vanillahatch/core/objective.h"
#include "vanillahatch/core/pool_census.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahatch {

enum class StepKind : uint8_t
{
  kBeginDrain,       // of a serving instance
  kMoveInstance,     // a drained instance to its target pool, next epoch
  kStartMaintenance, // reboot or restart of a drained instance
  kReturnToService,  // ends maintenance or gives a drain up
  kHold,             // nothing is done; the reason says what is in the way
};

enum class StepReason : uint8_t
{
  kDemand,          // the target pool needs it
  kFloor,           // the target pool is below its floor
  kBorrow,          // the target pool shall be maintained at full capacity
  kSurplus,         // its pool does not need it any more
  kMaintenanceDue,  //
  kVersionChanged,  //
  kDrained,         // the step before is complete
  kHealthy,         //
  kVersionFailed,   // it did not get healthy in the new version
  kRollOutStopped,  // too many members failed in the new version
  kWentDown,        // while it drained for a move
  kGuardRefused,    //
  kGuardSilent,     // the guard has not answered yet
  kRebootFailed,    //
  kNoSpareInstance, // the spare pool has none to lend
  kAtCeiling,       //
  kBudget,          // the obstacles of the same names
  kFloorReached,    //
  kSpread,          //
  kPeak,            //
  kDemandNeedsAll,  //
  kProbation,       //
};

// For the log line of a step.
std::string_view NameOf(StepKind aKind);
std::string_view NameOf(StepReason aReason);
std::string_view NameOf(Purpose aPurpose);

struct Step
{
  StepKind kind_ = StepKind::kHold;
  StepReason reason_ = StepReason::kDemand;
  PoolIndex pool_{};         // the instance's, or the one that is held up
  InstanceIndex instance_{}; // not of a hold
  Purpose purpose_ = Purpose::kNone;
  PoolIndex target_{}; // of a move
  Version version_{};  // that the instance is started in
  Millis holdUntil_;   // after a return to service

  // The same for the same step of the same state, empty for a hold.
  std::string ChangeId(const FleetView& aView) const;
};

struct Plan
{
  std::vector<Step> steps_;
  uint32_t sharedBuffer_ = 0; // instances kept for the largest correlated loss
  uint32_t releasable_ = 0;   // of the spare pool, beyond need and buffer
};

struct PlannerOptions
{
  Millis maintenancePeriod_ = Seconds(49LL * 24 * 3600);
  // Share of the period, at its end, in which an instance is due.
  uint32_t duePercent_ = 15;
  Millis probation_ = Seconds(60); // after a repair
  Millis guardRetry_ = Seconds(600);
  uint32_t maxDrainsPerPlan_ = 64;
  uint32_t rollOutFailureLimit_ = 2; // failed members that stop a roll-out
  double headroom_ = 1;              // standard deviations of random arrivals
};

// Instances that serve `aSlots` slots of demand, with headroom for chance.
uint32_t InstancesFor(double aSlots,
                      uint32_t aSlotsPerInstance,
                      double aHeadroom);

class Planner
{
public:
  // `aObjective` must outlive the planner.
  Planner(PlannerOptions aOptions, const Objective& aObjective)
    : options_(aOptions)
    , objective_(aObjective)
  {
  }

  // `aOutlooks` has one entry for each pool of the view, in its order.
  Plan MakePlan(const FleetView& aView,
                std::span<const DemandOutlook> aOutlooks,
                Millis aNow) const;

private:
  PlannerOptions options_;
  const Objective& objective_;
};

} // namespace vanillahatch
