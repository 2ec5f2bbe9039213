#define BOOST_TEST_MODULE run_time_estimator
#include "vanillahatch/core/run_time_estimator.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace vanillahatch;

namespace {

// Adds log-normal run times with the given median.
void AddSamples(RunTimeEstimator& aEstimator, double aMedianMs, int aCount)
{
  std::mt19937_64 random(3);
  std::lognormal_distribution<double> run(std::log(aMedianMs), 0.8);
  for (int i = 0; i < aCount; ++i) {
    aEstimator.Add(Millis(static_cast<int64_t>(run(random))));
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(QuantilesAreZeroWithTooFewSamples)
{
  RunTimeEstimator estimator;
  AddSamples(estimator, 100, 29);
  BOOST_TEST(!estimator.Ready());
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kLow).Count() == 0);
}

BOOST_AUTO_TEST_CASE(QuantilesOfLognormalRunTimesAreEstimated)
{
  RunTimeEstimator estimator;
  AddSamples(estimator, 100, 1000);
  // The exact quantiles are 36, 100 and 643 ms.
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kLow).Count() > 28);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kLow).Count() < 46);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kMedian).Count() > 85);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kMedian).Count() < 115);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kHigh).Count() > 400);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kHigh).Count() < 1000);
}

BOOST_AUTO_TEST_CASE(ChangedWorkloadShowsWithinTwoWindows)
{
  RunTimeEstimator estimator;
  AddSamples(estimator, 1000, 2000);
  AddSamples(estimator, 10, 2 * RunTimeEstimator::kWindowSamples);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kMedian).Count() < 20);
}
