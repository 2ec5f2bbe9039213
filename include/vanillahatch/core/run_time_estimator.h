// Learned run times of one service's jobs. Declared run times are far from the
// truth, so decisions use quantiles of what was seen lately.
//
// Samples go into windows of a fixed count; the last full window answers, so
// that a change of the workload is forgotten within two windows.
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
  // False until enough samples were seen; quantiles then are zero.
  bool Ready() const;
  Millis Quantile(RunTimeQuantile aQuantile) const;

  static constexpr size_t kWindow = 512;       // samples in a window
  static constexpr size_t kFewestSamples = 30; // before an answer is given

private:
  using Accumulator = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::extended_p_square>>;

  static std::unique_ptr<Accumulator> MakeWindow();
  const Accumulator& Answering() const;

  std::unique_ptr<Accumulator> current_;
  std::unique_ptr<Accumulator> previous_; // the last full window
};

} // namespace vanillahatch
