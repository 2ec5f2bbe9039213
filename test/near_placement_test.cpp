#define BOOST_TEST_MODULE near_placement
#include "vanillahatch/core/jobs/near_placement.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr Millis kNow = Seconds(100);
const NearWaits::StepKey kStep = { .acceptanceIndex_ = 7 };

// In time with either place; saves 800 ms near the data.
NearChoice ShortWait()
{
  return { .now_ = kNow,
           .waitingSince_ = kNow,
           .placeAt_ = kNow + Millis(200),
           .nearRun_ = Millis(400),
           .farRun_ = Millis(1200),
           .dueAt_ = kNow + Seconds(3),
           .timeToEnd_ = Millis(500) };
}

bool Waits(const NearChoice& aChoice)
{
  return WaitForNearPlace(aChoice).has_value();
}

Resources Cores(int64_t aCores)
{
  return { .milliCpus_ = aCores * 1000, .memoryMb_ = aCores };
}

} // namespace

BOOST_AUTO_TEST_CASE(TaskWaitsUntilThePlaceIsExpected)
{
  BOOST_TEST((WaitForNearPlace(ShortWait()) == kNow + Millis(200)));
}

BOOST_AUTO_TEST_CASE(NoWaitWithoutAPlaceInTheRack)
{
  NearChoice choice = ShortWait();
  choice.placeAt_.reset();
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(NoWaitWhereNothingIsSaved)
{
  NearChoice choice = ShortWait();
  choice.farRun_ = choice.nearRun_;
  choice.placeAt_ = kNow;
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(WaitCostsLessThanItIsExpectedToGain)
{
  NearChoice choice = ShortWait();
  choice.placeAt_ = kNow + Millis(500);
  BOOST_TEST(Waits(choice));
  choice.chance_ = 0.5; // gains 400 ms on average
  BOOST_TEST(!Waits(choice));
  choice.placeAt_ = kNow + Millis(399);
  BOOST_TEST(Waits(choice));
}

BOOST_AUTO_TEST_CASE(TotalWaitIsBoundedByTheRunTimeThatItSaves)
{
  NearChoice choice = ShortWait();
  choice.waitingSince_ = kNow - Millis(600);
  BOOST_TEST(Waits(choice)); // until 800 ms after its begin
  choice.placeAt_ = kNow + Millis(201);
  BOOST_TEST(!Waits(choice));
  choice.placeAt_ = kNow;
  choice.waitingSince_ = kNow - Millis(800);
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(TotalWaitIsBoundedForLongTasks)
{
  NearChoice choice = ShortWait();
  choice.nearRun_ = Seconds(20);
  choice.farRun_ = Seconds(60);
  choice.timeToEnd_ = Seconds(20);
  choice.dueAt_ = kNow + Seconds(100);
  BOOST_TEST(Waits(choice));
  choice.waitingSince_ = kNow - kMaxNearWait;
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(JobInTimeElsewhereIsNotMadeLate)
{
  NearChoice choice = ShortWait();
  // Elsewhere it takes 1,300 ms, and the next round may be 100 ms later.
  choice.dueAt_ = kNow + Millis(200 + 1300 + 100);
  BOOST_TEST(Waits(choice));
  choice.dueAt_ = choice.dueAt_ - Millis(1);
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(JobThatIsInTimeOnlyNearItsDataWaits)
{
  NearChoice choice = ShortWait();
  choice.dueAt_ = kNow + Millis(700);
  choice.chance_ = 0;
  BOOST_TEST(Waits(choice));
}

BOOST_AUTO_TEST_CASE(JobThatIsLateEitherWayTakesThePlaceElsewhere)
{
  NearChoice choice = ShortWait();
  choice.dueAt_ = kNow + Millis(699);
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(LongerWaitPaysWhereALongRunWouldDelayOthers)
{
  NearChoice choice = ShortWait();
  choice.placeAt_ = kNow + Millis(500);
  choice.chance_ = 0.5;
  choice.isCapacityShort_ = true;
  BOOST_TEST(Waits(choice));
}

BOOST_AUTO_TEST_CASE(ScarceCapacityElsewhereNeedsTimeToComeFreeAgain)
{
  NearChoice choice = ShortWait();
  choice.dueAt_ = kNow + Millis(200 + 1300 + 399);
  BOOST_TEST(Waits(choice));
  choice.isCapacityShort_ = true;
  BOOST_TEST(!Waits(choice));
}

BOOST_AUTO_TEST_CASE(PlacesAreCountedAsRunsEnd)
{
  RackPlaces places(Cores(4));
  places.AddInstance(kNow,
                     Cores(5),
                     { { .at_ = kNow + Millis(300), .freed_ = Cores(3) },
                       { .at_ = kNow + Millis(100), .freed_ = Cores(2) } });
  places.AddInstance(
    kNow, Cores(0), { { .at_ = kNow + Millis(200), .freed_ = Cores(8) } });
  BOOST_TEST((places.At(0) == kNow));
  BOOST_TEST((places.At(1) == kNow + Millis(200)));
  BOOST_TEST((places.At(2) == kNow + Millis(200)));
  BOOST_TEST(!places.At(4).has_value());
}

BOOST_AUTO_TEST_CASE(TaskLargerThanAnyInstanceHasNoPlace)
{
  RackPlaces places(Cores(16));
  for (int i = 0; i < 4; ++i) {
    places.AddInstance(
      kNow, Cores(4), { { .at_ = kNow + Millis(100), .freed_ = Cores(4) } });
  }
  BOOST_TEST(!places.At(0).has_value());
}

BOOST_AUTO_TEST_CASE(InstanceOverItsCapacityHasNoPlaceUntilRunsEnd)
{
  RackPlaces places(Cores(4));
  places.AddInstance(kNow,
                     Cores(-6),
                     { { .at_ = kNow + Millis(100), .freed_ = Cores(4) },
                       { .at_ = kNow + Millis(200), .freed_ = Cores(8) } });
  BOOST_TEST((places.At(0) == kNow + Millis(200)));
}

BOOST_AUTO_TEST_CASE(LaterWaitsOfAStepShareItsSpan)
{
  NearWaits waits;
  using Change = NearWaits::Change;
  BOOST_TEST(
    (waits.Update(kNow, kStep, "r", { .waiting_ = 2 }) == Change::kBegun));
  BOOST_TEST(
    (waits.Update(
       kNow + Millis(50), kStep, "r", { .startedNear_ = 1, .waiting_ = 1 }) ==
     Change::kNone));
  BOOST_TEST(
    (waits.Update(kNow + Millis(90), kStep, "r", {}) == Change::kEnded));
  BOOST_TEST(waits.Find(kStep)->endedNear_ == 1U);
  BOOST_TEST(waits.Find(kStep)->endedFar_ == 1U);
  // A run has failed, and its task waits again.
  BOOST_TEST((waits.Update(kNow + Millis(200), kStep, "r", { .waiting_ = 1 }) ==
              Change::kBegun));
  BOOST_TEST((waits.Find(kStep)->firstAt_ == kNow));
  BOOST_TEST((waits.Find(kStep)->since_ == kNow + Millis(200)));
}

BOOST_AUTO_TEST_CASE(ChanceFollowsHowWaitsForTheRackEnd)
{
  NearWaits waits;
  const double atFirst = waits.ChanceAt("r");
  for (uint64_t job = 0; job < 20; ++job) {
    const NearWaits::StepKey step = { .acceptanceIndex_ = job };
    waits.Update(kNow, step, "r", { .waiting_ = 1 });
    waits.Update(kNow, step, "r", {});
    waits.Update(kNow, step, "other", { .waiting_ = 1 });
    waits.Update(kNow, step, "other", { .startedNear_ = 1 });
  }
  BOOST_TEST(waits.ChanceAt("r") < atFirst);
  BOOST_TEST(waits.ChanceAt("r") > 0.0);
  BOOST_TEST(waits.ChanceAt("other") > atFirst);
}

BOOST_AUTO_TEST_CASE(WaitsOfClosedJobsAreRemoved)
{
  NearWaits waits;
  waits.Update(kNow, kStep, "r", { .waiting_ = 1 });
  waits.RemoveIf([](uint64_t aAcceptanceIndex) {
    return aAcceptanceIndex == kStep.acceptanceIndex_;
  });
  BOOST_TEST(waits.Find(kStep) == nullptr);
}
