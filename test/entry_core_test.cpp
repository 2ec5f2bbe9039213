#define BOOST_TEST_MODULE entry_core
#include "vanillahatch/core/entry_core.h"

#include <boost/test/unit_test.hpp>
#include <optional>

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
    : core_(std::move(aOptions), MakeLeastInFlight(), [](SlotTable& aTable) {
      return MakeUncoordinatedSharing(aTable, 1);
    })
  {
    core_.Handle(FactArrived{ .fact_ = MakeFact("loops-1") }, Millis(0));
  }

  EntryCore core_;
};

EntryCoreOptions GrantsRequired()
{
  return { .dataCentre_ = DataCentreName("north"), .requireGrants_ = true };
}

} // namespace

BOOST_AUTO_TEST_CASE(JobIsNotDispatchedWithoutGrant)
{
  EntryHarness harness(GrantsRequired());
  const auto actions = harness.core_.Handle(MakeJob(1), Millis(1));
  BOOST_TEST(CountOf<Dispatch>(actions) == 0U);
}

BOOST_AUTO_TEST_CASE(NewGrantDispatchesWaitingJobsUpToItsSlots)
{
  EntryHarness harness(GrantsRequired());
  for (uint64_t i = 1; i <= 3; ++i) {
    harness.core_.Handle(MakeJob(i), Millis(1));
  }
  const auto actions =
    harness.core_.Handle(MakeGrant(1, 2, Seconds(10)), Millis(2));
  BOOST_TEST(CountOf<Dispatch>(actions) == 2U);
}

BOOST_AUTO_TEST_CASE(JobIsNotDispatchedOnExpiredGrant)
{
  EntryHarness harness(GrantsRequired());
  harness.core_.Handle(MakeGrant(1, 2, Millis(100)), Millis(2));
  const auto before = harness.core_.Handle(MakeJob(1), Millis(99));
  BOOST_TEST(CountOf<Dispatch>(before) == 1U);
  const auto after = harness.core_.Handle(MakeJob(2), Millis(100));
  BOOST_TEST(CountOf<Dispatch>(after) == 0U);
}

BOOST_AUTO_TEST_CASE(DispatchThatIsDelayedMustLeaveBeforeItsGrantExpires)
{
  EntryHarness harness(GrantsRequired());
  harness.core_.Handle(MakeGrant(1, 2, Millis(100)), Millis(2));
  const auto actions = harness.core_.Handle(MakeJob(1), Millis(3));
  BOOST_REQUIRE(CountOf<Dispatch>(actions) == 1U);
  for (const EntryAction& action : actions) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      BOOST_TEST(dispatch->sendBy_.Count() == 99);
    }
  }
}

BOOST_AUTO_TEST_CASE(GrantOfLowerEpochIsIgnored)
{
  EntryHarness harness(GrantsRequired());
  harness.core_.Handle(MakeGrant(2, 2, Millis(100)), Millis(2));
  harness.core_.Handle(MakeGrant(1, 2, Seconds(10)), Millis(3));
  const auto actions = harness.core_.Handle(MakeJob(1), Millis(100));
  BOOST_TEST(CountOf<Dispatch>(actions) == 0U);
}

BOOST_AUTO_TEST_CASE(DrainingInstanceGetsNoJobUntilTheDrainEnds)
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

namespace {

EntryCoreOptions GrantsNotRequired()
{
  return { .dataCentre_ = DataCentreName("north") };
}

JobArrived MakeAtMostOnceJob(uint64_t aNumber)
{
  JobArrived job = MakeJob(aNumber);
  job.request_.repeatability_ = Repeatability::kAtMostOnce;
  job.request_.key_ = IdempotencyKey("k");
  return job;
}

AttemptEnded MakeAttemptEnded(uint64_t aJob,
                              uint64_t aAttempt,
                              AttemptResult aResult)
{
  return { .job_ = JobNumber(aJob),
           .attempt_ = AttemptNumber(aAttempt),
           .result_ = aResult,
           .httpStatus_ = 200 };
}

// The first refusal among the actions, if any.
std::optional<Refusal> RefusalIn(const std::vector<EntryAction>& aActions)
{
  for (const EntryAction& action : aActions) {
    if (const auto* refuse = std::get_if<Refuse>(&action)) {
      return refuse->refusal_;
    }
  }
  return std::nullopt;
}

// Two upstreams, and 40 answered jobs that have earned retry tokens. These jobs
// took 10 ms each, so that a stall timeout applies from then on.
class RetryHarness : public EntryHarness
{
public:
  RetryHarness()
    : EntryHarness(GrantsNotRequired())
  {
    core_.Handle(FactArrived{ .fact_ = MakeFact("loops-2") }, Millis(0));
    for (uint64_t i = 1000; i < 1040; ++i) {
      core_.Handle(MakeJob(i), Millis(0));
      const uint64_t attempt = i - 999;
      core_.Handle(MakeAttemptEnded(i, attempt, AttemptResult::kAnswered),
                   Millis(10));
    }
  }

  static constexpr uint64_t kNextAttempt = 41; // of the next dispatch
};

} // namespace

BOOST_AUTO_TEST_CASE(CancelledWaitingJobIsNotRunAndReportedAsNotRun)
{
  EntryHarness harness(GrantsRequired());
  harness.core_.Handle(MakeJob(1), Millis(1));
  const auto cancelled =
    harness.core_.Handle(JobCancelled{ JobNumber(1) }, Millis(2));
  BOOST_TEST(
    (RefusalIn(cancelled)->executionStatus_ == ExecutionStatus::kNotRun));
  const auto granted =
    harness.core_.Handle(MakeGrant(1, 8, Seconds(10)), Millis(3));
  BOOST_TEST(CountOf<Dispatch>(granted) == 0U);
  const auto again =
    harness.core_.Handle(JobCancelled{ JobNumber(1) }, Millis(4));
  BOOST_TEST(CountOf<Refuse>(again) == 0U);
}

BOOST_AUTO_TEST_CASE(CancellationAbandonsRunningAttempt)
{
  EntryHarness harness(GrantsNotRequired());
  harness.core_.Handle(MakeJob(1), Millis(1));
  const auto actions =
    harness.core_.Handle(JobCancelled{ JobNumber(1) }, Millis(2));
  BOOST_TEST(CountOf<AbandonAttempt>(actions) == 1U);
  BOOST_TEST(
    (RefusalIn(actions)->executionStatus_ == ExecutionStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(AnswerOfAbandonedAttemptIsDiscarded)
{
  EntryHarness harness(GrantsNotRequired());
  harness.core_.Handle(MakeJob(1), Millis(1));
  harness.core_.Handle(JobCancelled{ JobNumber(1) }, Millis(2));
  const auto actions = harness.core_.Handle(
    MakeAttemptEnded(1, 1, AttemptResult::kAnswered), Millis(3));
  BOOST_TEST(CountOf<Answer>(actions) == 0U);
}

BOOST_AUTO_TEST_CASE(AbandonedAttemptOccupiesItsSlotForTheHoldTime)
{
  EntryHarness harness(GrantsNotRequired());
  for (uint64_t i = 1; i <= 8; ++i) {
    harness.core_.Handle(MakeJob(i), Millis(1));
  }
  harness.core_.Handle(JobCancelled{ JobNumber(1) }, Millis(2));
  harness.core_.Handle(MakeAttemptEnded(1, 1, AttemptResult::kUnknown),
                       Millis(3));
  const auto before = harness.core_.Handle(MakeJob(9), Millis(4));
  BOOST_TEST(CountOf<Dispatch>(before) == 0U);
  harness.core_.Handle(TimerTick{}, Millis(1002));
  const auto after = harness.core_.Handle(TimerTick{}, Millis(1003));
  BOOST_TEST(CountOf<Dispatch>(after) == 1U);
}

BOOST_AUTO_TEST_CASE(RepeatableJobIsRetriedOnAnotherUpstream)
{
  RetryHarness harness;
  const auto first = harness.core_.Handle(MakeJob(1), Millis(20));
  const InstanceName tried = std::get<Dispatch>(first.front()).instance_;
  const auto failed = harness.core_.Handle(
    MakeAttemptEnded(1, RetryHarness::kNextAttempt, AttemptResult::kUnknown),
    Millis(30));
  BOOST_TEST(CountOf<Refuse>(failed) == 0U);
  const auto retry = harness.core_.Handle(TimerTick{}, Millis(60));
  BOOST_REQUIRE(CountOf<Dispatch>(retry) == 1U);
  for (const EntryAction& action : retry) {
    if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
      BOOST_TEST(dispatch->instance_ != tried);
    }
  }
}

BOOST_AUTO_TEST_CASE(AtMostOnceJobThatMayHaveRunIsNotRetried)
{
  RetryHarness harness;
  harness.core_.Handle(MakeAtMostOnceJob(1), Millis(20));
  harness.core_.Handle(ClaimEnded{ JobNumber(1), KeyClaimResult::kGranted },
                       Millis(21));
  const auto failed = harness.core_.Handle(
    MakeAttemptEnded(1, RetryHarness::kNextAttempt, AttemptResult::kUnknown),
    Millis(30));
  BOOST_TEST(
    (RefusalIn(failed)->executionStatus_ == ExecutionStatus::kUnknown));
  BOOST_TEST(CountOf<Dispatch>(failed) == 0U);
}

BOOST_AUTO_TEST_CASE(UnsentAtMostOnceJobIsRetriedThenReportedAsNotRun)
{
  RetryHarness harness;
  harness.core_.Handle(MakeAtMostOnceJob(1), Millis(20));
  harness.core_.Handle(ClaimEnded{ JobNumber(1), KeyClaimResult::kGranted },
                       Millis(21));
  const uint64_t attempt = RetryHarness::kNextAttempt;
  const auto second = harness.core_.Handle(
    MakeAttemptEnded(1, attempt, AttemptResult::kNotSent), Millis(30));
  BOOST_TEST(CountOf<Dispatch>(second) == 1U);
  const auto refused = harness.core_.Handle(
    MakeAttemptEnded(1, attempt + 1, AttemptResult::kNotSent), Millis(40));
  BOOST_TEST(
    (RefusalIn(refused)->executionStatus_ == ExecutionStatus::kNotRun));
}

BOOST_AUTO_TEST_CASE(RefusalAfterASentAttemptReportsUnknownExecution)
{
  RetryHarness harness;
  harness.core_.Handle(MakeJob(1), Millis(20));
  const uint64_t attempt = RetryHarness::kNextAttempt;
  harness.core_.Handle(MakeAttemptEnded(1, attempt, AttemptResult::kUnknown),
                       Millis(30));
  harness.core_.Handle(TimerTick{}, Millis(60));
  const auto refused = harness.core_.Handle(
    MakeAttemptEnded(1, attempt + 1, AttemptResult::kNotSent), Millis(70));
  BOOST_TEST(
    (RefusalIn(refused)->executionStatus_ == ExecutionStatus::kUnknown));
}

BOOST_AUTO_TEST_CASE(StalledAttemptIsAbandonedAndRetried)
{
  RetryHarness harness;
  harness.core_.Handle(MakeJob(1), Millis(20));
  const auto stalled = harness.core_.Handle(TimerTick{}, Millis(320));
  BOOST_TEST(CountOf<AbandonAttempt>(stalled) == 1U);
  const auto retry = harness.core_.Handle(TimerTick{}, Millis(340));
  BOOST_TEST(CountOf<Dispatch>(retry) == 1U);
}

BOOST_AUTO_TEST_CASE(CancelledJobIsRefusedExactlyOnce)
{
  EntryHarness harness(GrantsRequired());
  for (uint64_t i = 1; i <= 1000; ++i) {
    harness.core_.Handle(MakeJob(i), Millis(1));
  }
  size_t refused = 0;
  for (int round = 0; round < 2; ++round) {
    for (uint64_t i = 1; i <= 1000; ++i) {
      refused += CountOf<Refuse>(
        harness.core_.Handle(JobCancelled{ JobNumber(i) }, Millis(2)));
    }
  }
  BOOST_TEST(refused == 1000U);
  BOOST_TEST(harness.core_.JobCount() == 0U);
}
