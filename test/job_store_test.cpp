#define BOOST_TEST_MODULE job_store
#include "vanillahatch/core/jobs/job_store.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

v1::JobChange Accept(const std::string& aId, uint32_t aTasks)
{
  v1::JobChange change;
  v1::AcceptJob& job = *change.mutable_accept_job();
  job.set_id(aId);
  job.set_queue("drafts");
  v1::StepSpec& step = *job.mutable_spec()->add_steps();
  step.set_task_count(aTasks);
  return change;
}

v1::JobChange PutInstance(const std::string& aId, int64_t aStartedUnixMs)
{
  v1::JobChange change;
  change.mutable_put_instance()->set_id(aId);
  change.mutable_put_instance()->set_born_unix_ms(aStartedUnixMs);
  return change;
}

v1::JobChange Start(const std::string& aJob,
                    uint32_t aIndex,
                    uint32_t aRun,
                    const std::string& aInstance)
{
  v1::JobChange change;
  v1::RunStart& start = *change.mutable_run_start();
  start.mutable_task()->set_job(aJob);
  start.mutable_task()->set_index(aIndex);
  start.set_run(aRun);
  start.mutable_instance()->set_id(aInstance);
  start.mutable_instance()->set_born_unix_ms(1);
  return change;
}

v1::JobChange End(const std::string& aJob,
                  uint32_t aIndex,
                  uint32_t aRun,
                  const std::string& aInstance,
                  v1::RunOutcome aOutcome)
{
  v1::JobChange change;
  v1::RunEnd& end = *change.mutable_run_end();
  end.mutable_task()->set_job(aJob);
  end.mutable_task()->set_index(aIndex);
  end.set_run(aRun);
  end.mutable_instance()->set_id(aInstance);
  end.mutable_instance()->set_born_unix_ms(1);
  end.set_outcome(aOutcome);
  return change;
}

// A configuration with the queue "drafts", or without any if the maximum is 0.
v1::JobChange Configure(uint64_t aVersion, uint32_t aMaxAttempts)
{
  v1::JobChange change;
  v1::FleetDocument& config = *change.mutable_put_config();
  config.set_version(aVersion);
  if (aMaxAttempts > 0) {
    v1::QueueSpec& queue = *config.add_queues();
    queue.set_name("drafts");
    queue.set_service("layout");
    queue.set_max_attempts(aMaxAttempts);
  }
  return change;
}

uint64_t CountWaiting(const JobStore& aStore)
{
  return aStore.CountWaitingJobs(aStore.AddressOfQueue("drafts"));
}

// Starts the first task of the job and lets it fail.
std::vector<v1::JobChange> FailedRun(const std::string& aJob, uint32_t aRun)
{
  return { Start(aJob, 0, aRun, "a"), End(aJob, 0, aRun, "a", v1::RUN_FAILED) };
}

void Apply(JobStore& aStore, std::vector<v1::JobChange> aChanges)
{
  v1::JobChanges changes;
  for (v1::JobChange& change : aChanges) {
    *changes.add_changes() = std::move(change);
  }
  aStore.Apply(changes);
}

} // namespace

BOOST_AUTO_TEST_CASE(DuplicateSubmissionIsAcceptedOnce)
{
  JobStore store;
  Apply(store, { Accept("j", 1), Accept("j", 1) });
  BOOST_TEST(store.JobCount() == 1U);
  BOOST_TEST(CountWaiting(store) == 1U);
}

BOOST_AUTO_TEST_CASE(JobIsCompletedWhenItsLastTaskIsDone)
{
  JobStore store;
  Apply(store,
        { Accept("j", 2),
          PutInstance("a", 1),
          Start("j", 0, 1, "a"),
          Start("j", 1, 1, "a"),
          End("j", 0, 1, "a", v1::RUN_DONE) });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
  Apply(store, { End("j", 1, 1, "a", v1::RUN_DONE) });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_COMPLETED);
  BOOST_TEST(store.OpenJobs().empty());
}

BOOST_AUTO_TEST_CASE(OnlyJobsThatMayStillRunCountAsInterrupted)
{
  JobStore store;
  Apply(store, { Accept("j1", 1), Accept("j2", 1), PutInstance("i", 1) });
  Apply(store, { Start("j1", 0, 1, "i"), Start("j2", 0, 1, "i") });
  Apply(store, { End("j1", 0, 1, "i", v1::RUN_DONE) });
  BOOST_TEST(store.InterruptedJobCount() == 0U);
  v1::JobChange cancel;
  cancel.mutable_cancel_job()->set_id("j2");
  Apply(store, { cancel });
  BOOST_TEST(store.InterruptedJobCount() == 1U);
}

BOOST_AUTO_TEST_CASE(AssignedTaskIsNotStartedAgain)
{
  JobStore store;
  Apply(store,
        { Accept("j", 1),
          PutInstance("a", 1),
          PutInstance("b", 1),
          Start("j", 0, 1, "a"),
          Start("j", 0, 2, "b") });
  const auto ref =
    store.FindTask(End("j", 0, 1, "a", v1::RUN_DONE).run_end().task());
  BOOST_TEST(JobStore::TaskAt(*ref).run_ == 1U);
  BOOST_TEST(JobStore::TaskAt(*ref).instance_->key_.id_ == "a");
}

BOOST_AUTO_TEST_CASE(EndOfAnEarlierRunIsIgnored)
{
  JobStore store;
  Apply(store,
        { Accept("j", 1),
          PutInstance("a", 1),
          Start("j", 0, 1, "a"),
          End("j", 0, 1, "a", v1::RUN_STOPPED),
          Start("j", 0, 2, "a"),
          End("j", 0, 1, "a", v1::RUN_DONE) });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
}

BOOST_AUTO_TEST_CASE(JobFailsAfterTheMaximumNumberOfAttempts)
{
  JobStore store;
  Apply(store, { Accept("j", 1), PutInstance("a", 1) });
  for (uint32_t run = 1; run <= 3; ++run) {
    BOOST_TEST(store.PhaseOf(*store.FindJob("j")) != v1::JOB_FAILED);
    Apply(store,
          { Start("j", 0, run, "a"), End("j", 0, run, "a", v1::RUN_FAILED) });
  }
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_FAILED);
}

BOOST_AUTO_TEST_CASE(RemovedInstanceReturnsItsTasksToPending)
{
  JobStore store;
  Apply(store, { Accept("j", 1), PutInstance("a", 1), Start("j", 0, 1, "a") });
  v1::JobChange removal;
  removal.mutable_instance_gone()->mutable_key()->set_id("a");
  removal.mutable_instance_gone()->mutable_key()->set_born_unix_ms(1);
  Apply(store, { removal });
  const Occurrence* occurrence =
    JobStore::FindOccurrence(*store.FindJob("j"), 0);
  BOOST_TEST(occurrence->steps_[0].pending_ == 1U);
  BOOST_TEST(store.Instances().empty());
}

BOOST_AUTO_TEST_CASE(TasksOfAReplacedIncarnationStayAssignedToTheNextOne)
{
  JobStore store;
  Apply(store, { Accept("j", 1), PutInstance("a", 1), Start("j", 0, 1, "a") });
  v1::JobChange removal;
  removal.mutable_instance_gone()->mutable_key()->set_id("a");
  removal.mutable_instance_gone()->mutable_key()->set_born_unix_ms(1);
  removal.mutable_instance_gone()->set_final(true);
  Apply(store, { PutInstance("a", 2), PutInstance("b", 2), removal });
  Instance* next = store.FindInstance({ .id_ = "a", .startedUnixMs_ = 2 });
  BOOST_REQUIRE(next != nullptr);
  BOOST_TEST(next->assigned_.size() == 1U);
  const TaskRef task = *next->assigned_.begin();
  BOOST_TEST(JobStore::TaskAt(task).run_ == 1U);
  BOOST_TEST(JobStore::TaskAt(task).instance_ == next);
  BOOST_TEST(store.HasEarlierIncarnation(next->key_));
  BOOST_TEST(!store.HasEarlierIncarnation({ .id_ = "b", .startedUnixMs_ = 2 }));
}

BOOST_AUTO_TEST_CASE(DoneEndOfAReplacedIncarnationCounts)
{
  JobStore store;
  Apply(store, { Accept("j", 1), PutInstance("a", 1), Start("j", 0, 1, "a") });
  v1::JobChange removal;
  removal.mutable_instance_gone()->mutable_key()->set_id("a");
  removal.mutable_instance_gone()->mutable_key()->set_born_unix_ms(1);
  removal.mutable_instance_gone()->set_final(true);
  Apply(store,
        { PutInstance("a", 2), removal, End("j", 0, 1, "a", v1::RUN_DONE) });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_COMPLETED);
  BOOST_TEST(store.Instances().begin()->second->assigned_.empty());
}

BOOST_AUTO_TEST_CASE(LateReportOfAnEndedIncarnationIsIgnored)
{
  JobStore store;
  v1::JobChange removal;
  removal.mutable_instance_gone()->mutable_key()->set_id("a");
  removal.mutable_instance_gone()->mutable_key()->set_born_unix_ms(1);
  removal.mutable_instance_gone()->set_final(true);
  Apply(store, { PutInstance("a", 1), removal, PutInstance("a", 1) });
  BOOST_TEST(store.Instances().empty());
  Apply(store, { PutInstance("a", 2) });
  BOOST_TEST(store.Instances().size() == 1U);
}

BOOST_AUTO_TEST_CASE(ConfigurationWithoutAHigherVersionIsIgnored)
{
  JobStore store;
  v1::JobChange newer;
  newer.mutable_put_config()->set_version(7);
  newer.mutable_put_config()->set_document("seven");
  v1::JobChange older;
  older.mutable_put_config()->set_version(6);
  older.mutable_put_config()->set_document("six");
  v1::JobChange same = newer;
  same.mutable_put_config()->set_document("other");
  Apply(store, { newer, older, same });
  BOOST_TEST(store.Config().document() == "seven");
}

BOOST_AUTO_TEST_CASE(QueueWithTheLongestPrefixIsFound)
{
  JobStore store;
  v1::JobChange change;
  v1::FleetDocument& config = *change.mutable_put_config();
  config.set_version(1);
  const auto add = [&](const std::string& aName, const std::string& aPrefix) {
    v1::QueueSpec& queue = *config.add_queues();
    queue.set_name(aName);
    queue.set_host("h");
    queue.set_path_prefix(aPrefix);
  };
  add("short", "/a/");
  add("long", "/a/b/");
  Apply(store, { change });
  BOOST_TEST(store.FindQueueFor("h", "/a/b/1")->name() == "long");
  BOOST_TEST(store.FindQueueFor("h", "/a/1")->name() == "short");
  BOOST_TEST(store.FindQueueFor("h", "/b") == nullptr);
  BOOST_TEST(store.FindQueueFor("other", "/a/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(SnapshotRestoresTheWholeState)
{
  JobStore store;
  Apply(store,
        { Accept("done", 1),
          Accept("open", 3),
          Accept("waits", 1),
          PutInstance("a", 1),
          Start("done", 0, 1, "a"),
          End("done", 0, 1, "a", v1::RUN_DONE),
          Start("open", 0, 1, "a"),
          Start("open", 1, 1, "a"),
          End("open", 1, 1, "a", v1::RUN_FAILED) });
  JobStore restored;
  BOOST_REQUIRE(restored.Restore(store.Snapshot()));
  BOOST_TEST(restored.Snapshot() == store.Snapshot());
  BOOST_TEST(restored.OpenJobs().size() == 2U);
  BOOST_TEST(CountWaiting(restored) == 1U);
  BOOST_TEST(restored.JobBytes() > 0U);
  BOOST_TEST(restored.JobBytes() == store.JobBytes());
  BOOST_TEST(restored.PhaseOf(*restored.FindJob("done")) == v1::JOB_COMPLETED);
  BOOST_TEST(restored.Instances().begin()->second->assigned_.size() == 1U);
}

// Guards against jobs that are shown as running, and are not counted as
// waiting, although nothing of them has begun.
BOOST_AUTO_TEST_CASE(JobWhoseStartWasRefusedStillWaits)
{
  JobStore store;
  Apply(store, { Accept("j", 1), PutInstance("a", 1), Start("j", 0, 1, "a") });
  BOOST_TEST(CountWaiting(store) == 1U);
  Apply(store, { End("j", 0, 1, "a", v1::RUN_STOPPED), Start("j", 0, 2, "a") });
  BOOST_TEST(CountWaiting(store) == 1U);
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_QUEUED);

  JobStore restored;
  BOOST_REQUIRE(restored.Restore(store.Snapshot()));
  BOOST_TEST(CountWaiting(restored) == 1U);
  BOOST_TEST(restored.PhaseOf(*restored.FindJob("j")) == v1::JOB_QUEUED);

  v1::JobChange started;
  started.mutable_job_started()->set_id("j");
  Apply(restored, { started, started });
  BOOST_TEST(CountWaiting(restored) == 0U);
  BOOST_TEST(restored.PhaseOf(*restored.FindJob("j")) == v1::JOB_RUNNING);
  BOOST_REQUIRE(store.Restore(restored.Snapshot()));
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
}

// An end that the instance lists shows that the run has begun.
BOOST_AUTO_TEST_CASE(JobWithAListedEndNoLongerWaits)
{
  for (const v1::RunOutcome outcome :
       { v1::RUN_DONE, v1::RUN_FAILED, v1::RUN_STOPPED }) {
    JobStore store;
    v1::JobChange end = End("j", 0, 1, "a", outcome);
    end.mutable_run_end()->set_end_number(1);
    Apply(store,
          { Accept("j", 2), PutInstance("a", 1), Start("j", 0, 1, "a"), end });
    BOOST_TEST(CountWaiting(store) == 0U);
    BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
  }
}

// Guards against a count that goes below the number of waiting jobs.
BOOST_AUTO_TEST_CASE(LateEndOfACancelledJobLeavesTheCountOfWaitingJobs)
{
  JobStore store;
  v1::JobChange cancel;
  cancel.mutable_cancel_job()->set_id("j");
  Apply(store,
        { Accept("j", 1),
          Accept("other", 1),
          PutInstance("a", 1),
          Start("j", 0, 1, "a"),
          cancel,
          End("j", 0, 1, "a", v1::RUN_DONE) });
  BOOST_TEST(CountWaiting(store) == 1U);
}

// Guards against a job that runs although its cancelling was acknowledged: the
// cancelling overtook the submission.
BOOST_AUTO_TEST_CASE(JobCancelledBeforeItsSubmissionArrivesNeverRuns)
{
  v1::JobChange cancel;
  cancel.mutable_cancel_job()->set_id("j");
  cancel.mutable_cancel_job()->set_queue("drafts");
  JobStore store;
  Apply(store, { cancel, cancel, PutInstance("a", 1) });
  BOOST_TEST(store.FindJob("j") == nullptr);
  JobStore restored;
  BOOST_REQUIRE(restored.Restore(store.Snapshot()));
  BOOST_TEST(restored.Snapshot() == store.Snapshot());

  Apply(restored, { Accept("j", 1), Start("j", 0, 1, "a") });
  BOOST_TEST(restored.PhaseOf(*restored.FindJob("j")) == v1::JOB_CANCELLED);
  BOOST_TEST(restored.OpenJobs().empty());
  BOOST_TEST(CountWaiting(restored) == 0U);
  BOOST_TEST(restored.Instances().begin()->second->assigned_.empty());
  BOOST_TEST(restored.FinishedJobs().size() == 1U);

  JobStore again;
  BOOST_REQUIRE(again.Restore(restored.Snapshot()));
  BOOST_TEST(again.PhaseOf(*again.FindJob("j")) == v1::JOB_CANCELLED);
  BOOST_TEST(CountWaiting(again) == 0U);
}

// Another queue may have a job of the same id.
BOOST_AUTO_TEST_CASE(CancellingAnIdOfAnotherQueueCancelsNoJob)
{
  v1::JobChange cancel;
  cancel.mutable_cancel_job()->set_id("j");
  cancel.mutable_cancel_job()->set_queue("other");
  JobStore store;
  Apply(store, { cancel, Accept("j", 1), cancel });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_QUEUED);
}

// Cancelling unknown ids must not use up the memory of the replicas.
BOOST_AUTO_TEST_CASE(NumberOfIdsCancelledEarlyIsLimited)
{
  constexpr int kCancellings = 10000;
  JobStore store;
  for (int i = 0; i < kCancellings; ++i) {
    v1::JobChange cancel;
    cancel.mutable_cancel_job()->set_id(std::to_string(i));
    cancel.mutable_cancel_job()->set_queue("drafts");
    Apply(store, { cancel });
  }
  v1::JobStoreSnapshot snapshot;
  BOOST_REQUIRE(snapshot.ParseFromString(store.Snapshot()));
  BOOST_TEST(snapshot.cancelled_early_size() < kCancellings);
  Apply(store, { Accept(std::to_string(kCancellings - 1), 1) });
  BOOST_TEST(store.OpenJobs().empty());
}

// Guards against a job that fails too early, or is tried too often, because its
// queue is out of the configuration for some time.
BOOST_AUTO_TEST_CASE(AttemptsOfARemovedQueueAreThoseItLastHad)
{
  for (const uint32_t maxAttempts : { 1U, 2U, 4U }) {
    JobStore store;
    Apply(store,
          { Configure(1, 9),
            Accept("j", 1),
            PutInstance("a", 1),
            Configure(2, maxAttempts),
            Configure(3, 0),
            Configure(4, 0) });
    for (uint32_t run = 1; run < maxAttempts; ++run) {
      Apply(store, FailedRun("j", run));
      BOOST_REQUIRE(store.Restore(store.Snapshot()));
      BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
    }
    Apply(store, FailedRun("j", maxAttempts));
    BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_FAILED);
  }
}

BOOST_AUTO_TEST_CASE(AttemptsOfAQueueThatReturnsAreItsNewOnes)
{
  JobStore store;
  Apply(store,
        { Configure(1, 2),
          Accept("j", 1),
          PutInstance("a", 1),
          Configure(2, 0),
          Configure(3, 4) });
  for (uint32_t run = 1; run <= 3; ++run) {
    Apply(store, FailedRun("j", run));
  }
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
}

// The submission was checked against the configuration before.
BOOST_AUTO_TEST_CASE(JobAcceptedRightAfterItsQueueWasRemovedKeepsItsAttempts)
{
  JobStore store;
  Apply(
    store,
    { Configure(1, 4), Configure(2, 0), Accept("j", 1), PutInstance("a", 1) });
  for (uint32_t run = 1; run <= 3; ++run) {
    Apply(store, FailedRun("j", run));
  }
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_RUNNING);
}

BOOST_AUTO_TEST_CASE(RemovedQueuesWithoutJobsAreForgotten)
{
  JobStore store;
  for (uint64_t version = 1; version <= 100; ++version) {
    v1::JobChange change = Configure(version, 2);
    v1::QueueSpec& queue = *change.mutable_put_config()->mutable_queues(0);
    queue.set_name(std::to_string(version));
    queue.set_path_prefix("/" + std::to_string(version) + "/");
    Apply(store, { change });
  }
  v1::JobStoreSnapshot snapshot;
  BOOST_REQUIRE(snapshot.ParseFromString(store.Snapshot()));
  BOOST_TEST(snapshot.removed_queues_size() == 1);
}

namespace {

struct Route
{
  std::string name_;
  std::string pathPrefix_;
  uint32_t maxAttempts_ = 3;
  std::string service_ = "layout";
};

v1::JobChange ConfigureRoutes(uint64_t aVersion,
                              const std::vector<Route>& aRoutes)
{
  v1::JobChange change;
  v1::FleetDocument& config = *change.mutable_put_config();
  config.set_version(aVersion);
  for (const Route& route : aRoutes) {
    v1::QueueSpec& queue = *config.add_queues();
    queue.set_name(route.name_);
    queue.set_host("h");
    queue.set_path_prefix(route.pathPrefix_);
    queue.set_service(route.service_);
    queue.set_max_attempts(route.maxAttempts_);
  }
  return change;
}

v1::JobChange AcceptAt(const std::string& aPathPrefix, const std::string& aId)
{
  v1::JobChange change = Accept(aId, 1);
  change.mutable_accept_job()->set_queue("first");
  change.mutable_accept_job()->set_host("h");
  change.mutable_accept_job()->set_path_prefix(aPathPrefix);
  return change;
}

v1::JobChange CancelAt(const std::string& aPathPrefix, const std::string& aId)
{
  v1::JobChange change;
  v1::CancelJob& cancel = *change.mutable_cancel_job();
  cancel.set_id(aId);
  cancel.set_host("h");
  cancel.set_path(aPathPrefix + aId);
  return change;
}

// As releases wrote it that recorded only the names of queues.
v1::JobChange AcceptByName(const std::string& aQueue, const std::string& aId)
{
  v1::JobChange change = Accept(aId, 1);
  change.mutable_accept_job()->set_queue(aQueue);
  return change;
}

void RemoveAddresses(v1::JobStoreSnapshot& aSnapshot)
{
  for (v1::JobState& job : *aSnapshot.mutable_jobs()) {
    job.mutable_accepted()->clear_host();
    job.mutable_accepted()->clear_path_prefix();
  }
}

uint64_t CountWaitingAt(const JobStore& aStore, const std::string& aPathPrefix)
{
  return aStore.CountWaitingJobs({ .host_ = "h", .pathPrefix_ = aPathPrefix });
}

const std::vector<Route> kTwoRoutes = {
  { "first", "/a/", 4, "layout" },
  { "second", "/b/", 2, "meter" },
};
const std::vector<Route> kExchangedNames = {
  { "second", "/a/", 4, "layout" },
  { "first", "/b/", 2, "meter" },
};

} // namespace

// Failure: a job was not found, not counted and not cancelled after its queue
// had got another name.
BOOST_AUTO_TEST_CASE(JobOfARenamedQueueIsLost)
{
  JobStore store;
  Apply(store,
        { ConfigureRoutes(1, { { "first", "/a/" } }),
          AcceptAt("/a/", "j"),
          ConfigureRoutes(2, { { "renamed", "/a/", 7, "meter" } }) });
  for (int restores = 0; restores < 2; ++restores) {
    const Job* job = store.FindJobAt("h", "/a/j");
    BOOST_REQUIRE(job != nullptr);
    BOOST_TEST(store.PhaseOf(*job) == v1::JOB_QUEUED);
    BOOST_TEST(CountWaitingAt(store, "/a/") == 1U);
    BOOST_TEST(store.MaxAttempts(*job) == 7U);
    BOOST_TEST(store.ServiceOf(*job) == "meter");
    BOOST_REQUIRE(store.Restore(store.Snapshot()));
  }
  Apply(store, { CancelAt("/a/", "j") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_CANCELLED);
  BOOST_TEST(CountWaitingAt(store, "/a/") == 0U);
}

// Failure: a caller was shown, and cancelled, the job of another one after two
// queues had exchanged their names.
BOOST_AUTO_TEST_CASE(JobIsReachedAtAQueueThatGotTheNameOfItsOwn)
{
  JobStore store;
  Apply(store,
        { ConfigureRoutes(1, kTwoRoutes),
          AcceptAt("/a/", "j"),
          ConfigureRoutes(2, kExchangedNames),
          CancelAt("/b/", "j") });
  BOOST_TEST(store.FindJobAt("h", "/b/j") == nullptr);
  const Job* job = store.FindJobAt("h", "/a/j");
  BOOST_REQUIRE(job != nullptr);
  BOOST_TEST(store.PhaseOf(*job) == v1::JOB_QUEUED);
  BOOST_TEST(store.MaxAttempts(*job) == 4U);
  BOOST_TEST(store.ServiceOf(*job) == "layout");
  BOOST_TEST(CountWaitingAt(store, "/a/") == 1U);
  BOOST_TEST(CountWaitingAt(store, "/b/") == 0U);
}

// Failure: a queue that was removed gave its jobs to the one with its name.
BOOST_AUTO_TEST_CASE(JobOfARemovedQueueRunsOnTheServiceOfItsNamesake)
{
  JobStore store;
  Apply(store,
        { ConfigureRoutes(1, kTwoRoutes),
          AcceptAt("/a/", "j"),
          ConfigureRoutes(2, { { "first", "/b/", 2, "meter" } }) });
  BOOST_TEST(store.ServiceOf(*store.FindJob("j")) == "layout");
  BOOST_TEST(store.MaxAttempts(*store.FindJob("j")) == 4U);
}

// Failure: a submission that its cancellation had overtaken ran after its queue
// had got another name.
BOOST_AUTO_TEST_CASE(CancellationIsForgottenWhenTheQueueIsRenamed)
{
  JobStore store;
  Apply(store,
        { ConfigureRoutes(1, { { "first", "/a/" } }),
          CancelAt("/a/", "j"),
          ConfigureRoutes(2, { { "renamed", "/a/" } }) });
  BOOST_REQUIRE(store.Restore(store.Snapshot()));
  Apply(store, { AcceptAt("/a/", "j") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_CANCELLED);
}

// Failure: a job was not found where it had been submitted after a queue with a
// longer prefix of its path had been added, or removed.
BOOST_AUTO_TEST_CASE(JobIsLostWhenAQueueWithALongerPrefixAppears)
{
  const std::vector<Route> shortOnly = { { "first", "/a/" } };
  const std::vector<Route> both = { { "first", "/a/" }, { "long", "/a/b" } };
  JobStore store;
  Apply(store,
        { ConfigureRoutes(1, shortOnly),
          AcceptAt("/a/", "b1"),
          ConfigureRoutes(2, both),
          AcceptAt("/a/b", "2") });
  BOOST_TEST(store.FindJobAt("h", "/a/b1") == store.FindJob("b1"));
  // The same submission, resolved by either configuration.
  Apply(store, { AcceptAt("/a/b", "1"), ConfigureRoutes(3, shortOnly) });
  BOOST_TEST(store.FindJob("1") == nullptr);
  BOOST_TEST(store.FindJobAt("h", "/a/b2") == store.FindJob("2"));
  Apply(store, { CancelAt("/a/b", "2") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("2")) == v1::JOB_CANCELLED);
  BOOST_REQUIRE(store.Restore(store.Snapshot()));
  Apply(store, { ConfigureRoutes(4, shortOnly) });
  BOOST_TEST(store.FindJobAt("h", "/a/b2") == store.FindJob("2"));
}

// Failure: the same for jobs, cancellations and snapshots of a release that
// recorded names only.
BOOST_AUTO_TEST_CASE(JobRecordedByTheNameOfItsQueueIsLost)
{
  JobStore store;
  v1::JobChange cancelEarly;
  cancelEarly.mutable_cancel_job()->set_id("early");
  cancelEarly.mutable_cancel_job()->set_queue("first");
  Apply(store,
        { ConfigureRoutes(1, kTwoRoutes),
          AcceptByName("first", "j"),
          cancelEarly,
          ConfigureRoutes(2, kExchangedNames),
          AcceptAt("/a/", "early") });
  BOOST_TEST(store.FindJobAt("h", "/a/j") == store.FindJob("j"));
  BOOST_TEST(store.FindJobAt("h", "/b/j") == nullptr);
  BOOST_TEST(store.PhaseOf(*store.FindJob("early")) == v1::JOB_CANCELLED);

  JobStore former;
  Apply(former, { ConfigureRoutes(1, kTwoRoutes), AcceptByName("first", "j") });
  v1::JobStoreSnapshot snapshot;
  BOOST_REQUIRE(snapshot.ParseFromString(former.Snapshot()));
  RemoveAddresses(snapshot);
  JobStore restored;
  BOOST_REQUIRE(restored.Restore(snapshot.SerializeAsString()));
  Apply(restored, { ConfigureRoutes(2, kExchangedNames) });
  BOOST_TEST(restored.FindJobAt("h", "/a/j") == restored.FindJob("j"));
  BOOST_TEST(restored.ServiceOf(*restored.FindJob("j")) == "layout");
}

namespace {

// A configuration whose customers have these weights.
v1::JobChange ConfigureCustomers(
  uint64_t aVersion,
  const std::vector<std::pair<std::string, double>>& aWeights)
{
  v1::JobChange change = Configure(aVersion, 2);
  change.mutable_put_config()->set_checks_keys(true);
  for (const auto& [name, weight] : aWeights) {
    v1::CustomerSpec& customer = *change.mutable_put_config()->add_customers();
    customer.set_name(name);
    customer.set_weight(weight);
    customer.add_keys("key of " + name);
  }
  return change;
}

v1::JobChange AcceptOf(const std::string& aCustomer, const std::string& aId)
{
  v1::JobChange change = Accept(aId, 1);
  change.mutable_accept_job()->set_customer(aCustomer);
  return change;
}

v1::JobChange CancelOf(const std::string& aCustomer, const std::string& aId)
{
  v1::JobChange change;
  change.mutable_cancel_job()->set_id(aId);
  change.mutable_cancel_job()->set_queue("drafts");
  change.mutable_cancel_job()->set_customer(aCustomer);
  change.mutable_cancel_job()->set_checked_owner(true);
  return change;
}

// As releases wrote it that knew no customers.
v1::JobChange CancelWithoutOwner(const std::string& aId)
{
  v1::JobChange change;
  change.mutable_cancel_job()->set_id(aId);
  change.mutable_cancel_job()->set_queue("drafts");
  return change;
}

} // namespace

// Guards against jobs without weight and cap while an operator changes the
// customers.
BOOST_AUTO_TEST_CASE(RemovedCustomerKeepsItsLastSpecificationForItsJobs)
{
  JobStore store;
  Apply(store,
        { ConfigureCustomers(1, { { "a", 2 }, { "b", 3 }, { "c", 5 } }),
          AcceptOf("a", "j"),
          ConfigureCustomers(2, { { "b", 4 } }),
          ConfigureCustomers(3, { { "b", 7 } }) });
  JobStore successor;
  BOOST_REQUIRE(successor.Restore(store.Snapshot()));
  for (const JobStore* each : { &store, &successor }) {
    BOOST_TEST(each->FindJob("j")->customer_ == "a");
    BOOST_REQUIRE(each->FindCustomer("a") != nullptr);
    BOOST_TEST(each->FindCustomer("a")->weight() == 2);
    BOOST_TEST(each->FindCustomer("b")->weight() == 7);
    BOOST_TEST(each->FindCustomer("c") == nullptr);
  }
  BOOST_TEST(successor.Snapshot() == store.Snapshot());
  Apply(successor, { ConfigureCustomers(4, { { "a", 9 } }) });
  BOOST_TEST(successor.FindCustomer("a")->weight() == 9);
}

// The job was proposed before the configuration that dropped its customer.
BOOST_AUTO_TEST_CASE(JobOfACustomerThatHasJustBeenRemovedHasItsSpecification)
{
  JobStore store;
  Apply(store,
        { ConfigureCustomers(1, { { "a", 2 } }),
          ConfigureCustomers(2, {}),
          AcceptOf("a", "j"),
          ConfigureCustomers(3, {}) });
  BOOST_REQUIRE(store.FindCustomer("a") != nullptr);
  BOOST_TEST(store.FindCustomer("a")->weight() == 2);
}

BOOST_AUTO_TEST_CASE(KeysOfARemovedCustomerAreForgotten)
{
  JobStore store;
  Apply(store,
        { ConfigureCustomers(1, { { "a", 1 } }),
          AcceptOf("a", "j"),
          ConfigureCustomers(2, {}) });
  BOOST_TEST(store.Snapshot().find("key of a") == std::string::npos);
  const Caller caller = store.Customers().Identify(*store.FindQueue("drafts"),
                                                   { .text_ = "key of a" });
  BOOST_TEST(caller.IsUnauthorized());
}

BOOST_AUTO_TEST_CASE(SuccessorChecksTheKeysOfTheSnapshot)
{
  JobStore store;
  Apply(store, { ConfigureCustomers(1, { { "a", 1 } }) });
  JobStore successor;
  BOOST_REQUIRE(successor.Restore(store.Snapshot()));
  const Caller caller = successor.Customers().Identify(
    *successor.FindQueue("drafts"), { .text_ = "key of a" });
  BOOST_TEST(caller.customer_ == "a");
}

BOOST_AUTO_TEST_CASE(CancellationOfAnotherCustomerCancelsNoJob)
{
  JobStore store;
  Apply(store, { AcceptOf("a", "j"), CancelOf("b", "j"), CancelOf("", "j") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_QUEUED);
  Apply(store, { CancelOf("a", "j") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_CANCELLED);
  Apply(store, { Accept("of-none", 1), CancelOf("b", "of-none") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("of-none")) == v1::JOB_CANCELLED);
}

// Guards against replicas of two releases that apply one entry differently.
BOOST_AUTO_TEST_CASE(CancellationOfAnEarlierReleaseHoldsForEachJob)
{
  JobStore store;
  Apply(store, { CancelWithoutOwner("early"), AcceptOf("a", "early") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("early")) == v1::JOB_CANCELLED);
  Apply(store, { AcceptOf("a", "j"), CancelWithoutOwner("j") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_CANCELLED);
}

BOOST_AUTO_TEST_CASE(EarlyCancellationOfAnEarlierReleaseOutlastsARestart)
{
  JobStore store;
  Apply(store, { CancelWithoutOwner("j"), CancelOf("", "k") });
  JobStore successor;
  BOOST_REQUIRE(successor.Restore(store.Snapshot()));
  Apply(successor, { AcceptOf("a", "j"), AcceptOf("a", "k") });
  BOOST_TEST(successor.PhaseOf(*successor.FindJob("j")) == v1::JOB_CANCELLED);
  BOOST_TEST(successor.PhaseOf(*successor.FindJob("k")) == v1::JOB_QUEUED);
}

BOOST_AUTO_TEST_CASE(EarlyCancellationIsOfItsCustomerAlsoAfterARestart)
{
  JobStore store;
  Apply(store, { CancelOf("b", "j"), CancelOf("a", "k"), CancelOf("", "l") });
  JobStore successor;
  BOOST_REQUIRE(successor.Restore(store.Snapshot()));
  for (JobStore* each : { &store, &successor }) {
    Apply(*each, { AcceptOf("a", "j"), AcceptOf("a", "k"), Accept("l", 1) });
    BOOST_TEST(each->PhaseOf(*each->FindJob("j")) == v1::JOB_QUEUED);
    BOOST_TEST(each->PhaseOf(*each->FindJob("k")) == v1::JOB_CANCELLED);
    BOOST_TEST(each->PhaseOf(*each->FindJob("l")) == v1::JOB_CANCELLED);
  }
}

// A snapshot of a release that knew no customers.
BOOST_AUTO_TEST_CASE(SnapshotWithoutCustomersIsReadAsOfNone)
{
  v1::JobStoreSnapshot snapshot;
  *snapshot.mutable_config() = Configure(1, 2).put_config();
  v1::JobState& job = *snapshot.add_jobs();
  *job.mutable_accepted() = Accept("j", 1).accept_job();
  job.set_not_started(true);
  JobStore store;
  BOOST_REQUIRE(store.Restore(snapshot.SerializeAsString()));
  BOOST_TEST(store.FindJob("j")->customer_.empty());
  const Caller caller =
    store.Customers().Identify(*store.FindQueue("drafts"), { .text_ = "any" });
  BOOST_TEST((caller.kind_ == CallerKind::kUnchecked));
  Apply(store, { CancelOf("", "j") });
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_CANCELLED);
}

namespace {

// A gang of two tasks of customer "a" on instances "a" and "b", one of whose
// runs has ended: the job is completed.
JobStore MakeHalfEndedGang()
{
  JobStore store;
  v1::JobChange job = Accept("j", 2);
  job.mutable_accept_job()->set_customer("a");
  job.mutable_accept_job()->mutable_spec()->mutable_steps(0)->set_gang(true);
  Apply(store,
        { job,
          PutInstance("a", 1),
          PutInstance("b", 1),
          Start("j", 0, 1, "a"),
          Start("j", 1, 1, "b"),
          End("j", 0, 1, "a", v1::RUN_DONE) });
  return store;
}

v1::JobChange Gone(const std::string& aInstance, bool aFinal)
{
  v1::JobChange change;
  change.mutable_instance_gone()->mutable_key()->set_id(aInstance);
  change.mutable_instance_gone()->mutable_key()->set_born_unix_ms(1);
  change.mutable_instance_gone()->set_final(aFinal);
  return change;
}

const Task& TaskOf(const JobStore& aStore, uint32_t aIndex)
{
  return aStore.FindJob("j")->occurrences_.at(0).steps_[0].tasks_[aIndex];
}

const Step& StepOfGang(const JobStore& aStore)
{
  return aStore.FindJob("j")->occurrences_.at(0).steps_[0];
}

} // namespace

// Guards against a rest of a gang that no longer counts after a restart.
BOOST_AUTO_TEST_CASE(SnapshotKeepsTheInstancesOfTheRestOfAGang)
{
  const JobStore store = MakeHalfEndedGang();
  JobStore successor;
  BOOST_REQUIRE(successor.Restore(store.Snapshot()));
  Instance* other = successor.FindInstance({ .id_ = "b", .startedUnixMs_ = 1 });
  BOOST_TEST(TaskOf(successor, 0).instance_ == nullptr);
  BOOST_TEST(TaskOf(successor, 1).instance_ == other);
  BOOST_TEST(other->assigned_.size() == 1U);
  BOOST_TEST(StepOfGang(successor).assigned_ == 0U);
  BOOST_TEST(StepOfGang(successor).IsDone());
  BOOST_TEST(successor.Snapshot() == store.Snapshot());
}

// Guards against a job that is forgotten while its runs count against a cap.
BOOST_AUTO_TEST_CASE(AJobIsFinishedOnceTheRestOfItsGangHasEnded)
{
  JobStore store = MakeHalfEndedGang();
  BOOST_TEST(store.PhaseOf(*store.FindJob("j")) == v1::JOB_COMPLETED);
  BOOST_TEST(store.FinishedJobs().empty());
  Apply(store, { End("j", 1, 1, "b", v1::RUN_STOPPED) });
  BOOST_TEST(TaskOf(store, 1).instance_ == nullptr);
  BOOST_TEST((TaskOf(store, 1).phase_ == TaskPhase::kDone));
  BOOST_TEST(StepOfGang(store).assigned_ == 0U);
  BOOST_TEST(
    store.FindInstance({ .id_ = "b", .startedUnixMs_ = 1 })->assigned_.empty());
  BOOST_TEST(store.FinishedJobs().size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheRestOfAGangEndsWithItsInstance)
{
  for (const bool isFinal : { false, true }) {
    JobStore store = MakeHalfEndedGang();
    Apply(store, { Gone("b", isFinal) });
    BOOST_TEST(TaskOf(store, 1).instance_ == nullptr);
    BOOST_TEST((TaskOf(store, 1).phase_ == TaskPhase::kDone));
    BOOST_TEST(StepOfGang(store).assigned_ == 0U);
    BOOST_TEST(StepOfGang(store).pending_ == 0U);
    BOOST_TEST(StepOfGang(store).done_ == 2U);
    BOOST_TEST(store.FinishedJobs().size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(TheNextIncarnationTakesOverTheRestOfAGang)
{
  JobStore store = MakeHalfEndedGang();
  Apply(store, { PutInstance("b", 2), Gone("b", true) });
  Instance* next = store.FindInstance({ .id_ = "b", .startedUnixMs_ = 2 });
  BOOST_TEST(TaskOf(store, 1).instance_ == next);
  BOOST_TEST((TaskOf(store, 1).phase_ == TaskPhase::kDone));
  BOOST_TEST(next->assigned_.size() == 1U);
  BOOST_TEST(StepOfGang(store).assigned_ == 0U);
  BOOST_TEST(store.FinishedJobs().empty());
  v1::JobChange end = End("j", 1, 1, "b", v1::RUN_STOPPED);
  end.mutable_run_end()->mutable_instance()->set_born_unix_ms(2);
  Apply(store, { end });
  BOOST_TEST(next->assigned_.empty());
  BOOST_TEST(store.FinishedJobs().size() == 1U);
}
