// A fleet under a leader that hears answers late: what callers get in a turn.
//
//   SlowLeaderFixture fixture;
//   fixture.world_.answerDelay_ = Millis(300);
//   double inTime = fixture.ShareInTime(Millis(80), Seconds(20));
#pragma once

#include "fleet_world.h"

#include <boost/test/unit_test.hpp>

namespace vanillahatch::test {

inline constexpr Millis kRun = Millis(640);
inline constexpr Millis kObjective = Millis(600) + kRun * 8 / 5;
inline constexpr uint32_t kMilliCpus = 1500;

struct SlowLeaderFixture
{
  SlowLeaderFixture()
  {
    world_.Configure({ { "layout", false } }, { { "drafts", "layout" } });
  }

  static v1::StepSpec Drafts(uint32_t aTasks)
  {
    return FleetWorld::StepOf(
      aTasks, kMilliCpus, static_cast<uint32_t>(kRun.Count()));
  }

  Millis Learned()
  {
    return world_.Scheduler().TaskTimes().EstimateRun("drafts", Drafts(1));
  }

  bool IsCompleted(const Job& aJob)
  {
    return world_.Store().PhaseOf(aJob) == v1::JOB_COMPLETED;
  }

  void RunJobs(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const Job& job =
        world_.Submit("job-" + std::to_string(i), "drafts", { Drafts(2) });
      BOOST_REQUIRE(
        world_.RunUntil([&] { return IsCompleted(job); }, Seconds(5)));
    }
  }

  // Jobs of eight tasks arrive for `aSpan`, one each `aGap`; the share whose
  // callers are shown them as completed within the objective.
  double ShareInTime(Millis aGap, Millis aSpan)
  {
    struct Open
    {
      const Job* job_ = nullptr;
      Millis since_;
    };
    std::vector<Open> open;
    int asked = 0;
    int inTime = 0;
    const Millis begin = world_.Now();
    while (world_.Now() - begin < aSpan + kObjective) {
      if (aGap * asked <= world_.Now() - begin && aGap * asked < aSpan) {
        const std::string id = "turn-" + std::to_string(asked++);
        open.push_back({ .job_ = &world_.Submit(id, "drafts", { Drafts(8) }),
                         .since_ = world_.Now() });
      }
      world_.RunFor(Millis(10));
      std::erase_if(open, [&](const Open& aOne) {
        const bool isDone = IsCompleted(*aOne.job_);
        inTime += isDone && world_.Now() - aOne.since_ <= kObjective ? 1 : 0;
        return isDone;
      });
    }
    return static_cast<double>(inTime) / asked;
  }

  // The load of a turn, more than the instances can do, while each answer
  // reaches the leader `kDelay` late.
  double ShareInTimeOfATurn()
  {
    for (int i = 1; i <= kInstances; ++i) {
      world_.Add("i-" + std::to_string(i), "layout");
    }
    world_.answerDelay_ = kDelay;
    RunJobs(5);
    return ShareInTime(kGap, Seconds(20));
  }

  static constexpr Millis kDelay = Millis(300);
  static constexpr Millis kGap = Millis(80);
  static constexpr int kInstances = 6;

  FleetWorld world_;
};

} // namespace vanillahatch::test
