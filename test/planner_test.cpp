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

DemandOutlook ConstantOutlook(double aSlots, bool aInPeak = false)
{
  return {
    .now_ = aSlots, .ahead_ = aSlots, .recent_ = aSlots, .inPeak_ = aInPeak
  };
}

// A simulated fleet. Each tick uses a new planner, as after a leader change,
// and applies every step at once.
struct PlannerFixture
{
  explicit PlannerFixture(FleetLayout aLayout = {},
                          const char* aObjective = "idle-capacity",
                          FakeFleetOptions aFleet = {})
    : fleet_(aFleet, MakeFleet(aLayout))
    , objective_(MakeObjective(aObjective))
    , outlooks_(aLayout.pools_, ConstantOutlook(24))
  {
  }

  Plan MakePlan() const
  {
    return Planner(options_, *objective_)
      .MakePlan(fleet_.View(), outlooks_, now_);
  }

  // Plans and applies steps at every tick for `aSpan`.
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

  uint32_t CountServing(uint32_t aPool) const
  {
    return fleet_.Count(PoolIndex{ aPool }, InstanceState::kServing);
  }

  uint32_t CountInVersion(uint32_t aPool, Version aVersion) const
  {
    uint32_t count = 0;
    for (const InstanceView& instance : fleet_.View().instances_) {
      const bool isMember = instance.pool_ == PoolIndex{ aPool };
      count += isMember && instance.version_ == aVersion ? 1 : 0;
    }
    return count;
  }

  bool HasHold(StepReason aReason) const
  {
    return std::any_of(
      plan_.steps_.begin(), plan_.steps_.end(), [&](const Step& aStep) {
        return aStep.kind_ == StepKind::kHold && aStep.reason_ == aReason;
      });
  }

  // Largest number of needed instances lost with one rack, by direct count.
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

  // The serving member of the pool at position `aRank`, from 0.
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

  void SetVersion(uint32_t aPool, Version aVersion)
  {
    fleet_.Edit().pools_[aPool].version_ = aVersion;
  }

  void CheckInvariants() const
  {
    const InvariantViolations& violations = fleet_.Violations();
    BOOST_TEST(violations.budget_ == 0U);
    BOOST_TEST(violations.doubleMembership_ == 0U);
    BOOST_TEST(violations.doubleStart_ == 0U);
    BOOST_TEST(violations.wrongState_ == 0U);
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

BOOST_AUTO_TEST_CASE(PoolGrowsAndShrinksThroughTheSparePool)
{
  PlannerFixture fixture;
  fixture.Run(Seconds(60));
  fixture.outlooks_[0] = ConstantOutlook(110);
  fixture.Run(Seconds(12));
  BOOST_TEST(fixture.CountServing(0) >= InstancesFor(110, 8, 1));
  fixture.outlooks_[0] = ConstantOutlook(6);
  fixture.Run(Seconds(60));
  BOOST_TEST(fixture.CountServing(0) == 2U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(RackLostAtPeakIsReplacedFromTheSharedBuffer)
{
  PlannerFixture fixture;
  fixture.outlooks_[0] = ConstantOutlook(110);
  fixture.Run(Seconds(60));
  const uint32_t before = fixture.CountServing(0);
  const uint32_t buffer = fixture.plan_.sharedBuffer_;
  BOOST_TEST(buffer >= fixture.LargestLoss());
  BOOST_TEST(buffer <= 4U);
  fixture.fleet_.FailRack(
    fixture.fleet_.View().instances_[At(fixture.Member(0))].rack_);
  BOOST_TEST(fixture.CountServing(0) < before);
  fixture.Run(Seconds(6));
  BOOST_TEST(fixture.CountServing(0) >= InstancesFor(110, 8, 1));
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(RepairedInstanceCountsAsUnavailableDuringProbation)
{
  PlannerFixture fixture({ .budget_ = { .count_ = 1 } });
  fixture.Run(Seconds(60));
  const InstanceIndex first = fixture.Member(0, 0);
  const InstanceIndex second = fixture.Member(0, 1);
  fixture.fleet_.FailInstance(first);
  fixture.Run(Seconds(5));
  fixture.fleet_.Repair(first, fixture.now_);
  fixture.SetVersion(0, kNewVersion);
  fixture.Run(Seconds(50));
  const uint32_t inMaintenance =
    fixture.fleet_.Count(PoolIndex{ 0 }, InstanceState::kMaintenance);
  BOOST_TEST(inMaintenance == 0U);
  // A second instance fails during the probation of the first; the roll-out
  // must not exceed the budget.
  fixture.fleet_.FailInstance(second);
  fixture.Run(Seconds(60));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 1 }) > 0U);
  fixture.fleet_.Repair(second, fixture.now_);
  fixture.Run(Seconds(600));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 1 }) == 0U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(UnreachableInstancesCountAsUnavailableAndGetNoSteps)
{
  PlannerFixture fixture;
  fixture.Run(Seconds(60));
  fixture.fleet_.SetDisconnected(DataCentreIndex{ 1 }, true);
  fixture.SetVersion(0, kNewVersion);
  const auto stepsOfCut = [&] {
    uint64_t sum = 0;
    for (const InstanceView& instance : fixture.fleet_.View().instances_) {
      const bool isCut = instance.dataCentre_ == DataCentreIndex{ 1 };
      sum += isCut ? instance.step_ : 0;
    }
    return sum;
  };
  const uint64_t before = stepsOfCut();
  fixture.Run(Seconds(600));
  BOOST_TEST(stepsOfCut() == before);
  BOOST_TEST(fixture.CountServing(0) >= 3U);
  fixture.fleet_.SetDisconnected(DataCentreIndex{ 1 }, false);
  fixture.Run(Seconds(300));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 1 }) == 0U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(RollOutDurationIsBoundedByTheBudget)
{
  PlannerFixture fixture({ .instances_ = 60, .budget_ = { .count_ = 3 } },
                         "roll-out-time");
  fixture.outlooks_.assign(5, ConstantOutlook(80));
  fixture.Run(Seconds(60));
  const uint32_t size = fixture.CountServing(0);
  fixture.SetVersion(0, kNewVersion);
  const Millis start = fixture.now_;
  while (fixture.CountInVersion(0, kNewVersion) < fixture.CountServing(0) ||
         fixture.fleet_.Count(PoolIndex{ 0 }, InstanceState::kMaintenance) >
           0) {
    fixture.Run(kTick);
    BOOST_REQUIRE(fixture.now_ - start < Seconds(600));
  }
  const Millis one = Seconds(12);
  const Millis bound = one * ((size + 2) / 3);
  BOOST_TEST((fixture.now_ - start).Count() <= bound.Count() * 12 / 10);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(RollOutStopsWhenTheNewVersionFails)
{
  PlannerFixture fixture({ .budget_ = { .count_ = 3 } },
                         "roll-out-time",
                         { .badVersion_ = kNewVersion });
  fixture.outlooks_.assign(5, ConstantOutlook(60));
  fixture.Run(Seconds(60));
  fixture.SetVersion(0, kNewVersion);
  fixture.Run(Seconds(300));
  BOOST_TEST(fixture.HasHold(StepReason::kRollOutStopped));
  BOOST_TEST(fixture.CountInVersion(0, kNewVersion) == 0U);
  uint32_t failed = 0;
  for (const InstanceView& instance : fixture.fleet_.View().instances_) {
    failed += instance.failedVersion_ == kNewVersion ? 1 : 0;
  }
  BOOST_TEST(failed <= 3U);
  // The next version starts a new roll-out.
  fixture.SetVersion(0, Version{ 3 });
  fixture.Run(Seconds(300));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 3 }) ==
             fixture.CountServing(0));
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(NewLeaderStartsNoStepTwice)
{
  PlannerFixture fixture({ .budget_ = { .count_ = 3 } }, "roll-out-time");
  fixture.Run(Seconds(60));
  fixture.SetVersion(0, kNewVersion);
  fixture.Run(Seconds(6));
  // The first leader's plan reaches the log. The next leader makes the same
  // plan from the earlier state and proposes it again.
  fixture.fleet_.Advance(fixture.now_);
  fixture.outlooks_[1] = ConstantOutlook(100);
  const FleetView view = fixture.fleet_.View();
  const Plan oldLeadersPlan = fixture.MakePlan();
  const Plan newLeadersPlan = fixture.MakePlan();
  std::map<std::string, uint32_t> ids;
  for (const Step& step : oldLeadersPlan.steps_) {
    ++ids[step.ChangeId(view)];
  }
  ids.erase("");
  BOOST_TEST(!ids.empty());
  for (const Step& step : newLeadersPlan.steps_) {
    if (step.kind_ != StepKind::kHold) {
      BOOST_TEST(ids[step.ChangeId(view)] == 1U);
    }
  }
  for (const Step& step : oldLeadersPlan.steps_) {
    fixture.fleet_.Apply(step, fixture.now_);
  }
  for (const Step& step : fixture.MakePlan().steps_) {
    BOOST_TEST(ids.count(step.ChangeId(fixture.fleet_.View())) == 0U);
  }
  fixture.Run(Seconds(300));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 1 }) == 0U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(PendingStepIsNotProposedAgain)
{
  PlannerFixture fixture;
  fixture.outlooks_[0] = ConstantOutlook(110);
  for (const Step& step : fixture.MakePlan().steps_) {
    if (step.kind_ != StepKind::kHold) {
      fixture.fleet_.Edit().instances_[At(step.instance_)].isPending_ = true;
    }
  }
  std::vector<bool> pending;
  for (const InstanceView& instance : fixture.fleet_.View().instances_) {
    pending.push_back(instance.isPending_);
  }
  BOOST_TEST(std::count(pending.begin(), pending.end(), true) > 0);
  for (const Step& step : fixture.MakePlan().steps_) {
    BOOST_TEST(!(step.kind_ != StepKind::kHold && pending[At(step.instance_)]));
  }
}

BOOST_AUTO_TEST_CASE(MaintenanceYieldsToAPeakIfTheContractRequiresIt)
{
  PlannerFixture fixture({ .yieldToPeak_ = true });
  fixture.outlooks_[0] = ConstantOutlook(100, true);
  fixture.Run(Seconds(60));
  fixture.SetVersion(0, kNewVersion);
  fixture.Run(Seconds(30));
  BOOST_TEST(fixture.HasHold(StepReason::kPeak));
  BOOST_TEST(
    fixture.fleet_.Count(PoolIndex{ 0 }, InstanceState::kMaintenance) == 0U);
  fixture.outlooks_[0] = ConstantOutlook(24);
  fixture.Run(Seconds(300));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 1 }) == 0U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(PeakDuringMaintenanceGetsCapacity)
{
  PlannerFixture fixture;
  fixture.Run(Seconds(60));
  fixture.SetVersion(0, kNewVersion);
  fixture.Run(Seconds(4));
  fixture.outlooks_[0] = ConstantOutlook(110, true);
  fixture.Run(Seconds(12));
  BOOST_TEST(fixture.CountServing(0) >= InstancesFor(110, 8, 1));
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(EveryInstanceIsMaintainedOncePerPeriod)
{
  PlannerFixture fixture;
  fixture.options_.maintenancePeriod_ = Seconds(20000);
  fixture.options_.duePercent_ = 50;
  for (size_t i = 0; i < 50; ++i) {
    fixture.fleet_.Edit().instances_[i].lastMaintained_ =
      Seconds(static_cast<int64_t>(i) * 10);
  }
  fixture.now_ = Seconds(11000);
  uint32_t racksAtOnce = 0;
  for (int i = 0; i < 1200; ++i) {
    fixture.Run(Seconds(5));
    std::map<DataCentreIndex, std::set<RackIndex>> racks;
    for (const InstanceView& instance : fixture.fleet_.View().instances_) {
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
  for (const InstanceView& instance : fixture.fleet_.View().instances_) {
    maintained += instance.lastMaintained_ >= Seconds(11000) ? 1 : 0;
  }
  BOOST_TEST(maintained == 50U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(RefusedStepReturnsTheInstanceToServiceUntilRetry)
{
  PlannerFixture fixture;
  fixture.Run(Seconds(60));
  fixture.SetVersion(0, kNewVersion);
  fixture.Run(Millis(500));
  InstanceIndex refusing{};
  for (size_t i = 0; i < 50; ++i) {
    InstanceView& instance = fixture.fleet_.Edit().instances_[i];
    if (instance.state_ == InstanceState::kDraining &&
        instance.purpose_ == Purpose::kRollOut) {
      instance.guard_ = GuardAnswer::kRefuses;
      refusing = static_cast<InstanceIndex>(i);
    }
  }
  fixture.Run(Seconds(300));
  const InstanceView& instance = fixture.fleet_.View().instances_[At(refusing)];
  BOOST_TEST((instance.version_ == Version{ 1 }));
  BOOST_TEST((instance.state_ == InstanceState::kServing));
  fixture.Run(Seconds(600));
  BOOST_TEST(fixture.CountInVersion(0, Version{ 1 }) == 0U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(SpreadOverRacksIsKept)
{
  PlannerFixture fixture({ .instances_ = 15 });
  fixture.fleet_.Edit().pools_[0].contract_.rackSpread_ = 3;
  fixture.SetVersion(0, kNewVersion);
  fixture.outlooks_.assign(5, ConstantOutlook(1));
  fixture.Run(Seconds(120));
  std::set<RackIndex> racks;
  for (const InstanceView& instance : fixture.fleet_.View().instances_) {
    if (instance.pool_ == PoolIndex{ 0 }) {
      racks.insert(instance.rack_);
    }
  }
  BOOST_TEST(racks.size() >= 3U);
  fixture.CheckInvariants();
}

BOOST_AUTO_TEST_CASE(RandomSchedulesBreakNoInvariant)
{
  for (uint32_t seed = 1; seed <= 40; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&](uint32_t aBelow) {
      return static_cast<uint32_t>(random() % aBelow);
    };
    const bool isIdleCapacity = seed % 2 == 0;
    PlannerFixture fixture(
      { .budget_ = { .count_ = pick(3) + 1, .percent_ = 30 },
        .yieldToPeak_ = pick(2) == 0 },
      isIdleCapacity ? "idle-capacity" : "roll-out-time",
      { .badVersion_ = Version{ 3 } });
    fixture.options_.maintenancePeriod_ = Seconds(3000);
    uint32_t version = 1;
    for (int round = 0; round < 150; ++round) {
      const InstanceIndex instance{ pick(50) };
      const RackIndex rack{ pick(13) };
      const DataCentreIndex dataCentre{ pick(3) };
      switch (pick(10)) {
        case 0:
          fixture.fleet_.FailInstance(instance);
          break;
        case 1:
          fixture.fleet_.FailRack(rack);
          break;
        case 2:
        case 3:
          for (uint32_t i = 0; i < 13; ++i) {
            fixture.fleet_.RepairRack(RackIndex{ i }, fixture.now_);
          }
          break;
        case 4:
          fixture.fleet_.SetDisconnected(dataCentre, true);
          break;
        case 5:
          for (uint32_t i = 0; i < 3; ++i) {
            fixture.fleet_.SetDisconnected(DataCentreIndex{ i }, false);
          }
          break;
        case 6:
          fixture.SetVersion(pick(5), Version{ ++version });
          break;
        case 7:
          fixture.fleet_.Edit().instances_[At(instance)].guard_ =
            GuardAnswer::kRefuses;
          break;
        default:
          fixture.outlooks_.assign(5, ConstantOutlook(6));
          fixture.outlooks_[pick(5)] = ConstantOutlook(110, true);
          break;
      }
      fixture.Run(Millis(500) * (1 + pick(20)));
      BOOST_TEST_CONTEXT("seed " << seed << " round " << round)
      {
        fixture.CheckInvariants();
        BOOST_REQUIRE(fixture.fleet_.Violations().Sum() == 0U);
        BOOST_REQUIRE(fixture.fleet_.View().instances_.size() == 50U);
      }
    }
    BOOST_TEST(fixture.fleet_.Moves() > 10U);
  }
}
