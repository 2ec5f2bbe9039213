// Caps of customers when configurations, instances and leaders change.
#define BOOST_TEST_MODULE customer_caps
#include "sharing_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

struct RemovedCustomerFixture : SharingFixture
{
  RemovedCustomerFixture()
  {
    fleet_.PutCustomers({ { "a", 1.0, 8 } });
    AddInstances(4);
    jobs_ = SubmitMany("a", 20, SimulatedFleet::StepOf(1, 4 * kCore, 700));
    fleet_.PutCustomers({});
  }

  std::vector<Job*> jobs_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(removed_customers, RemovedCustomerFixture)

BOOST_AUTO_TEST_CASE(ASuccessorAppliesTheCapOfARemovedCustomer)
{
  fleet_.StartLeader(2);
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs_); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(TheCapOfARemovedCustomerOutlastsASnapshot)
{
  BOOST_REQUIRE(fleet_.Store().Restore(fleet_.Store().Snapshot()));
  fleet_.StartLeader(2);
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(ACustomerThatIsPutBackHasItsCap)
{
  fleet_.StartLeader(2);
  fleet_.RunFor(Seconds(2));
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs_); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_SUITE_END()
