// A bounded queue of the jobs of one service that wait at this entry for a
// slot. Urgent jobs come first, members (customers) are served fairly, and jobs
// that cannot meet their deadline are refused.
//
// Fairness is start-time fair queueing: each job gets a virtual start tag when
// it is pushed, so that while several members wait, each one's share of the
// dispatches is proportional to its weight, however many jobs it submits.
//
//   AdmissionQueue queue({ .maxWaiting_ = 1000 });
//   if (queue.Check(job, minRunTime, now) == AdmissionResult::kAdmitted) {
//     queue.Push(job);
//   }
//   queue.VisitInOrder(8, [&](const WaitingJob& aJob) { ... }, now);
#pragma once

#include "vanillahatch/core/job.h"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace vanillahatch {

// The configured limits of one member at this entry.
struct MemberLimit
{
  MemberName member_;       // empty: the default for members not listed
  uint32_t weight_ = 1;     // relative share of dispatches
  uint32_t maxWaiting_ = 0; // jobs; zero: bounded by the queue alone

  friend bool operator==(const MemberLimit&, const MemberLimit&) = default;
};

enum class AdmissionResult : uint8_t
{
  kAdmitted,
  kQueueFull,
  kMemberLimit,
  kDeadlineUnreachable,
};

struct AdmissionOptions
{
  uint32_t maxWaiting_ = 1000; // jobs
};

struct WaitingJob
{
  JobNumber number_{};
  MemberName member_;
  Priority priority_ = Priority::kNormal;
  Millis arrivedAt_;
  Millis deadline_;
};

// A visitor's decision on one job.
enum class VisitResult : uint8_t
{
  kKeep,       // the job stays in its place
  kDispatched, // the job is removed and counts towards the dispatch rate
  kDrop,       // the job is removed without having run
};

class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Replaces the limits of all members.
  void SetLimits(std::span<const MemberLimit> aLimits);

  // Whether the job can be admitted and finish before its deadline, given the
  // minimum run time to expect and the current dispatch rate of this queue.
  AdmissionResult Check(const WaitingJob& aJob,
                        Millis aMinRunTime,
                        Millis aNow) const;

  void Push(const WaitingJob& aJob);
  // Puts a job back for a retry, ahead of jobs of the same priority that are
  // pushed later.
  void Requeue(const WaitingJob& aJob);
  bool Remove(JobNumber aNumber);

  // Offers the jobs to `aVisit` in order until it has kept `aMaxKept` of them.
  // Removes the jobs that it dispatched or dropped.
  void VisitInOrder(size_t aMaxKept,
                    const std::function<VisitResult(const WaitingJob&)>& aVisit,
                    Millis aNow);

  // Arrival time of the oldest job. Precondition: the queue is not empty.
  Millis OldestArrival() const { return byArrival_.begin()->first; }
  size_t Size() const { return byNumber_.size(); }
  size_t UrgentCount() const { return urgentCount_; }
  // Estimated wait of a new job of this member, or zero if unknown.
  Millis ExpectedWait(const MemberName& aMember,
                      Priority aPriority,
                      Millis aNow) const;

private:
  // Jobs are sorted by it.
  struct OrderKey
  {
    bool normal_ = true; // urgent sorts first
    double tag_ = 0;     // virtual start time
    uint64_t sequence_ = 0;

    friend auto operator<=>(const OrderKey&, const OrderKey&) = default;
  };

  struct QueuedJob
  {
    OrderKey key_;
    WaitingJob job_;
    friend bool operator<(const QueuedJob& aLeft, const QueuedJob& aRight)
    {
      return aLeft.key_ < aRight.key_;
    }
  };

  struct Member
  {
    double finishTag_ = 0; // virtual time, of the last job pushed
    uint32_t waiting_ = 0; // jobs in the queue
    // Set by the configuration; a member that has one is never pruned.
    std::optional<MemberLimit> limit_;
  };

  using JobOrder = std::set<QueuedJob>;

  const MemberLimit& LimitOf(const Member& aMember) const
  {
    return aMember.limit_ ? *aMember.limit_ : defaultLimit_;
  }
  void Insert(const WaitingJob& aJob, double aTag, uint64_t aSequence);
  void Erase(JobOrder::iterator aIt);
  void RemoveVisited(JobOrder::iterator aIt, VisitResult aResult, Millis aNow);
  void RecordDispatch(Millis aNow);
  void PruneIdleMembers();

  // Counts dispatches over a window of time in which none emptied the queue.
  struct DispatchRate
  {
    Millis windowStartedAt_;
    uint32_t dispatched_ = 0;
    double perMilli_ = 0; // of the last full window; zero: unknown
  };

  static constexpr Millis kMinRateWindow = Millis(250);
  static constexpr uint32_t kMinDispatches = 16; // in a window
  static constexpr uint64_t kFirstSequence = 1ULL << 40U;
  static constexpr size_t kMaxIdleMembers = 256; // before they are pruned

  AdmissionOptions options_;
  MemberLimit defaultLimit_; // of members without a limit of their own
  JobOrder order_;
  std::unordered_map<JobNumber, JobOrder::iterator> byNumber_;
  std::set<std::pair<Millis, JobNumber>> byArrival_;
  std::unordered_map<MemberName, Member> members_;
  uint32_t activeMembers_ = 0;
  size_t urgentCount_ = 0;
  double virtualTime_ = 0;
  // Less than the sequence number of any first attempt, so that a retry
  // precedes first attempts with the same `OrderKey::tag_`.
  uint64_t retrySequence_ = 0;
  uint64_t sequence_ = kFirstSequence;
  DispatchRate dispatchRate_;
};

} // namespace vanillahatch
