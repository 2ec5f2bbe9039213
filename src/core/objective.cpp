#include "vanillahatch/core/objective.h"

namespace vanillahatch {

namespace {

constexpr double kMillisPerSecond = 1000;

class IdleCapacityObjective : public Objective
{
public:
  IdleCapacityObjective()
    : Objective({ .idle_ = 1, .move_ = 16 })
  {
  }
  bool IsRollOutFirst() const override { return false; }
  bool BorrowsForRollOut() const override { return false; }
};

class RollOutTimeObjective : public Objective
{
public:
  RollOutTimeObjective()
    : Objective({ .idle_ = 1, .move_ = 80 })
  {
  }
  bool IsRollOutFirst() const override { return true; }
  bool BorrowsForRollOut() const override { return true; }
};

} // namespace

Millis Objective::SurplusDwell(uint32_t aSlotsPerInstance) const
{
  const double idlePerSecond = weights_.idle_ * aSlotsPerInstance;
  const double seconds = weights_.move_ / idlePerSecond;
  return Millis(static_cast<int64_t>(seconds * kMillisPerSecond));
}

std::unique_ptr<Objective> MakeObjective(std::string_view aName)
{
  if (aName == "idle-capacity") {
    return std::make_unique<IdleCapacityObjective>();
  }
  if (aName == "roll-out-time") {
    return std::make_unique<RollOutTimeObjective>();
  }
  return nullptr;
}

} // namespace vanillahatch
