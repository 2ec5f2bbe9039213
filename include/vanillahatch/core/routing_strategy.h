// Routing strategies: the order in which usable upstreams are chosen.
//
// A strategy computes a rank for each upstream; the slot table indexes
// upstreams by rank and chooses the lowest. It is an interface so that
// benchmarks can compare strategies on the same arrivals.
#pragma once

#include "vanillahatch/core/grant.h"
#include "vanillahatch/core/health_tracker.h"
#include "vanillahatch/core/upstream.h"

#include <memory>
#include <optional>
#include <string_view>

namespace vanillahatch {

// An upstream, with this entry's use of it and the limits on that use.
struct UpstreamSlots
{
  UpstreamFact fact_;
  Millis expiresAt_;
  bool live_ = false;
  bool draining_ = false;
  uint32_t inFlight_ = 0;  // this entry's running attempts
  uint32_t abandoned_ = 0; // abandoned attempts that occupy a slot
  uint32_t allowance_ = 0; // this entry's slot share, from the sharing strategy
  HealthState health_ = HealthState::kHealthy;
  uint32_t healthLimit_ = HealthTracker::kNoLimit;
  std::optional<Grant> grant_;
  uint64_t lastChoiceIndex_ = 0; // index of this entry's latest choice of it

  // Slots that this entry occupies.
  uint32_t Used() const { return inFlight_ + abandoned_; }
};

class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;
  // The lowest rank is chosen first.
  virtual uint64_t Rank(const UpstreamSlots& aUpstream) const = 0;
  // Why an upstream was chosen, for the log.
  virtual std::string_view Reason() const = 0;
};

// Chooses the upstream with the fewest attempts of this entry, abandoned ones
// included.
std::unique_ptr<RoutingStrategy> MakeLeastInFlight();
// Chooses the upstream whose latest choice is the oldest.
std::unique_ptr<RoutingStrategy> MakeRoundRobin();

} // namespace vanillahatch
