#define BOOST_TEST_MODULE pacing
#include "vanillahatch/core/jobs/pacing.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

struct SharedInstanceFixture
{
  SharedInstanceFixture()
  {
    v1::JobChanges changes;
    v1::AcceptJob& job = *changes.add_changes()->mutable_accept_job();
    job.set_id("j");
    v1::StepSpec& latencySensitive = *job.mutable_spec()->add_steps();
    latencySensitive.set_task_count(1);
    latencySensitive.set_lasting(true);
    latencySensitive.set_tail_target_ms(100);
    v1::StepSpec& bestEffort = *job.mutable_spec()->add_steps();
    bestEffort.set_task_count(1);
    bestEffort.set_best_effort(true);
    store_.Apply(changes);
    view_.emplace(instance_, Seconds(5), Seconds(1), Seconds(1));
    job_ = store_.FindJob("j");
    view_->AddRun({ .job_ = job_, .step_ = 0 },
                  { .run_ = 1, .phase_ = RunPhase::kListed });
    view_->AddRun({ .job_ = job_, .step_ = 1 },
                  { .run_ = 1, .phase_ = RunPhase::kListed });
  }

  // Pace changes for a tail latency of `aTailMs`, whose target is 100 ms.
  std::vector<PaceChange> ChangesFor(uint32_t aTailMs, uint32_t aPacePercent)
  {
    view_->FindRun({ .job_ = job_, .step_ = 0 }, 1)->load_ = aTailMs;
    view_->FindRun({ .job_ = job_, .step_ = 1 }, 1)->orderedPercent_ =
      aPacePercent;
    return PaceBestEffortTasks(*view_);
  }

  JobStore store_;
  Instance instance_;
  std::optional<InstanceView> view_;
  Job* job_ = nullptr;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Pacing, SharedInstanceFixture)

BOOST_AUTO_TEST_CASE(PaceIsHalvedWhileTheTailIsNearItsTarget)
{
  const auto changes = ChangesFor(85, 100);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].percent_ == 50U);
}

BOOST_AUTO_TEST_CASE(BestEffortTaskIsSuspendedWhileTheTargetIsMissed)
{
  BOOST_TEST(ChangesFor(120, 50)[0].percent_ == 0U);
}

BOOST_AUTO_TEST_CASE(PaceIsRaisedInStepsWhileTheTailIsLow)
{
  BOOST_TEST(ChangesFor(30, 50)[0].percent_ == 60U);
  BOOST_TEST(ChangesFor(70, 50).empty());
  BOOST_TEST(ChangesFor(30, 100).empty());
}

BOOST_AUTO_TEST_SUITE_END()
