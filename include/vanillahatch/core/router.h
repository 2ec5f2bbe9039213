// The order in which usable upstreams are tried.
//
// A strategy gives each upstream a rank, kept in an ordered index; the lowest
// rank is chosen. Strategies are small objects so that they can be measured
// against each other on the same arrivals.
#pragma once

#include "vanillahatch/core/grant.h"
#include "vanillahatch/core/health_tracker.h"
#include "vanillahatch/core/upstream.h"

#include <memory>
#include <optional>
#include <string_view>

namespace vanillahatch {

// One upstream, with this entry's own use of it.
struct UpstreamSlots
{
  UpstreamFact fact_;
  Millis expiresAt_;
  bool live_ = false;
  bool draining_ = false;
  uint32_t inFlight_ = 0;  // this entry's attempts that run
  uint32_t abandoned_ = 0; // given up, but the slot may still be busy
  uint32_t allowance_ = 0; // this entry's share, from the sharing strategy
  HealthState health_ = HealthState::kHealthy;
  uint32_t healthLimit_ = HealthTracker::kNoLimit;
  std::optional<Grant> grant_;
  uint64_t lastPick_ = 0; // counts this entry's choices

  uint32_t Used() const { return inFlight_ + abandoned_; }
};

class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;
  virtual uint64_t Rank(const UpstreamSlots& aUpstream) const = 0;
  virtual std::string_view Reason() const = 0;
};

// Fewest own attempts in flight.
std::unique_ptr<RoutingStrategy> MakeLeastInFlight();
// In turn, whatever is in flight.
std::unique_ptr<RoutingStrategy> MakeRoundRobin();

} // namespace vanillahatch
