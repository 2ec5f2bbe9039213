// Planner objectives: strategies that weigh idle capacity, moves and roll-out
// time against each other. The setting `objective` selects one.
//
//   auto objective = MakeObjective("idle-capacity");
#pragma once

#include "vanillahatch/core/clock.h"

#include <memory>
#include <string_view>

namespace vanillahatch {

// Costs in slot-seconds, so that idle time and moves are comparable.
struct ObjectiveWeights
{
  double idle_ = 1; // of one idle slot for one second
  double move_ = 0; // of one move of an instance
};

class Objective
{
public:
  explicit Objective(ObjectiveWeights aWeights)
    : weights_(aWeights)
  {
  }
  virtual ~Objective() = default;

  // How long an instance stays in a pool that no longer needs it: until its
  // idle time has cost as much as a move. This costs at most twice the optimal
  // offline choice (ski rental).
  Millis SurplusDwell(uint32_t aSlotsPerInstance) const;

  // Whether roll-outs use the availability budget before moves.
  virtual bool IsRollOutFirst() const = 0;

  // Whether a pool borrows as many instances as its budget allows to be
  // unavailable, so that a roll-out at the pool's floor uses the full budget.
  virtual bool BorrowsForRollOut() const = 0;

private:
  ObjectiveWeights weights_;
};

// "idle-capacity" minimises idle reserve: moves are cheap, roll-outs wait.
// "roll-out-time" minimises roll-out time: moves wait. Null for other names.
std::unique_ptr<Objective> MakeObjective(std::string_view aName);

} // namespace vanillahatch
