// What the planner weighs against each other, as small strategy objects chosen
// by the setting `objective`.
//
//   auto objective = MakeObjective("idle-capacity");
#pragma once

#include "vanillahatch/core/clock.h"

#include <memory>
#include <string_view>

namespace vanillahatch {

// Costs in slot-seconds, so that idle time and moves compare.
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

  // How long an instance stays in a pool that no longer needs it. Waiting
  // until idling has cost as much as a move never costs more than twice the
  // best choice made in hindsight.
  Millis SurplusDwell(uint32_t aSlotsPerInstance) const;

  // Whether a roll-out takes its share of the budget before moves do.
  virtual bool IsRollOutFirst() const = 0;

  // Whether a pool borrows instances so that a roll-out keeps its full width
  // at the pool's floor.
  virtual bool BorrowsForRollOut() const = 0;

private:
  ObjectiveWeights weights_;
};

// "idle-capacity": the least idle reserve; moves are cheap, roll-outs wait.
// "roll-out-time": the shortest roll-outs; moves wait. Null for other names.
std::unique_ptr<Objective> MakeObjective(std::string_view aName);

} // namespace vanillahatch
