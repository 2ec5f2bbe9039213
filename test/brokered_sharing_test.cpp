#define BOOST_TEST_MODULE brokered_sharing
#include "vanillahatch/core/broker_placement.h"
#include "vanillahatch/core/slot_sharing.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

const NodeName kOne("one");
const NodeName kTwo("two");
const DataCentreName kDataCentre("north");
const ServiceName kService("loops");
constexpr Millis kStepInterval(10);
constexpr Millis kRenewalInterval(500);

UpstreamFact MakeFact(uint64_t aSequence)
{
  return UpstreamFact{ .instance_ = InstanceName("loops-1"),
                       .service_ = kService,
                       .endpoint_ = { .address_ = "127.0.0.1", .port_ = 80 },
                       .slots_ = 8,
                       .connections_ = 64,
                       .dataCentre_ = kDataCentre,
                       .generation_ = 1,
                       .sequence_ = aSequence,
                       .lease_ = Seconds(2) };
}

// One entry's slot sharing and slot table.
struct SimulatedEntry
{
  SimulatedEntry(NodeName aSelf, uint64_t aStartNumber)
    : name_(std::move(aSelf))
    , table_(kDataCentre, MakeLeastInFlight(), false)
    , sharing_(MakeBrokeredSharing(
        table_,
        { .self_ = name_,
          .entries_ = { { kOne, kDataCentre }, { kTwo, kDataCentre } },
          .startNumber_ = aStartNumber }))
  {
  }

  void Renew(uint64_t aSequence, Millis aNow)
  {
    const UpstreamFact fact = MakeFact(aSequence);
    table_.Put(fact, aNow + fact.lease_);
    sharing_->PutUpstream(fact, aNow);
    sharing_->SetEjected(fact.instance_, false);
  }

  NodeName name_;
  SlotTable table_;
  std::unique_ptr<SlotSharing> sharing_;
};

// Two entries that exchange messages without loss or delay, in virtual time.
struct TwoEntries
{
  std::unique_ptr<SimulatedEntry> one_ =
    std::make_unique<SimulatedEntry>(kOne, 1);
  std::unique_ptr<SimulatedEntry> two_ =
    std::make_unique<SimulatedEntry>(kTwo, 1);
  Millis now_;
  uint64_t sequence_ = 0;
  size_t reportCount_ = 0;

  void Run(Millis aDuration)
  {
    for (const Millis end = now_ + aDuration; now_ < end;
         now_ = now_ + kStepInterval) {
      if (now_.Count() % kRenewalInterval.Count() == 0) {
        ++sequence_;
        one_->Renew(sequence_, now_);
        two_->Renew(sequence_, now_);
      }
      Deliver(*one_, *two_);
      Deliver(*two_, *one_);
    }
  }

  void Deliver(SimulatedEntry& aSender, SimulatedEntry& aReceiver)
  {
    for (const OutgoingMessage& message : aSender.sharing_->Flush(now_)) {
      reportCount_ +=
        std::holds_alternative<SlotReport>(message.message_) ? 1 : 0;
      aReceiver.sharing_->HandleMessage(aSender.name_, message.message_, now_);
    }
  }

  uint32_t TotalAllowance()
  {
    const InstanceName instance("loops-1");
    return one_->table_.Find(instance)->allowance_ +
           two_->table_.Find(instance)->allowance_;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(LeaseRenewalsCauseNoReports)
{
  TwoEntries entries;
  entries.Run(Seconds(5));
  entries.reportCount_ = 0;
  entries.Run(Seconds(12));
  // The entry that does not run the broker reports every 2 s.
  BOOST_TEST(entries.reportCount_ >= 5U);
  BOOST_TEST(entries.reportCount_ <= 7U);
}

// A broker that restarts before the other entry notices has lost its record of
// the held slots. If it granted at once, slots would be granted twice. Each
// entry is restarted in turn, since either may run the broker.
BOOST_DATA_TEST_CASE(RestartedBrokerCollectsReportsBeforeItGrants,
                     boost::unit_test::data::make({ 0, 1 }),
                     restartedIndex)
{
  TwoEntries entries;
  entries.Run(Seconds(5));
  BOOST_TEST(entries.TotalAllowance() <= 8U);
  auto& restarted = restartedIndex == 0 ? entries.one_ : entries.two_;
  restarted =
    std::make_unique<SimulatedEntry>(restartedIndex == 0 ? kOne : kTwo, 2);
  restarted->Renew(++entries.sequence_, entries.now_);
  const SlotDemand demand{ .waiting_ = 20, .oldestArrivedAt_ = entries.now_ };
  restarted->sharing_->SetDemand(kService, demand, entries.now_);
  // The restarted entry's table is empty, so the sum counts only slots granted
  // since then and those that the other entry holds.
  for (int i = 0; i < 300; ++i) {
    entries.Run(kStepInterval);
    BOOST_REQUIRE_LE(entries.TotalAllowance(), 8U);
  }
  BOOST_TEST(restarted->table_.Find(InstanceName("loops-1"))->allowance_ >= 4U);
}
