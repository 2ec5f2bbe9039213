// The ways to size pools that the capacity experiment compares. Each turns
// reports into what every pool shall have; the planner carries all of them
// out, so they differ in nothing but the sizing.
#pragma once

#include "vanillahatch/core/fleet_forecast.h"
#include "vanillahatch/core/planner.h"

#include <deque>
#include <memory>

namespace vanillahatch {

// What a policy sees of one pool at one report.
struct PoolReport
{
  DemandReport demand_;
  uint32_t busy_ = 0; // slots
};

class SizingPolicy
{
public:
  virtual ~SizingPolicy() = default;
  virtual void Take(size_t aPool, const PoolReport& aReport) = 0;
  virtual std::vector<DemandOutlook> Outlooks(const FleetView& aView,
                                              Millis aNow) = 0;
  // Standard deviations of headroom that the planner adds.
  virtual double Headroom() const { return 0; }
  // Instances of the spare pool that are not held in reserve.
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

// The product: forecasts and one shared buffer.
class ForecastSizing : public SizingPolicy
{
public:
  ForecastSizing(size_t aPools, Millis aDwell)
    : pools_(aPools)
    , forecast_(aPools)
    , dwell_(aDwell)
  {
  }

  void Take(size_t aPool, const PoolReport& aReport) override
  {
    forecast_.RecordReport(aPool, aReport.demand_);
  }

  std::vector<DemandOutlook> Outlooks(const FleetView&, Millis aNow) override
  {
    std::vector<DemandOutlook> outlooks;
    for (size_t i = 0; i < pools_; ++i) {
      outlooks.push_back(forecast_.Outlook(i, aNow, kHorizon, dwell_));
    }
    return outlooks;
  }

  double Headroom() const override { return PlannerOptions().headroom_; }

  uint32_t Releasable(const FleetView&, const Plan& aPlan) override
  {
    return aPlan.releasable_;
  }

private:
  static constexpr Millis kHorizon = Seconds(4); // a move and a plan
  size_t pools_;
  FleetForecast forecast_;
  Millis dwell_;
};

// The pools keep the instances they were given at first.
class StaticSizing : public SizingPolicy
{
public:
  void Take(size_t, const PoolReport&) override {}

  std::vector<DemandOutlook> Outlooks(const FleetView& aView, Millis) override
  {
    if (shares_.empty()) {
      shares_.resize(aView.pools_.size());
      for (const InstanceView& instance : aView.instances_) {
        ++shares_[At(instance.pool_)];
      }
    }
    std::vector<DemandOutlook> outlooks;
    for (size_t i = 0; i < shares_.size(); ++i) {
      // Nothing is wanted beyond what serves, nor given away.
      const double all = shares_[i] * 8.0;
      const double held = CountServing(aView, i) * 8.0;
      outlooks.push_back(
        { .now_ = 0, .ahead_ = std::min(held, all), .recent_ = all });
    }
    return outlooks;
  }

  uint32_t Releasable(const FleetView&, const Plan&) override { return 0; }

private:
  std::vector<uint32_t> shares_;
};

// Sizes each pool on its own; the target is held for the dwell.
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
      uint32_t most = 0;
      for (const Sample& sample : history) {
        most = std::max(most, sample.instances_);
      }
      const double now = history.back().instances_ * 8.0;
      outlooks.push_back({ .now_ = now, .ahead_ = now, .recent_ = most * 8.0 });
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

// The demand of the last report by declared run times, and a rack on top.
class FixedBufferSizing : public TargetSizing
{
public:
  FixedBufferSizing(size_t aPools, Millis aDwell)
    : TargetSizing(aPools, aDwell)
    , demand_(aPools)
  {
  }

  void Take(size_t aPool, const PoolReport& aReport) override
  {
    const DemandReport& demand = aReport.demand_;
    const double run = static_cast<double>(demand.declaredRun_.Count());
    demand_[aPool] = demand.arrivalsPerSecond_ * run / 1000;
  }

protected:
  uint32_t Target(const FleetView&, size_t aPool) override
  {
    return InstancesFor(demand_[aPool], 8, 0) + kBuffer;
  }

private:
  static constexpr uint32_t kBuffer = 4; // one rack for each pool
  std::vector<double> demand_;
};

// Grows a pool above one threshold of its use and shrinks it below another.
class ReactiveSizing : public TargetSizing
{
public:
  ReactiveSizing(size_t aPools, Millis aDwell)
    : TargetSizing(aPools, aDwell)
    , busy_(aPools)
    , isNew_(aPools)
    , targets_(aPools, 10)
  {
  }

  void Take(size_t aPool, const PoolReport& aReport) override
  {
    busy_[aPool] = aReport.busy_;
    isNew_[aPool] = true;
  }

protected:
  uint32_t Target(const FleetView& aView, size_t aPool) override
  {
    if (!isNew_[aPool]) {
      return targets_[aPool];
    }
    isNew_[aPool] = false;
    const uint32_t serving = std::max(1U, CountServing(aView, aPool));
    const double use = busy_[aPool] / (serving * 8.0);
    if (use > kGrowAbove) {
      targets_[aPool] = serving + std::max(1U, serving / 2);
    } else if (use < kShrinkBelow) {
      targets_[aPool] = std::max(2U, serving - std::max(1U, serving / 4));
    }
    return targets_[aPool];
  }

private:
  static constexpr double kGrowAbove = 0.8;
  static constexpr double kShrinkBelow = 0.4;
  std::vector<uint32_t> busy_;
  std::vector<bool> isNew_;
  std::vector<uint32_t> targets_;
};

} // namespace vanillahatch
