#define BOOST_TEST_MODULE demand
#include "vanillahatch/core/jobs/demand.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

// Arrivals of `aCores(t)` cores of work, every 10 ms.
template<class Level>
Demand Feed(Millis aFrom, Millis aUntil, Level aCores)
{
  Demand demand;
  constexpr Millis kStep = Millis(10);
  for (Millis now = aFrom; now < aUntil; now = now + kStep) {
    demand.Add(now, aCores(now) * kStep.Count());
  }
  return demand;
}

} // namespace

BOOST_AUTO_TEST_CASE(SteadyDemandIsForetoldAsItIs)
{
  const Demand demand =
    Feed(Seconds(10), Seconds(20), [](Millis) { return 40.0; });
  BOOST_TEST(demand.ForecastCores(Seconds(20), Seconds(2)) == 40.0,
             boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(RiseIsForetoldBeforeItHasCome)
{
  const Demand demand = Feed(Seconds(10), Seconds(14), [](Millis aNow) {
    return 30.0 * static_cast<double>((aNow - Seconds(10)).Count()) / 1000.0;
  });
  // 120 cores now, rising by 30 a second.
  BOOST_TEST(demand.ForecastCores(Seconds(14), Seconds(2)) == 180.0,
             boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(DemandThatHasCeasedIsForgottenWithinTheWindow)
{
  const Demand demand =
    Feed(Seconds(10), Seconds(14), [](Millis) { return 100.0; });
  BOOST_TEST(demand.ForecastCores(Seconds(16), Seconds(2)) == 0.0);
}

BOOST_AUTO_TEST_CASE(OneLargeJobIsNotTakenForASteepRise)
{
  Demand demand;
  demand.Add(Seconds(10), 50000); // 50 core-seconds at once
  const double foretold = demand.ForecastCores(Millis(10300), Seconds(2));
  BOOST_TEST(foretold < 400.0);
}
