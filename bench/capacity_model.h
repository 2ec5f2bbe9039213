// Simulates jobs, queues and slots in virtual time on top of `FakeFleet`, for
// the capacity experiment. Arrivals depend on the seed alone, so every policy
// receives the same jobs.
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
  double peakSlots_ = 110;    // exceeds the slots of a static pool of ten
  double troughShare_ = 0.05; // demand off the peak, as a fraction of it
  Millis peakDuration_ = Seconds(30); // mean duration of one pool's demand peak
  double peakJitter_ = 0.1;           // fraction of the duration
  Millis meanRun_ = Seconds(1);
  double declaredFactor_ = 1;       // declared run time / true run time
  Millis lateAfter_ = Millis(3200); // wait that makes a job late
};

// Jobs counted during a run.
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
    , queues_(static_cast<size_t>(PoolCount()) * kSides)
    , reportCounts_(PoolCount())
    , running_(aFleet.View().instances_.size())
    , isFailed_(running_.size())
  {
    fleet_.isIdle_ = [this](InstanceIndex aInstance) {
      return running_[At(aInstance)] == 0;
    };
    peakEndsAt_ = DrawPeakDuration();
  }

  // Disconnects a data centre: its callers reach only its own instances.
  void SetDisconnected(std::optional<DataCentreIndex> aDataCentre)
  {
    disconnected_ = aDataCentre;
  }

  // Jobs running on a failed instance return to the head of their queue.
  void SetFailed(InstanceIndex aInstance, bool aIsFailed)
  {
    isFailed_[At(aInstance)] = aIsFailed;
    if (!aIsFailed || running_[At(aInstance)] == 0) {
      return;
    }
    std::vector<RunningJob> remaining;
    while (!runningJobs_.empty()) {
      const RunningJob job = runningJobs_.top();
      runningJobs_.pop();
      if (job.instance_ == aInstance) {
        Queue(job.pool_, SideOf(aInstance)).push_front({ now_, job.runTime_ });
      } else {
        remaining.push_back(job);
      }
    }
    for (const RunningJob& job : remaining) {
      runningJobs_.push(job);
    }
    running_[At(aInstance)] = 0;
  }

  void Step(Millis aNow, Millis aTick)
  {
    now_ = aNow;
    if (now_ >= peakEndsAt_) {
      peakPool_ = (peakPool_ + 1) % PoolCount();
      peakEndsAt_ = peakEndsAt_ + DrawPeakDuration();
    }
    FinishJobs();
    for (uint32_t pool = 0; pool < PoolCount(); ++pool) {
      AddArrivals(pool, aTick);
      for (uint32_t side = 0; side < kSides; ++side) {
        Dispatch(pool, side);
      }
    }
  }

  // Returns the demand of one pool during the `aSpan` since the last call.
  DemandReport TakeReport(uint32_t aPool, Millis aSpan)
  {
    ReportCounts& counts = reportCounts_[aPool];
    const double seconds = static_cast<double>(aSpan.Count()) / 1000;
    const double declared =
      static_cast<double>(shape_.meanRun_.Count()) * shape_.declaredFactor_;
    DemandReport report{ .sampledAt_ = now_,
                         .arrivalsPerSecond_ = counts.arrivals_ / seconds,
                         .queued_ = static_cast<uint32_t>(
                           Queue(PoolIndex{ aPool }, kMainSide).size()),
                         .declaredRun_ = Millis(std::llround(declared)),
                         .finished_ = counts.finished_,
                         .finishedRun_ = counts.finishedRun_ };
    counts = {};
    return report;
  }

  uint32_t BusySlots(PoolIndex aPool) const
  {
    uint32_t busy = 0;
    for (size_t i = 0; i < running_.size(); ++i) {
      const bool isMember = fleet_.View().instances_[i].pool_ == aPool;
      busy += isMember ? running_[i] : 0;
    }
    return busy;
  }

  PoolIndex PeakPool() const { return PoolIndex{ peakPool_ }; }
  Millis PeakEndsAt() const { return peakEndsAt_; }

  // Includes as late the jobs that are queued for too long at the end.
  JobCounts Counts() const
  {
    JobCounts counts = counts_;
    for (const auto& queue : queues_) {
      for (const QueuedJob& job : queue) {
        counts.late_ += now_ - job.queuedAt_ > shape_.lateAfter_ ? 1 : 0;
      }
    }
    return counts;
  }

private:
  static constexpr uint32_t kSides = 2;
  static constexpr uint32_t kMainSide = 0;
  static constexpr uint32_t kDisconnectedSide = 1;

  struct QueuedJob
  {
    Millis queuedAt_;
    Millis runTime_;
  };
  struct RunningJob
  {
    Millis endsAt_;
    Millis runTime_;
    InstanceIndex instance_{};
    PoolIndex pool_{};
    friend bool operator<(const RunningJob& aL, const RunningJob& aR)
    {
      return aL.endsAt_ >
             aR.endsAt_; // puts the earliest end on top of the heap
    }
  };
  struct ReportCounts
  {
    uint32_t arrivals_ = 0;
    uint32_t finished_ = 0;
    Millis finishedRun_;
  };

  uint32_t PoolCount() const
  {
    return static_cast<uint32_t>(fleet_.View().pools_.size());
  }

  std::deque<QueuedJob>& Queue(PoolIndex aPool, uint32_t aSide)
  {
    return queues_[At(aPool) * kSides + aSide];
  }

  uint32_t SideOf(InstanceIndex aInstance) const
  {
    const InstanceView& instance = fleet_.View().instances_[At(aInstance)];
    return disconnected_ && instance.dataCentre_ == *disconnected_
             ? kDisconnectedSide
             : kMainSide;
  }

  Millis DrawPeakDuration()
  {
    std::uniform_real_distribution<double> jitter(1 - shape_.peakJitter_,
                                                  1 + shape_.peakJitter_);
    const double span =
      static_cast<double>(shape_.peakDuration_.Count()) * jitter(random_);
    return Millis(std::llround(span));
  }

  void AddArrivals(uint32_t aPool, Millis aTick)
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
      const bool isDisconnected =
        disconnected_ && DataCentreIndex{ home } == *disconnected_;
      const uint32_t side = isDisconnected ? kDisconnectedSide : kMainSide;
      reportCounts_[aPool].arrivals_ += isDisconnected ? 0 : 1;
      Queue(PoolIndex{ aPool }, side).push_back({ now_, span });
      ++counts_.arrived_;
    }
  }

  void FinishJobs()
  {
    while (!runningJobs_.empty() && runningJobs_.top().endsAt_ <= now_) {
      const RunningJob job = runningJobs_.top();
      runningJobs_.pop();
      --running_[At(job.instance_)];
      ReportCounts& counts = reportCounts_[At(job.pool_)];
      ++counts.finished_;
      counts.finishedRun_ = counts.finishedRun_ + job.runTime_;
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
      const bool canRun = instances[i].pool_ == PoolIndex{ aPool } &&
                          SideOf(index) == aSide && !isFailed_[i] &&
                          fleet_.CanServe(index);
      while (canRun && running_[i] < slots && !queue.empty()) {
        const QueuedJob job = queue.front();
        queue.pop_front();
        counts_.late_ += now_ - job.queuedAt_ > shape_.lateAfter_ ? 1 : 0;
        runningJobs_.push(
          { now_ + job.runTime_, job.runTime_, index, PoolIndex{ aPool } });
        ++running_[i];
      }
    }
  }

  DemandShape shape_;
  FakeFleet& fleet_;
  std::mt19937 random_;
  Millis now_;
  Millis peakEndsAt_;
  uint32_t peakPool_ = 0;
  std::optional<DataCentreIndex> disconnected_;
  std::vector<std::deque<QueuedJob>> queues_;
  std::vector<ReportCounts> reportCounts_;
  std::priority_queue<RunningJob> runningJobs_;
  std::vector<uint32_t> running_; // jobs running on each instance
  std::vector<bool> isFailed_;
  JobCounts counts_;
};

} // namespace vanillahatch
