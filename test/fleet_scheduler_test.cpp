#define BOOST_TEST_MODULE fleet_scheduler
#include "simulated_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

struct OneServiceFixture
{
  OneServiceFixture()
  {
    fleet_.Configure({ { "layout", false }, { "rest", true } },
                     { { "drafts", "layout" } });
  }

  bool IsCompleted(const Job& aJob)
  {
    return fleet_.Store().PhaseOf(aJob) == v1::JOB_COMPLETED;
  }

  void RunOneJob(const std::string& aId)
  {
    const Job& job =
      fleet_.Submit(aId, "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
    BOOST_REQUIRE(
      fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(2)));
  }

  // The largest number of copies of the task that run at once.
  size_t MaxCopies(const v1::TaskName& aTask, Millis aWithin)
  {
    size_t copies = fleet_.RunningCopies(aTask);
    fleet_.RunUntil(
      [&] {
        copies = std::max(copies, fleet_.RunningCopies(aTask));
        return false;
      },
      aWithin);
    return copies;
  }

  SimulatedFleet fleet_;
};

uint64_t CountWaiting(const JobStore& aStore)
{
  return aStore.CountWaitingJobs(aStore.AddressOfQueue("drafts"));
}

v1::TaskName FirstTask(const Job& aJob)
{
  v1::TaskName task;
  task.set_job(aJob.id_);
  return task;
}

// The longest time in which a task of the first step did not run, within
// `aWithin`.
int64_t LongestInterruptionMs(SimulatedFleet& aFleet,
                              const Job& aJob,
                              Millis aWithin)
{
  std::map<uint32_t, Millis> since; // by index
  Millis longest;
  aFleet.RunUntil(
    [&] {
      for (uint32_t i = 0; i < aJob.spec_.steps(0).task_count(); ++i) {
        v1::TaskName task = FirstTask(aJob);
        task.set_index(i);
        if (aFleet.RunningCopies(task) > 0) {
          since.erase(i);
          continue;
        }
        const Millis start = since.try_emplace(i, aFleet.Now()).first->second;
        longest = std::max(longest, aFleet.Now() - start);
      }
      return false;
    },
    aWithin);
  return longest.Count();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Scheduling, OneServiceFixture)

BOOST_AUTO_TEST_CASE(JobRunsItsStepsInOrderAndCompletes)
{
  fleet_.AddInstance("a", "layout");
  v1::StepSpec second = SimulatedFleet::StepOf(2, 1000);
  second.add_after_steps(0);
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(4, 1000), second });
  fleet_.RunFor(Millis(300));
  BOOST_TEST(fleet_.At("a").running_.size() == 4U);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  BOOST_TEST(fleet_.Starts() == 6U);
}

BOOST_AUTO_TEST_CASE(TasksNeverExceedTheCapacityOfAnInstance)
{
  fleet_.AddInstance("a", "layout", 4);
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(9, 1500) });
  for (int i = 0; i < 100; ++i) {
    fleet_.RunFor(Millis(20));
    BOOST_TEST(fleet_.At("a").running_.size() <= 2U);
  }
}

BOOST_AUTO_TEST_CASE(MaxPerInstanceIsNeverExceeded)
{
  fleet_.AddInstance("a", "layout");
  fleet_.AddInstance("b", "layout");
  v1::StepSpec step = SimulatedFleet::StepOf(6, 500);
  step.set_max_per_instance(1);
  fleet_.Submit("j1", "drafts", { step });
  fleet_.RunFor(Millis(300));
  BOOST_TEST(fleet_.At("a").running_.size() == 1U);
  BOOST_TEST(fleet_.At("b").running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DrainingInstanceGetsNoNewTask)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  a.record_.set_draining(true);
  fleet_.Report(a);
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(2, 500) });
  fleet_.RunFor(Seconds(1));
  BOOST_TEST(a.startsAccepted_ == 0U);
}

BOOST_AUTO_TEST_CASE(StartWithoutReplyIsFoundInTheListingAndNotRepeated)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  a.losesStartReplies_ = true;
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500) });
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  BOOST_TEST(fleet_.RunsInDoubt() == 1U);
  BOOST_TEST(a.startsAccepted_ == 1U);
}

BOOST_AUTO_TEST_CASE(StartThatArrivesAfterItsStopIsRefused)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  a.delaysStarts_ = true;
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 2000) });
  fleet_.RunFor(Millis(300));
  BOOST_REQUIRE(!a.delayedStarts_.empty());
  a.delaysStarts_ = false;
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.RunningCopies(FirstTask(job)) == 1; }, Seconds(3)));
  fleet_.DeliverDelayedStarts(a);
  BOOST_TEST(fleet_.RunningCopies(FirstTask(job)) == 1U);
}

BOOST_AUTO_TEST_CASE(TaskOfAPartitionedInstanceRestartsOnlyAfterLeaseExpiry)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 60000) });
  fleet_.RunFor(Millis(500));
  BOOST_REQUIRE(a.running_.size() == 1U);
  a.isReachable_ = false;
  fleet_.AddInstance("b", "layout");
  size_t maxCopies = 0;
  const bool isRestarted = fleet_.RunUntil(
    [&] {
      maxCopies = std::max(maxCopies, fleet_.RunningCopies(FirstTask(job)));
      return fleet_.At("b").startsAccepted_ == 1;
    },
    Seconds(12));
  BOOST_TEST(isRestarted);
  BOOST_TEST(maxCopies == 1U);
}

BOOST_AUTO_TEST_CASE(IdleInstanceIsNotRemovedWhileItsFirstStartIsUncommitted)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  RunOneJob("j0");
  fleet_.RunFor(Seconds(12)); // idle for longer than a lease
  fleet_.holdsCommits_ = true;
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(2, 500, 600) });
  fleet_.RunFor(Millis(200));
  fleet_.CommitHeldProposals();
  BOOST_TEST(fleet_.Store().Instances().size() == 1U);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(2)));
  BOOST_TEST(a.startsAccepted_ == 3U);
}

BOOST_AUTO_TEST_CASE(InstanceWithProposedRemovalGetsNoStarts)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  RunOneJob("j0");
  fleet_.holdsCommits_ = true;
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(2, 500, 600) });
  a.isReachable_ = false;
  fleet_.RunFor(Seconds(12)); // nothing is committed for longer than a lease
  a.isReachable_ = true;
  fleet_.CommitHeldProposals();
  BOOST_TEST(a.startsAccepted_ == 1U);
}

BOOST_AUTO_TEST_CASE(EndOnARemovedInstanceCountsWhenItReportsAgain)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Seconds(1)));
  a.isReachable_ = false; // The run ends before the lease expires.
  fleet_.RunFor(Seconds(12));
  BOOST_REQUIRE(fleet_.Store().Instances().empty()); // removed
  a.isReachable_ = true;
  fleet_.Report(a);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  BOOST_TEST(a.startsAccepted_ == 1U);
}

// Found on Solnet (mix, seed 509906229659): a failed task was assigned to the
// same instance again before the scheduler received the commit of its end; that
// commit then removed the new run.
BOOST_AUTO_TEST_CASE(FailedTaskIsRetriedWhenTheCommitOfItsEndArrivesLate)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.reportsCommitsLate_ = true;
  a.runsToFail_ = 1;
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(4)));
  BOOST_TEST(a.startsAccepted_ == 2U);
}

// Large site, scale-2: the scheduler crashed with a segmentation fault when the
// log had removed an instance and a reply to an order for it arrived before the
// next tick.
BOOST_AUTO_TEST_CASE(RepliesForARemovedInstanceAreDropped)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 60000) });
  fleet_.RunFor(Millis(300));
  BOOST_REQUIRE(a.running_.size() == 1U);
  const InstanceKey key = ToKey(a.record_);
  v1::JobChanges changes;
  *changes.add_changes()->mutable_instance_gone()->mutable_key() =
    ToMessage(key);
  fleet_.Store().Apply(changes);
  a.isReachable_ = false;
  const OrderResult reply{ .status_ = OrderStatus::kOtherIncarnation };
  FleetScheduler& scheduler = fleet_.Scheduler();
  scheduler.OnListing(
    fleet_.Now(), { .target_ = { .instance_ = key } }, {}, reply, {});
  scheduler.OnStart(fleet_.Now(), { .target_ = { .instance_ = key } }, reply);
  scheduler.OnStop(fleet_.Now(), { .target_ = { .instance_ = key } }, reply);
  BOOST_TEST(scheduler.Views().empty());
}

BOOST_AUTO_TEST_CASE(AllFailedTasksAreRetriedWhenCommitsArriveLate)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.reportsCommitsLate_ = true;
  a.runsToFail_ = 2;
  b.runsToFail_ = 2;
  std::vector<const Job*> jobs;
  jobs.reserve(8);
  for (int i = 0; i < 8; ++i) {
    jobs.push_back(&fleet_.Submit("j" + std::to_string(i),
                                  "drafts",
                                  { SimulatedFleet::StepOf(4, 500, 300) }));
  }
  const auto allCompleted = [&] {
    return std::all_of(jobs.begin(), jobs.end(), [&](const Job* aJob) {
      return IsCompleted(*aJob);
    });
  };
  BOOST_TEST(fleet_.RunUntil(allCompleted, Seconds(10)));
}

// Ryggstein, scale-1, and Solnet grown, scale-2: an instance carried out a
// delayed start after the stop of the run was decided. Stopping the
// long-running task then may exceed the availability budget of its step.
BOOST_AUTO_TEST_CASE(LongRunningTaskThatStartedLateIsNotStopped)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  a.delaysStarts_ = true;
  a.ignoresStops_ = true;
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  fleet_.RunFor(Millis(400)); // not listed, so a stop is sent and ignored
  BOOST_REQUIRE(a.delayedStarts_.size() == 1U);
  a.delaysStarts_ = false;
  fleet_.DeliverDelayedStarts(a);
  fleet_.RunFor(Millis(100));
  a.ignoresStops_ = false;
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(a.startsAccepted_ == 1U);
  BOOST_TEST(fleet_.RunningCopies(FirstTask(job)) == 1U);
}

BOOST_AUTO_TEST_CASE(TaskStartedOnTheNextIncarnationIsNotStartedElsewhere)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 2000) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Millis(100)));
  fleet_.AddInstance("b", "layout");
  a.ignoresStops_ = true; // as if they took long
  fleet_.Report(a);
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(1)) == 1U);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(2)));
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_CASE(ListingOfTheNextIncarnationDoesNotFreeTasksItMayRun)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 8000) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Millis(100)));
  fleet_.AddInstance("b", "layout");
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(6)) == 1U);
  fleet_.Report(a);
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(1)) == 1U);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_CASE(StartThatReachesTheNextIncarnationLateIsRefused)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  a.delaysStarts_ = true;
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 2000) });
  fleet_.RunFor(Millis(20));
  BOOST_REQUIRE(!a.delayedStarts_.empty());
  fleet_.Restart("a");
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  fleet_.Report(a);
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return b.running_.size() == 1; }, Seconds(1)));
  fleet_.DeliverDelayedStarts(a);
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(1)) == 1U);
}

BOOST_AUTO_TEST_CASE(TaskOnALeavingInstanceIsNotStartedElsewhereBeforeItEnds)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  fleet_.RunFor(Millis(300));
  BOOST_REQUIRE(a.running_.size() == 1U);
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  // Its reply is lost, so that it goes on for a while.
  size_t maxCopies = 0;
  const bool isAcknowledged = fleet_.RunUntil(
    [&] {
      const bool hasLeft = fleet_.Leave("a");
      maxCopies = std::max(maxCopies, fleet_.RunningCopies(FirstTask(job)));
      return hasLeft;
    },
    Seconds(1));
  BOOST_TEST(isAcknowledged);
  BOOST_TEST(std::max(maxCopies, MaxCopies(FirstTask(job), Seconds(3))) == 1U);
  BOOST_TEST(a.running_.empty());
  BOOST_TEST(b.running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LeavingInstanceThatCannotBeReachedKeepsItsTasksForALease)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  fleet_.RunFor(Millis(300));
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  a.isReachable_ = false; // Its calls arrive, orders to it do not.
  size_t maxCopies = 0;
  const bool isAcknowledged = fleet_.RunUntil(
    [&] {
      maxCopies = std::max(maxCopies, fleet_.RunningCopies(FirstTask(job)));
      return fleet_.Leave("a");
    },
    Seconds(12));
  BOOST_TEST(isAcknowledged);
  BOOST_TEST(std::max(maxCopies, MaxCopies(FirstTask(job), Seconds(1))) == 1U);
  BOOST_TEST(b.running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TasksLostWithAnIncarnationAreRestartedSoon)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(4, 500, 600) });
  fleet_.RunFor(Millis(300));
  BOOST_REQUIRE(a.running_.size() == 4U);
  fleet_.Restart("a");
  fleet_.Report(a);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(1)));
}

// The lease of a deadline on the former clock is limited by the instance only.
BOOST_AUTO_TEST_CASE(NextIncarnationUnderAFormerDeadlineIsNotGivenUpEarly)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Millis(100)));
  fleet_.Report(a);
  fleet_.RunFor(Millis(50)); // The leader lists it.
  a.isReachable_ = false;
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(14)) == 1U);
  BOOST_TEST(b.running_.size() == 1U);
}

struct FormerDeadlineFixture : OneServiceFixture
{
  // "a" starts again and executes a start for its former incarnation. Its lease
  // is the longest one.
  void StartUnderFormerDeadline()
  {
    FakeInstance& a = fleet_.AddInstance("a", "layout");
    fleet_.RunFor(Millis(100));
    fleet_.Restart("a");
    task_ = FirstTask(
      fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) }));
    BOOST_REQUIRE(
      fleet_.RunUntil([&] { return a.running_.size() == 1; }, Millis(100)));
    fleet_.Report(a);
    fleet_.RunFor(Millis(50)); // The leader lists it.
  }

  // Another leader lists it once, then it is cut off.
  void LoseUnderTheNextLeader()
  {
    fleet_.StartLeader(2);
    fleet_.RunFor(Millis(50));
    fleet_.At("a").isReachable_ = false;
    fleet_.AddInstance("b", "layout");
  }

  bool RunsOnB() { return fleet_.At("b").running_.size() == 1; }

  v1::TaskName task_;
};

// Failure: a new leader counted the usual lease for an instance that had
// started again before, and started its task on another one.
BOOST_FIXTURE_TEST_CASE(NewLeaderGivesUpAFormerDeadlineEarly,
                        FormerDeadlineFixture)
{
  StartUnderFormerDeadline();
  LoseUnderTheNextLeader();
  BOOST_TEST(MaxCopies(task_, Seconds(14)) == 1U);
  BOOST_TEST(RunsOnB());
}

// Failure: the same after all replicas have restored their snapshots.
BOOST_FIXTURE_TEST_CASE(RestoredReplicaGivesUpAFormerDeadlineEarly,
                        FormerDeadlineFixture)
{
  StartUnderFormerDeadline();
  BOOST_REQUIRE(fleet_.Store().Restore(fleet_.Store().Snapshot()));
  LoseUnderTheNextLeader();
  BOOST_TEST(MaxCopies(task_, Seconds(14)) == 1U);
  BOOST_TEST(RunsOnB());
}

// Failure: the same with a snapshot of a release that did not record it.
BOOST_FIXTURE_TEST_CASE(EarlierSnapshotGivesUpAFormerDeadlineEarly,
                        FormerDeadlineFixture)
{
  StartUnderFormerDeadline();
  v1::JobStoreSnapshot snapshot;
  BOOST_REQUIRE(snapshot.ParseFromString(fleet_.Store().Snapshot()));
  snapshot.clear_former_leases();
  snapshot.clear_lists_former_leases();
  BOOST_REQUIRE(fleet_.Store().Restore(snapshot.SerializeAsString()));
  LoseUnderTheNextLeader();
  BOOST_TEST(MaxCopies(task_, Seconds(14)) == 1U);
  BOOST_TEST(RunsOnB());
}

// Failure: every later leader waits for the longest lease.
BOOST_FIXTURE_TEST_CASE(EndedFormerLeaseDelaysTheNextLeader,
                        FormerDeadlineFixture)
{
  StartUnderFormerDeadline();
  fleet_.RunFor(Seconds(12));
  LoseUnderTheNextLeader();
  BOOST_TEST(fleet_.RunUntil([&] { return RunsOnB(); }, Seconds(7)));
}

// Failure: a change of leader begins the wait anew, but never ends it.
BOOST_FIXTURE_TEST_CASE(FormerLeaseNeverEndsUnderANewLeader,
                        FormerDeadlineFixture)
{
  StartUnderFormerDeadline();
  fleet_.StartLeader(2);
  const Instance* instance =
    fleet_.Store().FindInstance(ToKey(fleet_.At("a").record_));
  fleet_.RunFor(Seconds(9));
  BOOST_TEST(instance->mayHoldFormerLease_);
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(!instance->mayHoldFormerLease_);
}

// Failure: the wait ended while orders for the former incarnation were still
// sent, which the next one executes.
BOOST_FIXTURE_TEST_CASE(FormerLeaseEndsBeforeItsIncarnationIsRemoved,
                        FormerDeadlineFixture)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  v1::JobChanges report; // of the next incarnation; the former one stays
  *report.add_changes()->mutable_put_instance() = a.record_;
  fleet_.Store().Apply(report);
  const Instance* instance = fleet_.Store().FindInstance(ToKey(a.record_));
  const auto isFormerStored = [&] {
    return fleet_.Store().FindInstancesById("a").size() == 2;
  };
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return !isFormerStored(); }, Seconds(60)));
  fleet_.RunFor(Seconds(9));
  BOOST_TEST(instance->mayHoldFormerLease_);
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(!instance->mayHoldFormerLease_);
}

BOOST_AUTO_TEST_CASE(UnreportedNextIncarnationIsNotGivenUpEarly)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Millis(100)));
  a.isReachable_ = false;
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(14)) == 1U);
  BOOST_TEST(b.running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(NextIncarnationWhoseReportIsRejectedDoesNotKeepItsTasks)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout", 16, 5000);
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  a.record_.set_born_unix_ms(4000); // The time of day stepped back.
  fleet_.AddInstance("b", "layout");
  BOOST_TEST(fleet_.RunUntil(
    [&] {
      fleet_.Report(a);
      return IsCompleted(job);
    },
    Seconds(14)));
}

BOOST_AUTO_TEST_CASE(IdleInstanceWhoseReportIsRejectedIsUsedAgain)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout", 16, 5000);
  fleet_.RunFor(Millis(100));
  fleet_.Restart("a");
  a.record_.set_born_unix_ms(4000); // The time of day stepped back.
  BOOST_TEST(fleet_.RunUntil(
    [&] {
      fleet_.Report(a);
      return fleet_.Store().FindInstance(ToKey(a.record_)) != nullptr;
    },
    Seconds(40)));
  RunOneJob("j1");
}

BOOST_AUTO_TEST_CASE(InstanceThatLeavesGetsNoStartThatIsCommittedLater)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.holdsCommits_ = true;
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
  fleet_.RunFor(Millis(50));
  fleet_.Scheduler().OnLeave(fleet_.Now(), ToKey(a.record_));
  fleet_.CommitHeldProposals();
  BOOST_TEST(a.startsAccepted_ == 0U);
  BOOST_TEST(fleet_.StartsWithheld() == 1U);
}

// A listing for the former incarnation carries that one's end cursor.
BOOST_AUTO_TEST_CASE(FormerEndCursorDoesNotConfirmEndsOfTheNextIncarnation)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  RunOneJob("j0");
  fleet_.RunFor(Millis(100)); // Its end is confirmed.
  fleet_.Restart("a");
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 300) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Millis(100)));
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.empty(); }, Seconds(1)));
  fleet_.RunFor(Millis(500));
  BOOST_TEST(a.ended_.size() == 1U);
  fleet_.Report(a);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(2)));
  BOOST_TEST(fleet_.Starts() == 2U);
}

// The platform accepts an order again that it has carried out before.
BOOST_AUTO_TEST_CASE(ReplyToARepeatedMachineOrderDoesNotRemoveTheNextInstance)
{
  fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(500));
  fleet_.platformReplies_ = false; // Orders are carried out all the same.
  v1::JobChanges changes;
  v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
  wave.set_wave(1);
  wave.set_max_concurrent(1);
  wave.add_machines("m-a");
  fleet_.Store().Apply(changes);
  fleet_.RunFor(Seconds(2));
  BOOST_REQUIRE(fleet_.MachineOrders().size() == 1U);
  const MachineOrder order = fleet_.MachineOrders()[0];
  FakeInstance& a = fleet_.AddInstance("a", "layout", 16, 2000);
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 2000) });
  BOOST_REQUIRE(
    fleet_.RunUntil([&] { return a.running_.size() == 1; }, Seconds(1)));
  fleet_.AddInstance("b", "layout");
  fleet_.Scheduler().OnMachineOrderResult(
    fleet_.Now(), order, MachineOrderStatus::kAccepted);
  BOOST_TEST(MaxCopies(FirstTask(job), Seconds(1)) == 1U);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  BOOST_TEST(fleet_.Starts() == 1U);
}

BOOST_AUTO_TEST_CASE(NewLeaderTakesOverRunsWithoutRestartingThem)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(3, 500, 3000) });
  fleet_.RunFor(Millis(500));
  fleet_.StartLeader(2);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(6)));
  BOOST_TEST(a.startsAccepted_ == 3U);
  BOOST_TEST(a.fencingToken_ == 2U);
}

// Guards against a new leader that takes each open job for a new one, so that
// jobs which are late for good go before those that can still be in time.
BOOST_AUTO_TEST_CASE(NewLeaderStartsJobsThatCanBeInTimeBeforeLateOnes)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false } }, { { "drafts", "layout" } });
  fleet.RunFor(Millis(100));
  for (int i = 0; i < 8; ++i) {
    fleet.Submit("late" + std::to_string(i),
                 "drafts",
                 { SimulatedFleet::StepOf(16, 1000, 1000) });
  }
  fleet.RunFor(Seconds(5));
  fleet.StartLeader(2);
  const Job& fresh =
    fleet.Submit("fresh", "drafts", { SimulatedFleet::StepOf(16, 1000, 1000) });
  fleet.AddInstance("a", "layout"); // has room for one job at a time
  BOOST_TEST(fleet.RunUntil([&] { return IsCompleted(fresh); }, Millis(2200)));
}

BOOST_AUTO_TEST_CASE(TaskThatAFormerLeaderKeepsAliveIsNotStartedElsewhere)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  fleet_.RunFor(Millis(500));
  BOOST_REQUIRE(a.running_.size() == 1U);
  a.isReachable_ = false;
  a.isReachableByFormerLeader_ = true;
  fleet_.StartSuccessor(2);
  fleet_.AddInstance("b", "layout");
  size_t maxCopies = 0;
  const bool isRestarted = fleet_.RunUntil(
    [&] {
      maxCopies = std::max(maxCopies, fleet_.RunningCopies(FirstTask(job)));
      return fleet_.At("b").startsAccepted_ == 1;
    },
    Seconds(12));
  BOOST_TEST(isRestarted);
  BOOST_TEST(maxCopies == 1U);
}

BOOST_AUTO_TEST_CASE(StartCommittedAfterTheLeaderLeaseExpiredIsNotSent)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.holdsCommits_ = true;
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
  fleet_.RunFor(Millis(100));
  fleet_.SetLeaderLeaseExpiry(fleet_.Now());
  fleet_.CommitHeldProposals();
  fleet_.RunFor(Millis(100));
  BOOST_TEST(a.startsAccepted_ == 0U);
  BOOST_TEST(fleet_.StartsWithheld() >= 1U);
  fleet_.SetLeaderLeaseExpiry(Millis::Max());
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
}

BOOST_AUTO_TEST_CASE(LeaderWithoutLeaderLeaseRenewsNoLease)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  fleet_.RunFor(Seconds(3));
  fleet_.SetLeaderLeaseExpiry(fleet_.Now());
  const Millis deadline = a.deadline_;
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(a.deadline_.Count() == deadline.Count());
}

BOOST_AUTO_TEST_CASE(LeaderRefusedForAHigherTokenSendsNoMoreOrders)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  FakeInstance& b = fleet_.AddInstance("b", "layout");
  fleet_.RunFor(Millis(100));
  a.fencingToken_ = 9; // of a later leader, unknown to this one
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(20, 1000, 3000) });
  fleet_.RunFor(Millis(300));
  BOOST_TEST(fleet_.Scheduler().IsDeposed());
  const uint32_t before = b.startsAccepted_;
  fleet_.Submit("j2", "drafts", { SimulatedFleet::StepOf(2, 1000, 3000) });
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(b.startsAccepted_ == before);
}

BOOST_AUTO_TEST_CASE(StartCommittedButNotSentByAnEarlierLeaderIsRepeated)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500) });
  v1::JobChanges changes;
  v1::RunStart& start = *changes.add_changes()->mutable_run_start();
  *start.mutable_task() = FirstTask(job);
  start.set_run(1);
  *start.mutable_instance() = ToMessage(ToKey(a.record_));
  fleet_.Store().Apply(changes);
  fleet_.StartLeader(2);
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(4)));
  BOOST_TEST(a.startsAccepted_ == 1U);
}

// The audit finds a run that is in the log but not in a view of the scheduler.
BOOST_AUTO_TEST_CASE(AuditFindsUnwatchedRunAndItsTaskCompletes)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500) });
  v1::JobChanges changes;
  v1::RunStart& start = *changes.add_changes()->mutable_run_start();
  *start.mutable_task() = FirstTask(job);
  start.set_run(1);
  *start.mutable_instance() = ToMessage(ToKey(a.record_));
  fleet_.Store().Apply(changes); // without a proposal of the scheduler
  fleet_.expectsAuditFindings_ = true;
  BOOST_TEST(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(4)));
  BOOST_TEST(fleet_.AuditFindings() == 1U);
  BOOST_TEST(a.startsAccepted_ == 1U);
}

BOOST_AUTO_TEST_CASE(FinishedJobIsRemovedAfterItsRetention)
{
  fleet_.AddInstance("a", "layout");
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(1, 500) });
  BOOST_REQUIRE(fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(3)));
  fleet_.RunFor(Seconds(120));
  BOOST_TEST(fleet_.Store().JobCount() == 1U);
  fleet_.RunFor(Seconds(15));
  BOOST_TEST(fleet_.Store().JobCount() == 0U);
}

BOOST_AUTO_TEST_CASE(TimeToSendOfAnOrderCountsFromItsDecision)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(2, 1) });
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(a.running_.size() == 2U);
  v1::JobChanges changes;
  changes.add_changes()->mutable_cancel_job()->set_id("j1");
  fleet_.Store().Apply(changes);
  fleet_.RunFor(Millis(300));
  BOOST_TEST(a.running_.empty());
  BOOST_TEST(fleet_.OrdersWithSendBy() > 2U);
  BOOST_TEST(fleet_.OrdersWithWrongSendBy() == 0U);
}

BOOST_AUTO_TEST_CASE(TasksOfACancelledJobAreStopped)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  fleet_.Submit("j1", "drafts", { SimulatedFleet::StepOf(2, 500, 60000) });
  fleet_.RunFor(Millis(300));
  BOOST_REQUIRE(a.running_.size() == 2U);
  v1::JobChanges changes;
  changes.add_changes()->mutable_cancel_job()->set_id("j1");
  fleet_.Store().Apply(changes);
  fleet_.RunFor(Millis(300));
  BOOST_TEST(a.running_.empty());
}

// Trials on Ryggstein lost long-running tasks 1.5 s after their start: the
// lease of a formerly idle instance was not renewed.
BOOST_AUTO_TEST_CASE(LeaseOfAFormerlyIdleInstanceIsRenewed)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Seconds(20));
  fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(2, 1) });
  fleet_.RunFor(Seconds(30));
  BOOST_TEST(a.running_.size() == 2U);
  BOOST_TEST(a.startsAccepted_ == 2U);
}

BOOST_AUTO_TEST_CASE(LongRunningTaskIsRestartedEvenIfItEndsAsDone)
{
  FakeInstance& a = fleet_.AddInstance("a", "layout");
  fleet_.RunFor(Millis(100));
  const Job& job =
    fleet_.Submit("j1", "drafts", { SimulatedFleet::LongRunningStep(1, 1) });
  fleet_.RunFor(Millis(300));
  BOOST_REQUIRE(a.running_.size() == 1U);
  a.ended_.push_back({ .number_ = ++a.lastEndNumber_,
                       .task_ = FirstTask(job),
                       .run_ = 1,
                       .outcome_ = v1::RUN_DONE });
  a.running_.clear();
  fleet_.RunFor(Millis(500));
  BOOST_TEST(a.running_.size() == 1U);
  BOOST_TEST(a.running_[0].run_ == 2U);
}

// Guards against jobs that are shown as running, and are not counted as
// waiting, while instances refuse or lose their starts.
BOOST_AUTO_TEST_CASE(JobsWithoutABegunRunCountAsWaiting)
{
  FakeInstance& instance = fleet_.AddInstance("i", "layout");
  RunOneJob("earlier");
  instance.refusesStarts_ = true;
  const Job& refused =
    fleet_.Submit("refused", "drafts", { SimulatedFleet::StepOf(1, 500) });
  fleet_.RunUntil([] { return false; }, Seconds(3));
  BOOST_TEST(
    JobStore::TaskAt({ .job_ = fleet_.Store().FindJob("refused") }).run_ > 1U);
  BOOST_TEST(CountWaiting(fleet_.Store()) == 1U);
  BOOST_TEST(fleet_.Store().PhaseOf(refused) == v1::JOB_QUEUED);
  fleet_.StartLeader(2);
  fleet_.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(CountWaiting(fleet_.Store()) == 1U);

  instance.refusesStarts_ = false;
  instance.delaysStarts_ = true;
  fleet_.RunUntil([] { return false; }, Seconds(1));
  BOOST_TEST(CountWaiting(fleet_.Store()) == 1U);
  instance.delaysStarts_ = false;
  BOOST_TEST(
    fleet_.RunUntil([&] { return IsCompleted(refused); }, Seconds(10)));
  BOOST_TEST(CountWaiting(fleet_.Store()) == 0U);
}

// A run that goes on for long must not leave its job among the waiting ones.
BOOST_AUTO_TEST_CASE(JobWithABegunRunIsShownAsRunningWithinASecond)
{
  fleet_.AddInstance("i", "layout");
  const Job& job =
    fleet_.Submit("long", "drafts", { SimulatedFleet::StepOf(1, 500, 60000) });
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.Store().PhaseOf(job) == v1::JOB_RUNNING; },
    Seconds(1)));
  BOOST_TEST(CountWaiting(fleet_.Store()) == 0U);
}

// A start whose reply was lost is recognized by the listing.
BOOST_AUTO_TEST_CASE(JobWhoseStartReplyWasLostIsShownAsRunning)
{
  FakeInstance& instance = fleet_.AddInstance("i", "layout");
  RunOneJob("earlier");
  instance.losesStartReplies_ = true;
  const Job& job =
    fleet_.Submit("long", "drafts", { SimulatedFleet::StepOf(1, 500, 60000) });
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.Store().PhaseOf(job) == v1::JOB_RUNNING; },
    Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Machines)

// The demand of one of two services exceeds the capacity of its pool.
BOOST_AUTO_TEST_CASE(IdleMachinesMoveToThePoolWithDemand)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false }, { "meter", false } },
                  { { "drafts", "layout" } });
  for (int i = 0; i < 3; ++i) {
    fleet.AddInstance("l" + std::to_string(i), "layout");
  }
  for (int i = 0; i < 8; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter");
  }
  fleet.RunFor(Seconds(1));
  for (int i = 0; i < 30; ++i) {
    fleet.Submit("j" + std::to_string(i),
                 "drafts",
                 { SimulatedFleet::StepOf(6, 1000, 1000) });
  }
  fleet.RunFor(Seconds(4));
  size_t moved = 0;
  for (const MachineOrder& order : fleet.MachineOrders()) {
    moved += order.pool_ == "layout" ? 1 : 0;
  }
  BOOST_TEST(moved >= 3U);
  BOOST_TEST(moved <= 6U); // "meter" keeps its minimum
}

// Large site, calib-log: long-running tasks waited all day in a pool with many
// free cores but too little free memory.
BOOST_AUTO_TEST_CASE(LongRunningTasksThatNeedMemoryGetMachines)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false }, { "meter", false } },
                  { { "log", "layout" } });
  for (int i = 0; i < 2; ++i) {
    fleet.AddInstance("l" + std::to_string(i), "layout");
  }
  for (int i = 0; i < 8; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter");
  }
  fleet.RunFor(Millis(500));
  v1::StepSpec step = SimulatedFleet::LongRunningStep(6, 1);
  step.mutable_need()->set_memory_mb(40000); // of 64,000
  const Job& job = fleet.Submit("j", "log", { step });
  fleet.RunFor(Seconds(8));
  BOOST_TEST(job.occurrences_.at(0).steps_[0].assigned_ == 6U);
}

BOOST_AUTO_TEST_CASE(LongRunningTasksOnePerInstanceGetMachines)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false }, { "meter", false } },
                  { { "log", "layout" } });
  for (int i = 0; i < 2; ++i) {
    fleet.AddInstance("l" + std::to_string(i), "layout");
  }
  for (int i = 0; i < 8; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter");
  }
  fleet.RunFor(Millis(500));
  v1::StepSpec step = SimulatedFleet::LongRunningStep(6, 1);
  step.set_max_per_instance(1);
  const Job& job = fleet.Submit("j", "log", { step });
  fleet.RunFor(Seconds(8));
  BOOST_TEST(job.occurrences_.at(0).steps_[0].assigned_ == 6U);
}

// Large site, field-check and hall-verify: a third of the tasks need a larger
// part of a machine's memory than of its cores.
BOOST_AUTO_TEST_CASE(DemandCountsMemoryAsWellAsCores)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false }, { "meter", false } },
                  { { "drafts", "layout" } });
  for (int i = 0; i < 4; ++i) {
    fleet.AddInstance("l" + std::to_string(i), "layout");
  }
  for (int i = 0; i < 10; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter");
  }
  fleet.RunFor(Millis(500));
  v1::StepSpec step = SimulatedFleet::StepOf(40, 100, 2000);
  step.mutable_need()->set_memory_mb(40000); // one per machine
  const Job& job = fleet.Submit("j", "drafts", { step });
  fleet.RunFor(Seconds(14)); // four machines alone would take 20 s
  BOOST_TEST((fleet.Store().PhaseOf(job) == v1::JOB_COMPLETED));
}

BOOST_AUTO_TEST_CASE(MachineWithRunningTasksIsNeverMoved)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false }, { "meter", false } },
                  { { "drafts", "layout" }, { "archive", "meter" } });
  fleet.AddInstance("l0", "layout");
  for (int i = 0; i < 6; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter", 2);
  }
  fleet.RunFor(Millis(500));
  fleet.Submit("kept", "archive", { SimulatedFleet::LongRunningStep(6, 1) });
  fleet.RunFor(Seconds(1));
  for (int i = 0; i < 30; ++i) {
    fleet.Submit("j" + std::to_string(i),
                 "drafts",
                 { SimulatedFleet::StepOf(6, 1000, 1000) });
  }
  fleet.RunFor(Seconds(4));
  BOOST_TEST(fleet.MachineOrders().empty());
}

BOOST_AUTO_TEST_CASE(WaveRespectsItsConcurrencyLimitAndTheAvailabilityBudget)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "meter", false } }, { { "archive", "meter" } });
  for (int i = 0; i < 5; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter", 4);
  }
  fleet.RunFor(Millis(500));
  const Job& job =
    fleet.Submit("kept", "archive", { SimulatedFleet::LongRunningStep(4, 1) });
  fleet.RunFor(Seconds(1));
  v1::JobChanges changes;
  v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
  wave.set_wave(1);
  wave.set_duration_ms(60000);
  wave.set_max_concurrent(2);
  for (int i = 0; i < 5; ++i) {
    wave.add_machines("m-m" + std::to_string(i));
  }
  fleet.Store().Apply(changes);
  size_t minRunning = 4;
  const bool isDone = fleet.RunUntil(
    [&] {
      size_t running = 0;
      for (uint32_t i = 0; i < 4; ++i) {
        v1::TaskName task = FirstTask(job);
        task.set_index(i);
        running += fleet.RunningCopies(task);
      }
      minRunning = std::min(minRunning, running);
      return fleet.Scheduler().IsWaveCompleted(1);
    },
    Seconds(60));
  BOOST_TEST(isDone);
  BOOST_TEST(minRunning >= 3U);
  BOOST_TEST(fleet.MaxInMaintenance() <= 2U);
}

// Found once on Ryggstein (scale-1, seed 226818292845), cause not traced: a
// stop that is sent again must still respect the availability budget.
BOOST_AUTO_TEST_CASE(FailedStopIsNotSentAgainWhileAnotherTaskIsUnavailable)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "meter", false } }, { { "archive", "meter" } });
  for (int i = 0; i < 2; ++i) {
    fleet.AddInstance("m" + std::to_string(i), "meter", 2);
  }
  fleet.RunFor(Millis(500));
  const Job& job =
    fleet.Submit("kept", "archive", { SimulatedFleet::LongRunningStep(2, 1) });
  fleet.RunFor(Seconds(2));
  FakeInstance& evacuated = fleet.At("m0");
  FakeInstance& other = fleet.At("m1");
  BOOST_REQUIRE(evacuated.running_.size() == 1U);
  BOOST_REQUIRE(other.running_.size() == 1U);
  evacuated.ignoresStops_ = true;
  v1::JobChanges changes;
  v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
  wave.set_wave(1);
  wave.set_max_concurrent(1);
  wave.add_machines("m-m0");
  fleet.Store().Apply(changes);
  fleet.RunFor(Seconds(1));
  // The other instance drains: its task is stopped and fits on no other.
  other.record_.set_draining(true);
  fleet.Report(other);
  fleet.RunFor(Millis(600));
  BOOST_REQUIRE(other.running_.empty());
  // The evacuated instance obeys stop orders again.
  evacuated.ignoresStops_ = false;
  fleet.RunFor(Seconds(2));
  v1::TaskName remaining =
    evacuated.running_.empty() ? FirstTask(job) : evacuated.running_[0].task_;
  BOOST_TEST(fleet.RunningCopies(remaining) == 1U);
}

// Two machines are all of their service, and both are due for maintenance. The
// machines of the other service are in use, so none can be moved.
struct TwoMachinesFixture
{
  TwoMachinesFixture()
  {
    fleet_.Configure({ { "layout", false }, { "meter", false } },
                     { { "drafts", "layout" }, { "archive", "meter" } });
    for (const char* id : { "a", "b" }) {
      fleet_.AddInstance(id, "layout");
    }
    for (const char* id : { "x", "y", "z" }) {
      fleet_.AddInstance(id, "meter");
    }
    fleet_.RunFor(Millis(500));
    v1::StepSpec inUse = SimulatedFleet::LongRunningStep(3, 1);
    inUse.set_max_per_instance(1);
    fleet_.Submit("other", "archive", { inUse });
  }

  // A machine has room for three of the tasks.
  Job& SubmitLongRunning(uint32_t aTasks, uint32_t aMaxUnavailable)
  {
    v1::StepSpec step =
      SimulatedFleet::LongRunningStep(aTasks, aMaxUnavailable);
    step.mutable_need()->set_cpu_millis(5000);
    Job& job = fleet_.Submit("kept", "drafts", { step });
    fleet_.RunFor(Seconds(3));
    BOOST_REQUIRE(CountRunning(job) == aTasks);
    return job;
  }

  size_t CountRunning(const Job& aJob) const
  {
    size_t running = 0;
    for (uint32_t i = 0; i < aJob.spec_.steps(0).task_count(); ++i) {
      v1::TaskName task = FirstTask(aJob);
      task.set_index(i);
      running += fleet_.RunningCopies(task);
    }
    return running;
  }

  void StartWave(const std::vector<std::string>& aMachines)
  {
    v1::JobChanges changes;
    v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
    wave.set_wave(1);
    wave.set_duration_ms(26000);
    wave.set_max_concurrent(2);
    for (const std::string& machine : aMachines) {
      wave.add_machines(machine);
    }
    fleet_.Store().Apply(changes);
  }

  int64_t LongestInterruptionMs(const Job& aJob, Millis aWithin)
  {
    return ::LongestInterruptionMs(fleet_, aJob, aWithin);
  }

  bool IsWaveCompleted() { return fleet_.Scheduler().IsWaveCompleted(1); }

  SimulatedFleet fleet_;
};

// Failure: all machines of a service were evacuated at once, so that its tasks
// had no place and the wave never ended.
BOOST_FIXTURE_TEST_CASE(WaveOverAllMachinesOfAServiceHaltsItsTasks,
                        TwoMachinesFixture)
{
  const Job& job = SubmitLongRunning(4, 1);
  StartWave({ "m-a", "m-b" });
  fleet_.RunFor(Seconds(1));
  const Job& quick =
    fleet_.Submit("quick", "drafts", { SimulatedFleet::StepOf(1, 500, 500) });
  BOOST_TEST(LongestInterruptionMs(job, Seconds(20)) < 6000);
  BOOST_TEST(fleet_.Store().PhaseOf(quick) == v1::JOB_COMPLETED);
  BOOST_TEST(IsWaveCompleted());
  BOOST_TEST(CountRunning(job) == 4U);
}

// Failure: the next leader evacuated all machines at once.
BOOST_FIXTURE_TEST_CASE(WaveOverAllMachinesOfAServiceHaltsItUnderANewLeader,
                        TwoMachinesFixture)
{
  const Job& job = SubmitLongRunning(4, 1);
  StartWave({ "m-a", "m-b" });
  fleet_.RunFor(Millis(300));
  fleet_.StartLeader(2);
  const Job& quick =
    fleet_.Submit("quick", "drafts", { SimulatedFleet::StepOf(1, 500, 500) });
  BOOST_TEST(LongestInterruptionMs(job, Seconds(20)) < 6000);
  BOOST_TEST(fleet_.Store().PhaseOf(quick) == v1::JOB_COMPLETED);
  BOOST_TEST(IsWaveCompleted());
}

// Failure: the evacuated machine took no work after the other one was lost.
BOOST_FIXTURE_TEST_CASE(EvacuatedMachineTakesNoTaskOfALostOne,
                        TwoMachinesFixture)
{
  fleet_.At("a").ignoresStops_ = true; // The evacuation takes long.
  const Job& job = SubmitLongRunning(2, 1);
  BOOST_REQUIRE(fleet_.At("a").running_.size() == 2U);
  StartWave({ "m-a" });
  fleet_.RunFor(Seconds(1));
  BOOST_REQUIRE(fleet_.At("b").running_.empty());
  fleet_.At("a").ignoresStops_ = false;
  fleet_.RunFor(Millis(500));
  BOOST_REQUIRE(fleet_.At("b").running_.size() == 1U);
  fleet_.At("a").ignoresStops_ = true;
  fleet_.At("b").running_.clear();
  fleet_.At("b").isReachable_ = false;
  // Its lease expires first.
  fleet_.RunFor(Seconds(8));
  BOOST_TEST(CountRunning(job) == 2U);
}

// Failure: a step whose budget allows one task to wait lost all of them, or
// stood still, when its only machine was due.
BOOST_FIXTURE_TEST_CASE(OnlyMachineOfAServiceIsEvacuatedBeyondTheBudget,
                        TwoMachinesFixture)
{
  fleet_.At("b").record_.set_draining(true);
  fleet_.Report(fleet_.At("b"));
  fleet_.RunFor(Millis(200));
  const Job& job = SubmitLongRunning(3, 1);
  StartWave({ "m-a" });
  BOOST_TEST(LongestInterruptionMs(job, Seconds(10)) == 0);
  // Its tasks move once there is another machine.
  fleet_.AddInstance("c", "layout");
  BOOST_TEST(LongestInterruptionMs(job, Seconds(6)) < 1000);
  BOOST_TEST(IsWaveCompleted());
}

// Failure: tasks without a budget were stopped one at a time, and the next one
// only once the last had found a place, which none had.
BOOST_FIXTURE_TEST_CASE(OnlyMachineOfAServiceIsNeverMaintained,
                        TwoMachinesFixture)
{
  fleet_.At("b").record_.set_draining(true);
  fleet_.Report(fleet_.At("b"));
  fleet_.RunFor(Millis(200));
  const Job& job = SubmitLongRunning(3, 0);
  StartWave({ "m-a" });
  BOOST_TEST(LongestInterruptionMs(job, Seconds(12)) < 4000);
  BOOST_TEST(IsWaveCompleted());
  BOOST_TEST(CountRunning(job) == 3U);
}

// Failure: the only machine of a service was emptied before a spare one had
// joined, so that its tasks waited for that one.
BOOST_AUTO_TEST_CASE(OnlyMachineIsEvacuatedBeforeItsReplacementJoins)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false }, { "rest", true } },
                  { { "drafts", "layout" } });
  fleet.AddInstance("a", "layout");
  fleet.RunFor(Millis(500));
  // The budget alone would let all of them wait.
  const Job& job =
    fleet.Submit("kept", "drafts", { SimulatedFleet::LongRunningStep(3, 3) });
  fleet.RunFor(Seconds(4));
  fleet.AddInstance("s", "rest");
  v1::JobChanges changes;
  v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
  wave.set_wave(1);
  wave.set_max_concurrent(1);
  wave.add_machines("m-a");
  fleet.Store().Apply(changes);
  BOOST_TEST(LongestInterruptionMs(fleet, job, Seconds(12)) < 1000);
  BOOST_TEST(fleet.Scheduler().IsWaveCompleted(1));
}

// Failure: all machines of a service were idle, and maintained at once.
BOOST_FIXTURE_TEST_CASE(IdleMachinesOfAServiceAreMaintainedAtOnce,
                        TwoMachinesFixture)
{
  StartWave({ "m-a", "m-b" });
  BOOST_TEST(fleet_.RunUntil([&] { return IsWaveCompleted(); }, Seconds(8)));
  BOOST_TEST(fleet_.MaxInMaintenance() == 1U);
}

// Failure: a machine was evacuated though no other one has the label that its
// tasks require.
BOOST_FIXTURE_TEST_CASE(TasksAreEvacuatedFromTheirOnlyLabelledMachine,
                        TwoMachinesFixture)
{
  fleet_.At("a").record_.add_labels("large");
  fleet_.Report(fleet_.At("a"));
  fleet_.RunFor(Millis(200));
  v1::StepSpec step = SimulatedFleet::LongRunningStep(2, 1);
  step.set_required_label("large");
  const Job& job = fleet_.Submit("kept", "drafts", { step });
  fleet_.RunFor(Seconds(3));
  BOOST_REQUIRE(fleet_.At("a").running_.size() == 2U);
  StartWave({ "m-a" });
  BOOST_TEST(LongestInterruptionMs(job, Seconds(10)) == 0);
}

// Failure: the last machine of a service that was up moved to another one while
// the others were down for maintenance.
BOOST_FIXTURE_TEST_CASE(LastMachineMovesWhileTheOthersAreMaintained,
                        TwoMachinesFixture)
{
  fleet_.AddInstance("c", "layout");
  fleet_.RunFor(Millis(500));
  StartWave({ "m-a", "m-b" });
  BOOST_REQUIRE(fleet_.RunUntil([&] { return fleet_.MaxInMaintenance() == 2; },
                                Seconds(2)));
  const auto isMove = [](const MachineOrder& aOrder) {
    return !aOrder.pool_.empty();
  };
  // The other service needs all machines.
  fleet_.Submit("large", "archive", { SimulatedFleet::StepOf(90, 4000, 3000) });
  fleet_.RunFor(Seconds(1));
  const std::vector<MachineOrder>& orders = fleet_.MachineOrders();
  BOOST_TEST(std::none_of(orders.begin(), orders.end(), isMove));
}

// Failure: a machine whose maintenance the platform refuses took no work any
// more.
BOOST_FIXTURE_TEST_CASE(MachineWithRefusedMaintenanceTakesNoWork,
                        TwoMachinesFixture)
{
  fleet_.refusedUpkeeps_ = { "m-a", "m-b" };
  const Job& job = SubmitLongRunning(4, 1);
  StartWave({ "m-a", "m-b" });
  BOOST_TEST(LongestInterruptionMs(job, Seconds(15)) < 3000);
}

// Where the platform does not check fencing tokens, orders of a former leader
// may arrive late.
BOOST_AUTO_TEST_CASE(NewLeaderSendsNoMachineOrdersBeforeTheDelay)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "meter", false } }, {});
  fleet.AddInstance("m0", "meter");
  fleet.RunFor(Millis(500));
  fleet.machineOrderDelay_ = Millis(1700);
  fleet.StartLeader(2);
  v1::JobChanges changes;
  v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
  wave.set_wave(1);
  wave.set_max_concurrent(1);
  wave.add_machines("m-m0");
  fleet.Store().Apply(changes);
  fleet.RunFor(Millis(1690));
  BOOST_TEST(fleet.MachineOrders().empty());
  fleet.RunFor(Millis(200));
  BOOST_TEST(fleet.MachineOrders().size() == 1U);
}

BOOST_AUTO_TEST_CASE(MachineOrderWithoutReplyIsSentAgain)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "meter", false } }, {});
  fleet.AddInstance("m0", "meter");
  fleet.RunFor(Millis(500));
  fleet.platformReplies_ = false;
  v1::JobChanges changes;
  v1::StartWave& wave = *changes.add_changes()->mutable_start_wave();
  wave.set_wave(1);
  wave.set_max_concurrent(1);
  wave.add_machines("m-m0");
  fleet.Store().Apply(changes);
  fleet.RunFor(Seconds(2));
  BOOST_TEST(!fleet.Scheduler().IsWaveCompleted(1));
  fleet.platformReplies_ = true;
  fleet.RunFor(Seconds(1));
  BOOST_TEST(fleet.Scheduler().IsWaveCompleted(1));
}

BOOST_AUTO_TEST_CASE(JobThatIsDueVeryManyTimesHoldsFewCandidates)
{
  SimulatedFleet fleet;
  fleet.Configure({ { "meter", false }, { "layout", false } },
                  { { "drafts", "layout" } });
  fleet.AddInstance("m0", "meter");
  Job& job =
    fleet.Submit("j", "drafts", { SimulatedFleet::StepOf(1, 500, 600) });
  job.spec_.set_repeat_count(100000);
  job.spec_.set_repeat_interval_ms(1);
  fleet.RunFor(Seconds(5));
  const DispatchLoad& load = fleet.LastDispatch();
  const size_t waiting = load.inTime_ + load.late_ + load.overdue_;
  BOOST_TEST(waiting > 0U);
  BOOST_TEST(waiting <= 1024U);
}

BOOST_AUTO_TEST_SUITE_END()
