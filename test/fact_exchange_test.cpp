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

// Two entries: what the first passes on, the second opens.
struct Pair
{
  FactExchange teller_;
  FactExchange listener_;
  std::vector<RenewalId> unknown_;

  std::vector<UpstreamFact> Pass(Millis aNow)
  {
    const auto parcel = teller_.TakeParcel(aNow);
    unknown_.clear();
    return parcel ? listener_.Open(*parcel, aNow, unknown_)
                  : std::vector<UpstreamFact>{};
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(FirstAnnouncementGoesOutWholeAtOnce)
{
  Pair pair;
  pair.teller_.Hear(MakeFact(1), Millis(0));
  const auto facts = pair.Pass(Millis(0));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].endpoint_.port_ == 80);
}

BOOST_AUTO_TEST_CASE(RenewalWaitsAndLosesTheTimeItWaited)
{
  Pair pair;
  pair.teller_.Hear(MakeFact(1), Millis(0));
  pair.Pass(Millis(0));
  pair.teller_.Hear(MakeFact(2), Millis(1000));
  BOOST_TEST(pair.Pass(Millis(1299)).empty());
  const auto facts = pair.Pass(Millis(1300));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].sequence_ == 2U);
  BOOST_TEST(facts[0].lease_.Count() == kLease.Count() - 300);
}

BOOST_AUTO_TEST_CASE(RenewalIsLeftOutSoonAfterAnotherEntryPassedOneOn)
{
  FactExchange entry;
  std::vector<RenewalId> unknown;
  entry.Open({ .whole_ = { MakeFact(1) } }, Millis(0), unknown);
  entry.Hear(MakeFact(2), Millis(999));
  BOOST_TEST(!entry.TakeParcel(Millis(1400)).has_value());
  entry.Hear(MakeFact(3), Millis(1400));
  BOOST_TEST(entry.TakeParcel(Millis(1700)).has_value());
}

BOOST_AUTO_TEST_CASE(UnknownRenewalIsAskedForAndSentWhole)
{
  Pair pair;
  pair.teller_.Hear(MakeFact(1), Millis(0));
  BOOST_REQUIRE(pair.teller_.TakeParcel(Millis(0)).has_value()); // lost
  pair.teller_.Hear(MakeFact(2), Millis(1000));
  BOOST_TEST(pair.Pass(Millis(1300)).empty());
  BOOST_REQUIRE(pair.unknown_.size() == 1U);
  pair.teller_.SendWhole(pair.unknown_, Millis(1300));
  const auto facts = pair.Pass(Millis(1301));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].sequence_ == 2U);
}

BOOST_AUTO_TEST_CASE(DepartureGoesOutWholeAndLateRenewalDoesNotUndoIt)
{
  Pair pair;
  pair.teller_.Hear(MakeFact(1), Millis(0));
  pair.Pass(Millis(0));
  UpstreamFact departure = MakeFact(3);
  departure.departed_ = true;
  pair.teller_.Hear(departure, Millis(100));
  pair.teller_.Hear(MakeFact(2), Millis(110)); // late
  const auto facts = pair.Pass(Millis(120));
  BOOST_REQUIRE(facts.size() == 1U);
  BOOST_TEST(facts[0].departed_);
  const Renewal late{ .id_ = FactExchange::IdOf(MakeFact(2)), .sequence_ = 2 };
  BOOST_TEST(
    pair.listener_.Open({ .renewals_ = { late } }, Millis(200), pair.unknown_)
      .empty());
}

BOOST_AUTO_TEST_CASE(RenewalOfAnEarlierGenerationMatchesNothingLater)
{
  FactExchange entry;
  std::vector<RenewalId> unknown;
  entry.Open({ .whole_ = { MakeFact(1, 2) } }, Millis(0), unknown);
  const Renewal late{ .id_ = FactExchange::IdOf(MakeFact(9, 1)),
                      .sequence_ = 9 };
  BOOST_TEST(entry.Open({ .renewals_ = { late } }, Millis(1), unknown).empty());
  BOOST_TEST(unknown.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ForgottenUpstreamIsNotSentAndDoesNotBlockOthers)
{
  FactExchange entry;
  entry.Hear(MakeFact(1), Millis(0));
  entry.Forget(FactExchange::kMemorySpan);
  BOOST_TEST(entry.Size() == 0U);
  const auto parcel = entry.TakeParcel(FactExchange::kMemorySpan);
  BOOST_TEST((!parcel || parcel->whole_.empty()));
}
