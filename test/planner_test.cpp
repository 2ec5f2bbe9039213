#define BOOST_TEST_MODULE planner
#include "vanillahatch/core/planner.h"

#include "fake_fleet.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace vanillahatch;

namespace {

constexpr Millis kTick = Millis(500);
constexpr Version kNewVersion{ 2 };

DemandOutlook Flat(double aSlots, bool aInPeak = false)
{
  return {
    .now_ = aSlots, .ahead_ = aSlots, .recent_ = aSlots, .inPeak_ = aInPeak
  };
}

// A fleet and a planner that is replaced by a new one at every tick, as after
// a leader change, unless a step is only proposed and not yet decided.
struct Scene
{
  explicit Scene(FleetLayout aLayout = {},
                 const char* aObjective = "idle-capacity",
                 FakeFleetOptions aFleet = {})
    : fleet_(aFleet, MakeFleet(aLayout))
    , objective_(MakeObjective(aObjective))
    , outlooks_(aLayout.pools_, Flat(24))
  {
  }

  Plan MakePlan() const
  {
    return Planner(options_, *objective_)
      .MakePlan(fleet_.View(), outlooks_, now_);
  }

  // Plans and applies for a span of time.
  void Run(Millis aSpan)
  {
    const Millis end = now_ + aSpan;
    while (now_ < end) {
      now_ = now_ + kTick;
      fleet_.Advance(now_);
      plan_ = MakePlan();
      for (const Step& step : plan_.steps_) {
        fleet_.Apply(step, now_);
      }
    }
  }

  uint32_t Serving(uint32_t aPool) const
  {
    return fleet_.Count(PoolIndex{ aPool }, InstanceState::kServing);
  }

  uint32_t InVersion(uint32_t aPool, Version aVersion) const
  {
    uint32_t count = 0;
    for (const InstanceView& instance : fleet_.View().instances_) {
      const bool isMember = instance.pool_ == PoolIndex{ aPool };
      count += isMember && instance.version_ == aVersion ? 1 : 0;
    }
    return count;
  }

  bool Holds(StepReason aReason) const
  {
    return std::any_of(
      plan_.steps_.begin(), plan_.steps_.end(), [&](const Step& aStep) {
        return aStep.kind_ == StepKind::kHold && aStep.reason_ == aReason;
      });
  }

  // The most needed instances that any one rack holds, counted one by one.
  uint32_t LargestLoss() const
  {
    uint32_t worst = 0;
    for (uint32_t rack = 0; rack < fleet_.View().rackCount_; ++rack) {
      uint32_t lost = 0;
      for (uint32_t pool = 0; pool < outlooks_.size(); ++pool) {
        uint32_t left = 0;
        for (const InstanceView& instance : fleet_.View().instances_) {
          const bool stays = instance.rack_ != RackIndex{ rack };
          const bool isMember = instance.pool_ == PoolIndex{ pool };
          left += stays && isMember ? 1 : 0;
        }
        const uint32_t needed =
          InstancesFor(outlooks_[pool].now_, 8, options_.headroom_);
        lost += needed > left ? needed - left : 0;
      }
      worst = std::max(worst, lost);
    }
    return worst;
  }

  // A serving member of the pool, the first or a later one.
  InstanceIndex Member(uint32_t aPool, uint32_t aRank = 0) const
  {
    const auto& instances = fleet_.View().instances_;
    for (size_t i = 0; i < instances.size(); ++i) {
      const bool isMember = instances[i].pool_ == PoolIndex{ aPool } &&
                            instances[i].state_ == InstanceState::kServing;
      if (isMember && aRank-- == 0) {
        return static_cast<InstanceIndex>(i);
      }
    }
    BOOST_REQUIRE_MESSAGE(false, "the pool has too few serving members");
    return {};
  }

  void Change(uint32_t aPool, Version aVersion)
  {
    fleet_.Edit().pools_[aPool].version_ = aVersion;
  }

  void CheckNoBreach() const
  {
    const FleetBreaches& breaches = fleet_.Breaches();
    BOOST_TEST(breaches.budget_ == 0U);
    BOOST_TEST(breaches.doubleMembership_ == 0U);
    BOOST_TEST(breaches.doubleStart_ == 0U);
    BOOST_TEST(breaches.wrongState_ == 0U);
  }

  FakeFleet fleet_;
  std::unique_ptr<Objective> objective_;
  std::vector<DemandOutlook> outlooks_;
  PlannerOptions options_;
  Millis now_ = Seconds(1000);
  Plan plan_;
};

} // namespace

BOOST_AUTO_TEST_CASE(BudgetIsTheSmallerOfCountAndShare)
{
  BOOST_TEST((AvailabilityBudget{ .count_ = 3 }).Allowed(50) == 3U);
  BOOST_TEST((AvailabilityBudget{ .percent_ = 25 }).Allowed(16) == 4U);
  BOOST_TEST((AvailabilityBudget{ .percent_ = 25 }).Allowed(2) == 1U);
  BOOST_TEST((AvailabilityBudget{ 2, 25 }).Allowed(16) == 2U);
  BOOST_TEST((AvailabilityBudget{}).Allowed(16) == 0U);
}

BOOST_AUTO_TEST_CASE(PoolInDemandGrowsThroughTheSparePool)
{
  Scene scene;
  scene.Run(Seconds(60));
  scene.outlooks_[0] = Flat(110);
  scene.Run(Seconds(12));
  BOOST_TEST(scene.Serving(0) >= InstancesFor(110, 8, 1));
  scene.outlooks_[0] = Flat(6);
  scene.Run(Seconds(60));
  BOOST_TEST(scene.Serving(0) == 2U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(LostRackAtThePeakIsReplacedFromTheSharedBuffer)
{
  Scene scene;
  scene.outlooks_[0] = Flat(110);
  scene.Run(Seconds(60));
  const uint32_t before = scene.Serving(0);
  const uint32_t buffer = scene.plan_.sharedBuffer_;
  BOOST_TEST(buffer >= scene.LargestLoss());
  BOOST_TEST(buffer <= 4U);
  scene.fleet_.LoseRack(
    scene.fleet_.View().instances_[At(scene.Member(0))].rack_);
  BOOST_TEST(scene.Serving(0) < before);
  scene.Run(Seconds(6));
  BOOST_TEST(scene.Serving(0) >= InstancesFor(110, 8, 1));
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(InstanceBackFromRepairIsNotReliedOnAtOnce)
{
  Scene scene({ .budget_ = { .count_ = 1 } });
  scene.Run(Seconds(60));
  const InstanceIndex first = scene.Member(0, 0);
  const InstanceIndex second = scene.Member(0, 1);
  scene.fleet_.Lose(first);
  scene.Run(Seconds(5));
  scene.fleet_.Repair(first, scene.now_);
  scene.Change(0, kNewVersion);
  scene.Run(Seconds(50));
  const uint32_t early =
    scene.fleet_.Count(PoolIndex{ 0 }, InstanceState::kMaintenance);
  BOOST_TEST(early == 0U);
  // The second loss falls into the probation; the budget is not exceeded.
  scene.fleet_.Lose(second);
  scene.Run(Seconds(60));
  BOOST_TEST(scene.InVersion(0, Version{ 1 }) > 0U);
  scene.fleet_.Repair(second, scene.now_);
  scene.Run(Seconds(600));
  BOOST_TEST(scene.InVersion(0, Version{ 1 }) == 0U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(CutOffInstancesAreCountedAndNotTouched)
{
  Scene scene;
  scene.Run(Seconds(60));
  scene.fleet_.SetCut(DataCentreIndex{ 1 }, true);
  scene.Change(0, kNewVersion);
  const auto stepsOfCut = [&] {
    uint64_t sum = 0;
    for (const InstanceView& instance : scene.fleet_.View().instances_) {
      const bool isCut = instance.dataCentre_ == DataCentreIndex{ 1 };
      sum += isCut ? instance.step_ : 0;
    }
    return sum;
  };
  const uint64_t before = stepsOfCut();
  scene.Run(Seconds(600));
  BOOST_TEST(stepsOfCut() == before);
  BOOST_TEST(scene.Serving(0) >= 3U);
  scene.fleet_.SetCut(DataCentreIndex{ 1 }, false);
  scene.Run(Seconds(300));
  BOOST_TEST(scene.InVersion(0, Version{ 1 }) == 0U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(RollOutTakesNoLongerThanTheBudgetSets)
{
  Scene scene({ .instances_ = 60, .budget_ = { .count_ = 3 } },
              "roll-out-time");
  scene.outlooks_.assign(5, Flat(80));
  scene.Run(Seconds(60));
  const uint32_t size = scene.Serving(0);
  scene.Change(0, kNewVersion);
  const Millis start = scene.now_;
  while (scene.InVersion(0, kNewVersion) < scene.Serving(0) ||
         scene.fleet_.Count(PoolIndex{ 0 }, InstanceState::kMaintenance) > 0) {
    scene.Run(kTick);
    BOOST_REQUIRE(scene.now_ - start < Seconds(600));
  }
  const Millis one = Seconds(12);
  const Millis bound = one * ((size + 2) / 3);
  BOOST_TEST((scene.now_ - start).Count() <= bound.Count() * 12 / 10);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(RollOutStopsWhenTheNewVersionFails)
{
  Scene scene({ .budget_ = { .count_ = 3 } },
              "roll-out-time",
              { .badVersion_ = kNewVersion });
  scene.outlooks_.assign(5, Flat(60));
  scene.Run(Seconds(60));
  scene.Change(0, kNewVersion);
  scene.Run(Seconds(300));
  BOOST_TEST(scene.Holds(StepReason::kRollOutStopped));
  BOOST_TEST(scene.InVersion(0, kNewVersion) == 0U);
  uint32_t touched = 0;
  for (const InstanceView& instance : scene.fleet_.View().instances_) {
    touched += instance.failedVersion_ == kNewVersion ? 1 : 0;
  }
  BOOST_TEST(touched <= 3U);
  // A newer version starts a roll-out of its own.
  scene.Change(0, Version{ 3 });
  scene.Run(Seconds(300));
  BOOST_TEST(scene.InVersion(0, Version{ 3 }) == scene.Serving(0));
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(NewLeaderStartsNoStepTwice)
{
  Scene scene({ .budget_ = { .count_ = 3 } }, "roll-out-time");
  scene.Run(Seconds(60));
  scene.Change(0, kNewVersion);
  scene.Run(Seconds(6));
  // The old leader's plan reached the log; the new leader made the same plan
  // from the state before it and proposes it as well.
  scene.fleet_.Advance(scene.now_);
  scene.outlooks_[1] = Flat(100);
  const FleetView seen = scene.fleet_.View();
  const Plan old = scene.MakePlan();
  const Plan fresh = scene.MakePlan();
  std::map<std::string, uint32_t> ids;
  for (const Step& step : old.steps_) {
    ++ids[step.ChangeId(seen)];
  }
  ids.erase("");
  BOOST_TEST(!ids.empty());
  for (const Step& step : fresh.steps_) {
    if (step.kind_ != StepKind::kHold) {
      BOOST_TEST(ids[step.ChangeId(seen)] == 1U);
    }
  }
  for (const Step& step : old.steps_) {
    scene.fleet_.Apply(step, scene.now_);
  }
  for (const Step& step : scene.MakePlan().steps_) {
    BOOST_TEST(ids.count(step.ChangeId(scene.fleet_.View())) == 0U);
  }
  scene.Run(Seconds(300));
  BOOST_TEST(scene.InVersion(0, Version{ 1 }) == 0U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(PendingStepIsNotProposedAgain)
{
  Scene scene;
  scene.outlooks_[0] = Flat(110);
  for (const Step& step : scene.MakePlan().steps_) {
    if (step.kind_ != StepKind::kHold) {
      scene.fleet_.Edit().instances_[At(step.instance_)].isPending_ = true;
    }
  }
  std::vector<bool> pending;
  for (const InstanceView& instance : scene.fleet_.View().instances_) {
    pending.push_back(instance.isPending_);
  }
  BOOST_TEST(std::count(pending.begin(), pending.end(), true) > 0);
  for (const Step& step : scene.MakePlan().steps_) {
    BOOST_TEST(!(step.kind_ != StepKind::kHold && pending[At(step.instance_)]));
  }
}

BOOST_AUTO_TEST_CASE(MaintenanceYieldsToAPeakWhenTheContractSaysSo)
{
  Scene scene({ .yieldToPeak_ = true });
  scene.outlooks_[0] = Flat(100, true);
  scene.Run(Seconds(60));
  scene.Change(0, kNewVersion);
  scene.Run(Seconds(30));
  BOOST_TEST(scene.Holds(StepReason::kPeak));
  BOOST_TEST(scene.fleet_.Count(PoolIndex{ 0 }, InstanceState::kMaintenance) ==
             0U);
  scene.outlooks_[0] = Flat(24);
  scene.Run(Seconds(300));
  BOOST_TEST(scene.InVersion(0, Version{ 1 }) == 0U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(PeakDuringMaintenanceGetsCapacity)
{
  Scene scene;
  scene.Run(Seconds(60));
  scene.Change(0, kNewVersion);
  scene.Run(Seconds(4));
  scene.outlooks_[0] = Flat(110, true);
  scene.Run(Seconds(12));
  BOOST_TEST(scene.Serving(0) >= InstancesFor(110, 8, 1));
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(EveryInstanceIsMaintainedOncePerPeriod)
{
  Scene scene;
  scene.options_.maintenancePeriod_ = Seconds(20000);
  scene.options_.duePercent_ = 50;
  for (size_t i = 0; i < 50; ++i) {
    scene.fleet_.Edit().instances_[i].lastMaintained_ =
      Seconds(static_cast<int64_t>(i) * 10);
  }
  scene.now_ = Seconds(11000);
  uint32_t racksAtOnce = 0;
  for (int i = 0; i < 1200; ++i) {
    scene.Run(Seconds(5));
    std::map<DataCentreIndex, std::set<RackIndex>> racks;
    for (const InstanceView& instance : scene.fleet_.View().instances_) {
      if (instance.state_ == InstanceState::kMaintenance) {
        racks[instance.dataCentre_].insert(instance.rack_);
      }
    }
    for (const auto& [dataCentre, inProgress] : racks) {
      racksAtOnce = std::max<uint32_t>(racksAtOnce, inProgress.size());
    }
  }
  BOOST_TEST(racksAtOnce == 1U);
  uint32_t maintained = 0;
  for (const InstanceView& instance : scene.fleet_.View().instances_) {
    maintained += instance.lastMaintained_ >= Seconds(11000) ? 1 : 0;
  }
  BOOST_TEST(maintained == 50U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(GuardThatRefusesKeepsItsInstanceInService)
{
  Scene scene;
  scene.Run(Seconds(60));
  scene.Change(0, kNewVersion);
  scene.Run(Millis(500));
  InstanceIndex refusing{};
  for (size_t i = 0; i < 50; ++i) {
    InstanceView& instance = scene.fleet_.Edit().instances_[i];
    if (instance.state_ == InstanceState::kDraining &&
        instance.purpose_ == Purpose::kRollOut) {
      instance.guard_ = GuardAnswer::kRefuses;
      refusing = static_cast<InstanceIndex>(i);
    }
  }
  scene.Run(Seconds(300));
  const InstanceView& instance = scene.fleet_.View().instances_[At(refusing)];
  BOOST_TEST((instance.version_ == Version{ 1 }));
  BOOST_TEST((instance.state_ == InstanceState::kServing));
  scene.Run(Seconds(600));
  BOOST_TEST(scene.InVersion(0, Version{ 1 }) == 0U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(SpreadOverRacksIsKept)
{
  Scene scene({ .instances_ = 15 });
  scene.fleet_.Edit().pools_[0].contract_.rackSpread_ = 3;
  scene.Change(0, kNewVersion);
  scene.outlooks_.assign(5, Flat(1));
  scene.Run(Seconds(120));
  std::set<RackIndex> racks;
  for (const InstanceView& instance : scene.fleet_.View().instances_) {
    if (instance.pool_ == PoolIndex{ 0 }) {
      racks.insert(instance.rack_);
    }
  }
  BOOST_TEST(racks.size() >= 3U);
  scene.CheckNoBreach();
}

BOOST_AUTO_TEST_CASE(RandomSchedulesBreakNoPromise)
{
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&](uint32_t aBelow) {
      return static_cast<uint32_t>(random() % aBelow);
    };
    const bool isAjoke = seed % 2 == 0;
    Scene scene({ .budget_ = { .count_ = pick(3) + 1, .percent_ = 30 },
                  .yieldToPeak_ = pick(2) == 0 },
                isAjoke ? "idle-capacity" : "roll-out-time",
                { .badVersion_ = Version{ 3 } });
    scene.options_.maintenancePeriod_ = Seconds(3000);
    uint32_t version = 1;
    for (int round = 0; round < 150; ++round) {
      const InstanceIndex instance{ pick(50) };
      const RackIndex rack{ pick(13) };
      const DataCentreIndex dataCentre{ pick(3) };
      switch (pick(10)) {
        case 0:
          scene.fleet_.Lose(instance);
          break;
        case 1:
          scene.fleet_.LoseRack(rack);
          break;
        case 2:
        case 3:
          for (uint32_t i = 0; i < 13; ++i) {
            scene.fleet_.RepairRack(RackIndex{ i }, scene.now_);
          }
          break;
        case 4:
          scene.fleet_.SetCut(dataCentre, true);
          break;
        case 5:
          for (uint32_t i = 0; i < 3; ++i) {
            scene.fleet_.SetCut(DataCentreIndex{ i }, false);
          }
          break;
        case 6:
          scene.Change(pick(5), Version{ ++version });
          break;
        case 7:
          scene.fleet_.Edit().instances_[At(instance)].guard_ =
            GuardAnswer::kRefuses;
          break;
        default:
          scene.outlooks_.assign(5, Flat(6));
          scene.outlooks_[pick(5)] = Flat(110, true);
          break;
      }
      scene.Run(Millis(500) * (1 + pick(20)));
      BOOST_TEST_CONTEXT("seed " << seed << " round " << round)
      {
        scene.CheckNoBreach();
        BOOST_REQUIRE(scene.fleet_.Breaches().Sum() == 0U);
        BOOST_REQUIRE(scene.fleet_.View().instances_.size() == 50U);
      }
    }
    BOOST_TEST(scene.fleet_.Moves() > 10U);
  }
}
