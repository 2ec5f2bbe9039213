#define BOOST_TEST_MODULE memory_budget
#include "vanillahatch/shell/memory_budget.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using namespace vanillahatch;

namespace {

constexpr MemoryBudgetOptions kOptions = { .maxBytes_ = 1000,
                                           .reservedBytes_ = 200,
                                           .smallBytes_ = 100,
                                           .maxConnections_ = 3 };

struct BudgetFixture
{
  using Kind = MemoryBudget::Kind;
  using Holding = MemoryBudget::Holding;

  // A holding that waits for its peer, with these bytes.
  Holding& Wait(size_t aBytes, Kind aKind = Kind::kConnection)
  {
    const size_t number = holdings_.size();
    holdings_.push_back(std::make_unique<Holding>(
      budget_, aKind, [this, number] { closed_.push_back(number); }));
    holdings_.back()->WaitForPeer();
    BOOST_TEST(holdings_.back()->Resize(aBytes));
    return *holdings_.back();
  }

  MemoryBudget budget_{ kOptions };
  std::vector<std::unique_ptr<Holding>> holdings_;
  std::vector<size_t> closed_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Budget, BudgetFixture)

BOOST_AUTO_TEST_CASE(OldestUnfinishedMessageIsClosedWhenThereIsNoRoom)
{
  Wait(400);
  Wait(300);
  Wait(300);
  BOOST_TEST(closed_ == std::vector<size_t>{ 0 },
             boost::test_tools::per_element());
  BOOST_TEST(holdings_[0]->WasClosed());
  BOOST_TEST(budget_.BytesHeld() == 600U);
}

BOOST_AUTO_TEST_CASE(OldestMessageIsRefusedInsteadOfClosingYoungerOnes)
{
  Holding& oldest = Wait(400);
  Wait(300);
  BOOST_TEST(!oldest.Resize(600));
  BOOST_TEST(closed_.empty());
  BOOST_TEST(budget_.BytesHeld() == 700U);
}

BOOST_AUTO_TEST_CASE(RequestThatIsServedIsNeverClosed)
{
  Wait(800).Serve();
  Holding& next = Wait(0);
  BOOST_TEST(!next.Resize(300));
  BOOST_TEST(closed_.empty());
  BOOST_TEST(budget_.Refused() == 1U);
}

BOOST_AUTO_TEST_CASE(SmallMessageFindsRoomWhereALargeOneDoesNot)
{
  Wait(800).Serve();
  BOOST_TEST(!Wait(0).Resize(101));
  BOOST_TEST(Wait(0).Resize(100));
}

BOOST_AUTO_TEST_CASE(NothingIsClosedIfThatWouldNotMakeEnoughRoom)
{
  Wait(730).Serve();
  Wait(80);
  Holding& next = Wait(0);
  BOOST_TEST(!next.Resize(300));
  BOOST_TEST(closed_.empty());
}

BOOST_AUTO_TEST_CASE(LargeMessageClosesLargeOnesBeforeSmallOnesInTheReserve)
{
  Wait(80);
  Wait(70);
  Wait(500);
  Holding& next = Wait(0);
  BOOST_TEST(next.Resize(400));
  BOOST_TEST(closed_ == std::vector<size_t>{ 2 },
             boost::test_tools::per_element());
  BOOST_TEST(budget_.BytesHeld() == 550U);
}

BOOST_AUTO_TEST_CASE(LargeMessageClosesSmallOnesBeyondTheReserve)
{
  for (int i = 0; i < 9; ++i) {
    Wait(100);
  }
  Holding& next = Wait(0);
  BOOST_TEST(next.Resize(300));
  BOOST_TEST(closed_ == (std::vector<size_t>{ 0, 1 }),
             boost::test_tools::per_element());
  BOOST_TEST(!Wait(0).Resize(900));
  BOOST_TEST(closed_.size() == 2U);
}

BOOST_AUTO_TEST_CASE(BytesOfAClosedOrDestroyedHoldingAreReleasedOnce)
{
  Wait(500);
  Wait(500);
  BOOST_TEST(closed_.size() == 1U);
  holdings_.clear();
  BOOST_TEST(budget_.BytesHeld() == 0U);
  BOOST_TEST(budget_.Connections() == 0U);
}

BOOST_AUTO_TEST_CASE(ClosedHoldingsThatAreNotFreedLimitWhatIsGranted)
{
  for (int i = 0; i < 3; ++i) {
    Wait(500);
  }
  BOOST_TEST(closed_.size() == 2U);
  Holding& next = Wait(0);
  BOOST_TEST(!next.Resize(500));
  BOOST_TEST(closed_.size() == 2U);
  holdings_[0].reset();
  BOOST_TEST(next.Resize(500));
}

BOOST_AUTO_TEST_CASE(ConnectionThatWaitedLongestGivesWayToANewOne)
{
  Wait(0);
  Wait(50);
  Wait(0);
  holdings_[0]->WaitForPeer(); // It has been answered in between.
  BOOST_TEST(budget_.AdmitConnection());
  BOOST_TEST(closed_ == std::vector<size_t>{ 1 },
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(NewConnectionIsRefusedWhileAllAreServed)
{
  for (int i = 0; i < 3; ++i) {
    Wait(0).Serve();
  }
  BOOST_TEST(!budget_.AdmitConnection());
  BOOST_TEST(closed_.empty());
}

BOOST_AUTO_TEST_CASE(AnswerToOurOwnRequestCountsAsBytesButNotAsAConnection)
{
  Wait(300, Kind::kAnswer);
  BOOST_TEST(budget_.Connections() == 0U);
  BOOST_TEST(budget_.BytesHeld() == 300U);
}

BOOST_AUTO_TEST_SUITE_END()
