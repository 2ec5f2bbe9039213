// Forecasts of all services together: beside the demand of each, the order in
// which they take turns and how long a turn lasts. The start of one service's
// turn foretells the next service's more closely than that one's own last turn
// does.
//
//   FleetForecast forecast(services);
//   forecast.Take(service, report);
//   DemandOutlook outlook = forecast.Outlook(service, now, horizon, window);
#pragma once

#include "vanillahatch/core/forecast.h"

#include <vector>

namespace vanillahatch {

class FleetForecast
{
public:
  explicit FleetForecast(size_t aServices, ForecastOptions aOptions = {});

  void Take(size_t aService, const DemandReport& aReport);

  DemandOutlook Outlook(size_t aService,
                        Millis aNow,
                        Millis aHorizon,
                        Millis aWindow) const;

  const DemandForecast& Of(size_t aService) const
  {
    return services_[aService];
  }

private:
  static constexpr size_t kNobody = SIZE_MAX;

  // Which service's turn follows one service's turn.
  struct Successor
  {
    size_t service_ = kNobody;
    uint32_t confirmed_ = 0; // times in a row
  };

  void LearnTurn(size_t aService, Millis aOnset);
  // Whether another service's turn foretells this one's.
  bool HasForerunner(size_t aService) const;
  std::vector<TurnWindow> WindowsOf(size_t aService, Millis aUntil) const;

  ForecastOptions options_;
  std::vector<DemandForecast> services_;
  std::vector<Successor> successors_;
  LearnedSpan turn_; // from one service's onset to the next one's
  size_t last_ = kNobody;
  Millis lastOnset_;
};

} // namespace vanillahatch
