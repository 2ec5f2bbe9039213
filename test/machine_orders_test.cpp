#define BOOST_TEST_MODULE machine_orders
#include "simulated_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

constexpr Millis kUntilReturn = Seconds(10);

struct MachineOrdersFixture
{
  MachineOrdersFixture()
  {
    fleet_.Configure({ { "layout", false }, { "rest", true } },
                     { { "drafts", "layout" } });
  }

  void StartWave(const std::string& aMachine)
  {
    v1::JobChanges changes;
    v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
    wave.set_wave(1);
    wave.set_max_concurrent(1);
    wave.add_machines(aMachine);
    fleet_.Store().Apply(changes);
  }

  // Runs one task on the instance.
  const Job& OccupyInstance(const FakeInstance& aInstance)
  {
    const Job& job = fleet_.Submit(
      "running", "drafts", { SimulatedFleet::StepOf(1, 500, 11000) });
    BOOST_REQUIRE(fleet_.RunUntil(
      [&] { return aInstance.running_.size() == 1; }, Seconds(1)));
    return job;
  }

  // Reports a false later start of the instance, and waits until the instance
  // may return. Returns the false incarnation.
  FakeInstance DisplaceUntilReturn(const FakeInstance& aInstance)
  {
    FakeInstance odd;
    odd.record_ = aInstance.record_;
    odd.record_.set_born_unix_ms(2000);
    fleet_.Report(odd);
    fleet_.RunFor(kUntilReturn);
    return odd;
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

BOOST_AUTO_TEST_CASE(UpkeepThatAnEarlierLeaderOrderedDoesNotExcludeTheNextLife)
{
  fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  fleet_.platformReplies_ = false; // The upkeep is carried out all the same.
  StartWave("m-a");
  BOOST_REQUIRE(fleet_.RunUntil([&] { return !fleet_.MachineOrders().empty(); },
                                Seconds(1)));
  FakeInstance& a = fleet_.AddInstance("a", "layout", 16, 2000);
  fleet_.completedUpkeeps_.insert("m-a");
  fleet_.platformReplies_ = true;
  fleet_.StartLeader(2);
  BOOST_REQUIRE(fleet_.RunUntil(
    [&] { return fleet_.Scheduler().IsWaveCompleted(1); }, Seconds(3)));
  fleet_.Report(a);
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500) });
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.Store().PhaseOf(job) == v1::JOB_COMPLETED; },
    Seconds(3)));
}

BOOST_AUTO_TEST_CASE(ReplyOfAnotherInstanceAtItsAddressFreesNoRunningTask)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  const Job& job = OccupyInstance(a);
  fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  a.isReachable_ = false;
  fleet_.Scheduler().OnListing(fleet_.Now(),
                               { .target_ = { .instance_ = ToKey(a.record_) } },
                               fleet_.Now(),
                               { .status_ = OrderStatus::kOtherIncarnation },
                               {});
  BOOST_TEST(MaxCopies(job, Seconds(2)) == 1U);
  a.isReachable_ = true;
  fleet_.Report(a);
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.Store().PhaseOf(job) == v1::JOB_COMPLETED; },
    Seconds(11)));
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskOfAnInstanceWhoseAddressIsTakenStartsElsewhereAtOnce)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  OccupyInstance(a);
  fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  a.isReachable_ = false;
  a.running_.clear();
  fleet_.Scheduler().OnListing(
    fleet_.Now(),
    { .target_ = { .instance_ = ToKey(a.record_),
                   .endpoint_ = { .address_ = a.record_.address(),
                                  .port_ = static_cast<uint16_t>(
                                    a.record_.port()) } } },
    fleet_.Now(),
    { .status_ = OrderStatus::kOtherIncarnation },
    {});
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.At("b").running_.size() == 1; }, Millis(500)));
}

BOOST_AUTO_TEST_CASE(RunningTaskOfAnInstanceThatIsGoneStartsElsewhere)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  const Job& job = OccupyInstance(a);
  fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  a.isReachable_ = false;
  a.running_.clear();
  fleet_.Scheduler().OnListing(fleet_.Now(),
                               { .target_ = { .instance_ = ToKey(a.record_) } },
                               fleet_.Now(),
                               { .status_ = OrderStatus::kOtherIncarnation },
                               {});
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.At("b").running_.size() == 1; }, Seconds(7)));
  BOOST_TEST(fleet_.Store().PhaseOf(job) == v1::JOB_RUNNING);
}

BOOST_AUTO_TEST_CASE(InstanceWhoseSuccessorRepliesIsRemovedAtOnce)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  OccupyInstance(a);
  a.isReachable_ = false;
  a.running_.clear();
  FakeInstance& b = fleet_.AddInstance("b", "layout", 16, 2000);
  b.record_.set_machine("m-a");
  fleet_.Report(b);
  BOOST_TEST(
    fleet_.RunUntil([&] { return b.running_.size() == 1; }, Seconds(3)));
  BOOST_TEST(fleet_.Store().FindInstance(ToKey(a.record_)) == nullptr);
}

BOOST_AUTO_TEST_CASE(ReportOfAnotherInstanceFreesNoRunningTaskOfItsMachine)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  const Job& job = OccupyInstance(a);
  fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  FakeInstance odd;
  odd.record_ = a.record_;
  odd.record_.set_id("x");
  odd.record_.set_address("10.0.0.2");
  odd.record_.set_born_unix_ms(2000);
  BOOST_TEST(IsConsistent(fleet_.Store(), { .record_ = odd.record_ }));
  fleet_.Report(odd);
  BOOST_TEST(MaxCopies(job, Seconds(3)) == 1U);
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_CASE(SecondReportOfAFalseLaterStartFreesNoRunningTask)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  const FakeInstance odd = DisplaceUntilReturn(a);
  fleet_.Store().Apply(
    ChangesForReturn(fleet_.Store(), { .record_ = a.record_ }));
  fleet_.RunFor(Millis(500));
  const bool isFalseOneKnown =
    fleet_.Store().FindInstance(ToKey(odd.record_)) != nullptr;
  BOOST_REQUIRE(isFalseOneKnown);
  const Job& job = OccupyInstance(a);
  fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  BOOST_TEST(IsConsistent(fleet_.Store(), { .record_ = odd.record_ }));
  fleet_.Report(odd);
  BOOST_TEST(MaxCopies(job, Seconds(5)) == 1U);
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_CASE(TaskThatEndedBeforeItsInstanceCameBackIsNotRunAgain)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 1000) });
  fleet_.RunUntil([&] { return a.running_.size() == 1; }, Seconds(1));
  const FakeInstance odd = DisplaceUntilReturn(a);
  BOOST_REQUIRE(fleet_.Store().FindInstance(ToKey(odd.record_)) != nullptr);
  fleet_.Store().Apply(
    ChangesForReturn(fleet_.Store(), { .record_ = a.record_ }));
  fleet_.RunFor(Seconds(9));
  BOOST_TEST(fleet_.Store().PhaseOf(job) == v1::JOB_COMPLETED);
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
