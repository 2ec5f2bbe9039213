#define BOOST_TEST_MODULE machine_orders
#include "simulated_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

struct MachineOrdersFixture
{
  MachineOrdersFixture()
  {
    fleet_.Configure({ { "layout", false }, { "rest", true } },
                     { { "drafts", "layout" } });
  }

  // Runs one task on the instance.
  const Job& OccupyInstance(const FakeInstance& aInstance)
  {
    const Job& job = fleet_.Submit(
      "running", "drafts", { SimulatedFleet::StepOf(1, 500, 9000) });
    BOOST_REQUIRE(fleet_.RunUntil(
      [&] { return aInstance.running_.size() == 1; }, Seconds(1)));
    return job;
  }

  // The largest number of copies of the job's first task that run at once.
  size_t MaxCopies(const Job& aJob, Millis aWithin)
  {
    v1::TaskName task;
    task.set_job(aJob.id_);
    size_t copies = 0;
    fleet_.RunUntil(
      [&] {
        copies = std::max(copies, fleet_.RunningCopies(task));
        return false;
      },
      aWithin);
    return copies;
  }

  SimulatedFleet fleet_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MachineOrders, MachineOrdersFixture)

BOOST_AUTO_TEST_CASE(MoveThatAnOutdatedListSuggestsFreesNoRunningTask)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  const Job& job = OccupyInstance(a);
  fleet_.AddInstance("b", "layout");
  fleet_.outdatedMachines_["m-a"] = { .machine_ = "m-a",
                                      .pool_ = "rest",
                                      .state_ = MachineState::kUp };
  fleet_.RunFor(Seconds(5)); // until the next list
  fleet_.Submit(
    "waiting", "drafts", { SimulatedFleet::StepOf(200, 2000, 300) });
  BOOST_TEST(MaxCopies(job, Seconds(3)) == 1U);
  BOOST_TEST(fleet_.Store().FindInstance(ToKey(a.record_)) != nullptr);
  BOOST_TEST(fleet_.MachineOrders().empty());
}

BOOST_AUTO_TEST_SUITE_END()
