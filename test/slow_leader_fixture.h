// A simulated fleet whose leader receives replies late, under overload.
//
//   SlowLeaderFixture fixture;
//   fixture.fleet_.replyDelay_ = Millis(300);
//   double inTime = fixture.FractionInTime(Millis(80), Seconds(20));
#pragma once

#include "simulated_fleet.h"

#include <boost/test/unit_test.hpp>

namespace vanillahatch::test {

inline constexpr Millis kRunTime = Millis(640);
inline constexpr Millis kObjective = Millis(600) + kRunTime * 8 / 5;
inline constexpr uint32_t kMilliCpusPerTask = 1500;

struct SlowLeaderFixture
{
  SlowLeaderFixture()
  {
    fleet_.Configure({ { "layout", false } }, { { "drafts", "layout" } });
  }

  static v1::StepSpec DraftsStep(uint32_t aTasks)
  {
    return SimulatedFleet::StepOf(
      aTasks, kMilliCpusPerTask, static_cast<uint32_t>(kRunTime.Count()));
  }

  Millis EstimatedRunTime()
  {
    return fleet_.Scheduler().RunTimes().EstimateRun(
      { .pathPrefix_ = "drafts" }, DraftsStep(1));
  }

  bool IsCompleted(const Job& aJob)
  {
    return fleet_.Store().PhaseOf(aJob) == v1::JOB_COMPLETED;
  }

  void RunJobs(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const Job& job =
        fleet_.Submit("job-" + std::to_string(i), "drafts", { DraftsStep(2) });
      BOOST_REQUIRE(
        fleet_.RunUntil([&] { return IsCompleted(job); }, Seconds(5)));
    }
  }

  // Submits a job of eight tasks every `aGap` for `aSpan`. Returns the fraction
  // of the jobs that the store shows as completed within the objective.
  double FractionInTime(Millis aGap, Millis aSpan)
  {
    struct OpenJob
    {
      const Job* job_ = nullptr;
      Millis submittedAt_;
    };
    std::vector<OpenJob> openJobs;
    int submitted = 0;
    int inTime = 0;
    const Millis startedAt = fleet_.Now();
    while (fleet_.Now() - startedAt < aSpan + kObjective) {
      if (aGap * submitted <= fleet_.Now() - startedAt &&
          aGap * submitted < aSpan) {
        const std::string id = "peak-" + std::to_string(submitted++);
        openJobs.push_back(
          { .job_ = &fleet_.Submit(id, "drafts", { DraftsStep(8) }),
            .submittedAt_ = fleet_.Now() });
      }
      fleet_.RunFor(Millis(10));
      std::erase_if(openJobs, [&](const OpenJob& aJob) {
        const bool isDone = IsCompleted(*aJob.job_);
        inTime +=
          isDone && fleet_.Now() - aJob.submittedAt_ <= kObjective ? 1 : 0;
        return isDone;
      });
    }
    return static_cast<double>(inTime) / submitted;
  }

  // Simulates a demand peak beyond the capacity of the instances while each
  // reply reaches the leader `kDelay` late.
  double FractionInTimeAtPeak()
  {
    for (int i = 1; i <= kInstances; ++i) {
      fleet_.AddInstance("i-" + std::to_string(i), "layout");
    }
    fleet_.replyDelay_ = kDelay;
    RunJobs(5);
    return FractionInTime(kGap, Seconds(20));
  }

  static constexpr Millis kDelay = Millis(300);
  static constexpr Millis kGap = Millis(80);
  static constexpr int kInstances = 6;

  SimulatedFleet fleet_;
};

} // namespace vanillahatch::test
