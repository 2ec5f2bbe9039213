#define BOOST_TEST_MODULE machine_book
#include "vanillahatch/core/jobs/machine_book.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

const InstanceKey kFormer = { .id_ = "a", .bornUnixMs_ = 1 };
const InstanceKey kNext = { .id_ = "b", .bornUnixMs_ = 2 };

MachineBook InUpkeep()
{
  MachineBook book;
  book.TakeList(
    Seconds(1),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  book.Begin(Seconds(2), { .machine_ = "m", .wave_ = 1 }, "p", kFormer);
  book.FindOp("m")->phase_ = MachineOpPhase::kAccepted;
  return book;
}

} // namespace

// A wave of nine took ten machines down: a late report of the old incarnation
// had closed the operation (Ryggstein, trouble-1).
BOOST_AUTO_TEST_CASE(LateReportOfTheEndedIncarnationDoesNotEndTheUpkeep)
{
  MachineBook book = InUpkeep();
  book.OnInstance(Seconds(9), "m", "p", kFormer);
  BOOST_TEST(book.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ReportOfTheNextIncarnationEndsTheUpkeep)
{
  MachineBook book = InUpkeep();
  book.OnInstance(Seconds(9), "m", "p", kNext);
  BOOST_TEST(book.InUpkeep(1) == 0U);
}

// Hunted on Ryggstein (hunt-3eb7-3): the incarnation that the upkeep ended had
// not been known yet, and its first report came right after.
BOOST_AUTO_TEST_CASE(ReportBeforeTheMachineCanBeBackDoesNotEndTheUpkeep)
{
  MachineBook book = InUpkeep();
  book.OnInstance(Millis(2020), "m", "p", kNext);
  BOOST_TEST(book.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ListThatLagsDoesNotEndTheUpkeep)
{
  MachineBook book = InUpkeep();
  book.TakeList(
    Millis(2500),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  BOOST_TEST(book.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(ListFromBeforeAnOperationDoesNotEndIt)
{
  MachineBook book = InUpkeep();
  book.TakeList(
    Millis(1500),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUp } });
  BOOST_TEST(book.InUpkeep(1) == 1U);
}

BOOST_AUTO_TEST_CASE(UpkeepThatAnEarlierLeaderBeganIsCounted)
{
  MachineBook book;
  book.TakeList(
    Seconds(1),
    { { .machine_ = "m", .pool_ = "p", .state_ = MachineState::kUpkeep } });
  BOOST_TEST(book.InUpkeep(1) == 1U);
}
