#define BOOST_TEST_MODULE forecast
#include "vanillahatch/core/forecast.h"

#include <boost/test/unit_test.hpp>

using namespace vanillahatch;

namespace {

constexpr double kPeak = 100;
constexpr double kTrough = 5;
constexpr int64_t kPeakSeconds = 20;
constexpr int64_t kCycleSeconds = 100;

// Demand in slots: a peak at the start of each cycle, otherwise the trough.
double DemandAt(int64_t aSecond)
{
  return aSecond % kCycleSeconds < kPeakSeconds ? kPeak : kTrough;
}

DemandReport ReportAt(int64_t aSecond, Millis aDeclared = Seconds(1))
{
  return { .sampledAt_ = Seconds(aSecond),
           .arrivalsPerSecond_ = DemandAt(aSecond),
           .declaredRun_ = aDeclared,
           .finished_ = static_cast<uint32_t>(DemandAt(aSecond)),
           .finishedRun_ =
             Seconds(1) * static_cast<int64_t>(DemandAt(aSecond)) };
}

DemandForecast ForecastAfterReports(int64_t aFrom, int64_t aUntil)
{
  DemandForecast forecast;
  for (int64_t second = aFrom; second <= aUntil; ++second) {
    forecast.RecordReport(ReportAt(second));
  }
  return forecast;
}

} // namespace

BOOST_AUTO_TEST_CASE(PeakIsDetectedFromItsFirstReport)
{
  const DemandForecast forecast = ForecastAfterReports(150, 200);
  const DemandOutlook outlook =
    forecast.Outlook(Seconds(200), Seconds(5), Seconds(2));
  BOOST_TEST(outlook.inPeak_);
  BOOST_TEST(outlook.now_ >= kPeak * 0.95);
}

BOOST_AUTO_TEST_CASE(RegularPeakIsPredicted)
{
  const DemandForecast forecast = ForecastAfterReports(50, 1090);
  BOOST_TEST(forecast.IsRegular());
  const Millis window = Seconds(2);
  const auto ahead = [&](int64_t aSecond) {
    return forecast.Outlook(Seconds(aSecond), Seconds(5), window).ahead_;
  };
  BOOST_TEST(ahead(1090) < kPeak / 2);
  DemandForecast later = forecast;
  for (int64_t second = 1091; second <= 1096; ++second) {
    later.RecordReport(ReportAt(second));
  }
  const DemandOutlook outlook =
    later.Outlook(Seconds(1096), Seconds(5), window);
  BOOST_TEST(outlook.ahead_ >= kPeak * 0.9);
  BOOST_TEST(outlook.now_ < kPeak / 2);
}

BOOST_AUTO_TEST_CASE(PredictedPeaksReplaceLaggingReports)
{
  const DemandForecast forecast = ForecastAfterReports(50, 1175);
  const Millis horizon = Seconds(1);
  const auto outlook = [&](int64_t aSecond) {
    return forecast.Outlook(Seconds(aSecond), horizon, Seconds(2));
  };
  BOOST_TEST(outlook(1190).now_ < kPeak / 2);
  BOOST_TEST(outlook(1205).now_ >= kPeak * 0.9);
  BOOST_TEST(outlook(1230).now_ < kPeak / 2);
}

BOOST_AUTO_TEST_CASE(PredictionStopsAfterPeaksCease)
{
  const DemandForecast forecast = ForecastAfterReports(50, 475);
  const DemandOutlook outlook =
    forecast.Outlook(Seconds(kCycleSeconds * 30 + 5), Seconds(5), Seconds(2));
  BOOST_TEST(outlook.ahead_ < kPeak / 2);
}

BOOST_AUTO_TEST_CASE(DeclaredRunTimeIsOnlyAPrior)
{
  for (const Millis declared : { Millis(200), Seconds(5) }) {
    DemandForecast forecast;
    forecast.RecordReport(
      { .sampledAt_ = Seconds(1), .declaredRun_ = declared });
    BOOST_TEST(forecast.MeanRun().Count() == declared.Count());
    for (int64_t second = 2; second < 40; ++second) {
      forecast.RecordReport(ReportAt(second, declared));
    }
    BOOST_TEST(forecast.MeanRun().Count() == 1000);
  }
}

BOOST_AUTO_TEST_CASE(ReportThatArrivesLateAndOutOfOrderIsIgnored)
{
  DemandForecast forecast = ForecastAfterReports(150, 190);
  const double before =
    forecast.Outlook(Seconds(190), Seconds(1), Seconds(1)).now_;
  forecast.RecordReport(ReportAt(110));
  const double after =
    forecast.Outlook(Seconds(190), Seconds(1), Seconds(1)).now_;
  BOOST_TEST(before == after);
}
