#define BOOST_TEST_MODULE upstream_directory
#include "vanillahatch/core/upstream_directory.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace vanillahatch;

namespace {

constexpr Millis kLease = Seconds(2);

UpstreamFact MakeFact(uint64_t aGeneration, uint64_t aSequence)
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

} // namespace

BOOST_AUTO_TEST_CASE(UpstreamIsLiveUntilItsLeaseExpires)
{
  UpstreamDirectory directory;
  BOOST_TEST(directory.Apply(MakeFact(1, 1), Millis(0)));
  BOOST_TEST(directory.LiveCount(Millis(1999)) == 1U);
  BOOST_TEST(directory.LiveCount(Millis(2000)) == 0U);
}

BOOST_AUTO_TEST_CASE(RenewalOfSameGenerationDoesNotReviveDepartedUpstream)
{
  UpstreamDirectory directory;
  directory.Apply(MakeFact(1, 1), Millis(0));
  UpstreamFact departure = MakeFact(1, 3);
  departure.departed_ = true;
  BOOST_TEST(directory.Apply(departure, Millis(10)));
  BOOST_TEST(!directory.Apply(MakeFact(1, 2), Millis(20)));
  BOOST_TEST(!directory.Apply(MakeFact(1, 4), Millis(30)));
  BOOST_TEST(directory.LiveCount(Millis(40)) == 0U);
}

BOOST_AUTO_TEST_CASE(HigherGenerationRevivesDepartedUpstream)
{
  UpstreamDirectory directory;
  UpstreamFact departure = MakeFact(1, 3);
  departure.departed_ = true;
  directory.Apply(departure, Millis(10));
  BOOST_TEST(directory.Apply(MakeFact(2, 1), Millis(20)));
  BOOST_TEST(directory.LiveCount(Millis(30)) == 1U);
}

BOOST_AUTO_TEST_CASE(InstanceThatAnnouncesAnotherServiceCountsForThatOne)
{
  UpstreamDirectory directory;
  directory.Apply(MakeFact(1, 1), Millis(0));
  UpstreamFact other = MakeFact(2, 1);
  other.service_ = ServiceName("billing");
  BOOST_REQUIRE(directory.Apply(other, Millis(10)));
  BOOST_TEST(directory.HasService(ServiceName("billing")));
  BOOST_TEST(!directory.HasService(ServiceName("loops")));
  directory.Expire(Millis(10) + kLease + UpstreamDirectory::kTombstoneSpan);
  BOOST_TEST(!directory.HasService(ServiceName("billing")));
  BOOST_TEST(!directory.HasService(ServiceName("loops")));
}

BOOST_AUTO_TEST_CASE(OddlyHighGenerationHidesAnInstanceForABoundedTime)
{
  constexpr uint64_t kHighest = std::numeric_limits<int64_t>::max();
  UpstreamDirectory directory;
  directory.Apply(MakeFact(kHighest, kHighest), Millis(0));
  const Millis removed = kLease + UpstreamDirectory::kTombstoneSpan;
  uint64_t sequence = 1;
  for (Millis now; now < removed; now = now + Millis(500)) {
    directory.Expire(now);
    BOOST_REQUIRE(!directory.Apply(MakeFact(1, sequence++), now));
  }
  directory.Expire(removed);
  BOOST_TEST(directory.Apply(MakeFact(1, sequence), removed));
}
