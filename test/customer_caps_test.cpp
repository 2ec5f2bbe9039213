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

struct StrayRunFixture : SharingFixture
{
  // An idle instance, "i1", lists a run that the log doesn't assign to it.
  void PutStrayRun()
  {
    fleet_.PutCustomers({ { "a", 1.0, 8 } });
    AddInstances(2);
    const Job& stray =
      *SubmitMany("a", 1, SimulatedFleet::StepOf(1, 8 * kCore, 600))[0];
    fleet_.RunFor(Millis(300));
    FakeInstance& other = fleet_.At("i1");
    other.ignoresStops_ = true;
    v1::TaskName name;
    name.set_job(stray.id_);
    other.running_.push_back(
      { .task_ = name, .run_ = 9, .endsAt_ = Millis::Max() });
    other.deadline_ = Millis::Max();
    fleet_.StartLeader(2);
    fleet_.RunFor(Seconds(1));
  }
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

BOOST_FIXTURE_TEST_SUITE(unassigned_runs, StrayRunFixture)

BOOST_AUTO_TEST_CASE(AnUnassignedRunIsNotListedAllTheTime)
{
  PutStrayRun();
  const InstanceView& view =
    fleet_.Scheduler().Views().at(ToKey(fleet_.At("i1").record_));
  const uint64_t listings = view.listings_;
  fleet_.RunFor(Seconds(6));
  BOOST_TEST(view.HasUnassignedRuns());
  BOOST_TEST(view.listings_ - listings <= 6U);
  fleet_.At("i1").ignoresStops_ = false;
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(!view.HasUnassignedRuns());
}

BOOST_AUTO_TEST_CASE(AnInstanceThatDiesWithAnUnassignedRunReleasesItsCharge)
{
  PutStrayRun();
  FakeInstance& other = fleet_.At("i1");
  const InstanceView& view =
    fleet_.Scheduler().Views().at(ToKey(other.record_));
  BOOST_TEST(view.HasUnassignedRuns());
  other.running_.clear();
  other.isReachable_ = false;
  const std::vector<Job*> jobs =
    SubmitMany("a", 4, SimulatedFleet::StepOf(2, 4 * kCore, 500));
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(60)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(wide_steps, SharingFixture)

BOOST_AUTO_TEST_CASE(AWideStepDoesNotTakeAFreeFleetFromSmallOnes)
{
  fleet_.PutCustomers({ { "wide", 1.0 }, { "small", 1.0 } });
  AddInstances(4);
  SubmitMany("wide", 1, SimulatedFleet::StepOf(200, 2 * kCore, 2000));
  SubmitMany("small", 25, SimulatedFleet::StepOf(4, 2 * kCore, 2000));
  fleet_.RunFor(Seconds(1));
  BOOST_TEST(fleet_.RunningMilliCpus("small") >= 26 * kCore);
  BOOST_TEST(fleet_.RunningMilliCpus("wide") >= 26 * kCore);
}

BOOST_AUTO_TEST_SUITE_END()
