// Shares and caps of customers on a simulated fleet, in virtual time.
#define BOOST_TEST_MODULE fleet_sharing
#include "sharing_fixture.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <random>

using namespace vanillahatch;
using namespace vanillahatch::test;

namespace {

// Customers with a constant mean rate of jobs. One of them can be hot.
struct LoadFixture : SharingFixture
{
  struct Source
  {
    std::string customer_;
    double jobsPerSecond_ = 0;
    // Its own, so that the load of one customer changes no other's arrivals.
    std::mt19937 random_;
    int sent_ = 0;
    int inTime_ = 0;

    double InTimeShare() const
    {
      return sent_ > 0 ? static_cast<double>(inTime_) / sent_ : 1.0;
    }
  };
  struct OpenJob
  {
    Job* job_ = nullptr;
    Source* source_ = nullptr;
    Millis dueAt_;
  };

  static constexpr uint32_t kTasks = 4;
  static constexpr uint32_t kRunMs = 1000;
  // 600 ms and 1.6 times the run time; see `SimulatedFleet::Configure`.
  static constexpr Millis kObjective = Millis(2200);

  void Play(Millis aSpan, Source* aHot, double aHotFactor)
  {
    for (const Millis until = fleet_.Now() + aSpan; fleet_.Now() < until;) {
      for (Source& source : sources_) {
        const double rate =
          source.jobsPerSecond_ * (&source == aHot ? aHotFactor : 1.0);
        std::poisson_distribution<int> arrivals(rate / 100);
        const int jobs = arrivals(source.random_);
        source.sent_ += jobs;
        for (Job* job :
             SubmitMany(source.customer_,
                        jobs,
                        SimulatedFleet::StepOf(kTasks, 2 * kCore, kRunMs))) {
          open_.push_back({ job, &source, fleet_.Now() + kObjective });
        }
      }
      fleet_.RunFor(Millis(10));
      std::erase_if(open_, [&](const OpenJob& aOpen) {
        const bool isCompleted =
          fleet_.Store().PhaseOf(*aOpen.job_) == v1::JOB_COMPLETED;
        const bool isLate = fleet_.Now() > aOpen.dueAt_;
        aOpen.source_->inTime_ += isCompleted && !isLate ? 1 : 0;
        return isCompleted || isLate;
      });
    }
  }

  std::vector<Source> sources_;
  std::vector<OpenJob> open_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(shares, LoadFixture)

// Eight customers use nine tenths of a fleet of 16 jobs a second. Then one of
// them sends seven times as much, so that twice the capacity is asked for.
BOOST_AUTO_TEST_CASE(AHotCustomerWaitsBehindItself)
{
  constexpr double kMaxLoss = 0.1;
  constexpr double kHotFactor = 7;
  const std::vector<double> rates{ 2.4, 2.4, 2.4, 1.8, 1.8, 1.2, 1.2, 1.2 };
  const auto play = [&](double aHotFactor) {
    LoadFixture load;
    std::vector<SimulatedFleet::Customer> customers;
    for (size_t i = 0; i < rates.size(); ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      customers.push_back({ .name_ = name, .weight_ = rates[i] });
      load.sources_.push_back(
        { .customer_ = name,
          .jobsPerSecond_ = rates[i],
          .random_ = std::mt19937(static_cast<uint32_t>(i + 1)) });
    }
    load.fleet_.PutCustomers(customers);
    load.AddInstances(8);
    load.Play(Seconds(5), nullptr, 1);
    load.Play(Seconds(20), &load.sources_[0], aHotFactor);
    load.Play(Seconds(5), nullptr, 1);
    return load.sources_;
  };
  const std::vector<Source> calm = play(1);
  const std::vector<Source> hot = play(kHotFactor);
  for (size_t i = 0; i < rates.size(); ++i) {
    std::cout << hot[i].customer_ << ": in time " << calm[i].inTime_ << " of "
              << calm[i].sent_ << ", then " << hot[i].inTime_ << " of "
              << hot[i].sent_ << '\n';
  }
  for (size_t i = 1; i < rates.size(); ++i) {
    BOOST_TEST(hot[i].InTimeShare() >= calm[i].InTimeShare() - kMaxLoss,
               hot[i].customer_);
  }
  // What the others leave goes to the hot customer.
  BOOST_TEST(hot[0].inTime_ >= calm[0].inTime_);
}

BOOST_AUTO_TEST_CASE(AnIdleCustomerGetsItsShareBackWithinOneRun)
{
  fleet_.PutCustomers({ { "busy", 1.0 }, { "idle", 1.0 } });
  AddInstances(4);
  const v1::StepSpec step = SimulatedFleet::StepOf(4, 2 * kCore, 1000);
  for (int i = 0; i < 40; ++i) {
    SubmitMany("busy", 2, step);
    fleet_.RunFor(Millis(100));
  }
  BOOST_TEST(fleet_.RunningMilliCpus("busy") >= 60 * kCore);
  SubmitMany("idle", 12, step);
  for (int i = 0; i < 11; ++i) {
    SubmitMany("busy", 2, step);
    fleet_.RunFor(Millis(100));
  }
  BOOST_TEST(fleet_.RunningMilliCpus("idle") >= 28 * kCore);
}

BOOST_AUTO_TEST_CASE(ALargerWeightGetsALargerShare)
{
  fleet_.PutCustomers({ { "small", 1.0 }, { "large", 3.0 } });
  AddInstances(4);
  const v1::StepSpec step = SimulatedFleet::StepOf(1, 2 * kCore, 500);
  SubmitMany("small", 300, step);
  SubmitMany("large", 300, step);
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(fleet_.RunningMilliCpus("large") >=
             2 * fleet_.RunningMilliCpus("small"));
}

// Long-running tasks precede other work, and jobs are started in the order of
// acceptance, whatever they need of which service.
BOOST_AUTO_TEST_CASE(WithoutCustomersTheOrderIsThatOfTheJobs)
{
  fleet_.Configure({ { "layout", false }, { "survey", false } },
                   { { "drafts", "layout" }, { "checks", "survey" } });
  fleet_.AddInstance("s0", "survey", 4);
  AddInstances(1);
  const v1::StepSpec step = SimulatedFleet::StepOf(1, 2 * kCore, 5000);
  std::vector<std::string> expected{ "l.0.0.0" };
  for (int i = 0; i < 6; ++i) {
    const std::string id = std::to_string(i);
    fleet_.Submit(id, i % 3 == 0 ? "checks" : "drafts", { step });
    expected.push_back(id + ".0.0.0");
  }
  fleet_.Submit("l", "drafts", { SimulatedFleet::LongRunningStep(1, 0) });
  fleet_.RunFor(Seconds(1));
  BOOST_TEST(fleet_.StartedTasks() == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(caps, SharingFixture)

BOOST_AUTO_TEST_CASE(StartsOfOneRoundStayWithinTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 7 } });
  AddInstances(4);
  const std::vector<Job*> jobs =
    SubmitMany("a", 10, SimulatedFleet::StepOf(4, 2 * kCore, 300));
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 6 * kCore);
}

BOOST_AUTO_TEST_CASE(TheCapCoversAllServicesTogether)
{
  fleet_.Configure({ { "layout", false }, { "survey", false } },
                   { { "drafts", "layout" }, { "checks", "survey" } });
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  fleet_.AddInstance("s0", "survey");
  AddInstances(2);
  const v1::StepSpec step = SimulatedFleet::StepOf(4, 2 * kCore, 300);
  for (int i = 0; i < 8; ++i) {
    fleet_.Submit(
      std::to_string(i), i % 2 == 0 ? "checks" : "drafts", { step }, "a");
  }
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

// The processor time of these tasks is not reserved on their instances.
BOOST_AUTO_TEST_CASE(BestEffortTasksCountWithTheirDeclaredNeed)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(2);
  v1::StepSpec step = SimulatedFleet::StepOf(8, 2 * kCore, 300);
  step.set_best_effort(true);
  SubmitMany("a", 4, step);
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(ACustomerAtItsCapDoesNotHoldUpOthers)
{
  fleet_.PutCustomers({ { "a", 1.0, 2 }, { "b", 1.0 } });
  AddInstances(2);
  SubmitMany("a", 50, SimulatedFleet::StepOf(4, 2 * kCore, 3000));
  const std::vector<Job*> jobs =
    SubmitMany("b", 1, SimulatedFleet::StepOf(4, 2 * kCore, 300));
  fleet_.RunFor(Millis(500));
  BOOST_TEST(AreAllCompleted(jobs));
}

BOOST_AUTO_TEST_CASE(WorkThatTheCapHoldsRequestsNoMachines)
{
  const auto measureDemand = [](int aJobs) {
    SharingFixture full;
    full.fleet_.PutCustomers({ { "a", 1.0, 12 }, { "b", 1.0 } });
    full.AddInstances(1);
    full.SubmitMany("b", 1, SimulatedFleet::StepOf(8, 2 * kCore, 9000));
    full.fleet_.RunFor(Seconds(3));
    full.SubmitMany("a", aJobs, SimulatedFleet::StepOf(5, 2 * kCore, 9000));
    full.fleet_.RunFor(Seconds(3));
    BOOST_TEST(full.fleet_.RunningMilliCpus("b") == 16 * kCore);
    return full.fleet_.HighestLoad("layout");
  };
  const PoolLoad withinCap = measureDemand(3);
  const PoolLoad beyondCap = measureDemand(50);
  BOOST_TEST(withinCap.demandCores_ > 16.0);
  BOOST_TEST(withinCap.demandCores_ <= 16.0 + 12.0);
  BOOST_TEST(beyondCap.demandCores_ == withinCap.demandCores_);
  BOOST_TEST(beyondCap.forecastCores_ == withinCap.forecastCores_);
}

BOOST_AUTO_TEST_CASE(ASuccessorCountsTheRunsItInherits)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(4);
  SubmitMany("a", 20, SimulatedFleet::StepOf(4, 2 * kCore, 700));
  for (uint64_t token = 2; token < 10; ++token) {
    fleet_.RunFor(Millis(330));
    fleet_.StartLeader(token);
  }
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(ASuccessorCountsRunsOnSilentInstances)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(1);
  SubmitMany("a", 2, SimulatedFleet::StepOf(4, 2 * kCore, 20000));
  fleet_.RunFor(Millis(500));
  BOOST_TEST(fleet_.RunningMilliCpus("a") == 8 * kCore);
  fleet_.At("i0").isReachable_ = false;
  fleet_.StartLeader(2);
  fleet_.AddInstance("later", "layout");
  fleet_.RunFor(Seconds(20));
  BOOST_TEST(fleet_.RunningMilliCpus("a") == 8 * kCore); // there
  fleet_.At("i0").isReachable_ = true;
  fleet_.RunFor(Seconds(5));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(StartsThatAreCarriedOutLateStayWithinTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(4);
  fleet_.At("i0").delaysStarts_ = true;
  fleet_.At("i1").delaysStarts_ = true;
  SubmitMany("a", 20, SimulatedFleet::StepOf(4, 2 * kCore, 700));
  for (int i = 0; i < 10; ++i) {
    fleet_.RunFor(Millis(400));
    fleet_.DeliverDelayedStarts(fleet_.At("i0"));
    fleet_.RunFor(Millis(130));
    fleet_.DeliverDelayedStarts(fleet_.At("i1"));
  }
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(StartsWithoutAReplyStayWithinTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(4);
  fleet_.At("i0").losesStartReplies_ = true;
  fleet_.At("i1").losesStartReplies_ = true;
  fleet_.reportsCommitsLate_ = true;
  fleet_.replyDelay_ = Millis(50);
  const std::vector<Job*> jobs =
    SubmitMany("a", 10, SimulatedFleet::StepOf(4, 2 * kCore, 500));
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(60)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(UncommittedStartsCountAgainstTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(4);
  fleet_.holdsCommits_ = true;
  SubmitMany("a", 20, SimulatedFleet::StepOf(4, 2 * kCore, 2000));
  fleet_.RunFor(Seconds(1));
  fleet_.CommitHeldProposals();
  fleet_.RunFor(Millis(100));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(ASilentInstanceThatReturnsIsCountedAllTheWhile)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(2);
  SubmitMany("a", 30, SimulatedFleet::StepOf(2, 2 * kCore, 900));
  for (int i = 0; i < 4; ++i) {
    fleet_.RunFor(Seconds(1));
    fleet_.At("i0").isReachable_ = false;
    fleet_.RunFor(i % 2 == 0 ? Seconds(2) : Seconds(9));
    fleet_.At("i0").isReachable_ = true;
  }
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(ALoweredCapStopsNothingAndStartsNothing)
{
  fleet_.PutCustomers({ { "a", 1.0, 32 } });
  AddInstances(4);
  const std::vector<Job*> jobs =
    SubmitMany("a", 10, SimulatedFleet::StepOf(4, 2 * kCore, 1000));
  fleet_.RunFor(Millis(500));
  BOOST_TEST(fleet_.RunningMilliCpus("a") == 32 * kCore);
  fleet_.PutCustomers({ { "a", 1.0, 4 } });
  fleet_.RunFor(Millis(300));
  BOOST_TEST(fleet_.RunningMilliCpus("a") == 32 * kCore);
  fleet_.RunFor(Millis(400));
  fleet_.ForgetMaxRunning();
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 4 * kCore);
}

BOOST_AUTO_TEST_CASE(AGangStartsOnlyIfAllOfItIsWithinTheCap)
{
  fleet_.PutCustomers({ { "a", 1.0, 12 } });
  AddInstances(4);
  v1::StepSpec gang = SimulatedFleet::StepOf(4, 2 * kCore, 500);
  gang.set_gang(true);
  const std::vector<Job*> jobs = SubmitMany("a", 4, gang);
  BOOST_TEST(
    fleet_.RunUntil([&] { return AreAllCompleted(jobs); }, Seconds(20)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

// Its instance is too small for other tasks, so that only the run itself is a
// reason to list it.
BOOST_AUTO_TEST_CASE(RunsThatTheLogDoesNotAssignCountUntilTheyAreGone)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  FakeInstance& small = fleet_.AddInstance("small", "layout", 1);
  AddInstances(1);
  const Job& job =
    *SubmitMany("a", 1, SimulatedFleet::StepOf(2, 2 * kCore, 60000))[0];
  fleet_.RunFor(Millis(300));
  BOOST_TEST(fleet_.RunningMilliCpus("a") == 4 * kCore);
  v1::TaskName name;
  name.set_job(job.id_);
  small.running_.push_back(
    { .task_ = name, .run_ = 9, .endsAt_ = Millis::Max() });
  small.deadline_ = Millis::Max();
  small.ignoresStops_ = true;
  fleet_.StartLeader(2);
  fleet_.RunFor(Millis(300));
  fleet_.ForgetMaxRunning();
  SubmitMany("a", 20, SimulatedFleet::StepOf(4, 2 * kCore, 300));
  fleet_.RunFor(Seconds(1));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
  small.ignoresStops_ = false;
  fleet_.RunFor(Seconds(1));
  BOOST_TEST(small.running_.empty());
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.RunningMilliCpus("a") == 8 * kCore; }, Seconds(1)));
}

// The end of one task of a gang completes its step in the log.
BOOST_AUTO_TEST_CASE(ASuccessorCountsTheRestOfACompletedGang)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(4);
  v1::StepSpec gang = SimulatedFleet::StepOf(4, 2 * kCore, 1000);
  gang.set_gang(true);
  gang.set_max_per_instance(1);
  const Job& job = fleet_.Submit(
    "g", "drafts", { gang, SimulatedFleet::StepOf(1, 2 * kCore, 60000) }, "a");
  fleet_.RunFor(Millis(500));
  // These go on, and their instances fall silent.
  for (const std::string id : { "i1", "i2", "i3" }) {
    fleet_.At(id).running_.at(0).endsAt_ = Millis::Max();
    fleet_.At(id).isReachable_ = false;
  }
  BOOST_TEST(fleet_.RunUntil(
    [&] { return job.occurrences_.at(0).steps_[0].IsDone(); }, Seconds(2)));
  BOOST_REQUIRE(fleet_.Store().Restore(fleet_.Store().Snapshot()));
  fleet_.StartLeader(2);
  fleet_.ForgetMaxRunning();
  SubmitMany("a", 40, SimulatedFleet::StepOf(4, 2 * kCore, 1000));
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") <= 8 * kCore);
  // Two of them end, and the third is lost with its instance.
  for (const std::string id : { "i1", "i2" }) {
    fleet_.At(id).isReachable_ = true;
    fleet_.At(id).running_.at(0).endsAt_ = fleet_.Now();
  }
  fleet_.RunFor(Seconds(20));
  const Step& step = fleet_.Store().FindJob("g")->occurrences_.at(0).steps_[0];
  BOOST_TEST(step.IsDone());
  BOOST_TEST(step.pending_ == 0U);
  BOOST_TEST(
    std::none_of(step.tasks_.begin(), step.tasks_.end(), [](const Task& aTask) {
      return aTask.instance_ != nullptr;
    }));
  fleet_.StartLeader(3);
  fleet_.RunFor(Seconds(1));
  BOOST_TEST(fleet_.RunUntil(
    [&] { return fleet_.RunningMilliCpus("a") == 8 * kCore; }, Seconds(2)));
  BOOST_TEST(fleet_.MaxRunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(AuditCorrectsChargesThatAreNotReleased)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 } });
  AddInstances(1);
  SubmitMany("a", 1, SimulatedFleet::StepOf(4, 2 * kCore, 1000));
  fleet_.RunFor(Millis(500));
  const auto& views = fleet_.Scheduler().Views();
  auto& view = const_cast<InstanceView&>(views.begin()->second);
  for (auto& [task, run] : view.Runs()) {
    run.charge_.need_ = {};
  }
  fleet_.expectsAuditFindings_ = true;
  expectedAuditFindings_ = 1;
  fleet_.RunFor(Seconds(2));
  BOOST_TEST(fleet_.AuditFindings() == 1U);
  SubmitMany("a", 4, SimulatedFleet::StepOf(4, 2 * kCore, 1000));
  fleet_.RunFor(Millis(500));
  BOOST_TEST(fleet_.RunningMilliCpus("a") == 8 * kCore);
}

BOOST_AUTO_TEST_CASE(TheTraceShowsSharesAndHeldWork)
{
  fleet_.PutCustomers({ { "a", 1.0, 8 }, { "b", 3.0 } });
  AddInstances(4);
  SubmitMany("a", 4, SimulatedFleet::StepOf(4, 2 * kCore, 5000));
  SubmitMany("b", 4, SimulatedFleet::StepOf(4, 2 * kCore, 5000));
  fleet_.RunFor(Seconds(3));
  BOOST_TEST(fleet_.LoadOf("a").share_ == 0.125);
  BOOST_TEST(fleet_.LoadOf("a").capUse_ == 1.0);
  BOOST_TEST(fleet_.LoadOf("a").heldTasks_ == 12U);
  BOOST_TEST(fleet_.LoadOf("b").share_ == 0.5);
  BOOST_TEST(fleet_.LoadOf("b").shareByWeight_ == 0.75);
  BOOST_TEST(fleet_.LoadOf("b").waitingTasks_ == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
