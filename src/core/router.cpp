#include "vanillahatch/core/router.h"

#include <tuple>

namespace vanillahatch {

namespace {

class LeastInFlight : public RoutingStrategy
{
public:
  std::optional<size_t> Choose(std::span<const Candidate> aCandidates,
                               Millis /*aNow*/) override
  {
    std::optional<size_t> best;
    for (size_t i = 0; i < aCandidates.size(); ++i) {
      const Candidate& candidate = aCandidates[i];
      if (candidate.inFlight_ >= candidate.upstream_->slots_) {
        continue;
      }
      if (!best || Rank(candidate) < Rank(aCandidates[*best])) {
        best = i;
      }
    }
    return best;
  }

private:
  static std::tuple<bool, bool, uint32_t> Rank(const Candidate& aCandidate)
  {
    return { aCandidate.triedBefore_,
             !aCandidate.sameDataCentre_,
             aCandidate.inFlight_ };
  }
};

} // namespace

std::unique_ptr<RoutingStrategy> MakeLeastInFlight()
{
  return std::make_unique<LeastInFlight>();
}

} // namespace vanillahatch
