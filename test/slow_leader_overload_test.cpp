#define BOOST_TEST_MODULE slow_leader_overload
#include "slow_leader_fixture.h"

using namespace vanillahatch;
using namespace vanillahatch::test;

// The bound is the same as in `job_order_test`.
BOOST_FIXTURE_TEST_CASE(OverloadUnderASlowLeaderLeavesMostOfWhatFitsInTime,
                        SlowLeaderFixture)
{
  // Each of 6 instances runs 10 tasks at once, and a job has 8 tasks.
  constexpr double kConcurrentJobs = 7.5;
  constexpr Millis kOccupancy = kRunTime + kDelay;
  const double attainable = kConcurrentJobs *
                            static_cast<double>(kGap.Count()) /
                            static_cast<double>(kOccupancy.Count());
  const double inTime = FractionInTimeAtPeak();
  BOOST_TEST(inTime > 0.85 * attainable, inTime << " of " << attainable);
}
