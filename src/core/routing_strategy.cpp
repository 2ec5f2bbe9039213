#include "vanillahatch/core/routing_strategy.h"

namespace vanillahatch {

namespace {

class LeastInFlight : public RoutingStrategy
{
public:
  uint64_t Rank(const UpstreamSlots& aUpstream) const override
  {
    return aUpstream.Used();
  }
  std::string_view Reason() const override { return "fewest in flight"; }
};

class RoundRobin : public RoutingStrategy
{
public:
  uint64_t Rank(const UpstreamSlots& aUpstream) const override
  {
    return aUpstream.lastChoiceIndex_;
  }
  std::string_view Reason() const override { return "round robin"; }
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeLeastInFlight()
{
  return std::make_unique<LeastInFlight>();
}

std::unique_ptr<RoutingStrategy> MakeRoundRobin()
{
  return std::make_unique<RoundRobin>();
}

} // namespace vanillahatch
