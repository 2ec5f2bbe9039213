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

std::vector<std::string> LeaderFinder::KnownReplicas() const
{
  std::set<std::string> replicas = members_;
  replicas.insert(options_.seeds_.begin(), options_.seeds_.end());
  return { replicas.begin(), replicas.end() };
}

std::string LeaderFinder::NextReplicaToQuery()
{
  if (!leader_.empty()) {
    return leader_;
  }
  const std::vector<std::string> replicas = KnownReplicas();
  return replicas.empty() ? std::string()
                          : replicas[nextIndex_++ % replicas.size()];
}

void LeaderFinder::OnMembersReply(Millis aNow,
                                  const std::string& aFrom,
                                  const std::string& aLeader,
                                  bool aIsEstablished,
                                  const std::vector<std::string>& aMembers)
{
  if (!aMembers.empty()) {
    members_ = { aMembers.begin(), aMembers.end() };
  }
  if (aIsEstablished) {
    leader_ = aFrom;
    isConfirmed_ = true;
    confirmedAt_ = aNow;
    return;
  }
  leader_ = aLeader != aFrom ? aLeader : std::string();
}

void LeaderFinder::OnCallServed(Millis aNow, const std::string& aFrom)
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

void LeaderFinder::OnNoReply(const std::string& aFrom)
{
  if (leader_ == aFrom) {
    leader_.clear();
  }
}

bool LeaderFinder::IsReady(Millis aNow) const
{
  return isConfirmed_ && aNow - confirmedAt_ <= options_.maxConfirmationAge_;
}

} // namespace vanillahatch
