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

BOOST_FIXTURE_TEST_SUITE(large_work, SharingFixture)

// Fails if a task that doesn't fit beside a lasting one is held for ever.
BOOST_AUTO_TEST_CASE(ALargeTaskStartsUnderHalfOfTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 10 } });
  AddInstances(2);
  v1::StepSpec lasting = SimulatedFleet::StepOf(1, 4 * kCore, 0);
  lasting.set_lasting(true);
  SubmitMany("a", 1, lasting);
  fleet_.RunFor(Millis(500));
  const std::vector<Job*> jobs =
    SubmitMany("a", 3, SimulatedFleet::StepOf(2, 7 * kCore, 300));
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 11 * kCore);
}

BOOST_AUTO_TEST_CASE(ALargeGangStartsUnderHalfOfTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 100 } });
  AddInstances(12);
  v1::StepSpec lasting = SimulatedFleet::StepOf(9, 5 * kCore, 0);
  lasting.set_lasting(true);
  SubmitMany("a", 1, lasting);
  fleet_.RunFor(Millis(500));
  v1::StepSpec gang = SimulatedFleet::StepOf(8, 7 * kCore, 300);
  gang.set_gang(true);
  const std::vector<Job*> jobs = SubmitMany("a", 2, gang);
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 101 * kCore);
}

BOOST_AUTO_TEST_CASE(AGangThatCanNeverStartIsReportedOnce)
{
  fleet_.PutCustomers({ { "a", 1.0, 100 } });
  AddInstances(12);
  v1::StepSpec gang = SimulatedFleet::StepOf(8, 15 * kCore, 300);
  gang.set_gang(true);
  SubmitMany("a", 1, gang);
  const std::vector<Job*> others =
    SubmitMany("a", 4, SimulatedFleet::StepOf(2, 7 * kCore, 300));
  fleet_.RunFor(Seconds(5));
  BOOST_TEST(AreAllCompleted(others));
  BOOST_TEST(fleet_.StepsBeyondCap() == 1U);
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") <= 100 * kCore);
}

BOOST_AUTO_TEST_SUITE_END()
