#define BOOST_TEST_MODULE health_tracker
#include "vanillahatch/core/health_tracker.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace vanillahatch;

namespace {

InstanceName Instance(int aNumber)
{
  return InstanceName("loops-" + std::to_string(aNumber));
}

HealthTracker MakePool(int aSize)
{
  HealthTracker tracker(7);
  for (int i = 0; i < aSize; ++i) {
    tracker.Add(Instance(i), ServiceName("loops"));
  }
  return tracker;
}

// Records `aTimes` failures of one instance.
void RecordFailures(HealthTracker& aTracker,
                    int aInstance,
                    uint32_t aTimes,
                    Millis aNow)
{
  for (uint32_t i = 0; i < aTimes; ++i) {
    aTracker.RecordOutcome(Instance(aInstance), AttemptOutcome::kFailure, aNow);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(InstanceIsEjectedAfterConsecutiveFailures)
{
  HealthTracker tracker = MakePool(4);
  RecordFailures(tracker, 0, HealthTracker::kFailuresToEject - 1, Millis(0));
  BOOST_TEST(tracker.AttemptLimit(Instance(0)) == HealthTracker::kNoLimit);
  RecordFailures(tracker, 0, 1, Millis(0));
  BOOST_TEST(tracker.AttemptLimit(Instance(0)) == 0U);
}

BOOST_AUTO_TEST_CASE(SuccessResetsTheFailureCount)
{
  HealthTracker tracker = MakePool(4);
  for (int i = 0; i < 10; ++i) {
    RecordFailures(tracker, 0, HealthTracker::kFailuresToEject - 1, Millis(i));
    tracker.RecordOutcome(Instance(0), AttemptOutcome::kSuccess, Millis(i));
  }
  BOOST_TEST((tracker.State(Instance(0)) == HealthState::kHealthy));
}

BOOST_AUTO_TEST_CASE(CorrelatedFailuresEjectAtMostHalfOfThePool)
{
  HealthTracker tracker = MakePool(9);
  int ejected = 0;
  int lastResort = 0;
  for (int i = 0; i < 9; ++i) {
    RecordFailures(tracker, i, 10, Millis(i));
    const HealthState state = tracker.State(Instance(i));
    ejected += state == HealthState::kEjected ? 1 : 0;
    lastResort += state == HealthState::kLastResort ? 1 : 0;
  }
  BOOST_TEST(ejected == 4);
  BOOST_TEST(lastResort == 5);
}

BOOST_AUTO_TEST_CASE(SoleInstanceIsNeverEjected)
{
  HealthTracker tracker = MakePool(1);
  RecordFailures(tracker, 0, 100, Millis(0));
  BOOST_TEST(tracker.AttemptLimit(Instance(0)) == HealthTracker::kNoLimit);
}

BOOST_AUTO_TEST_CASE(AttemptLimitDoublesDuringProbation)
{
  HealthTracker tracker = MakePool(4);
  RecordFailures(tracker, 0, HealthTracker::kFailuresToEject, Millis(0));
  const Millis end = tracker.NextEjectionEnd();
  BOOST_TEST(end.Count() >= 750);
  BOOST_TEST(end.Count() <= 1250);
  BOOST_TEST(tracker.EndEjections(end - Millis(1)).empty());
  BOOST_TEST(tracker.EndEjections(end).size() == 1U);
  for (const uint32_t limit : { 1U, 2U, 4U }) {
    BOOST_TEST(tracker.AttemptLimit(Instance(0)) == limit);
    tracker.RecordOutcome(Instance(0), AttemptOutcome::kSuccess, end);
  }
  BOOST_TEST((tracker.State(Instance(0)) == HealthState::kHealthy));
}

BOOST_AUTO_TEST_CASE(FailureOnProbationDoublesTheEjection)
{
  HealthTracker tracker = MakePool(4);
  RecordFailures(tracker, 0, HealthTracker::kFailuresToEject, Millis(0));
  const Millis end = tracker.NextEjectionEnd();
  tracker.EndEjections(end);
  RecordFailures(tracker, 0, 1, end);
  BOOST_TEST((tracker.State(Instance(0)) == HealthState::kEjected));
  BOOST_TEST((tracker.NextEjectionEnd() - end).Count() >= 1500);
}
