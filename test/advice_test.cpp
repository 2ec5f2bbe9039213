#define BOOST_TEST_MODULE advice
#include "simulated_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

struct AdvisedQueueFixture
{
  AdvisedQueueFixture()
  {
    v1::JobChanges changes;
    v1::FleetDocument& config = *changes.add_changes()->mutable_put_config();
    config.set_version(1);
    config.add_services()->set_name("layout");
    v1::QueueSpec& queue = *config.add_queues();
    queue.set_name("drafts");
    queue.set_host("host");
    queue.set_path_prefix("/drafts/");
    queue.set_service("layout");
    queue.set_max_attempts(3);
    queue.set_stretch(1.6);
    queue.set_target_latency_ms(600);
    queue.set_needs_advice(true);
    world_.Store().Apply(changes);
    for (int i = 0; i < 6; ++i) {
      world_.AddInstance("i" + std::to_string(i), "layout");
    }
    world_.RunFor(Millis(100));
  }

  bool IsCompleted(const Job& aJob)
  {
    return world_.Store().PhaseOf(aJob) == v1::JOB_COMPLETED;
  }

  uint32_t StartsOnDisallowedInstances()
  {
    return world_.At("i1").startsAccepted_ + world_.At("i3").startsAccepted_ +
           world_.At("i5").startsAccepted_;
  }

  SimulatedFleet world_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdvisedQueue, AdvisedQueueFixture)

BOOST_AUTO_TEST_CASE(StepStartsOnlyOnInstancesAllowedByTheAdvisor)
{
  const Job& job =
    world_.Submit("j1", "drafts", { SimulatedFleet::StepOf(12, 3000) });
  BOOST_TEST(world_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  BOOST_TEST(StartsOnDisallowedInstances() == 0U);
  BOOST_TEST(world_.AdviceCalls() == 1U);
}

BOOST_AUTO_TEST_CASE(ExpiredTicketIsRequestedAgain)
{
  const Job& job = world_.Submit(
    "j1",
    "drafts",
    { SimulatedFleet::StepOf(40, 8000, 2000) }); // four rounds of tasks
  BOOST_TEST(world_.RunUntil([&] { return IsCompleted(job); }, Seconds(20)));
  BOOST_TEST(StartsOnDisallowedInstances() == 0U);
  BOOST_TEST(world_.AdviceCalls() > 1U);
}

BOOST_AUTO_TEST_CASE(StartsWaitForAnUnresponsiveAdvisorAndResumeAfterItsReply)
{
  world_.advisorReplies_ = false;
  const Job& job =
    world_.Submit("j1", "drafts", { SimulatedFleet::StepOf(4, 1000) });
  world_.RunFor(Seconds(2));
  BOOST_TEST(world_.Starts() == 0U);
  BOOST_TEST(world_.AdviceCalls() <= 11U); // one call per 200 ms at most
  world_.advisorReplies_ = true;
  BOOST_TEST(world_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
}

BOOST_AUTO_TEST_CASE(EachJobGetsItsOwnAdviceCall)
{
  const Job& one =
    world_.Submit("j1", "drafts", { SimulatedFleet::StepOf(2, 1000) });
  const Job& two =
    world_.Submit("j2", "drafts", { SimulatedFleet::StepOf(2, 1000) });
  BOOST_TEST(world_.RunUntil(
    [&] { return IsCompleted(one) && IsCompleted(two); }, Seconds(3)));
  BOOST_TEST(world_.AdviceCalls() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
