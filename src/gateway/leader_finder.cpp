#include "gateway/leader_finder.h"

namespace vanillahatch {

LeaderFinder::LeaderFinder(LeaderFinderOptions aOptions)
  : options_(std::move(aOptions))
{
}

void LeaderFinder::SetSeeds(std::vector<std::string> aSeeds)
{
  options_.seeds_ = std::move(aSeeds);
}

std::vector<std::string> LeaderFinder::Known() const
{
  std::set<std::string> known = members_;
  known.insert(options_.seeds_.begin(), options_.seeds_.end());
  return { known.begin(), known.end() };
}

std::string LeaderFinder::NextToAsk()
{
  if (!leader_.empty()) {
    return leader_;
  }
  const std::vector<std::string> known = Known();
  return known.empty() ? std::string() : known[turn_++ % known.size()];
}

void LeaderFinder::OnAnswer(Millis aNow,
                            const std::string& aFrom,
                            const std::string& aLeader,
                            bool aInForce,
                            const std::vector<std::string>& aMembers)
{
  if (!aMembers.empty()) {
    members_ = { aMembers.begin(), aMembers.end() };
  }
  if (aInForce) {
    leader_ = aFrom;
    isConfirmed_ = true;
    confirmedAt_ = aNow;
    return;
  }
  leader_ = aLeader != aFrom ? aLeader : std::string();
}

void LeaderFinder::OnServed(Millis aNow, const std::string& aFrom)
{
  if (leader_ == aFrom) {
    isConfirmed_ = true;
    confirmedAt_ = aNow;
  }
}

void LeaderFinder::OnHint(const std::string& aLeader)
{
  leader_ = aLeader;
}

void LeaderFinder::OnSilence(const std::string& aFrom)
{
  if (leader_ == aFrom) {
    leader_.clear();
  }
}

bool LeaderFinder::IsReady(Millis aNow) const
{
  return isConfirmed_ && aNow - confirmedAt_ <= options_.believeFor_;
}

} // namespace vanillahatch
