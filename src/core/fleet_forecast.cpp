#include "vanillahatch/core/fleet_forecast.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

namespace {

// Turns of other services that are foretold from the last onset seen.
constexpr uint32_t kForetoldTurns = 8;

// The margin of a foretold turn, in mean deviations of a turn's length.
constexpr double kMarginDeviations = 1.5;

} // namespace

FleetForecast::FleetForecast(size_t aServices, ForecastOptions aOptions)
  : options_(aOptions)
  , services_(aServices, DemandForecast(aOptions))
  , successors_(aServices)
{
}

void FleetForecast::Take(size_t aService, const DemandReport& aReport)
{
  DemandForecast& service = services_[aService];
  const std::optional<Millis> before = service.Onset();
  service.Take(aReport);
  if (service.Onset() != before) {
    LearnTurn(aService, *service.Onset());
  }
}

void FleetForecast::LearnTurn(size_t aService, Millis aOnset)
{
  if (last_ != kNobody && last_ != aService) {
    Successor& successor = successors_[last_];
    const bool isSame = successor.service_ == aService;
    successor.confirmed_ = isSame ? successor.confirmed_ + 1 : 0;
    successor.service_ = aService;
    turn_.Add(aOnset - lastOnset_);
  }
  last_ = aService;
  lastOnset_ = aOnset;
}

std::vector<TurnWindow> FleetForecast::WindowsOf(size_t aService,
                                                 Millis aUntil) const
{
  std::vector<TurnWindow> windows;
  if (last_ == kNobody || !turn_.IsRegular(options_.regularity_)) {
    return windows;
  }
  const Millis mean(static_cast<int64_t>(turn_.meanMs_));
  const double deviation = turn_.deviationMs_ * kMarginDeviations;
  size_t service = last_;
  Millis start = lastOnset_;
  for (uint32_t turn = 0; turn < kForetoldTurns; ++turn) {
    // The error of each turn in between adds to the margin.
    const Millis margin(
      static_cast<int64_t>(deviation * std::sqrt(std::max(1U, turn))));
    const bool hasEnded = turn == 0 && !services_[service].InPeak();
    if (service == aService && !hasEnded) {
      windows.push_back({ start - margin, start + mean });
    }
    if (start - margin > aUntil || successors_[service].confirmed_ == 0) {
      break;
    }
    service = successors_[service].service_;
    start = start + mean;
  }
  return windows;
}

bool FleetForecast::HasForerunner(size_t aService) const
{
  return turn_.IsRegular(options_.regularity_) &&
         std::any_of(successors_.begin(),
                     successors_.end(),
                     [&](const Successor& aSuccessor) {
                       return aSuccessor.service_ == aService &&
                              aSuccessor.confirmed_ > 0;
                     });
}

DemandOutlook FleetForecast::Outlook(size_t aService,
                                     Millis aNow,
                                     Millis aHorizon,
                                     Millis aWindow) const
{
  const auto windows = WindowsOf(aService, aNow + aHorizon);
  const DemandForecast& service = services_[aService];
  DemandOutlook outlook = service.Outlook(aNow, aHorizon, aWindow, windows);
  const bool isForetold =
    !windows.empty() || service.IsRegular() || HasForerunner(aService);
  const bool isNew = service.Age() < options_.learningSpan_;
  if (!isForetold && (isNew || service.Onset())) {
    // Its next peak will come unannounced.
    outlook.ahead_ += options_.unlearnedMargin_;
    outlook.recent_ += options_.unlearnedMargin_;
    outlook.now_ += outlook.inPeak_ ? options_.unlearnedMargin_ : 0;
  }
  return outlook;
}

} // namespace vanillahatch
