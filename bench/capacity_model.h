// Jobs, queues and slots in virtual time on top of the fake fleet, for the
// capacity experiment. Arrivals depend on the seed alone, so every policy
// meets the same jobs.
#pragma once

#include "fake_fleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>
#include <random>

namespace vanillahatch {

struct DemandShape
{
  double peakSlots_ = 110; // more than a static pool of ten holds
  double troughShare_ = 0.05;
  Millis turn_ = Seconds(30);
  double turnJitter_ = 0.1;
  Millis meanRun_ = Seconds(1);
  double declaredFactor_ = 1; // declared over true run time
  Millis lateAfter_ = Millis(3200);
};

// What a run counted.
struct JobCounts
{
  uint64_t arrived_ = 0;
  uint64_t late_ = 0;
};

class JobModel
{
public:
  JobModel(DemandShape aShape, FakeFleet& aFleet, uint32_t aSeed)
    : shape_(aShape)
    , fleet_(aFleet)
    , random_(aSeed)
    , queues_(static_cast<size_t>(Pools()) * kSides)
    , reports_(Pools())
    , running_(aFleet.View().instances_.size())
    , broken_(running_.size())
  {
    fleet_.isIdle_ = [this](InstanceIndex aInstance) {
      return running_[At(aInstance)] == 0;
    };
    turnEnds_ = NextTurn();
  }

  // A cut splits each service's callers by data centre.
  void SetCut(std::optional<DataCentreIndex> aCut) { cut_ = aCut; }

  // Jobs on a broken instance go back to the head of their queue.
  void Break(InstanceIndex aInstance, bool aIsBroken)
  {
    broken_[At(aInstance)] = aIsBroken;
    if (!aIsBroken || running_[At(aInstance)] == 0) {
      return;
    }
    std::vector<Running> kept;
    while (!finishes_.empty()) {
      const Running job = finishes_.top();
      finishes_.pop();
      if (job.instance_ == aInstance) {
        Queue(job.pool_, SideOf(aInstance)).push_front({ now_, job.run_ });
      } else {
        kept.push_back(job);
      }
    }
    for (const Running& job : kept) {
      finishes_.push(job);
    }
    running_[At(aInstance)] = 0;
  }

  void Step(Millis aNow, Millis aTick)
  {
    now_ = aNow;
    if (now_ >= turnEnds_) {
      peakPool_ = (peakPool_ + 1) % Pools();
      turnEnds_ = turnEnds_ + NextTurn();
    }
    Finish();
    for (uint32_t pool = 0; pool < Pools(); ++pool) {
      Arrive(pool, aTick);
      for (uint32_t side = 0; side < kSides; ++side) {
        Dispatch(pool, side);
      }
    }
  }

  // The report of one pool over the span since the last call.
  DemandReport TakeReport(uint32_t aPool, Millis aSpan)
  {
    Tally& tally = reports_[aPool];
    const double seconds = static_cast<double>(aSpan.Count()) / 1000;
    const double declared =
      static_cast<double>(shape_.meanRun_.Count()) * shape_.declaredFactor_;
    DemandReport report{ .sampledAt_ = now_,
                         .arrivalsPerSecond_ = tally.arrivals_ / seconds,
                         .queued_ = static_cast<uint32_t>(
                           Queue(PoolIndex{ aPool }, kMainSide).size()),
                         .declaredRun_ = Millis(std::llround(declared)),
                         .finished_ = tally.finished_,
                         .finishedRun_ = tally.finishedRun_ };
    tally = {};
    return report;
  }

  uint32_t Busy(PoolIndex aPool) const
  {
    uint32_t busy = 0;
    for (size_t i = 0; i < running_.size(); ++i) {
      const bool isMember = fleet_.View().instances_[i].pool_ == aPool;
      busy += isMember ? running_[i] : 0;
    }
    return busy;
  }

  PoolIndex PeakPool() const { return PoolIndex{ peakPool_ }; }
  Millis TurnEnds() const { return turnEnds_; }

  // Jobs still waiting too long at the end are late as well.
  JobCounts Counts() const
  {
    JobCounts counts = counts_;
    for (const auto& queue : queues_) {
      for (const Waiting& job : queue) {
        counts.late_ += now_ - job.since_ > shape_.lateAfter_ ? 1 : 0;
      }
    }
    return counts;
  }

private:
  static constexpr uint32_t kSides = 2;
  static constexpr uint32_t kMainSide = 0;
  static constexpr uint32_t kCutSide = 1;

  struct Waiting
  {
    Millis since_;
    Millis run_;
  };
  struct Running
  {
    Millis ends_;
    Millis run_;
    InstanceIndex instance_{};
    PoolIndex pool_{};
    friend bool operator<(const Running& aL, const Running& aR)
    {
      return aL.ends_ > aR.ends_; // the earliest end on top of the heap
    }
  };
  struct Tally
  {
    uint32_t arrivals_ = 0;
    uint32_t finished_ = 0;
    Millis finishedRun_;
  };

  uint32_t Pools() const
  {
    return static_cast<uint32_t>(fleet_.View().pools_.size());
  }

  std::deque<Waiting>& Queue(PoolIndex aPool, uint32_t aSide)
  {
    return queues_[At(aPool) * kSides + aSide];
  }

  uint32_t SideOf(InstanceIndex aInstance) const
  {
    const InstanceView& instance = fleet_.View().instances_[At(aInstance)];
    return cut_ && instance.dataCentre_ == *cut_ ? kCutSide : kMainSide;
  }

  Millis NextTurn()
  {
    std::uniform_real_distribution<double> jitter(1 - shape_.turnJitter_,
                                                  1 + shape_.turnJitter_);
    const double span =
      static_cast<double>(shape_.turn_.Count()) * jitter(random_);
    return Millis(std::llround(span));
  }

  void Arrive(uint32_t aPool, Millis aTick)
  {
    const double share = aPool == peakPool_ ? 1 : shape_.troughShare_;
    const double run = static_cast<double>(shape_.meanRun_.Count());
    const double mean =
      shape_.peakSlots_ * share / run * static_cast<double>(aTick.Count());
    std::poisson_distribution<uint32_t> arrivals(mean);
    std::exponential_distribution<double> runs(1 / run);
    const uint32_t count = arrivals(random_);
    for (uint32_t i = 0; i < count; ++i) {
      const Millis span(1 + std::llround(runs(random_)));
      const auto home =
        static_cast<uint32_t>(random_() % fleet_.View().dataCentreCount_);
      const bool isCut = cut_ && DataCentreIndex{ home } == *cut_;
      const uint32_t side = isCut ? kCutSide : kMainSide;
      reports_[aPool].arrivals_ += isCut ? 0 : 1;
      Queue(PoolIndex{ aPool }, side).push_back({ now_, span });
      ++counts_.arrived_;
    }
  }

  void Finish()
  {
    while (!finishes_.empty() && finishes_.top().ends_ <= now_) {
      const Running job = finishes_.top();
      finishes_.pop();
      --running_[At(job.instance_)];
      Tally& tally = reports_[At(job.pool_)];
      ++tally.finished_;
      tally.finishedRun_ = tally.finishedRun_ + job.run_;
    }
  }

  void Dispatch(uint32_t aPool, uint32_t aSide)
  {
    auto& queue = Queue(PoolIndex{ aPool }, aSide);
    const auto& instances = fleet_.View().instances_;
    const uint32_t slots =
      fleet_.View().pools_[aPool].contract_.slotsPerInstance_;
    for (size_t i = 0; i < instances.size() && !queue.empty(); ++i) {
      const auto index = static_cast<InstanceIndex>(i);
      const bool serves = instances[i].pool_ == PoolIndex{ aPool } &&
                          SideOf(index) == aSide && !broken_[i] &&
                          fleet_.CanServe(index);
      while (serves && running_[i] < slots && !queue.empty()) {
        const Waiting job = queue.front();
        queue.pop_front();
        counts_.late_ += now_ - job.since_ > shape_.lateAfter_ ? 1 : 0;
        finishes_.push(
          { now_ + job.run_, job.run_, index, PoolIndex{ aPool } });
        ++running_[i];
      }
    }
  }

  DemandShape shape_;
  FakeFleet& fleet_;
  std::mt19937 random_;
  Millis now_;
  Millis turnEnds_;
  uint32_t peakPool_ = 0;
  std::optional<DataCentreIndex> cut_;
  std::vector<std::deque<Waiting>> queues_;
  std::vector<Tally> reports_;
  std::priority_queue<Running> finishes_;
  std::vector<uint32_t> running_; // jobs on each instance
  std::vector<bool> broken_;
  JobCounts counts_;
};

} // namespace vanillahatch
