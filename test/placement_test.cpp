#define BOOST_TEST_MODULE placement
#include "vanillahatch/core/placement.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace vanillahatch;

namespace {

using Kind = PlacementActionKind;

constexpr Resources kWorker{ 16000, 64000, 0 };
constexpr Resources kSmall{ 1000, 4000, 0 };

TaskSpec MakeTask(const std::string& aName,
                  Resources aSize = kSmall,
                  const char* aKind = "plan")
{
  return { .name_ = TaskName(aName),
           .team_ = TeamName("team"),
           .kind_ = TaskKind(aKind),
           .declared_ = aSize };
}

Placement MakePlacement(uint32_t aWorkers, PlacementOptions aOptions = {})
{
  Placement placement(aOptions);
  for (uint32_t i = 0; i < aWorkers; ++i) {
    placement.AddWorker({ .name_ = WorkerName("w" + std::to_string(i)),
                          .rack_ = RackName("r" + std::to_string(i / 4)),
                          .capacity_ = kWorker });
  }
  return placement;
}

size_t Count(const std::vector<PlacementAction>& aActions, Kind aKind)
{
  return std::count_if(aActions.begin(), aActions.end(), [&](const auto& aA) {
    return aA.kind_ == aKind;
  });
}

const PlacementAction& Only(const std::vector<PlacementAction>& aActions,
                            Kind aKind)
{
  BOOST_REQUIRE_EQUAL(Count(aActions, aKind), 1U);
  return *std::find_if(aActions.begin(), aActions.end(), [&](const auto& aA) {
    return aA.kind_ == aKind;
  });
}

} // namespace

BOOST_AUTO_TEST_CASE(TasksOfAKindAreSpreadOverRacks)
{
  Placement placement = MakePlacement(12);
  for (int i = 0; i < 3; ++i) {
    placement.Submit(MakeTask("t" + std::to_string(i)), Millis(0));
  }
  std::set<std::string> racks;
  for (const PlacementAction& action : placement.Decide(Millis(0))) {
    const int worker = std::stoi(action.worker_.Str().substr(1));
    racks.insert(std::to_string(worker / 4));
  }
  BOOST_TEST(racks.size() == 3U);
}

BOOST_AUTO_TEST_CASE(TaskLargerThanAnyWorkerIsRefusedWithTheReason)
{
  Placement placement = MakePlacement(2);
  placement.Submit(MakeTask("big", { 1000, 65000, 0 }), Millis(0));
  placement.Submit(MakeTask("gpu", { 1000, 1000, 1 }), Millis(0));
  const auto actions = placement.Decide(Millis(0));
  BOOST_REQUIRE_EQUAL(Count(actions, Kind::kRefuse), 2U);
  BOOST_TEST((actions[0].reason_ == PlacementReason::kNeverFits));
  BOOST_TEST(placement.WaitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(TaskOverItsTeamsQuotaWaitsOrIsRefused)
{
  Placement placement = MakePlacement(4);
  placement.SetQuota(TeamName("team"), { 1500, 6000, 0 });
  placement.Submit(MakeTask("one"), Millis(0));
  placement.Submit(MakeTask("two"), Millis(0));
  placement.Submit(MakeTask("never", { 2000, 4000, 0 }), Millis(0));
  const auto actions = placement.Decide(Millis(0));
  BOOST_TEST(
    (Only(actions, Kind::kRefuse).reason_ == PlacementReason::kOverQuota));
  const PlacementAction& start = Only(actions, Kind::kStart);
  placement.End(start.task_, start.attempt_, TaskEnd::kSucceeded);
  BOOST_TEST(Only(placement.Decide(Seconds(1)), Kind::kStart).task_ ==
             TaskName("two"));
}

BOOST_AUTO_TEST_CASE(UrgentTaskPreemptsOthersOnAFullFleet)
{
  Placement placement = MakePlacement(2);
  for (int i = 0; i < 40; ++i) {
    TaskSpec task = MakeTask("t" + std::to_string(i));
    task.canCheckpoint_ = true;
    placement.Submit(task, Millis(0));
  }
  std::map<TaskName, uint64_t> attempts;
  for (const PlacementAction& action : placement.Decide(Millis(0))) {
    attempts[action.task_] = action.attempt_;
  }
  BOOST_TEST(attempts.size() == 32U);
  TaskSpec urgent = MakeTask("urgent", { 2000, 8000, 0 }, "rescue");
  urgent.urgent_ = true;
  placement.Submit(urgent, Seconds(1));
  const auto actions = placement.Decide(Seconds(1));
  BOOST_TEST(Count(actions, Kind::kStop) == 2U);
  BOOST_TEST(Count(actions, Kind::kCheckpoint) == 2U);
  // No further tasks are stopped while these stops are pending.
  BOOST_TEST(Count(placement.Decide(Seconds(2)), Kind::kStop) == 0U);
  for (const PlacementAction& action : actions) {
    if (action.kind_ == Kind::kStop) {
      placement.End(action.task_, attempts[action.task_], TaskEnd::kStopped);
    }
  }
  const auto later = placement.Decide(Seconds(3));
  BOOST_TEST(later.front().task_ == TaskName("urgent"));
  BOOST_TEST((later.front().kind_ == Kind::kStart));
}

BOOST_AUTO_TEST_CASE(RefusedStopMovesPreemptionToAnotherTask)
{
  Placement placement = MakePlacement(1);
  placement.Submit(MakeTask("a", { 9000, 30000, 0 }), Millis(0));
  placement.Submit(MakeTask("b", { 7000, 30000, 0 }), Millis(0));
  placement.Decide(Millis(0));
  TaskSpec urgent = MakeTask("urgent", { 5000, 20000, 0 });
  urgent.urgent_ = true;
  placement.Submit(urgent, Seconds(1));
  const TaskName first = Only(placement.Decide(Seconds(1)), Kind::kStop).task_;
  placement.RefuseStop(first, Seconds(1));
  const TaskName second = Only(placement.Decide(Seconds(2)), Kind::kStop).task_;
  BOOST_TEST(second != first);
}

BOOST_AUTO_TEST_CASE(TaskIsPlacedAgainOnlyAfterItsLease)
{
  Placement placement = MakePlacement(2);
  placement.Submit(MakeTask("t"), Millis(0));
  const auto start = Only(placement.Decide(Millis(0)), Kind::kStart);
  BOOST_TEST(placement.Decide(Millis(9999)).empty());
  const auto again = Only(placement.Decide(Seconds(10)), Kind::kStart);
  BOOST_TEST(again.attempt_ == start.attempt_ + 1);
  // A late end of the first attempt is ignored.
  placement.End(start.task_, start.attempt_, TaskEnd::kSucceeded);
  BOOST_TEST(placement.RunningCount() == 1U);
}

BOOST_AUTO_TEST_CASE(LaggingReportRenewsTheLeaseFromItsSample)
{
  Placement placement = MakePlacement(1);
  placement.Submit(MakeTask("t"), Millis(0));
  placement.Decide(Millis(0));
  placement.Report({ .worker_ = WorkerName("w0"),
                     .sampledAt_ = Seconds(2),
                     .tasks_ = { { TaskName("t"), kSmall } } },
                   Seconds(9));
  BOOST_TEST(placement.Decide(Millis(11999)).empty());
  BOOST_TEST(Count(placement.Decide(Seconds(12)), Kind::kStart) == 1U);
}

BOOST_AUTO_TEST_CASE(MeasuredQuantileReplacesTheDeclaredSize)
{
  for (const int64_t factor : { 5, -5 }) {
    Placement placement = MakePlacement(1);
    Resources declared = kSmall;
    declared.memoryMb_ =
      factor > 0 ? declared.memoryMb_ * factor : declared.memoryMb_ / -factor;
    for (int i = 0; i < 20; ++i) {
      const std::string name = "t" + std::to_string(i);
      placement.Submit(MakeTask(name, declared), Seconds(i));
      const auto start = Only(placement.Decide(Seconds(i)), Kind::kStart);
      placement.Report({ .worker_ = WorkerName("w0"),
                         .sampledAt_ = Seconds(i),
                         .tasks_ = { { TaskName(name), kSmall } } },
                       Seconds(i));
      placement.End(start.task_, start.attempt_, TaskEnd::kSucceeded);
    }
    placement.Submit(MakeTask("last", declared), Seconds(30));
    const auto start = Only(placement.Decide(Seconds(30)), Kind::kStart);
    BOOST_TEST(start.reserved_.memoryMb_ >= kSmall.memoryMb_);
    BOOST_TEST(start.reserved_.memoryMb_ <= kSmall.memoryMb_ * 12 / 10);
  }
}

BOOST_AUTO_TEST_CASE(MemoryPressureCheckpointsAndThenStopsTheWorstTask)
{
  Placement placement = MakePlacement(1);
  TaskSpec grows = MakeTask("grows");
  grows.canCheckpoint_ = true;
  placement.Submit(grows, Millis(0));
  placement.Submit(MakeTask("fair"), Millis(0));
  placement.Decide(Millis(0));
  const auto report = [&](int64_t aSecond, int64_t aMemory) {
    placement.Report({ .worker_ = WorkerName("w0"),
                       .sampledAt_ = Seconds(aSecond),
                       .tasks_ = { { TaskName("grows"), { 1000, aMemory, 0 } },
                                   { TaskName("fair"), kSmall } } },
                     Seconds(aSecond));
    return placement.Decide(Seconds(aSecond));
  };
  BOOST_TEST(report(1, 40000).empty());
  BOOST_TEST(Only(report(2, 52000), Kind::kCheckpoint).task_ ==
             TaskName("grows"));
  const auto stop = Only(report(3, 58000), Kind::kStop);
  BOOST_TEST(stop.task_ == TaskName("grows"));
  BOOST_TEST((stop.reason_ == PlacementReason::kMemoryPressure));
  BOOST_TEST(Count(report(4, 58000), Kind::kStop) == 0U);
}

BOOST_AUTO_TEST_CASE(CpuPressureThrottlesOncePerFreshReport)
{
  Placement placement = MakePlacement(1);
  placement.Submit(MakeTask("hungry"), Millis(0));
  placement.Submit(MakeTask("fair"), Millis(0));
  placement.Decide(Millis(0));
  const auto report = [&](int64_t aSampled, int64_t aNow) {
    placement.Report({ .worker_ = WorkerName("w0"),
                       .sampledAt_ = Seconds(aSampled),
                       .tasks_ = { { TaskName("hungry"), { 16000, 4000, 0 } },
                                   { TaskName("fair"), kSmall } } },
                     Seconds(aNow));
    return Count(placement.Decide(Seconds(aNow)), Kind::kThrottle);
  };
  BOOST_TEST(report(1, 3) == 1U);
  BOOST_TEST(report(2, 4) == 0U); // sampled before the throttle
  BOOST_TEST(report(4, 6) == 1U);
}

BOOST_AUTO_TEST_CASE(WorkerThatFailsEveryTaskIsQuarantinedWithinTheBudget)
{
  Placement placement = MakePlacement(8, { .quarantinePercent_ = 25 });
  uint32_t quarantined = 0;
  for (int i = 0; i < 200; ++i) {
    placement.Submit(
      MakeTask("t" + std::to_string(i), kSmall, i % 2 == 0 ? "a" : "b"),
      Seconds(i));
    for (const PlacementAction& action : placement.Decide(Seconds(i))) {
      quarantined += action.kind_ == Kind::kQuarantine ? 1 : 0;
      if (action.kind_ == Kind::kStart) {
        // Every task fails on every worker.
        placement.End(action.task_, action.attempt_, TaskEnd::kFailed);
      }
    }
  }
  BOOST_TEST(quarantined == 2U);
}

BOOST_AUTO_TEST_CASE(TaskThatFailsEverywhereIsRefusedAndNoWorkerIsQuarantined)
{
  Placement placement = MakePlacement(8);
  size_t refused = 0;
  for (int i = 0; i < 60; ++i) {
    placement.Submit(MakeTask("t" + std::to_string(i % 20)), Seconds(i));
    for (const PlacementAction& action : placement.Decide(Seconds(i))) {
      refused += action.reason_ == PlacementReason::kFailsEverywhere ? 1 : 0;
      BOOST_TEST((action.kind_ != Kind::kQuarantine));
      if (action.kind_ == Kind::kStart) {
        placement.End(action.task_, action.attempt_, TaskEnd::kFailed);
      }
    }
  }
  BOOST_TEST(refused > 0U);
}

BOOST_AUTO_TEST_CASE(BurstOfCancellationsIsIdempotent)
{
  Placement placement = MakePlacement(1);
  for (int i = 0; i < 100; ++i) {
    placement.Submit(MakeTask("t" + std::to_string(i)), Millis(0));
  }
  const size_t started = placement.Decide(Millis(0)).size();
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 100; ++i) {
      placement.Cancel(TaskName("t" + std::to_string(i)));
    }
  }
  BOOST_TEST(Count(placement.Decide(Millis(1)), Kind::kStop) == started);
  BOOST_TEST(placement.WaitingCount() == 0U);
}

BOOST_AUTO_TEST_CASE(RandomSchedulesNeverOvercommitOrRunATaskTwice)
{
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    Placement placement = MakePlacement(6);
    placement.SetQuota(TeamName("team"), { 60000, 240000, 0 });
    std::map<TaskName, PlacementAction> running;
    for (int step = 0; step < 400; ++step) {
      const Millis now = Millis(100) * step;
      for (auto it = running.begin(); it != running.end();) {
        it = it->second.leaseUntil_ <= now ? running.erase(it) : std::next(it);
      }
      TaskSpec task = MakeTask("t" + std::to_string(random() % 300),
                               { static_cast<int64_t>(random() % 8000 + 1),
                                 static_cast<int64_t>(random() % 30000 + 1),
                                 0 },
                               random() % 2 == 0 ? "a" : "b");
      task.urgent_ = random() % 5 == 0;
      placement.Submit(task, now);
      if (!running.empty() && random() % 2 == 0) {
        const PlacementAction ended = running.begin()->second;
        running.erase(running.begin());
        placement.End(ended.task_,
                      ended.attempt_,
                      random() % 3 == 0 ? TaskEnd::kFailed
                                        : TaskEnd::kSucceeded);
      }
      for (const PlacementAction& action : placement.Decide(now)) {
        if (action.kind_ == Kind::kStart) {
          BOOST_TEST_CONTEXT("seed " << seed << " step " << step)
          {
            BOOST_REQUIRE(running.emplace(action.task_, action).second);
          }
        }
      }
      std::map<WorkerName, Resources> used;
      Resources team;
      for (const auto& [name, action] : running) {
        used[action.worker_] = used[action.worker_] + action.reserved_;
        team = team + action.reserved_;
      }
      for (const auto& [worker, sum] : used) {
        BOOST_REQUIRE(sum.FitsInto(kWorker));
      }
      BOOST_REQUIRE(team.FitsInto({ 60000, 240000, 0 }));
    }
  }
}
