// Plans moves, maintenance and roll-outs as a pure function of the fleet's
// state and the time.
//
// The planner keeps no state: steps are applied through the replicated log, so
// the view contains the state of every step in progress, and a new leader
// continues where the last one stopped. Each step has a change id made of the
// instance, its epoch and the number of steps applied to it: a step that is
// proposed again has the same id and is applied once.
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
  kBeginDrain,       // drains a serving instance
  kMoveInstance,     // moves a drained instance to its target, next epoch
  kStartMaintenance, // reboots or restarts a drained instance
  kReturnToService,  // ends maintenance or cancels a drain
  kHold,             // no step is possible; the reason names the obstacle
};

enum class StepReason : uint8_t
{
  kDemand,          // the target pool needs the instance
  kFloor,           // the target pool is below its minimum of instances
  kBorrow,          // replaces the target's instances in maintenance
  kSurplus,         // its pool no longer needs it
  kMaintenanceDue,  // the period ends soon, or an operator requested it
  kVersionChanged,  // the pool has a new version
  kDrained,         // the drain is complete
  kHealthy,         // the instance is healthy after maintenance
  kVersionFailed,   // the instance did not become healthy in it
  kRollOutStopped,  // too many instances failed in the new version
  kWentDown,        // the instance failed while draining for a move
  kGuardRefused,    // the guard refused the step
  kGuardSilent,     // the guard has not answered
  kRebootFailed,    // the instance did not start again
  kNoSpareInstance, // the spare pool has no instance to lend
  kAtCeiling,       // the pool needs more instances than its ceiling
  kBudget,          // this and the following: see Obstacle
  kFloorReached,
  kSpread,
  kPeak,
  kDemandNeedsAll,
  kProbation,
};

// Names for the log; those of purposes are also stored in drain reasons.
std::string_view NameOf(StepKind aKind);
std::string_view NameOf(StepReason aReason);
std::string_view NameOf(Purpose aPurpose);

struct Step
{
  StepKind kind_ = StepKind::kHold;
  StepReason reason_ = StepReason::kDemand;
  PoolIndex pool_{}; // pool of the instance; of a hold: the blocked pool
  InstanceIndex instance_{}; // unset for a hold
  Purpose purpose_ = Purpose::kNone;
  PoolIndex target_{}; // for a move
  Version version_{};  // to start the instance in
  Millis holdUntil_;   // after a return to service: no steps until then

  // Equal for equal steps from the same state; empty for a hold.
  std::string ChangeId(const FleetView& aView) const;
};

struct Plan
{
  std::vector<Step> steps_;
  uint32_t sharedBuffer_ = 0; // spare instances kept for the loss of one rack
  uint32_t releasable_ = 0;   // spare instances beyond need and buffer
};

struct PlannerOptions
{
  // Time between maintenances of an instance, unless its pool sets one.
  Millis maintenancePeriod_ = Seconds(49LL * 24 * 3600);
  // An instance is due in the last part of the period, of this share.
  uint32_t duePercent_ = 15;
  Millis probation_ = Seconds(60);   // after a repair
  Millis guardRetry_ = Seconds(600); // wait after a guard refused a step
  uint32_t maxDrainsPerPlan_ = 64;
  uint32_t rollOutFailureLimit_ = 2; // failed instances that stop a roll-out
  double headroom_ = 1; // in standard deviations of random arrivals
};

// Returns the number of instances that serve `aSlots` slots of demand, with
// headroom for random variation.
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
