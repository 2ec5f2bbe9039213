#define BOOST_TEST_MODULE arrival_trend
#include "vanillahatch/core/jobs/arrival_trend.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

// Records arrivals of `aCores(now)` cores of work every 10 ms.
template<class CoresAt>
ArrivalTrend RecordArrivals(Millis aFrom, Millis aUntil, CoresAt aCores)
{
  ArrivalTrend trend;
  constexpr Millis kStep = Millis(10);
  for (Millis now = aFrom; now < aUntil; now = now + kStep) {
    trend.RecordArrival(now, aCores(now) * kStep.Count());
  }
  return trend;
}

} // namespace

BOOST_AUTO_TEST_CASE(SteadyArrivalsAreForecastUnchanged)
{
  const ArrivalTrend trend =
    RecordArrivals(Seconds(10), Seconds(20), [](Millis) { return 40.0; });
  BOOST_TEST(trend.ForecastCores(Seconds(20), Seconds(2)) == 40.0,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(RiseIsExtrapolated)
{
  const ArrivalTrend trend =
    RecordArrivals(Seconds(10), Seconds(14), [](Millis aNow) {
      return 30.0 * static_cast<double>((aNow - Seconds(10)).Count()) / 1000.0;
    });
  // 120 cores at 14 s, rising by 30 a second.
  BOOST_TEST(trend.ForecastCores(Seconds(14), Seconds(2)) == 180.0,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(ForecastIsZeroOnceTheWindowHoldsNoArrivals)
{
  const ArrivalTrend trend =
    RecordArrivals(Seconds(10), Seconds(14), [](Millis) { return 100.0; });
  BOOST_TEST(trend.ForecastCores(Seconds(16), Seconds(2)) == 0.0);
}

BOOST_AUTO_TEST_CASE(ForecastAfterOneLargeJobIsBounded)
{
  ArrivalTrend trend;
  trend.RecordArrival(Seconds(10), 50000); // 50 core-seconds at once
  const double forecast = trend.ForecastCores(Millis(10300), Seconds(2));
  BOOST_TEST(forecast < 400.0);
}
