#define BOOST_TEST_MODULE fact_exchange
#include "vanillahatch/core/fact_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr Millis kLease = Seconds(3);

UpstreamFact MakeFact(uint64_t aSequence, uint64_t aGeneration = 1)
{
  return UpstreamFact{ .instance_ = InstanceName("loops-1"),
                       .service_ = ServiceName("loops"),
                       .endpoint_ = { .address_ = "127.0.0.1", .port_ = 80 },
                       .slots_ = 8,
                       .connections_ = 64,
                       .generation_ = aGeneration,
                       .sequence_ = aSequence,
                       .lease_ = kLease };
}

// Two entries; the receiver applies what the sender forwards.
struct EntryPair
{
  FactExchange sender_;
  FactExchange receiver_;
  std::vector<RenewalId> unknown_;

  std::vector<UpstreamFact> Forward(Millis aNow)
  {
    const auto batch = sender_.TakeBatch(aNow);
    unknown_.clear();
    return batch ? receiver_.Apply(*batch, aNow, unknown_)
                 : std::vector<UpstreamFact>{};
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(FirstAnnouncementIsSentInFullWithoutDelay)
{
  EntryPair pair;
  pair.sender_.Receive(MakeFact(1), Millis(0));
  const auto facts = pair.Forward(Millis(0));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].endpoint_.port_ == 80);
}

BOOST_AUTO_TEST_CASE(RenewalIsDelayedAndItsLeaseShortenedByTheDelay)
{
  EntryPair pair;
  pair.sender_.Receive(MakeFact(1), Millis(0));
  pair.Forward(Millis(0));
  pair.sender_.Receive(MakeFact(2), Millis(1000));
  BOOST_TEST(pair.Forward(Millis(1299)).empty());
  const auto facts = pair.Forward(Millis(1300));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].sequence_ == 2U);
  BOOST_TEST(facts[0].lease_.Count() == kLease.Count() - 300);
}

BOOST_AUTO_TEST_CASE(RenewalIsOmittedIfAnotherEntryForwardedARecentOne)
{
  FactExchange entry;
  std::vector<RenewalId> unknown;
  entry.Apply({ .full_ = { MakeFact(1) } }, Millis(0), unknown);
  entry.Receive(MakeFact(2), Millis(999));
  BOOST_TEST(!entry.TakeBatch(Millis(1400)).has_value());
  entry.Receive(MakeFact(3), Millis(1400));
  BOOST_TEST(entry.TakeBatch(Millis(1700)).has_value());
}

BOOST_AUTO_TEST_CASE(FactOfUnknownRenewalIsSentInFull)
{
  EntryPair pair;
  pair.sender_.Receive(MakeFact(1), Millis(0));
  BOOST_REQUIRE(pair.sender_.TakeBatch(Millis(0)).has_value()); // lost
  pair.sender_.Receive(MakeFact(2), Millis(1000));
  BOOST_TEST(pair.Forward(Millis(1300)).empty());
  BOOST_REQUIRE(pair.unknown_.size() == 1U);
  pair.sender_.QueueFullFacts(pair.unknown_, Millis(1300));
  const auto facts = pair.Forward(Millis(1301));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].sequence_ == 2U);
}

BOOST_AUTO_TEST_CASE(DepartureIsSentInFullAndNotUndoneByADelayedRenewal)
{
  EntryPair pair;
  pair.sender_.Receive(MakeFact(1), Millis(0));
  pair.Forward(Millis(0));
  UpstreamFact departure = MakeFact(3);
  departure.departed_ = true;
  pair.sender_.Receive(departure, Millis(100));
  pair.sender_.Receive(MakeFact(2), Millis(110)); // delayed
  const auto facts = pair.Forward(Millis(120));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].departed_);
  const Renewal delayed{ .id_ = FactExchange::IdOf(MakeFact(2)),
                         .sequence_ = 2 };
  BOOST_TEST(pair.receiver_
               .Apply({ .renewals_ = { delayed } }, Millis(200), pair.unknown_)
               .empty());
}

BOOST_AUTO_TEST_CASE(RenewalOfEarlierGenerationDoesNotMatchALaterOne)
{
  FactExchange entry;
  std::vector<RenewalId> unknown;
  entry.Apply({ .full_ = { MakeFact(1, 2) } }, Millis(0), unknown);
  const Renewal delayed{ .id_ = FactExchange::IdOf(MakeFact(9, 1)),
                         .sequence_ = 9 };
  BOOST_TEST(
    entry.Apply({ .renewals_ = { delayed } }, Millis(1), unknown).empty());
  BOOST_TEST(unknown.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PrunedFactIsNotSent)
{
  FactExchange entry;
  entry.Receive(MakeFact(1), Millis(0));
  entry.Prune(FactExchange::kRetention);
  BOOST_TEST(entry.Size() == 0U);
  const auto batch = entry.TakeBatch(FactExchange::kRetention);
  BOOST_TEST((!batch || batch->full_.empty()));
}
