#define BOOST_TEST_MODULE demand_forecaster
#include "vanillahatch/core/jobs/demand_forecaster.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

// Records arrivals of `aCores(now)` cores of work every 10 ms.
template<class CoresAt>
DemandForecaster RecordArrivals(Millis aFrom, Millis aUntil, CoresAt aCores)
{
  DemandForecaster forecaster;
  constexpr Millis kStep = Millis(10);
  for (Millis now = aFrom; now < aUntil; now = now + kStep) {
    forecaster.RecordArrival(now, aCores(now) * kStep.Count());
  }
  return forecaster;
}

} // namespace

BOOST_AUTO_TEST_CASE(SteadyArrivalsAreForecastUnchanged)
{
  const DemandForecaster forecaster =
    RecordArrivals(Seconds(10), Seconds(20), [](Millis) { return 40.0; });
  BOOST_TEST(forecaster.ForecastCores(Seconds(20), Seconds(2)) == 40.0,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(RiseIsExtrapolated)
{
  const DemandForecaster forecaster =
    RecordArrivals(Seconds(10), Seconds(14), [](Millis aNow) {
      return 30.0 * static_cast<double>((aNow - Seconds(10)).Count()) / 1000.0;
    });
  // 120 cores at 14 s, rising by 30 a second.
  BOOST_TEST(forecaster.ForecastCores(Seconds(14), Seconds(2)) == 180.0,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(ForecastIsZeroOnceTheWindowHoldsNoArrivals)
{
  const DemandForecaster forecaster =
    RecordArrivals(Seconds(10), Seconds(14), [](Millis) { return 100.0; });
  BOOST_TEST(forecaster.ForecastCores(Seconds(16), Seconds(2)) == 0.0);
}

BOOST_AUTO_TEST_CASE(ForecastAfterOneLargeJobIsBounded)
{
  DemandForecaster forecaster;
  forecaster.RecordArrival(Seconds(10), 50000); // 50 core-seconds at once
  const double forecast = forecaster.ForecastCores(Millis(10300), Seconds(2));
  BOOST_TEST(forecast < 400.0);
}
