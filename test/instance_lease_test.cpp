#define BOOST_TEST_MODULE instance_lease
#include "vanillahatch/core/jobs/instance_lease.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

BOOST_AUTO_TEST_CASE(LeaseWithUnknownClockExpiresAfterTheLongestLease)
{
  const InstanceLease lease(Seconds(5), Seconds(100));
  BOOST_TEST(!lease.HasExpired(Seconds(105)));
  // A clock that loses 2 percent takes longer to reach the deadline.
  BOOST_TEST(lease.HasExpired(Millis(105400)));
}

BOOST_AUTO_TEST_CASE(LeaseExpiresOnlyWhenTheSlowestClockIsPastTheDeadline)
{
  InstanceLease lease(Seconds(5), Seconds(100));
  lease.Observe(Seconds(20), Seconds(100));
  lease.Extend(Seconds(26));
  BOOST_TEST(!lease.HasExpired(Seconds(106)));
  BOOST_TEST(lease.HasExpired(Millis(106300)));
}

BOOST_AUTO_TEST_CASE(FirstReplyAccountsForLeasesOfAnEarlierLeader)
{
  InstanceLease lease(Seconds(5), Seconds(100));
  lease.Observe(Seconds(20), Seconds(101));
  BOOST_TEST(!lease.HasExpired(Seconds(106)));
}

// A report may reach the leader long after the instance read its clock.
BOOST_AUTO_TEST_CASE(DelayedFirstReplyDoesNotShortenLeasesOfAnEarlierLeader)
{
  InstanceLease lease(Seconds(5), Seconds(100));
  lease.Observe(Seconds(12), Seconds(101)); // read 8 s before
  lease.Observe(Seconds(24), Seconds(105));
  BOOST_TEST(!lease.HasExpired(Millis(105100)));
  BOOST_TEST(lease.HasExpired(Millis(105400)));
}

BOOST_AUTO_TEST_CASE(ReorderedReplyDoesNotTurnTheClockBack)
{
  InstanceLease lease(Seconds(5), Seconds(100));
  lease.Observe(Seconds(30), Seconds(110));
  lease.Observe(Seconds(25), Seconds(111));
  BOOST_TEST(lease.ClockAt(Seconds(111)).Count() >= Seconds(30).Count());
}
