#define BOOST_TEST_MODULE slot_broker
#include "vanillahatch/core/broker_placement.h"
#include "vanillahatch/core/slot_broker.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace vanillahatch;

namespace {

const SlotPool kPool{ .service_ = ServiceName("loops"),
                      .dataCentre_ = DataCentreName("north") };
const NodeName kOne("entry-1");
const NodeName kTwo("entry-2");

struct BrokerHarness
{
  BrokerHarness()
    : broker_({ .pool_ = kPool, .term_ = 5 },
              MakeOnDemandAllocation(),
              Millis(0))
  {
    broker_.SetUpstream(InstanceName("loops-1"), 8, 8);
    broker_.SetEntry(kOne, true, true, Millis(0));
    broker_.SetEntry(kTwo, true, true, Millis(0));
  }

  // Sends a report of `aHeld` held slots and `aWaiting` waiting jobs.
  void Report(const NodeName& aEntry,
              uint32_t aHeld,
              uint32_t aWaiting,
              Millis aAge,
              Millis aNow)
  {
    SlotReport report{ .pool_ = kPool,
                       .sequence_ = ++sequence_,
                       .term_ = 5,
                       .acknowledged_ = acknowledged_[aEntry],
                       .waiting_ = aWaiting,
                       .oldestAge_ = aAge };
    if (aHeld > 0) {
      report.held_ = { { .instance_ = InstanceName("loops-1"),
                         .slots_ = aHeld } };
    }
    broker_.HandleReport(aEntry, report, aNow);
    CollectGrants();
  }

  void CollectGrants()
  {
    for (const auto& [entry, grant] : broker_.TakeGrants()) {
      acknowledged_[entry] = grant.sequence_;
      for (const InstanceSlots& added : grant.added_) {
        granted_[entry] += added.slots_;
      }
    }
  }

  SlotBroker broker_;
  uint64_t sequence_ = 0;
  std::map<NodeName, uint64_t> acknowledged_;
  std::map<NodeName, uint32_t> granted_;
};

} // namespace

BOOST_AUTO_TEST_CASE(NewBrokerGrantsNothingBeforeEveryLiveEntryHasReported)
{
  BrokerHarness harness;
  harness.Report(kOne, 0, 8, Millis(10), Millis(1));
  BOOST_TEST(harness.granted_[kOne] == 0U);
  harness.Report(kTwo, 5, 0, Millis(0), Millis(2));
  BOOST_TEST(harness.granted_[kOne] == 3U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveEntryDelaysNewBrokerOnlyUntilWarmUpTimeout)
{
  BrokerHarness harness;
  harness.Report(kOne, 0, 2, Millis(10), Millis(1));
  harness.broker_.Tick(SlotBroker::kWarmUpTimeout);
  harness.CollectGrants();
  BOOST_TEST(harness.granted_[kOne] >= 2U);
}

BOOST_AUTO_TEST_CASE(SlotsAreNeverGrantedTwice)
{
  BrokerHarness harness;
  harness.Report(kOne, 0, 20, Millis(10), Millis(1));
  harness.Report(kTwo, 0, 20, Millis(10), Millis(1));
  for (int i = 0; i < 5; ++i) {
    // The latest reports were sent before the grants arrived.
    harness.broker_.Tick(Millis(2 + i));
    harness.CollectGrants();
  }
  BOOST_TEST(harness.granted_[kOne] + harness.granted_[kTwo] == 8U);
}

BOOST_AUTO_TEST_CASE(LostSlotsAreGrantedAgainAfterTheNextReport)
{
  BrokerHarness harness;
  harness.Report(kTwo, 0, 0, Millis(0), Millis(1));
  harness.Report(kOne, 0, 8, Millis(10), Millis(1));
  BOOST_TEST(harness.granted_[kOne] == 8U);
  // The entry has acknowledged the grant's sequence number, but holds no slot.
  harness.granted_.clear();
  harness.Report(kOne, 0, 8, Millis(20), Millis(5));
  BOOST_TEST(harness.granted_[kOne] == 8U);
}

BOOST_AUTO_TEST_CASE(FreedSlotGoesToTheEntryThatHasWaitedLongest)
{
  BrokerHarness harness;
  harness.Report(kTwo, 0, 0, Millis(0), Millis(1));
  harness.Report(kOne, 0, 8, Millis(1), Millis(1));
  harness.Report(kOne, 8, 5, Millis(50), Millis(100));
  harness.Report(kTwo, 0, 5, Millis(90), Millis(100));
  harness.granted_.clear();
  harness.Report(kOne, 7, 5, Millis(51), Millis(101));
  BOOST_TEST(harness.granted_[kTwo] == 1U);
  BOOST_TEST(harness.granted_[kOne] == 0U);
}

BOOST_AUTO_TEST_CASE(SlotsOfADeadEntryAreFreedAfterTheReservationTimeout)
{
  BrokerHarness harness;
  harness.Report(kTwo, 0, 0, Millis(0), Millis(1));
  harness.Report(kOne, 0, 8, Millis(1), Millis(1));
  harness.Report(kOne, 8, 0, Millis(0), Millis(10));
  harness.broker_.SetEntry(kOne, false, true, Millis(400));
  harness.Report(kTwo, 0, 8, Millis(5), Millis(500));
  BOOST_TEST(harness.granted_[kTwo] == 0U);
  harness.broker_.Tick(Millis(10) + SlotBroker::kReservationTimeout);
  harness.CollectGrants();
  BOOST_TEST(harness.granted_[kTwo] == 8U);
}

BOOST_AUTO_TEST_CASE(AllEntriesChooseTheSameBroker)
{
  const std::vector<PeerEntry> entries{
    { kOne, DataCentreName("north") },
    { kTwo, DataCentreName("north") },
    { NodeName("entry-3"), DataCentreName("south") },
  };
  NodeName broker;
  for (const PeerEntry& self : entries) {
    BrokerPlacement placement(self.name_, entries);
    placement.Start(Millis(0));
    broker = broker.Empty() ? placement.BrokerOf(kPool) : broker;
    BOOST_TEST(placement.BrokerOf(kPool) == broker);
  }
  BOOST_TEST((broker == kOne || broker == kTwo));
}

BOOST_AUTO_TEST_CASE(UnresponsiveBrokerIsReplacedAfterTheLivenessTimeout)
{
  const std::vector<PeerEntry> entries{ { kOne, DataCentreName("north") },
                                        { kTwo, DataCentreName("north") } };
  BrokerPlacement placement(kOne, entries);
  placement.Start(Millis(0));
  BOOST_TEST(
    !placement.UpdateLiveness(BrokerPlacement::kLivenessTimeout - Millis(1)));
  BOOST_TEST(placement.UpdateLiveness(BrokerPlacement::kLivenessTimeout));
  BOOST_TEST(placement.BrokerOf(kPool) == kOne);
}
