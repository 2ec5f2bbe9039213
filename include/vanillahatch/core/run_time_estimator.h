// Estimates run-time quantiles of one service's jobs from recent samples.
// Declared run times are too inaccurate to base decisions on.
//
// Samples go into windows of `kWindowSamples`. Quantiles come from the last
// full window, so that a change of the workload shows within two windows.
//
//   RunTimeEstimator estimator;
//   estimator.Add(Millis(40));
//   if (timeLeft < estimator.Quantile(RunTimeQuantile::kLow)) { refuse }
#pragma once

#include "vanillahatch/core/clock.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <memory>

namespace vanillahatch {

enum class RunTimeQuantile : uint8_t
{
  kLow,    // one job in ten is faster
  kMedian, // half of the jobs are faster
  kHigh,   // one job in a hundred is slower
};

class RunTimeEstimator
{
public:
  RunTimeEstimator();

  void Add(Millis aRunTime);
  // Whether there are at least `kMinSamples`. `Quantile` returns zero before.
  bool Ready() const;
  Millis Quantile(RunTimeQuantile aQuantile) const;

  static constexpr size_t kWindowSamples = 512;
  static constexpr size_t kMinSamples = 30;

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::extended_p_square>>;

  static std::unique_ptr<Accumulator> MakeWindow();
  // The last full window, or the first one while it fills.
  const Accumulator& ReportingWindow() const;

  std::unique_ptr<Accumulator> current_;
  std::unique_ptr<Accumulator> previous_; // the last full window, if any
};

} // namespace vanillahatch
