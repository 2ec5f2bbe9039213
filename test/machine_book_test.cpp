#define BOOST_TEST_MODULE machine_book
#include "vanillahatch/core/jobs/machine_book.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

const InstanceKey kPreviousInstance = { .id_ = "a", .bornUnixMs_ = 1 };
const InstanceKey kNextInstance = { .id_ = "b", .bornUnixMs_ = 2 };

MachineBook MakeTrackerWithMaintenance()
{
  MachineBook tracker;
  tracker.TakeList(
    Seconds(1),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  tracker.Begin(
    Seconds(2), { .machine_ = "m", .wave_ = 1 }, "p", kPreviousInstance);
  tracker.FindOp("m")->phase_ = MachineOpPhase::kAccepted;
  return tracker;
}

} // namespace

// A late report of the previous incarnation must not end the operation: a wave
// limited to nine machines took ten down at once because of one.
BOOST_AUTO_TEST_CASE(LateReportOfTheEndedIncarnationDoesNotEndMaintenance)
{
  MachineBook tracker = MakeTrackerWithMaintenance();
  tracker.OnInstance(Seconds(9), "m", "p", kPreviousInstance);
  BOOST_TEST(tracker.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ReportOfTheNextIncarnationEndsMaintenance)
{
  MachineBook tracker = MakeTrackerWithMaintenance();
  tracker.OnInstance(Seconds(9), "m", "p", kNextInstance);
  BOOST_TEST(tracker.InUpkeep(1) == 0U);
}

// The incarnation that the maintenance ends may be unknown to the leader, and
// its first report may arrive right after the start of the maintenance.
BOOST_AUTO_TEST_CASE(ReportBeforeTheMinimumTimeDoesNotEndMaintenance)
{
  MachineBook tracker = MakeTrackerWithMaintenance();
  tracker.OnInstance(Millis(2020), "m", "p", kNextInstance);
  BOOST_TEST(tracker.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(OutdatedListDoesNotEndMaintenance)
{
  MachineBook tracker = MakeTrackerWithMaintenance();
  tracker.TakeList(
    Millis(2500),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  BOOST_TEST(tracker.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ListRequestedBeforeAnOperationDoesNotEndIt)
{
  MachineBook tracker = MakeTrackerWithMaintenance();
  tracker.TakeList(
    Millis(1500),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  BOOST_TEST(tracker.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(MaintenanceStartedByAnEarlierLeaderIsCounted)
{
  MachineBook tracker;
  tracker.TakeList(
    Seconds(1),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUpkeep } });
  BOOST_TEST(tracker.InUpkeep(1) == 1U);
}
