// Chooses the upstream for one attempt of a job.
//
// Strategies are small objects behind one interface so that they can be
// measured against each other on the same arrivals.
#pragma once

#include "vanillahatch/core/job.h"
#include "vanillahatch/core/upstream.h"

#include <memory>
#include <optional>
#include <span>

namespace vanillahatch {

// An upstream as one entry sees it at the moment of a decision.
struct Candidate
{
  const UpstreamFact* upstream_ = nullptr;
  uint32_t inFlight_ = 0; // this entry's own attempts on it
  bool sameDataCentre_ = false;
  bool triedBefore_ = false; // by an earlier attempt of the same job
};

class RoutingStrategy
{
public:
  virtual ~RoutingStrategy() = default;
  // The index of the chosen candidate, or nothing if none may take the job.
  virtual std::optional<size_t> Choose(std::span<const Candidate> aCandidates,
                                       Millis aNow) = 0;
};

// Fewest own attempts in flight, own data centre first, within the slots.
std::unique_ptr<RoutingStrategy> MakeLeastInFlight();

} // namespace vanillahatch
