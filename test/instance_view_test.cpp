#define BOOST_TEST_MODULE instance_view
#include "vanillahatch/core/jobs/instance_view.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

struct OneInstanceFixture
{
  OneInstanceFixture()
  {
    v1::JobChanges changes;
    v1::InstanceRecord& record = *changes.add_changes()->mutable_put_instance();
    record.set_id("i-1");
    record.mutable_capacity()->set_cpu_millis(16000);
    record.mutable_capacity()->set_memory_mb(64000);
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id("j");
    AddStep(job, 2000, false);
    AddStep(job, 3000, true);
    store_.Apply(changes);
  }

  static void AddStep(v1::AcceptJob& aJob,
                      uint32_t aMilliCpus,
                      bool aIsLongRunning)
  {
    v1::StepSpec& step = *aJob.mutable_spec()->add_steps();
    step.set_task_count(4);
    step.mutable_need()->set_cpu_millis(aMilliCpus);
    step.mutable_need()->set_memory_mb(100);
    step.set_lasting(aIsLongRunning);
  }

  TaskRef Task(uint32_t aStep, uint32_t aIndex)
  {
    return { .job_ = store_.FindJob("j"), .step_ = aStep, .index_ = aIndex };
  }

  InstanceView MakeView()
  {
    return {
      *store_.FindInstance({ .id_ = "i-1" }), Seconds(5), Millis(), Millis()
    };
  }

  void CancelJob()
  {
    v1::JobChanges changes;
    changes.add_changes()->mutable_cancel_job()->set_id("j");
    store_.Apply(changes);
  }

  JobStore store_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(View, OneInstanceFixture)

BOOST_AUTO_TEST_CASE(RunsOccupyTheCapacityOfTheirSteps)
{
  InstanceView view = MakeView();
  view.AddRun(Task(0, 0), { .run_ = 1 });
  view.AddRun(Task(1, 0), { .run_ = 1 });
  BOOST_TEST(view.Used().milliCpus_ == 5000);
  BOOST_TEST(view.UsedByLongRunning().milliCpus_ == 3000);
  BOOST_TEST(view.LongRunningRunCount() == 1U);
  BOOST_TEST(view.HasCapacityFor({ .milliCpus_ = 11000 }));
  BOOST_TEST(!view.HasCapacityFor({ .milliCpus_ = 11001 }));
}

BOOST_AUTO_TEST_CASE(CapacityOfAnEndedRunIsReleasedOnce)
{
  InstanceView view = MakeView();
  view.AddRun(Task(0, 0), { .run_ = 1 });
  view.AddRun(Task(1, 0), { .run_ = 1 });
  view.ReleaseCapacityOf(*view.FindRun(Task(1, 0), 1));
  BOOST_TEST(view.Used().milliCpus_ == 2000);
  BOOST_TEST(view.LongRunningRunCount() == 0U);
  view.ReleaseCapacityOf(*view.FindRun(Task(1, 0), 1));
  view.RemoveRun(Task(1, 0));
  BOOST_TEST(view.Used().milliCpus_ == 2000);
  BOOST_TEST(view.LongRunningRunCount() == 0U);
}

BOOST_AUTO_TEST_CASE(ClosedJobNeedsItsRunsStopped)
{
  InstanceView view = MakeView();
  view.AddRun(Task(0, 0), { .run_ = 1, .phase_ = RunPhase::kListed });
  BOOST_TEST(!view.Summary(store_.InterruptedJobCount()).hasRunsToStop_);
  CancelJob();
  BOOST_TEST(view.Summary(store_.InterruptedJobCount()).hasRunsToStop_);
}

BOOST_AUTO_TEST_CASE(RunAddedAfterItsJobClosedHasToBeStopped)
{
  InstanceView view = MakeView();
  CancelJob();
  BOOST_TEST(!view.Summary(store_.InterruptedJobCount()).hasRunsToStop_);
  view.AddRun(Task(0, 0), { .run_ = 1, .phase_ = RunPhase::kOrdered });
  BOOST_TEST(view.Summary(store_.InterruptedJobCount()).hasRunsToStop_);
}

BOOST_AUTO_TEST_CASE(SummaryIsUpdatedAfterAChangeOfARun)
{
  InstanceView view = MakeView();
  view.AddRun(Task(0, 0), { .run_ = 1, .phase_ = RunPhase::kListed });
  BOOST_TEST(!view.Summary(store_.InterruptedJobCount()).needsListing_);
  view.FindRun(Task(0, 0), 1)->phase_ = RunPhase::kInDoubt;
  BOOST_TEST(view.Summary(store_.InterruptedJobCount()).needsListing_);
}

BOOST_AUTO_TEST_SUITE_END()
