#define BOOST_TEST_MODULE entry_core
#include "vanillahatch/core/entry_core.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

UpstreamFact MakeFact(const char* aInstance)
{
  return UpstreamFact{ .instance_ = InstanceName(aInstance),
                       .service_ = ServiceName("loops"),
                       .endpoint_ = { .address_ = "127.0.0.1", .port_ = 80 },
                       .slots_ = 8,
                       .connections_ = 64,
                       .dataCentre_ = DataCentreName("north"),
                       .generation_ = 1,
                       .sequence_ = 1,
                       .lease_ = Seconds(100) };
}

JobArrived MakeJob(uint64_t aNumber)
{
  return JobArrived{ .request_ = { .number_ = JobNumber(aNumber),
                                   .service_ = ServiceName("loops"),
                                   .member_ = MemberName("m1"),
                                   .deadline_ = Seconds(50) } };
}

GrantsArrived MakeGrant(uint64_t aEpoch, uint32_t aSlots, Millis aExpiresAt)
{
  return GrantsArrived{ .grants_ = { { .instance_ = InstanceName("loops-1"),
                                       .pool_ = PoolName("loops"),
                                       .epoch_ = aEpoch,
                                       .slots_ = aSlots,
                                       .connections_ = 64,
                                       .expiresAt_ = aExpiresAt } } };
}

template<class Action>
size_t CountOf(const std::vector<EntryAction>& aActions)
{
  size_t count = 0;
  for (const EntryAction& action : aActions) {
    count += std::holds_alternative<Action>(action) ? 1 : 0;
  }
  return count;
}

class EntryHarness
{
public:
  explicit EntryHarness(EntryCoreOptions aOptions)
    : core_(std::move(aOptions), MakeLeastInFlight())
  {
    core_.Handle(FactArrived{ .fact_ = MakeFact("loops-1") }, Millis(0));
  }

  EntryCore core_;
};

EntryCoreOptions Granted()
{
  return { .dataCentre_ = DataCentreName("north"), .requireGrants_ = true };
}

} // namespace

BOOST_AUTO_TEST_CASE(NothingIsDispatchedWithoutGrant)
{
  EntryHarness harness(Granted());
  const auto actions = harness.core_.Handle(MakeJob(1), Millis(1));
  BOOST_TEST(CountOf<Dispatch>(actions) == 0U);
}

BOOST_AUTO_TEST_CASE(ArrivedGrantReleasesWaitingJobsUpToItsSlots)
{
  EntryHarness harness(Granted());
  for (uint64_t i = 1; i <= 3; ++i) {
    harness.core_.Handle(MakeJob(i), Millis(1));
  }
  const auto actions =
    harness.core_.Handle(MakeGrant(1, 2, Seconds(10)), Millis(2));
  BOOST_TEST(CountOf<Dispatch>(actions) == 2U);
}

BOOST_AUTO_TEST_CASE(ExpiredGrantRefusesDispatch)
{
  EntryHarness harness(Granted());
  harness.core_.Handle(MakeGrant(1, 2, Millis(100)), Millis(2));
  const auto before = harness.core_.Handle(MakeJob(1), Millis(99));
  BOOST_TEST(CountOf<Dispatch>(before) == 1U);
  const auto after = harness.core_.Handle(MakeJob(2), Millis(100));
  BOOST_TEST(CountOf<Dispatch>(after) == 0U);
}

BOOST_AUTO_TEST_CASE(GrantOfLowerEpochIsIgnored)
{
  EntryHarness harness(Granted());
  harness.core_.Handle(MakeGrant(2, 2, Millis(100)), Millis(2));
  harness.core_.Handle(MakeGrant(1, 2, Seconds(10)), Millis(3));
  const auto actions = harness.core_.Handle(MakeJob(1), Millis(100));
  BOOST_TEST(CountOf<Dispatch>(actions) == 0U);
}

BOOST_AUTO_TEST_CASE(DrainedInstanceGetsNoWorkUntilTheDrainEnds)
{
  EntryHarness harness({ .dataCentre_ = DataCentreName("north") });
  const InstanceName instance("loops-1");
  harness.core_.Handle(DrainChanged{ instance, true }, Millis(1));
  const auto during = harness.core_.Handle(MakeJob(1), Millis(2));
  BOOST_TEST(CountOf<Dispatch>(during) == 0U);
  const auto after =
    harness.core_.Handle(DrainChanged{ instance, false }, Millis(3));
  BOOST_TEST(CountOf<Dispatch>(after) == 1U);
}
