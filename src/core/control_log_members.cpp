// Implements the leader's membership changes.
#include "vanillahatch/core/control_log.h"

#include <algorithm>
#include <array>

namespace vanillahatch {

namespace {

// Maximum number of entries that a learner may be behind when it is added. This
// is safe because it votes only once the configuration entry, and so every
// entry before it, is in its log.
constexpr uint64_t kMaxLearnerLag = 100;
// Limits the load of the leader; further replicas wait until one has joined.
constexpr size_t kMaxLearners = 8;

} // namespace

ControlLog::Learner* ControlLog::FindLearner(const v1::LogMember& aMember)
{
  const auto it =
    std::find_if(learners_.begin(), learners_.end(), [&](const auto& aLearner) {
      return IsSame(aLearner.member_, aMember);
    });
  return it != learners_.end() ? &*it : nullptr;
}

void ControlLog::OnLearnerContact(const v1::LogMember& aMember)
{
  if (Learner* learner = FindLearner(aMember)) {
    learner->lastContactAt_ = now_;
    return;
  }
  // Only one incarnation of a replica runs.
  std::erase_if(learners_, [&](const auto& aLearner) {
    return aLearner.member_.name() == aMember.name();
  });
  if (learners_.size() < kMaxLearners) {
    learners_.push_back({ .member_ = aMember, .lastContactAt_ = now_ });
  }
  RefreshProgress();
}

void ControlLog::DropUnresponsiveLearners()
{
  const size_t dropped = std::erase_if(learners_, [&](const auto& aLearner) {
    return now_ - aLearner.lastContactAt_ >
           options_.timing_.maxElectionTimeout_;
  });
  if (dropped > 0) {
    RefreshProgress();
  }
}

// True if the learner can vote as soon as the entry that adds it is committed.
bool ControlLog::IsCaughtUp(const Learner& aLearner)
{
  const Progress* progress = FindProgress(aLearner.member_);
  return progress != nullptr && progress->matchIndex_ != 0 &&
         progress->matchIndex_ + kMaxLearnerLag >= commitIndex_ &&
         now_ - aLearner.lastContactAt_ < options_.timing_.minElectionTimeout_;
}

std::vector<v1::LogMember> ControlLog::CaughtUpLearners()
{
  std::vector<v1::LogMember> caughtUp;
  for (const Learner& learner : learners_) {
    if (IsCaughtUp(learner)) {
      caughtUp.push_back(learner.member_);
    }
  }
  return caughtUp;
}

size_t ControlLog::MinMembers() const
{
  return 2 * options_.toleratedLosses_ + 1;
}

bool ControlLog::CanMemberLeave() const
{
  const auto size =
    static_cast<size_t>(history_.Latest().config_.members_size());
  return !learners_.empty() || size > MinMembers();
}

bool ControlLog::IsReplaced(const v1::LogMember& aMember) const
{
  return !Contains(history_.Latest().config_, aMember) && !IsConfigPending() &&
         commitIndex_ >= configKnownIndex_;
}

bool ControlLog::IsLeaving(const v1::LogMember& aMember)
{
  const Progress* progress = FindProgress(aMember);
  return IsSame(aMember, self_)
           ? isLeaving_
           : progress != nullptr && now_ < progress->leavesUntil_;
}

ControlLog::Members::iterator ControlLog::FindReplaceable(Members& aMembers,
                                                          Millis aAfter)
{
  const auto leaving = std::find_if(
    aMembers.begin(), aMembers.end(), [&](const v1::LogMember& aMember) {
      return IsLeaving(aMember);
    });
  return leaving != aMembers.end() ? leaving
                                   : FindUnresponsive(aMembers, aAfter);
}

// The member with the longest time since its last contact, if that exceeds
// `aAfter`.
ControlLog::Members::iterator ControlLog::FindUnresponsive(Members& aMembers,
                                                           Millis aAfter)
{
  auto found = aMembers.end();
  Millis since = now_ - aAfter;
  for (auto it = aMembers.begin(); it != aMembers.end(); ++it) {
    const Progress* progress = FindProgress(*it);
    if (progress != nullptr && progress->lastContactAt_ < since) {
      since = progress->lastContactAt_;
      found = it;
    }
  }
  return found;
}

// Appends the next configuration if a member must be replaced, added or
// removed; at most one is pending at any time.
void ControlLog::MaybeChangeMembers()
{
  if (IsConfigPending() || !IsEstablishedLeader()) {
    return;
  }
  using Step = bool (ControlLog::*)(Members&);
  constexpr std::array<Step, 4> kSteps = {
    &ControlLog::ReplaceOldIncarnation,
    &ControlLog::ReplaceMember,
    &ControlLog::AddLearners,
    &ControlLog::RemoveMember,
  };
  v1::LogEntry entry;
  *entry.mutable_config() = history_.Latest().config_;
  Members& members = *entry.mutable_config()->mutable_members();
  const bool isChanged =
    std::any_of(kSteps.begin(), kSteps.end(), [&](const Step aStep) {
      return (this->*aStep)(members);
    });
  if (!isChanged) {
    return;
  }
  std::erase_if(learners_, [&](const auto& aLearner) {
    return Contains(entry.config(), aLearner.member_);
  });
  AppendAsLeader(std::move(entry));
  RefreshProgress();
}

bool ControlLog::ReplaceOldIncarnation(Members& aMembers)
{
  for (const v1::LogMember& learner : CaughtUpLearners()) {
    const auto old =
      std::find_if(aMembers.begin(), aMembers.end(), [&](const auto& aMember) {
        return aMember.name() == learner.name();
      });
    if (old != aMembers.end()) {
      *old = learner;
      return true;
    }
  }
  return false;
}

bool ControlLog::ReplaceMember(Members& aMembers)
{
  const std::vector<v1::LogMember> caughtUp = CaughtUpLearners();
  const auto replaceable =
    FindReplaceable(aMembers, options_.timing_.replaceAfter_);
  if (caughtUp.empty() || replaceable == aMembers.end()) {
    return false;
  }
  *replaceable = caughtUp.front();
  return true;
}

// A learner becomes a member before it is needed, so that the next member to be
// lost need not be noticed first. An odd number that tolerates a further loss
// stays odd, as one half of an even number is no quorum when they are cut from
// each other.
bool ControlLog::AddLearners(Members& aMembers)
{
  const std::vector<v1::LogMember> caughtUp = CaughtUpLearners();
  const auto size = static_cast<size_t>(aMembers.size());
  const size_t most = size % 2 == 0 ? 1 : 2;
  const size_t count = std::min(caughtUp.size(), most);
  if (size % 2 != 0 && size > MinMembers() && count == 1) {
    return false;
  }
  for (size_t i = 0; i < count; ++i) {
    *aMembers.Add() = caughtUp[i];
  }
  return count > 0;
}

// A member that is not needed is removed as soon as it doesn't count as
// following: the rest tolerates more failures without it. It may join again.
bool ControlLog::RemoveMember(Members& aMembers)
{
  if (static_cast<size_t>(aMembers.size()) <= MinMembers()) {
    return false;
  }
  const auto replaceable =
    FindReplaceable(aMembers, options_.timing_.minElectionTimeout_);
  if (replaceable == aMembers.end()) {
    return false;
  }
  aMembers.erase(replaceable);
  return true;
}

} // namespace vanillahatch
