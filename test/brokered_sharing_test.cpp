#define BOOST_TEST_MODULE brokered_sharing
#include "vanillahatch/core/broker_place.h"
#include "vanillahatch/core/slot_sharing.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

const NodeName kOne("one");
const NodeName kTwo("two");
const DataCentreName kCentre("north");
const ServiceName kService("loops");
constexpr Millis kStep(10);
constexpr Millis kRenewal(500);

UpstreamFact MakeFact(uint64_t aSequence)
{
  return UpstreamFact{ .instance_ = InstanceName("loops-1"),
                       .service_ = kService,
                       .endpoint_ = { .address_ = "127.0.0.1", .port_ = 80 },
                       .slots_ = 8,
                       .connections_ = 64,
                       .dataCentre_ = kCentre,
                       .generation_ = 1,
                       .sequence_ = aSequence,
                       .lease_ = Seconds(2) };
}

// One entry's sharing with its slot table.
struct Side
{
  Side(NodeName aSelf, uint64_t aStart)
    : name_(std::move(aSelf))
    , table_(kCentre, MakeLeastInFlight(), false)
    , sharing_(
        MakeBrokered(table_,
                     { .self_ = name_,
                       .entries_ = { { kOne, kCentre }, { kTwo, kCentre } },
                       .startNumber_ = aStart }))
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

// Both entries on a lossless link without delay, in virtual time.
struct TwoEntries
{
  std::unique_ptr<Side> one_ = std::make_unique<Side>(kOne, 1);
  std::unique_ptr<Side> two_ = std::make_unique<Side>(kTwo, 1);
  Millis now_;
  uint64_t sequence_ = 0;
  size_t reports_ = 0;

  void Run(Millis aSpan)
  {
    for (const Millis end = now_ + aSpan; now_ < end; now_ = now_ + kStep) {
      if (now_.Count() % kRenewal.Count() == 0) {
        ++sequence_;
        one_->Renew(sequence_, now_);
        two_->Renew(sequence_, now_);
      }
      Pass(*one_, *two_);
      Pass(*two_, *one_);
    }
  }

  void Pass(Side& aFrom, Side& aTo)
  {
    for (const OutgoingMessage& message : aFrom.sharing_->Flush(now_)) {
      reports_ += std::holds_alternative<SlotReport>(message.message_) ? 1 : 0;
      aTo.sharing_->Take(aFrom.name_, message.message_, now_);
    }
  }

  uint32_t Allowed()
  {
    const InstanceName instance("loops-1");
    return one_->table_.Find(instance)->allowance_ +
           two_->table_.Find(instance)->allowance_;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(RenewalsAloneCauseNoReports)
{
  TwoEntries entries;
  entries.Run(Seconds(5));
  entries.reports_ = 0;
  entries.Run(Seconds(12));
  // The entry without the broker repeats itself every 2 s.
  BOOST_TEST(entries.reports_ >= 5U);
  BOOST_TEST(entries.reports_ <= 7U);
}

// Whichever entry holds the broker: it is restarted sooner than the other can
// notice, and jobs wait at it for more slots than there are.
BOOST_DATA_TEST_CASE(RestartedBrokerLearnsWhatIsHeldBeforeItGrants,
                     boost::unit_test::data::make({ 0, 1 }),
                     which)
{
  TwoEntries entries;
  entries.Run(Seconds(5));
  BOOST_TEST(entries.Allowed() <= 8U);
  auto& side = which == 0 ? entries.one_ : entries.two_;
  side = std::make_unique<Side>(which == 0 ? kOne : kTwo, 2);
  side->Renew(++entries.sequence_, entries.now_);
  const SlotDemand demand{ .waiting_ = 20, .oldestArrivedAt_ = entries.now_ };
  side->sharing_->SetDemand(kService, demand, entries.now_);
  // The slots that the restarted entry held before are in no table now, so
  // only what is granted beyond the upstream's own number is a fault.
  for (int i = 0; i < 300; ++i) {
    entries.Run(kStep);
    BOOST_REQUIRE_LE(entries.Allowed(), 8U);
  }
  BOOST_TEST(side->table_.Find(InstanceName("loops-1"))->allowance_ >= 4U);
}
