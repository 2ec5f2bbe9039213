// Forecasts the demand of all services together. Beside the demand of each
// service it estimates the order in which services peak and the interval
// between the starts of successive peaks: the start of one service's peak
// predicts the next service's more closely than that service's own last peak.
//
//   FleetForecast forecast(services);
//   forecast.RecordReport(service, report);
//   DemandOutlook outlook = forecast.Outlook(service, now, horizon, window);
#pragma once

#include "vanillahatch/core/forecast.h"

#include <vector>

namespace vanillahatch {

class FleetForecast
{
public:
  explicit FleetForecast(size_t aServices, ForecastOptions aOptions = {});

  void RecordReport(size_t aService, const DemandReport& aReport);

  DemandOutlook Outlook(size_t aService,
                        Millis aNow,
                        Millis aHorizon,
                        Millis aWindow) const;

  const DemandForecast& Of(size_t aService) const
  {
    return services_[aService];
  }

private:
  static constexpr size_t kNoService = SIZE_MAX;

  // The service whose peak follows a given service's peak.
  struct Successor
  {
    size_t service_ = kNoService;
    uint32_t confirmations_ = 0; // consecutive
  };

  void RecordPeakStart(size_t aService, Millis aPeakStart);
  // Whether another service's peak predicts this service's.
  bool HasPredecessor(size_t aService) const;
  std::vector<PeakWindow> PeakWindowsOf(size_t aService, Millis aUntil) const;

  ForecastOptions options_;
  std::vector<DemandForecast> services_;
  std::vector<Successor> successors_;
  SpanEstimate startInterval_; // between peak starts of successive services
  size_t lastService_ = kNoService;
  Millis lastPeakStart_;
};

} // namespace vanillahatch
