#include "vanillahatch/core/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

void AdmissionQueue::SetLimits(std::span<const MemberLimit> aLimits)
{
  others_ = {};
  for (auto& [name, member] : members_) {
    member.limit_.reset();
  }
  for (const MemberLimit& limit : aLimits) {
    if (limit.member_.Empty()) {
      others_ = limit;
    } else {
      members_[limit.member_].limit_ = limit;
    }
  }
}

AdmissionVerdict AdmissionQueue::Check(const WaitingJob& aJob,
                                       Millis aLeastRunTime,
                                       Millis aNow) const
{
  const auto member = members_.find(aJob.member_);
  if (member != members_.end()) {
    const uint32_t most = LimitOf(member->second).maxWaiting_;
    if (most > 0 && member->second.waiting_ >= most) {
      return AdmissionVerdict::kMemberLimit;
    }
  }
  if (Size() >= options_.maxWaiting_) {
    return AdmissionVerdict::kQueueFull;
  }
  const Millis wait = ExpectedWait(aJob.member_, aJob.priority_, aNow);
  if (aNow + wait + aLeastRunTime >= aJob.deadline_) {
    return AdmissionVerdict::kDeadlineUnreachable;
  }
  return AdmissionVerdict::kAdmitted;
}

Millis AdmissionQueue::ExpectedWait(const MemberName& aMember,
                                    Priority aPriority,
                                    Millis aNow) const
{
  const Millis stale = rate_.since_ + kRateWindow * 4;
  if (order_.empty() || rate_.perMilli_ <= 0 || aNow > stale) {
    return Millis(0);
  }
  if (aPriority == Priority::kUrgent) {
    return Millis(
      static_cast<int64_t>(static_cast<double>(urgent_) / rate_.perMilli_));
  }
  // A member that asks little is served in its turn among the active members,
  // however many jobs another one has put in the queue.
  const auto member = members_.find(aMember);
  const size_t own = member != members_.end() ? member->second.waiting_ : 0;
  const size_t turns = (own + 1) * (activeMembers_ + 1) + urgent_;
  const auto ahead = static_cast<double>(std::min(order_.size(), turns));
  return Millis(static_cast<int64_t>(ahead / rate_.perMilli_));
}

void AdmissionQueue::Push(const WaitingJob& aJob)
{
  Member& member = members_[aJob.member_];
  const double start = std::max(virtualTime_, member.finishTag_);
  member.finishTag_ = start + 1.0 / std::max(LimitOf(member).weight_, 1U);
  Insert(aJob, start, ++sequence_);
}

void AdmissionQueue::PushAgain(const WaitingJob& aJob)
{
  Insert(aJob, virtualTime_, ++retrySequence_);
}

void AdmissionQueue::Insert(const WaitingJob& aJob,
                            double aTag,
                            uint64_t aSequence)
{
  const bool urgent = aJob.priority_ == Priority::kUrgent;
  const Key key{ .normal_ = !urgent, .tag_ = aTag, .sequence_ = aSequence };
  const auto it = order_.insert({ .key_ = key, .job_ = aJob }).first;
  byNumber_[aJob.number_] = it;
  byArrival_.insert({ aJob.arrivedAt_, aJob.number_ });
  urgent_ += urgent ? 1 : 0;
  Member& member = members_[aJob.member_];
  activeMembers_ += member.waiting_ == 0 ? 1 : 0;
  ++member.waiting_;
}

void AdmissionQueue::Erase(Order::iterator aIt)
{
  const auto member = members_.find(aIt->job_.member_);
  urgent_ -= aIt->job_.priority_ == Priority::kUrgent ? 1 : 0;
  byNumber_.erase(aIt->job_.number_);
  byArrival_.erase({ aIt->job_.arrivedAt_, aIt->job_.number_ });
  order_.erase(aIt);
  if (--member->second.waiting_ > 0) {
    return;
  }
  --activeMembers_;
  if (members_.size() > kMembersKept + activeMembers_) {
    ForgetIdleMembers();
  }
}

void AdmissionQueue::ForgetIdleMembers()
{
  std::erase_if(members_, [](const auto& aMember) {
    return aMember.second.waiting_ == 0 && !aMember.second.limit_;
  });
}

bool AdmissionQueue::Remove(JobNumber aNumber)
{
  const auto it = byNumber_.find(aNumber);
  if (it == byNumber_.end()) {
    return false;
  }
  Erase(it->second);
  return true;
}

void AdmissionQueue::ForFront(
  size_t aMostKept,
  const std::function<FrontVerdict(const WaitingJob&)>& aVisit,
  Millis aNow)
{
  size_t kept = 0;
  for (auto it = order_.begin(); it != order_.end() && kept < aMostKept;) {
    const auto next = std::next(it);
    const FrontVerdict verdict = aVisit(it->job_);
    if (verdict == FrontVerdict::kKeep) {
      ++kept;
    } else {
      Leave(it, verdict, aNow);
    }
    it = next;
  }
}

void AdmissionQueue::Leave(Order::iterator aIt,
                           FrontVerdict aVerdict,
                           Millis aNow)
{
  if (aIt->key_.normal_) {
    virtualTime_ = std::max(virtualTime_, aIt->key_.tag_);
  }
  if (aVerdict == FrontVerdict::kDispatched) {
    NoteDispatch(aNow);
  }
  Erase(aIt);
}

void AdmissionQueue::NoteDispatch(Millis aNow)
{
  // Only stretches in which more jobs waited tell the rate of the slots.
  if (order_.size() <= 1) {
    rate_ = { .since_ = aNow };
    return;
  }
  ++rate_.dispatched_;
  const Millis span = aNow - rate_.since_;
  if (span < kRateWindow || rate_.dispatched_ < kFewestDispatches) {
    return;
  }
  // Two standard deviations to the good: a job is refused only if it would be
  // late although this stretch was an unlucky one.
  const double count = rate_.dispatched_;
  rate_ = { .since_ = aNow,
            .perMilli_ = (count + 2 * std::sqrt(count)) /
                         static_cast<double>(span.Count()) };
}

} // namespace vanillahatch
