#define BOOST_TEST_MODULE machine_tracker
#include "vanillahatch/core/jobs/machine_tracker.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

const InstanceKey kPreviousInstance = { .id_ = "a", .startedUnixMs_ = 1 };
const InstanceKey kNextInstance = { .id_ = "b", .startedUnixMs_ = 2 };

MachineTracker MakeTrackerWithMaintenance()
{
  MachineTracker tracker;
  tracker.HandleList(
    Seconds(1),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  tracker.BeginOp(
    Seconds(2), { .machine_ = "m", .wave_ = 1 }, "p", kPreviousInstance);
  tracker.FindOp("m")->phase_ = MachineOpPhase::kAccepted;
  return tracker;
}

} // namespace

// A late report of the previous incarnation must not end the operation: a wave
// limited to nine machines took ten down at once because of one.
BOOST_AUTO_TEST_CASE(LateReportOfTheEndedIncarnationDoesNotEndMaintenance)
{
  MachineTracker tracker = MakeTrackerWithMaintenance();
  tracker.OnInstanceReport(Seconds(9), "m", "p", kPreviousInstance);
  BOOST_TEST(tracker.CountInMaintenance(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ReportOfTheNextIncarnationEndsMaintenance)
{
  MachineTracker tracker = MakeTrackerWithMaintenance();
  tracker.OnInstanceReport(Seconds(9), "m", "p", kNextInstance);
  BOOST_TEST(tracker.CountInMaintenance(1) == 0U);
}

// The incarnation that the maintenance ends may be unknown to the leader, and
// its first report may arrive right after the start of the maintenance.
BOOST_AUTO_TEST_CASE(ReportBeforeTheMinimumTimeDoesNotEndMaintenance)
{
  MachineTracker tracker = MakeTrackerWithMaintenance();
  tracker.OnInstanceReport(Millis(2020), "m", "p", kNextInstance);
  BOOST_TEST(tracker.CountInMaintenance(1) == 1U);
}

BOOST_AUTO_TEST_CASE(OutdatedListDoesNotEndMaintenance)
{
  MachineTracker tracker = MakeTrackerWithMaintenance();
  tracker.HandleList(
    Millis(2500),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  BOOST_TEST(tracker.CountInMaintenance(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ListRequestedBeforeAnOperationDoesNotEndIt)
{
  MachineTracker tracker = MakeTrackerWithMaintenance();
  tracker.HandleList(
    Millis(1500),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  BOOST_TEST(tracker.CountInMaintenance(1) == 1U);
}

BOOST_AUTO_TEST_CASE(MaintenanceStartedByAnEarlierLeaderIsCounted)
{
  MachineTracker tracker;
  tracker.HandleList(Seconds(1),
                     { { .machine_ = "m",
                         .pool_ = "p",
                         .state_ = MachineState::kMaintenance } });
  BOOST_TEST(tracker.CountInMaintenance(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ListRequestedBeforeAReportDoesNotReplaceItsPool)
{
  MachineTracker tracker;
  tracker.OnInstanceReport(Seconds(2), "m", "p", kNextInstance);
  tracker.HandleList(
    Seconds(1),
    { { .machine_ = "m", .pool_ = "rest", .state_ = MachineState::kUp } });
  BOOST_TEST(tracker.Machines().at("m").pool_ == "p");
}
