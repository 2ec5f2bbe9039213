#define BOOST_TEST_MODULE report_changes
#include "vanillahatch/core/jobs/report_changes.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

InstanceReport MakeReport(const std::string& aId,
                          int64_t aStartedUnixMs,
                          const std::string& aMachine = "m-1")
{
  InstanceReport report;
  report.record_.set_id(aId);
  report.record_.set_born_unix_ms(aStartedUnixMs);
  report.record_.set_machine(aMachine);
  report.record_.set_service("layout");
  report.record_.set_address("10.0.0.1");
  report.record_.set_port(80);
  return report;
}

struct ReportFixture
{
  v1::JobChanges Process(const InstanceReport& aReport)
  {
    v1::JobChanges changes = ChangesForReport(store_, aReport);
    store_.Apply(changes);
    return changes;
  }

  JobStore store_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Reports, ReportFixture)

BOOST_AUTO_TEST_CASE(RepeatedReportChangesNothing)
{
  const InstanceReport report = MakeReport("a", 1000);
  BOOST_TEST(!IsRecorded(store_, report));
  BOOST_TEST(Process(report).changes_size() == 1);
  BOOST_TEST(IsRecorded(store_, report));
  BOOST_TEST(Process(report).changes_size() == 0);
}

BOOST_AUTO_TEST_CASE(DrainingIsRecordedOnlyOnceItIsCommitted)
{
  InstanceReport report = MakeReport("a", 1000);
  Process(report);
  report.record_.set_draining(true);
  BOOST_TEST(!IsRecorded(store_, report));
  Process(report);
  BOOST_TEST(IsRecorded(store_, report));
}

BOOST_AUTO_TEST_CASE(LateReportFromBeforeDrainingChangesNothing)
{
  InstanceReport report = MakeReport("a", 1000);
  Process(report);
  report.record_.set_draining(true);
  Process(report);
  report.record_.set_draining(false);
  BOOST_TEST(Process(report).changes_size() == 0);
  BOOST_TEST(!IsRecorded(store_, report));
  BOOST_TEST(store_.FindInstance(ToKey(report.record_))->record_.draining());
}

BOOST_AUTO_TEST_CASE(NewIncarnationReplacesThePreviousOneDespiteItsLateReport)
{
  const InstanceReport previous = MakeReport("a", 1000);
  const InstanceReport next = MakeReport("a", 2000);
  Process(previous);
  BOOST_TEST(Process(next).changes_size() == 2);
  BOOST_TEST(store_.HasDeparted(ToKey(previous.record_)));
  BOOST_TEST(Process(previous).changes_size() == 0);
  BOOST_TEST(!IsRecorded(store_, previous));
  BOOST_TEST(IsRecorded(store_, next));
}

BOOST_AUTO_TEST_CASE(ReportOfAnInstanceDoesNotRemoveAnotherOfItsMachine)
{
  const InstanceReport previous = MakeReport("a", 1000);
  const InstanceReport next = MakeReport("b", 2000);
  Process(previous);
  BOOST_TEST(Process(next).changes_size() == 1);
  BOOST_TEST(store_.FindInstance(ToKey(previous.record_)) != nullptr);
  // The leader has to see the reports until one of the two is removed.
  BOOST_TEST(!IsRecorded(store_, next));
}

BOOST_AUTO_TEST_CASE(LateLeaveDoesNotRemoveALaterIncarnation)
{
  const InstanceReport next = MakeReport("a", 2000);
  Process(next);
  store_.Apply(ChangesForLeave(store_, { .id_ = "a", .startedUnixMs_ = 1000 }));
  BOOST_TEST(IsRecorded(store_, next));
  store_.Apply(ChangesForLeave(store_, { .id_ = "a", .startedUnixMs_ = 2000 }));
  BOOST_TEST(!IsRecorded(store_, next));
}

BOOST_AUTO_TEST_CASE(InstanceThatLeftIsNotAddedAgainAfterARestore)
{
  const InstanceReport report = MakeReport("a", 1000);
  Process(report);
  store_.Apply(ChangesForLeave(store_, { .id_ = "a" }));
  JobStore restarted;
  BOOST_REQUIRE(restarted.Restore(store_.Snapshot()));
  BOOST_TEST(ChangesForReport(restarted, report).changes_size() == 0);
  BOOST_TEST(!IsRecorded(restarted, report));
}

BOOST_AUTO_TEST_CASE(IncarnationTakenForEndedByMistakeReturns)
{
  const InstanceReport report = MakeReport("a", 1000);
  Process(report);
  Process(MakeReport("a", 2000)); // names a start that never was
  BOOST_TEST(Process(report).changes_size() == 0);
  BOOST_TEST(ContradictsFinalState(store_, report));
  store_.Apply(ChangesForReturn(store_, report));
  BOOST_TEST(store_.FindInstance(ToKey(report.record_)) != nullptr);
  BOOST_TEST(!ContradictsFinalState(store_, report));
  JobStore restarted;
  BOOST_REQUIRE(restarted.Restore(store_.Snapshot()));
  BOOST_TEST(!restarted.HasDeparted(ToKey(report.record_)));
}

// A draining report that is ignored but acknowledged would be followed by
// starts.
BOOST_AUTO_TEST_CASE(IncarnationThatReturnedCanDrainBesideAFalseLaterOne)
{
  InstanceReport report = MakeReport("a", 1000);
  Process(report);
  Process(MakeReport("a", 2000));
  store_.Apply(ChangesForReturn(store_, report));
  report.record_.set_draining(true);
  Process(report);
  BOOST_TEST(store_.FindInstance(ToKey(report.record_))->record_.draining());
}

BOOST_AUTO_TEST_CASE(DrainingTakenFromAFalseReportIsUndone)
{
  InstanceReport report = MakeReport("a", 1000);
  Process(report);
  InstanceReport draining = report;
  draining.record_.set_draining(true);
  Process(draining);
  BOOST_TEST(ContradictsFinalState(store_, report));
  BOOST_TEST(!ContradictsFinalState(store_, draining));
  store_.Apply(ChangesForReturn(store_, report));
  BOOST_TEST(IsRecorded(store_, report));
}

BOOST_AUTO_TEST_CASE(ReportForAServiceThatIsNotConfiguredIsInconsistent)
{
  const InstanceReport report = MakeReport("a", 1000);
  BOOST_TEST(IsConsistent(store_, report)); // no configuration yet
  Process(report);
  v1::JobChanges changes;
  v1::FleetDocument& config = *changes.add_changes()->mutable_put_config();
  config.set_version(1);
  config.add_services()->set_name("render");
  store_.Apply(changes);
  BOOST_TEST(IsConsistent(store_, report)); // its service was removed
  BOOST_TEST(!IsConsistent(store_, MakeReport("a", 2000)));
  InstanceReport moved = report;
  moved.record_.set_service("render");
  BOOST_TEST(IsConsistent(store_, moved));
  moved.record_.set_service("none");
  BOOST_TEST(!IsConsistent(store_, moved));
}

BOOST_AUTO_TEST_CASE(KnownIncarnationDoesNotTakeOverAnAddressOrAMachine)
{
  InstanceReport a = MakeReport("a", 2000, "m-1");
  InstanceReport b = MakeReport("b", 1000, "m-2");
  b.record_.set_port(81);
  Process(a);
  Process(b);
  a.record_.set_port(81);
  BOOST_TEST(!IsConsistent(store_, a));
  a.record_.set_port(82);
  BOOST_TEST(IsConsistent(store_, a));
  a.record_.set_machine("m-2");
  BOOST_TEST(!IsConsistent(store_, a));
  a.record_.set_machine("");
  BOOST_TEST(!IsConsistent(store_, a));
  a.record_.set_machine("m-3");
  BOOST_TEST(IsConsistent(store_, a));
  // The next incarnation may be anywhere.
  InstanceReport next = MakeReport("a", 3000, "m-2");
  next.record_.set_port(81);
  BOOST_TEST(IsConsistent(store_, next));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(InstancesChangedSinceACounterAreListed)
{
  JobStore store;
  store.Apply(ChangesForReport(store, MakeReport("a", 1000)));
  const uint64_t since = store.InstanceChangeCount();
  store.Apply(ChangesForLeave(store, { .id_ = "a", .startedUnixMs_ = 1000 }));
  store.Apply(ChangesForReport(store, MakeReport("b", 2000)));
  const auto changed = store.InstancesChangedSince(since);
  BOOST_REQUIRE(changed.has_value());
  BOOST_REQUIRE_EQUAL(changed->size(), 2U); // "a" was removed, "b" added
  BOOST_TEST(changed->back().id_ == "b");
  JobStore restored;
  BOOST_REQUIRE(restored.Restore(store.Snapshot()));
  BOOST_TEST(!restored.InstancesChangedSince(0).has_value());
}

BOOST_AUTO_TEST_CASE(StartTimeInTheFutureIsNotPlausible)
{
  const Millis now(1700000000000);
  const auto isPlausible = [&](Millis aStart) {
    return IsPlausibleStart(aStart.Count(), now);
  };
  BOOST_TEST(isPlausible(now - Seconds(86400)));
  BOOST_TEST(isPlausible(now + Seconds(60)));
  BOOST_TEST(!isPlausible(now + Seconds(86400)));
  BOOST_TEST(!isPlausible(Millis(int64_t(1) << 62)));
  BOOST_TEST(!isPlausible(Millis::Max()));
}

BOOST_AUTO_TEST_CASE(LateReportsDoNotContradictForLong)
{
  const InstanceKey key{ .id_ = "a", .startedUnixMs_ = 1000 };
  ContradictionTracker together;
  for (int64_t i = 0; i < 20; ++i) {
    BOOST_TEST(!together.Add(key, 10 + i, Millis(5 * i)));
  }
  ContradictionTracker withGaps;
  ContradictionTracker repeated;
  for (int64_t i = 0; i < 20; ++i) {
    BOOST_TEST(!withGaps.Add(key, 10 + i, Seconds(6 * i)));
    BOOST_TEST(!repeated.Add(key, 10, Seconds(i)));
  }
}

BOOST_AUTO_TEST_CASE(IncarnationThatGoesOnReportingContradicts)
{
  const InstanceKey key{ .id_ = "a", .startedUnixMs_ = 1000 };
  ContradictionTracker tracker;
  for (int64_t i = 0; i < 5; ++i) {
    BOOST_TEST(!tracker.Add(key, 10 + i, Seconds(2 * i)));
  }
  BOOST_TEST(tracker.Add(key, 15, Seconds(10)));
}
