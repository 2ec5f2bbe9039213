#include "vanillahatch/core/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

void AdmissionQueue::SetLimits(std::span<const MemberLimit> aLimits)
{
  defaultLimit_ = {};
  for (auto& [name, member] : members_) {
    member.limit_.reset();
  }
  for (const MemberLimit& limit : aLimits) {
    if (limit.member_.Empty()) {
      defaultLimit_ = limit;
    } else {
      members_[limit.member_].limit_ = limit;
    }
  }
}

AdmissionResult AdmissionQueue::Check(const WaitingJob& aJob,
                                      Millis aMinRunTime,
                                      Millis aNow) const
{
  const auto member = members_.find(aJob.member_);
  if (member != members_.end()) {
    const uint32_t maxWaiting = LimitOf(member->second).maxWaiting_;
    if (maxWaiting > 0 && member->second.waiting_ >= maxWaiting) {
      return AdmissionResult::kMemberLimit;
    }
  }
  if (Size() >= options_.maxWaiting_) {
    return AdmissionResult::kQueueFull;
  }
  const Millis wait = ExpectedWait(aJob.member_, aJob.priority_, aNow);
  if (aNow + wait + aMinRunTime >= aJob.deadline_) {
    return AdmissionResult::kDeadlineUnreachable;
  }
  return AdmissionResult::kAdmitted;
}

Millis AdmissionQueue::ExpectedWait(const MemberName& aMember,
                                    Priority aPriority,
                                    Millis aNow) const
{
  const Millis rateExpiresAt =
    dispatchRate_.windowStartedAt_ + kMinRateWindow * 4;
  if (order_.empty() || dispatchRate_.perMilli_ <= 0 || aNow > rateExpiresAt) {
    return Millis(0);
  }
  if (aPriority == Priority::kUrgent) {
    return Millis(static_cast<int64_t>(static_cast<double>(urgentCount_) /
                                       dispatchRate_.perMilli_));
  }
  // A job waits for its member's earlier jobs and, for each of these and
  // itself, for about one job of every other active member, however many are
  // queued.
  const auto member = members_.find(aMember);
  const size_t own = member != members_.end() ? member->second.waiting_ : 0;
  const size_t fairPosition = (own + 1) * (activeMembers_ + 1) + urgentCount_;
  const auto ahead = static_cast<double>(std::min(order_.size(), fairPosition));
  return Millis(static_cast<int64_t>(ahead / dispatchRate_.perMilli_));
}

void AdmissionQueue::Push(const WaitingJob& aJob)
{
  Member& member = members_[aJob.member_];
  const double start = std::max(virtualTime_, member.finishTag_);
  member.finishTag_ = start + 1.0 / std::max(LimitOf(member).weight_, 1U);
  Insert(aJob, start, ++sequence_);
}

void AdmissionQueue::Requeue(const WaitingJob& aJob)
{
  Insert(aJob, virtualTime_, ++retrySequence_);
}

void AdmissionQueue::Insert(const WaitingJob& aJob,
                            double aTag,
                            uint64_t aSequence)
{
  const bool urgent = aJob.priority_ == Priority::kUrgent;
  const OrderKey key{ .normal_ = !urgent,
                      .tag_ = aTag,
                      .sequence_ = aSequence };
  const auto it = order_.insert({ .key_ = key, .job_ = aJob }).first;
  byNumber_[aJob.number_] = it;
  byArrival_.insert({ aJob.arrivedAt_, aJob.number_ });
  urgentCount_ += urgent ? 1 : 0;
  Member& member = members_[aJob.member_];
  activeMembers_ += member.waiting_ == 0 ? 1 : 0;
  ++member.waiting_;
}

void AdmissionQueue::Erase(JobOrder::iterator aIt)
{
  const auto member = members_.find(aIt->job_.member_);
  urgentCount_ -= aIt->job_.priority_ == Priority::kUrgent ? 1 : 0;
  byNumber_.erase(aIt->job_.number_);
  byArrival_.erase({ aIt->job_.arrivedAt_, aIt->job_.number_ });
  order_.erase(aIt);
  if (--member->second.waiting_ > 0) {
    return;
  }
  --activeMembers_;
  if (members_.size() > kMaxIdleMembers + activeMembers_) {
    PruneIdleMembers();
  }
}

void AdmissionQueue::PruneIdleMembers()
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

void AdmissionQueue::VisitInOrder(
  size_t aMaxKept,
  const std::function<VisitResult(const WaitingJob&)>& aVisit,
  Millis aNow)
{
  size_t kept = 0;
  for (auto it = order_.begin(); it != order_.end() && kept < aMaxKept;) {
    const auto next = std::next(it);
    const VisitResult result = aVisit(it->job_);
    if (result == VisitResult::kKeep) {
      ++kept;
    } else {
      RemoveVisited(it, result, aNow);
    }
    it = next;
  }
}

void AdmissionQueue::RemoveVisited(JobOrder::iterator aIt,
                                   VisitResult aResult,
                                   Millis aNow)
{
  if (aIt->key_.normal_) {
    virtualTime_ = std::max(virtualTime_, aIt->key_.tag_);
  }
  if (aResult == VisitResult::kDispatched) {
    RecordDispatch(aNow);
  }
  Erase(aIt);
}

void AdmissionQueue::RecordDispatch(Millis aNow)
{
  // The rate of the slots shows only while further jobs wait: with an empty
  // queue, dispatches are limited by arrivals.
  if (order_.size() <= 1) {
    dispatchRate_ = { .windowStartedAt_ = aNow };
    return;
  }
  ++dispatchRate_.dispatched_;
  const Millis elapsed = aNow - dispatchRate_.windowStartedAt_;
  if (elapsed < kMinRateWindow || dispatchRate_.dispatched_ < kMinDispatches) {
    return;
  }
  // Two standard deviations above the measured rate: a job is refused only if
  // it would be late even when this window's rate was low by chance.
  const double count = dispatchRate_.dispatched_;
  dispatchRate_ = { .windowStartedAt_ = aNow,
                    .perMilli_ = (count + 2 * std::sqrt(count)) /
                                 static_cast<double>(elapsed.Count()) };
}

} // namespace vanillahatch
