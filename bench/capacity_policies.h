// Pool sizing policies that the capacity experiment compares. Each converts
// reports into a demand for every pool. The planner executes all of them,
// so they differ only in the sizing.
#pragma once

#include "vanillahatch/core/fleet_forecast.h"
#include "vanillahatch/core/planner.h"

#include <deque>
#include <memory>

namespace vanillahatch {

// The input of a policy: one report of one pool.
struct PoolReport
{
  DemandReport demand_;
  uint32_t busySlots_ = 0;
};

class SizingPolicy
{
public:
  virtual ~SizingPolicy() = default;
  virtual void ProcessReport(size_t aPool, const PoolReport& aReport) = 0;
  virtual std::vector<DemandOutlook> Outlooks(const FleetView& aView,
                                              Millis aNow) = 0;
  // Headroom that the planner adds, in standard deviations.
  virtual double Headroom() const { return 0; }
  // Number of instances of the spare pool that are not held in reserve.
  virtual uint32_t Releasable(const FleetView& aView, const Plan& aPlan) = 0;
};

inline uint32_t CountServing(const FleetView& aView, size_t aPool)
{
  uint32_t count = 0;
  for (const InstanceView& instance : aView.instances_) {
    const bool isMember = At(instance.pool_) == aPool;
    count += isMember && instance.state_ == InstanceState::kServing ? 1 : 0;
  }
  return count;
}

// Sizing of the product: forecasts and one shared buffer.
class ForecastSizing : public SizingPolicy
{
public:
  ForecastSizing(size_t aPools, Millis aDwell)
    : poolCount_(aPools)
    , forecast_(aPools)
    , dwell_(aDwell)
  {
  }

  void ProcessReport(size_t aPool, const PoolReport& aReport) override
  {
    forecast_.RecordReport(aPool, aReport.demand_);
  }

  std::vector<DemandOutlook> Outlooks(const FleetView&, Millis aNow) override
  {
    std::vector<DemandOutlook> outlooks;
    for (size_t i = 0; i < poolCount_; ++i) {
      outlooks.push_back(forecast_.Outlook(i, aNow, kForecastHorizon, dwell_));
    }
    return outlooks;
  }

  double Headroom() const override { return PlannerOptions().headroom_; }

  uint32_t Releasable(const FleetView&, const Plan& aPlan) override
  {
    return aPlan.releasable_;
  }

private:
  static constexpr Millis kForecastHorizon =
    Seconds(4); // duration of a move and a plan
  size_t poolCount_;
  FleetForecast forecast_;
  Millis dwell_;
};

// Every pool keeps its initial instances.
class StaticSizing : public SizingPolicy
{
public:
  void ProcessReport(size_t, const PoolReport&) override {}

  std::vector<DemandOutlook> Outlooks(const FleetView& aView, Millis) override
  {
    if (initialInstances_.empty()) {
      initialInstances_.resize(aView.pools_.size());
      for (const InstanceView& instance : aView.instances_) {
        ++initialInstances_[At(instance.pool_)];
      }
    }
    std::vector<DemandOutlook> outlooks;
    for (size_t i = 0; i < initialInstances_.size(); ++i) {
      // Limits the demand to the serving instances, and lends none.
      const double initialSlots = initialInstances_[i] * 8.0;
      const double servingSlots = CountServing(aView, i) * 8.0;
      outlooks.push_back({ .now_ = 0,
                           .ahead_ = std::min(servingSlots, initialSlots),
                           .recent_ = initialSlots });
    }
    return outlooks;
  }

  uint32_t Releasable(const FleetView&, const Plan&) override { return 0; }

private:
  std::vector<uint32_t> initialInstances_;
};

// Sizes each pool independently; holds the largest target of the last dwell.
class TargetSizing : public SizingPolicy
{
public:
  TargetSizing(size_t aPools, Millis aDwell)
    : targets_(aPools)
    , dwell_(aDwell)
  {
  }

  std::vector<DemandOutlook> Outlooks(const FleetView& aView,
                                      Millis aNow) override
  {
    std::vector<DemandOutlook> outlooks;
    for (size_t i = 0; i < targets_.size(); ++i) {
      auto& history = targets_[i];
      history.push_back({ aNow, Target(aView, i) });
      while (history.front().at_ < aNow - dwell_) {
        history.pop_front();
      }
      uint32_t maxInstances = 0;
      for (const Sample& sample : history) {
        maxInstances = std::max(maxInstances, sample.instances_);
      }
      const double now = history.back().instances_ * 8.0;
      outlooks.push_back(
        { .now_ = now, .ahead_ = now, .recent_ = maxInstances * 8.0 });
    }
    return outlooks;
  }

  uint32_t Releasable(const FleetView& aView, const Plan&) override
  {
    const size_t spare = targets_.size() - 1;
    const uint32_t serving = CountServing(aView, spare);
    const uint32_t held = targets_[spare].back().instances_;
    return serving > held ? serving - held : 0;
  }

protected:
  virtual uint32_t Target(const FleetView& aView, size_t aPool) = 0;

private:
  struct Sample
  {
    Millis at_;
    uint32_t instances_ = 0;
  };
  std::vector<std::deque<Sample>> targets_;
  Millis dwell_;
};

// Sizes by the demand of the last report at declared run times, plus one rack.
class FixedBufferSizing : public TargetSizing
{
public:
  FixedBufferSizing(size_t aPools, Millis aDwell)
    : TargetSizing(aPools, aDwell)
    , demand_(aPools)
  {
  }

  void ProcessReport(size_t aPool, const PoolReport& aReport) override
  {
    const DemandReport& demand = aReport.demand_;
    const double run = static_cast<double>(demand.declaredRun_.Count());
    demand_[aPool] = demand.arrivalsPerSecond_ * run / 1000;
  }

protected:
  uint32_t Target(const FleetView&, size_t aPool) override
  {
    return InstancesFor(demand_[aPool], 8, 0) + kBufferInstances;
  }

private:
  static constexpr uint32_t kBufferInstances = 4; // one rack
  std::vector<double> demand_;
};

// Grows a pool above one utilization threshold and shrinks it below another.
class ReactiveSizing : public TargetSizing
{
public:
  ReactiveSizing(size_t aPools, Millis aDwell)
    : TargetSizing(aPools, aDwell)
    , busySlots_(aPools)
    , hasNewReport_(aPools)
    , targets_(aPools, 10)
  {
  }

  void ProcessReport(size_t aPool, const PoolReport& aReport) override
  {
    busySlots_[aPool] = aReport.busySlots_;
    hasNewReport_[aPool] = true;
  }

protected:
  uint32_t Target(const FleetView& aView, size_t aPool) override
  {
    if (!hasNewReport_[aPool]) {
      return targets_[aPool];
    }
    hasNewReport_[aPool] = false;
    const uint32_t serving = std::max(1U, CountServing(aView, aPool));
    const double utilization = busySlots_[aPool] / (serving * 8.0);
    if (utilization > kGrowAbove) {
      targets_[aPool] = serving + std::max(1U, serving / 2);
    } else if (utilization < kShrinkBelow) {
      targets_[aPool] = std::max(2U, serving - std::max(1U, serving / 4));
    }
    return targets_[aPool];
  }

private:
  static constexpr double kGrowAbove = 0.8;
  static constexpr double kShrinkBelow = 0.4;
  std::vector<uint32_t> busySlots_;
  std::vector<bool> hasNewReport_;
  std::vector<uint32_t> targets_;
};

} // namespace vanillahatch
