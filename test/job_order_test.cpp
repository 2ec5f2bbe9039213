#define BOOST_TEST_MODULE job_order
#include "vanillahatch/core/jobs/job_order.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <vector>

using namespace vanillahatch;

namespace {

JobProgress MakeJob(Millis aArrivedAt,
                    Millis aRemainingChain,
                    uint64_t aAcceptanceIndex = 0)
{
  return { .arrivedAt_ = aArrivedAt,
           .objective_ = aRemainingChain * 8 / 5 + Millis(600),
           .remainingChain_ = aRemainingChain,
           .acceptanceIndex_ = aAcceptanceIndex };
}

// Simulates jobs of 640 ms that arrive every `aArrivalInterval`, faster than
// `aServers` can process them, and returns the share that finishes in time.
double ShareInTime(int aServers,
                   Millis aArrivalInterval,
                   bool aFirstComeFirstServed,
                   bool aEarliestDueFirst)
{
  constexpr Millis kWork = Millis(640);
  constexpr int kJobs = 400;
  std::vector<JobProgress> waiting;
  std::vector<Millis> busyUntil(static_cast<size_t>(aServers));
  int inTime = 0;
  int arrived = 0;
  for (Millis now; arrived < kJobs || !waiting.empty(); now = now + Millis(1)) {
    while (arrived < kJobs && aArrivalInterval * arrived <= now) {
      waiting.push_back(MakeJob(now, kWork, static_cast<uint64_t>(arrived++)));
    }
    for (Millis& until : busyUntil) {
      if (until > now || waiting.empty()) {
        continue;
      }
      const auto best = std::min_element(
        waiting.begin(),
        waiting.end(),
        [&](const auto& aLeft, const auto& aRight) {
          if (aFirstComeFirstServed) {
            return aLeft.acceptanceIndex_ < aRight.acceptanceIndex_;
          }
          if (aEarliestDueFirst) {
            return aLeft.arrivedAt_ + aLeft.objective_ <
                   aRight.arrivedAt_ + aRight.objective_;
          }
          return ComesBefore(RankJob(now, aLeft), RankJob(now, aRight));
        });
      until = now + kWork;
      inTime += until <= best->arrivedAt_ + best->objective_ ? 1 : 0;
      waiting.erase(best);
    }
  }
  return static_cast<double>(inTime) / kJobs;
}

} // namespace

BOOST_AUTO_TEST_CASE(JobThatCanFinishInTimePrecedesOneThatCannot)
{
  const Millis now = Seconds(10);
  const JobUrgency late = RankJob(now, MakeJob(Seconds(8), Millis(640)));
  const JobUrgency fresh = RankJob(now, MakeJob(Seconds(10), Millis(640)));
  BOOST_TEST(ComesBefore(fresh, late));
}

BOOST_AUTO_TEST_CASE(StartedJobPrecedesANewOne)
{
  JobProgress started = MakeJob(Seconds(10), Millis(640));
  started.isStarted_ = true;
  const JobUrgency fresh =
    RankJob(Seconds(10), MakeJob(Millis(9900), Millis(640)));
  BOOST_TEST(ComesBefore(RankJob(Seconds(10), started), fresh));
}

BOOST_AUTO_TEST_CASE(OverdueJobComesLast)
{
  const JobUrgency overdue = RankJob(Seconds(60), MakeJob({}, Millis(640)));
  const JobUrgency late =
    RankJob(Seconds(60), MakeJob(Seconds(58), Millis(640)));
  BOOST_TEST(ComesBefore(late, overdue));
  BOOST_TEST((overdue.class_ == UrgencyClass::kOverdue));
}

// A demand peak: a third more work arrives than can be processed. Guards
// against an order that makes nearly all jobs late under overload.
BOOST_AUTO_TEST_CASE(MostJobsThatFitFinishInTimeUnderOverload)
{
  constexpr int kServers = 8;
  constexpr Millis kArrivalInterval = Millis(60); // demand for 10.7 servers
  const double capacityShare = 8 / 10.67;
  const double inTimeShare =
    ShareInTime(kServers, kArrivalInterval, false, false);
  BOOST_TEST(inTimeShare > 0.85 * capacityShare);
  BOOST_TEST(inTimeShare >
             2 * ShareInTime(kServers, kArrivalInterval, true, false));
  BOOST_TEST(inTimeShare >
             2 * ShareInTime(kServers, kArrivalInterval, false, true));
}
