#define BOOST_TEST_MODULE run_time_estimator
#include "vanillahatch/core/run_time_estimator.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace vanillahatch;

namespace {

void Feed(RunTimeEstimator& aEstimator, double aMedianMs, int aCount)
{
  std::mt19937_64 random(3);
  std::lognormal_distribution<double> run(std::log(aMedianMs), 0.8);
  for (int i = 0; i < aCount; ++i) {
    aEstimator.Add(Millis(static_cast<int64_t>(run(random))));
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(FewSamplesGiveNoAnswer)
{
  RunTimeEstimator estimator;
  Feed(estimator, 100, 29);
  BOOST_TEST(!estimator.Ready());
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kLow).Count() == 0);
}

BOOST_AUTO_TEST_CASE(QuantilesOfLognormalRunTimesAreLearned)
{
  RunTimeEstimator estimator;
  Feed(estimator, 100, 1000);
  // Exact: 36, 100 and 643 ms.
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kLow).Count() > 28);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kLow).Count() < 46);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kMedian).Count() > 85);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kMedian).Count() < 115);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kHigh).Count() > 400);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kHigh).Count() < 1000);
}

BOOST_AUTO_TEST_CASE(ChangeOfWorkloadIsForgottenWithinTwoWindows)
{
  RunTimeEstimator estimator;
  Feed(estimator, 1000, 2000);
  Feed(estimator, 10, 2 * RunTimeEstimator::kWindow);
  BOOST_TEST(estimator.Quantile(RunTimeQuantile::kMedian).Count() < 20);
}
