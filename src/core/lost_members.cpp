#include "vanillahatch/core/lost_members.h"

#include "vanillahatch/core/log_history.h"

namespace vanillahatch {

namespace {

bool ContainsMember(const std::vector<v1::LogMember>& aMembers,
                    const v1::LogMember& aMember)
{
  return std::any_of(
    aMembers.begin(), aMembers.end(), [&](const v1::LogMember& aOther) {
      return IsSame(aOther, aMember);
    });
}

} // namespace

const LostMembers::Loss* LostMembers::Find(const v1::LogMember& aLost) const
{
  const auto it =
    std::find_if(losses_.begin(), losses_.end(), [&](const Loss& aLoss) {
      return IsSame(aLoss.member_, aLost);
    });
  return it != losses_.end() ? &*it : nullptr;
}

void LostMembers::Add(const v1::LogMember& aLost,
                      const v1::LogMember& aSurvivor)
{
  const Loss* known = Find(aLost);
  Loss& loss = known != nullptr
                 ? losses_[static_cast<size_t>(known - losses_.data())]
                 : losses_.emplace_back(Loss{ .member_ = aLost });
  if (!ContainsMember(loss.survivors_, aSurvivor)) {
    loss.survivors_.push_back(aSurvivor);
  }
}

void LostMembers::Retain(const std::vector<const v1::LogConfig*>& aConfigs)
{
  std::erase_if(losses_, [&](const Loss& aLoss) {
    return std::none_of(
      aConfigs.begin(), aConfigs.end(), [&](const v1::LogConfig* aConfig) {
        return Contains(*aConfig, aLoss.member_);
      });
  });
}

std::vector<v1::LogMember> LostMembers::Members() const
{
  std::vector<v1::LogMember> members;
  for (const Loss& loss : losses_) {
    members.push_back(loss.member_);
  }
  return members;
}

bool LostMembers::IsLost(const v1::LogMember& aMember) const
{
  return Find(aMember) != nullptr;
}

bool LostMembers::Survived(const v1::LogMember& aLost,
                           const v1::LogMember& aMember) const
{
  const Loss* loss = Find(aLost);
  return loss != nullptr && ContainsMember(loss->survivors_, aMember);
}

} // namespace vanillahatch
