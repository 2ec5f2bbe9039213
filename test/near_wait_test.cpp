// The scheduler with racks, in virtual time.
#define BOOST_TEST_MODULE near_wait
#include "simulated_fleet.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

constexpr double kRemoteRackFactor = 3.0;
constexpr Millis kRoundInterval = Millis(100);

std::optional<Millis> NeverWait(const NearChoice& /*aChoice*/)
{
  return std::nullopt;
}

// Waits up to a fixed time for any place in the rack.
std::optional<Millis> WaitAFixedTime(const NearChoice& aChoice)
{
  constexpr Millis kThreshold = Millis(300);
  const Millis until = aChoice.waitingSince_ + kThreshold;
  return aChoice.placeAt_ && aChoice.now_ < until ? std::optional(until)
                                                  : std::nullopt;
}

v1::StepSpec StepNear(const std::string& aRack,
                      uint32_t aTasks,
                      uint32_t aCpuMillis,
                      uint32_t aRunMs)
{
  v1::StepSpec step = SimulatedFleet::StepOf(aTasks, aCpuMillis, aRunMs);
  step.set_data_rack(aRack);
  return step;
}

// Two racks: "r0" with one instance, "r1" with two.
struct TwoRacksFixture
{
  explicit TwoRacksFixture(NearWaitRule aRule = &WaitForNearPlace,
                           double aFactor = kRemoteRackFactor)
  {
    fleet_.Configure({ { "layout", false }, { "rest", true } },
                     { { "drafts", "layout" }, { "fresh", "layout" } });
    fleet_.remoteRackFactor_ = aFactor;
    fleet_.nearWaitRule_ = aRule;
    fleet_.StartLeader(2);
    AddInstance("a0", "r0");
    AddInstance("b0", "r1");
    AddInstance("b1", "r1");
    fleet_.RunFor(Millis(200));
    // The run time of the queue's tasks is known.
    RunJob("first", SimulatedFleet::StepOf(1, 500, 400));
  }

  void AddInstance(const std::string& aId, const std::string& aRack)
  {
    fleet_.AddInstance(aId, "layout", 16, 1000, aRack);
  }

  bool IsCompleted(const Job& aJob)
  {
    return fleet_.Store().PhaseOf(aJob) == v1::JOB_COMPLETED;
  }

  void RunJob(const std::string& aId, v1::StepSpec aStep)
  {
    const Job& job = fleet_.Submit(aId, "drafts", { std::move(aStep) });
    BOOST_REQUIRE(
      fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(10)));
  }

  // Fills rack "r0".
  void FillRack(uint32_t aRunMs, uint32_t aTasks = 16)
  {
    fleet_.Submit("filler", "drafts", { StepNear("r0", aTasks, 1000, aRunMs) });
    fleet_.RunFor(Millis(50));
    BOOST_REQUIRE(fleet_.At("a0").running_.size() == aTasks);
  }

  bool IsRunningOn(const std::string& aId, const std::string& aJob)
  {
    const auto& running = fleet_.At(aId).running_;
    return std::any_of(running.begin(), running.end(), [&](const auto& aRun) {
      return aRun.task_.job() == aJob;
    });
  }

  Millis TimeToEnd(const Job& aJob)
  {
    const Millis begin = fleet_.Now();
    BOOST_REQUIRE(
      fleet_.RunUntil([&] { return IsCompleted(aJob); }, Seconds(20)));
    return fleet_.Now() - begin;
  }

  SimulatedFleet fleet_;
};

// Jobs of one queue of which, for some seconds, most name the same rack.
struct HotRackLoad
{
  static constexpr int kRacks = 4;
  static constexpr int kInstancesPerRack = 5;
  static constexpr uint32_t kRunMs = 540;

  double jobsPerSecond_ = 0;
  int steps_ = 1;
};

struct HotRackResult
{
  size_t jobs_ = 0;
  size_t inTime_ = 0;
  Millis totalTime_; // from submission to end
  size_t waits_ = 0;
  size_t waitsEndedNear_ = 0;
  size_t waitsEndedFar_ = 0;
  Millis longestWait_;
};

void PlayHotRack(const HotRackLoad& aLoad,
                 NearWaitRule aRule,
                 uint64_t aSeed,
                 HotRackResult& aResult)
{
  constexpr Millis kArrivalsEnd = Seconds(10);
  constexpr Millis kHotFrom = Seconds(3);
  constexpr Millis kHotUntil = Seconds(8);
  constexpr double kHotShare = 0.6;
  SimulatedFleet fleet;
  fleet.Configure({ { "layout", false } }, { { "drafts", "layout" } });
  fleet.remoteRackFactor_ = kRemoteRackFactor;
  fleet.nearWaitRule_ = aRule;
  fleet.StartLeader(2);
  for (int i = 0; i < HotRackLoad::kRacks * HotRackLoad::kInstancesPerRack;
       ++i) {
    fleet.AddInstance("i" + std::to_string(i),
                      "layout",
                      32,
                      1000,
                      "r" + std::to_string(i % HotRackLoad::kRacks));
  }
  fleet.RunFor(Millis(500));
  std::mt19937_64 random(aSeed);
  std::exponential_distribution<double> gap(aLoad.jobsPerSecond_);
  std::uniform_real_distribution<double> share(0, 1);
  std::uniform_int_distribution<int> anyRack(0, HotRackLoad::kRacks - 1);
  const Millis objective(
    static_cast<int64_t>(1.6 * HotRackLoad::kRunMs) * aLoad.steps_ + 600);
  const Millis start = fleet.Now();
  double nextAt = 0;
  size_t submitted = 0;
  std::vector<std::pair<const Job*, Millis>> open;
  while (fleet.Now() - start < kArrivalsEnd || !open.empty()) {
    const Millis sinceStart = fleet.Now() - start;
    BOOST_REQUIRE(sinceStart < Seconds(120));
    while (nextAt <= static_cast<double>(sinceStart.Count()) &&
           sinceStart < kArrivalsEnd) {
      const bool isHot = sinceStart >= kHotFrom && sinceStart < kHotUntil &&
                         share(random) < kHotShare;
      const int rack = isHot ? 0 : anyRack(random);
      std::vector<v1::StepSpec> steps;
      for (int i = 0; i < aLoad.steps_; ++i) {
        steps.push_back(
          StepNear("r" + std::to_string(rack), 8, 3100, HotRackLoad::kRunMs));
        if (i > 0) {
          steps.back().add_after_steps(static_cast<uint32_t>(i) - 1);
        }
      }
      open.emplace_back(&fleet.Submit("j" + std::to_string(submitted++),
                                      "drafts",
                                      std::move(steps)),
                        fleet.Now());
      nextAt += gap(random) * 1000;
    }
    fleet.RunFor(Millis(10));
    std::erase_if(open, [&](const auto& aItem) {
      if (fleet.Store().PhaseOf(*aItem.first) != v1::JOB_COMPLETED) {
        return false;
      }
      const Millis time = fleet.Now() - aItem.second;
      aResult.totalTime_ = aResult.totalTime_ + time;
      aResult.inTime_ += time <= objective ? 1 : 0;
      return true;
    });
  }
  aResult.jobs_ += submitted;
  aResult.waits_ += fleet.NearWaitCount();
  aResult.waitsEndedNear_ += fleet.WaitsEndedNear();
  aResult.waitsEndedFar_ += fleet.WaitsEndedFar();
  aResult.longestWait_ =
    std::max(aResult.longestWait_, fleet.LongestNearWait());
}

HotRackResult PlayAndPrint(const HotRackLoad& aLoad,
                           std::string_view aName,
                           NearWaitRule aRule)
{
  HotRackResult result;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    PlayHotRack(aLoad, aRule, seed, result);
  }
  std::cout << aLoad.jobsPerSecond_ << " jobs/s of " << aLoad.steps_
            << " steps, " << aName << ": in time "
            << static_cast<double>(result.inTime_) /
                 static_cast<double>(result.jobs_)
            << ", mean "
            << result.totalTime_.Count() / static_cast<int64_t>(result.jobs_)
            << " ms, steps waited " << result.waits_ << ", tasks near "
            << result.waitsEndedNear_ << ", far " << result.waitsEndedFar_
            << ", longest wait " << result.longestWait_.Count() << " ms\n";
  return result;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(TaskWaitsForAPlaceThatComesFreeSoon, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  const Job& job =
    fleet_.Submit("j", "drafts", { StepNear("r0", 2, 1000, 400) });
  BOOST_TEST((TimeToEnd(job) < Millis(400 + 300)));
  BOOST_TEST(fleet_.NearWaitCount() == 1U);
  BOOST_TEST(fleet_.WaitsEndedNear() == 2U);
  BOOST_TEST(fleet_.WaitsEndedFar() == 0U);
}

BOOST_FIXTURE_TEST_CASE(TaskTakesAPlaceElsewhereIfTheRackStaysFull,
                        TwoRacksFixture)
{
  FillRack(5000);
  const Job& job =
    fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_TEST(fleet_.NearWaitCount() == 0U);
  BOOST_TEST((IsRunningOn("b0", "j") || IsRunningOn("b1", "j")));
  BOOST_TEST(!IsCompleted(job));
}

// The runs in the rack take much longer than all earlier ones.
BOOST_FIXTURE_TEST_CASE(WaitForRunsThatDoNotEndIsBounded, TwoRacksFixture)
{
  fleet_.runTimeRatio_ = 20;
  FillRack(400);
  fleet_.runTimeRatio_ = 1;
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  BOOST_TEST(fleet_.RunUntil(
    [&] { return IsRunningOn("b0", "j") || IsRunningOn("b1", "j"); },
    kMaxNearWait + kRoundInterval));
  BOOST_TEST(fleet_.NearWaitCount() == 1U);
  BOOST_TEST(fleet_.WaitsEndedFar() == 1U);
}

BOOST_FIXTURE_TEST_CASE(OverdueRunsAreNotAwaitedForTheWholeSpan,
                        TwoRacksFixture)
{
  fleet_.runTimeRatio_ = 20;
  FillRack(400);
  fleet_.runTimeRatio_ = 1;
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  // The span is as long as the run time saved, 800 ms.
  BOOST_TEST(fleet_.RunUntil(
    [&] { return IsRunningOn("b0", "j") || IsRunningOn("b1", "j"); },
    Millis(700)));
}

// As above, with an objective that a run elsewhere meets.
BOOST_FIXTURE_TEST_CASE(JobInTimeElsewhereIsInTimeAfterAWaitInVain,
                        TwoRacksFixture)
{
  fleet_.runTimeRatio_ = 20;
  FillRack(400);
  fleet_.runTimeRatio_ = 1;
  fleet_.RunFor(Millis(200));
  // 1.6 times 2,000 ms and 600 ms more.
  constexpr Millis kObjective = Millis(3800);
  std::vector<v1::StepSpec> steps = { StepNear("r0", 1, 1000, 400),
                                      SimulatedFleet::StepOf(1, 1000, 1600) };
  steps[1].add_after_steps(0);
  const Job& job = fleet_.Submit("j", "drafts", std::move(steps));
  BOOST_TEST((TimeToEnd(job) <= kObjective));
  BOOST_TEST(fleet_.NearWaitCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NoWaitBeforeARunTimeIsMeasured, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "fresh", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_TEST(fleet_.NearWaitCount() == 0U);
}

// Each finds a place in the rack only after those that wait already.
BOOST_FIXTURE_TEST_CASE(TasksBehindTooManyOthersTakePlacesElsewhere,
                        TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 20, 1000, 400) });
  fleet_.RunFor(Millis(50));
  const size_t elsewhere =
    fleet_.At("b0").running_.size() + fleet_.At("b1").running_.size();
  BOOST_TEST(elsewhere == 4U);
}

BOOST_FIXTURE_TEST_CASE(RunsAwayFromTheirDataAreExpectedToEndLater,
                        TwoRacksFixture)
{
  fleet_.Submit("long", "drafts", { StepNear("r1", 32, 1000, 20000) });
  fleet_.RunFor(Millis(50));
  fleet_.Submit("far", "drafts", { StepNear("r9", 16, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_REQUIRE(IsRunningOn("a0", "far"));
  AddInstance("c0", "r2");
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_TEST(IsRunningOn("c0", "j"));
}

BOOST_FIXTURE_TEST_CASE(LongerWaitPaysWhileOtherWorkWaitsForCapacity,
                        TwoRacksFixture)
{
  FillRack(800);
  fleet_.RunFor(Millis(200));
  std::vector<v1::StepSpec> steps = { StepNear("r0", 1, 1000, 400),
                                      SimulatedFleet::StepOf(1, 1000, 4000) };
  steps[1].add_after_steps(0);
  fleet_.Submit("calm", "drafts", steps);
  fleet_.RunFor(Millis(20));
  BOOST_TEST(fleet_.NearWaitCount() == 0U);
  // Fits no instance.
  fleet_.Submit("large", "drafts", { SimulatedFleet::StepOf(4, 17000) });
  fleet_.Submit("j", "drafts", steps);
  fleet_.RunFor(Millis(20));
  BOOST_TEST(fleet_.NearWaitCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(WaitEndsWhenTheRackIsLost, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_REQUIRE(fleet_.NearWaitCount() == 1U);
  FakeInstance& instance = fleet_.At("a0");
  instance.isReachable_ = false;
  fleet_.RunFor(kMaxNearWait + kRoundInterval);
  BOOST_TEST((IsRunningOn("b0", "j") || IsRunningOn("b1", "j")));
}

BOOST_FIXTURE_TEST_CASE(NoWaitForInstancesThatDrain, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_REQUIRE(fleet_.NearWaitCount() == 1U);
  fleet_.At("a0").record_.set_draining(true);
  fleet_.Report(fleet_.At("a0"));
  fleet_.RunFor(Millis(30));
  BOOST_TEST((IsRunningOn("b0", "j") || IsRunningOn("b1", "j")));
}

BOOST_FIXTURE_TEST_CASE(JobDoesNotWaitAgainUnderTheNextLeader, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_REQUIRE(fleet_.NearWaitCount() == 1U);
  fleet_.StartLeader(3);
  BOOST_TEST(fleet_.RunUntil(
    [&] { return IsRunningOn("b0", "j") || IsRunningOn("b1", "j"); },
    Millis(100)));
  BOOST_TEST(fleet_.NearWaitCount() == 1U);
}

// It may have waited under the former leader, as far as this one knows.
BOOST_FIXTURE_TEST_CASE(JobOfAFormerLeaderDoesNotWaitOnceRunTimesAreLearned,
                        TwoRacksFixture)
{
  std::vector<v1::StepSpec> steps = { SimulatedFleet::StepOf(1, 500, 1500),
                                      StepNear("r0", 1, 1000, 400) };
  steps[1].add_after_steps(0);
  fleet_.Submit("j", "drafts", std::move(steps));
  fleet_.RunFor(Millis(100));
  fleet_.StartLeader(3);
  fleet_.RunFor(Millis(100));
  RunJob("sample", SimulatedFleet::StepOf(1, 500, 400));
  fleet_.RunFor(Millis(600));
  // Leaves half a core at most, wherever the first step runs.
  fleet_.Submit("filler", "drafts", { StepNear("r0", 31, 500, 400) });
  fleet_.RunFor(Millis(400));
  BOOST_TEST(fleet_.NearWaitCount() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RetryDoesNotProlongTheWait, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 1, 1000, 400) });
  fleet_.RunFor(Millis(50));
  BOOST_REQUIRE(fleet_.NearWaitCount() == 1U);
  fleet_.At("a0").refusesStarts_ = true; // and frees its places
  BOOST_TEST(fleet_.RunUntil(
    [&] { return IsRunningOn("b0", "j") || IsRunningOn("b1", "j"); },
    kMaxNearWait + kRoundInterval));
}

// The place goes to a more urgent job.
BOOST_FIXTURE_TEST_CASE(PlaceIsNotReservedForTasksThatWait, TwoRacksFixture)
{
  FillRack(400);
  fleet_.RunFor(Millis(200));
  fleet_.Submit("j", "drafts", { StepNear("r0", 16, 1000, 400) });
  fleet_.RunFor(Millis(120));
  BOOST_REQUIRE(fleet_.NearWaitCount() == 1U);
  fleet_.Submit("urgent", "drafts", { StepNear("r0", 1, 1000, 200) });
  fleet_.RunFor(Millis(150));
  BOOST_TEST(IsRunningOn("a0", "urgent"));
}

BOOST_FIXTURE_TEST_CASE(RunsAwayFromTheirDataAreLearnedAsNear, TwoRacksFixture)
{
  FillRack(20000);
  for (int i = 0; i < 10; ++i) {
    RunJob("far" + std::to_string(i), StepNear("r0", 4, 1000, 400));
  }
  const Job& job =
    fleet_.Submit("probe", "drafts", { SimulatedFleet::StepOf(1, 500, 400) });
  const v1::StepSpec& step = job.spec_.steps(0);
  const TaskRunTimeEstimator& runTimes = fleet_.Scheduler().RunTimes();
  const Millis near = runTimes.EstimateRun(job.queueAddress_, step);
  BOOST_TEST(near.Count() >= 400 - 20);
  BOOST_TEST(near.Count() <= 400 + 20);
  BOOST_TEST(runTimes.EstimateOccupancy(job.queueAddress_, step).Count() >
             1000);
}

BOOST_FIXTURE_TEST_CASE(GangWaitsForARackThatTakesAllOfIt, TwoRacksFixture)
{
  // No rack takes 24 tasks; then 8 places come free on "r1".
  fleet_.Submit("filler0", "drafts", { StepNear("r0", 16, 1000, 5000) });
  fleet_.Submit("filler1", "drafts", { StepNear("r1", 12, 1000, 400) });
  fleet_.RunFor(Millis(250));
  v1::StepSpec gang = SimulatedFleet::StepOf(24, 1000, 400);
  gang.set_gang(true);
  gang.set_same_rack(true);
  fleet_.Submit("free", "drafts", { StepNear("r2", 1, 100, 100) });
  AddInstance("c0", "r2");
  fleet_.RunFor(Millis(50));
  const Job& job = fleet_.Submit("gang", "drafts", { gang });
  BOOST_TEST((TimeToEnd(job) < Millis(400 + 300)));
  BOOST_TEST(fleet_.NearWaitCount() == 1U);
  BOOST_TEST(fleet_.WaitsEndedNear() == 24U);
}

BOOST_FIXTURE_TEST_CASE(GangLargerThanAnyRackDoesNotWait, TwoRacksFixture)
{
  v1::StepSpec gang = SimulatedFleet::StepOf(40, 1000, 400);
  gang.set_gang(true);
  gang.set_same_rack(true);
  fleet_.Submit("gang", "drafts", { gang });
  fleet_.RunFor(Millis(50));
  BOOST_TEST(fleet_.NearWaitCount() == 0U);
  BOOST_TEST(IsRunningOn("a0", "gang"));
}

namespace {

// Places tasks under more demand than capacity and returns the starts.
std::vector<std::string> StartsOf(NearWaitRule aRule,
                                  double aFactor,
                                  const std::string& aDataRack)
{
  TwoRacksFixture fixture(aRule, aFactor);
  for (int i = 0; i < 60; ++i) {
    fixture.fleet_.Submit(
      "j" + std::to_string(i),
      "drafts",
      { StepNear(aDataRack, 1 + static_cast<uint32_t>(i % 5), 1000, 400) });
    fixture.fleet_.RunFor(Millis(20));
  }
  fixture.fleet_.RunFor(Seconds(5));
  return fixture.fleet_.StartLog();
}

} // namespace

BOOST_AUTO_TEST_CASE(WaitForANearPlacePullsNoMachines)
{
  size_t ordered = 0;
  for (const NearWaitRule rule : { &NeverWait, &WaitForNearPlace }) {
    TwoRacksFixture fixture(rule);
    SimulatedFleet& fleet = fixture.fleet_;
    for (const char* id : { "s0", "s1", "s2" }) {
      fleet.AddInstance(id, "rest", 16, 1000, "r0");
    }
    fleet.RunFor(Millis(500));
    fixture.FillRack(400);
    fleet.RunFor(Millis(200));
    const size_t before = fleet.MachineOrders().size();
    const Job& job =
      fleet.Submit("j", "drafts", { StepNear("r0", 8, 1000, 400) });
    (void)fixture.TimeToEnd(job);
    const size_t orders = fleet.MachineOrders().size() - before;
    BOOST_TEST((rule == &NeverWait || fleet.NearWaitCount() == 1U));
    BOOST_TEST((rule == &NeverWait || orders <= ordered));
    ordered = orders;
  }
}

BOOST_AUTO_TEST_CASE(DeploymentsWithoutRacksPlaceTasksAsBefore)
{
  const std::vector<std::string> before = StartsOf(&NeverWait, 1.0, "");
  BOOST_TEST(before.size() > 60U);
  BOOST_TEST((StartsOf(&WaitForNearPlace, kRemoteRackFactor, "") == before));
}

BOOST_AUTO_TEST_CASE(DeploymentsWhoseRacksAreAlikePlaceTasksAsBefore)
{
  const std::vector<std::string> before = StartsOf(&NeverWait, 1.0, "r0");
  BOOST_TEST((StartsOf(&WaitForNearPlace, 1.0, "r0") == before));
  BOOST_TEST((StartsOf(&WaitForNearPlace, kRemoteRackFactor, "r0") != before));
}

BOOST_AUTO_TEST_CASE(HotRackServesMoreCallersInTimeThanWithoutWaits)
{
  for (const HotRackLoad& load : {
         HotRackLoad{ .jobsPerSecond_ = 10 },
         HotRackLoad{ .jobsPerSecond_ = 18 },
         HotRackLoad{ .jobsPerSecond_ = 30 },
         HotRackLoad{ .jobsPerSecond_ = 6, .steps_ = 2 },
         HotRackLoad{ .jobsPerSecond_ = 12, .steps_ = 2 },
         HotRackLoad{ .jobsPerSecond_ = 20, .steps_ = 2 },
       }) {
    const HotRackResult none = PlayAndPrint(load, "no wait", &NeverWait);
    (void)PlayAndPrint(load, "fixed threshold", &WaitAFixedTime);
    const HotRackResult gain =
      PlayAndPrint(load, "expected gain", &WaitForNearPlace);
    BOOST_TEST(gain.inTime_ >= none.inTime_);
    BOOST_TEST((gain.longestWait_ <= kMaxNearWait + kRoundInterval));
  }
}
