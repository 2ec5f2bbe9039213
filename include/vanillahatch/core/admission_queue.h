// The jobs of one service that wait at this entry for a slot: bounded, urgent
// first, fair between members, and aware of deadlines.
//
// Fairness is start-time fair queueing: each job gets a virtual start tag when
// it is pushed, and a member that asks twice as much as another still gets
// only its weight's share of dispatches while both wait.
//
//   AdmissionQueue queue({ .maxWaiting_ = 1000 });
//   if (queue.Check(job, leastRunTime, now) == AdmissionVerdict::kAdmitted) {
//     queue.Push(job);
//   }
//   queue.ForFront(8, [&](const WaitingJob& aJob) { ... }, now);
#pragma once

#include "vanillahatch/core/job.h"

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

namespace vanillahatch {

// What the configuration allows one member on this entry.
struct MemberLimit
{
  MemberName member_;       // empty: every member without a limit of its own
  uint32_t weight_ = 1;     // share of dispatches while others wait too
  uint32_t maxWaiting_ = 0; // zero: only the queue's own bound

  friend bool operator==(const MemberLimit&, const MemberLimit&) = default;
};

enum class AdmissionVerdict : uint8_t
{
  kAdmitted,
  kQueueFull,
  kMemberLimit,
  kDeadlineUnreachable,
};

struct AdmissionOptions
{
  uint32_t maxWaiting_ = 1000;
};

struct WaitingJob
{
  JobNumber number_{};
  MemberName member_;
  Priority priority_ = Priority::kNormal;
  Millis arrivedAt_;
  Millis deadline_;
};

enum class FrontVerdict : uint8_t
{
  kKeep,       // stays in its place
  kDispatched, // leaves, and counts for the rate at which the queue drains
  kDrop,       // leaves without having run
};

class AdmissionQueue
{
public:
  explicit AdmissionQueue(AdmissionOptions aOptions = {})
    : options_(aOptions)
  {
  }

  // Replaces all limits of members.
  void SetLimits(std::span<const MemberLimit> aLimits);

  // Whether the job can be taken in and be done in time, given the least run
  // time to reckon with and the rate at which this queue drains now.
  AdmissionVerdict Check(const WaitingJob& aJob,
                         Millis aLeastRunTime,
                         Millis aNow) const;

  void Push(const WaitingJob& aJob);
  // Back in, before the jobs that came later: a retry keeps its place.
  void PushAgain(const WaitingJob& aJob);
  bool Remove(JobNumber aNumber);

  // Offers the jobs in order until `aMostKept` were kept; the others leave.
  void ForFront(size_t aMostKept,
                const std::function<FrontVerdict(const WaitingJob&)>& aVisit,
                Millis aNow);

  // When the job that has waited longest arrived; the queue must hold one.
  Millis OldestArrival() const { return byArrival_.begin()->first; }
  size_t Size() const { return byNumber_.size(); }
  size_t UrgentSize() const { return urgent_; }
  // The wait that a job of this member would have, or zero if unknown.
  Millis ExpectedWait(const MemberName& aMember,
                      Priority aPriority,
                      Millis aNow) const;

private:
  struct Key
  {
    bool normal_ = true; // urgent sorts first
    double tag_ = 0;
    uint64_t sequence_ = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };

  struct Entry
  {
    Key key_;
    WaitingJob job_;
    friend bool operator<(const Entry& aLeft, const Entry& aRight)
    {
      return aLeft.key_ < aRight.key_;
    }
  };

  struct Member
  {
    double finishTag_ = 0;
    uint32_t waiting_ = 0;
    // Set by the configuration; such a member is never forgotten.
    std::optional<MemberLimit> limit_;
  };

  using Order = std::set<Entry>;

  const MemberLimit& LimitOf(const Member& aMember) const
  {
    return aMember.limit_ ? *aMember.limit_ : others_;
  }
  void Insert(const WaitingJob& aJob, double aTag, uint64_t aSequence);
  void Erase(Order::iterator aIt);
  void Leave(Order::iterator aIt, FrontVerdict aVerdict, Millis aNow);
  void NoteDispatch(Millis aNow);
  void ForgetIdleMembers();

  // Dispatches counted over one stretch of time in which jobs waited.
  struct DrainRate
  {
    Millis since_;
    uint32_t dispatched_ = 0;
    double perMilli_ = 0; // of the last full stretch; zero: unknown
  };

  static constexpr Millis kRateWindow = Millis(250);
  static constexpr uint32_t kFewestDispatches = 16; // in a stretch
  static constexpr uint64_t kFirstSequence = 1ULL << 40U;
  static constexpr size_t kMembersKept = 256; // without jobs, before a sweep

  AdmissionOptions options_;
  MemberLimit others_; // for members without a limit of their own
  Order order_;
  std::unordered_map<JobNumber, Order::iterator> byNumber_;
  std::set<std::pair<Millis, JobNumber>> byArrival_;
  std::unordered_map<MemberName, Member> members_;
  uint32_t activeMembers_ = 0;
  size_t urgent_ = 0;
  double virtualTime_ = 0;
  // Retries are numbered below all first attempts of the same tag.
  uint64_t retrySequence_ = 0;
  uint64_t sequence_ = kFirstSequence;
  DrainRate rate_;
};

} // namespace vanillahatch
