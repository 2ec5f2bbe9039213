// The order in which waiting jobs get capacity.
//
// Designed for demand peaks that exceed the capacity of all machines. Under
// such overload both first come, first served and earliest due time first make
// nearly every job late, because each job starts just before it is late. Jobs
// that can finish in time therefore precede those that cannot, and jobs that
// have started are finished first.
//
//   std::sort(jobs.begin(), jobs.end(), [](auto& aLeft, auto& aRight) {
//     return ComesBefore(aLeft.urgency_, aRight.urgency_);
//   });
#pragma once

#include "vanillahatch/core/clock.h"

#include <cstdint>

namespace vanillahatch {

enum class UrgencyClass : uint8_t
{
  kLongRunning, // provides its service only while it runs
  kStarted,     // has started and can finish in time
  kInTime,      // can finish in time
  kLate,        // cannot finish in time, but its result keeps some value
  kOverdue,     // its result has almost no value, but is still delivered
};

struct JobUrgency
{
  UrgencyClass class_ = UrgencyClass::kInTime;
  uint32_t priority_ = 0; // 0 comes first
  Millis dueAt_;
  uint64_t acceptanceIndex_ = 0; // position in the sequence of acceptance
};

struct JobProgress
{
  bool isLongRunning_ = false;
  bool isStarted_ = false;
  uint32_t priority_ = 0;
  Millis arrivedAt_;
  Millis objective_;      // maximum time from arrival to an in-time end
  Millis remainingChain_; // remaining run time of its longest chain of steps
  Millis delay_;          // latency of orders and replies on that chain
  uint64_t acceptanceIndex_ = 0;
};

// Expected time from now to the end of a job that goes on at once, with a
// margin: its tasks do not all start at once, and the slowest determines it.
Millis ExpectedTimeToEnd(Millis aRemainingChain, Millis aDelay);
JobUrgency RankJob(Millis aNow, const JobProgress& aJob);
bool ComesBefore(const JobUrgency& aLeft, const JobUrgency& aRight);

} // namespace vanillahatch
