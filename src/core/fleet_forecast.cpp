#include "vanillahatch/core/fleet_forecast.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

namespace {

// Number of successive peaks predicted from the last observed peak start.
constexpr uint32_t kForecastPeaks = 8;

// Margin of a predicted peak start, in mean deviations of the start interval.
constexpr double kMarginDeviations = 1.5;

} // namespace

FleetForecast::FleetForecast(size_t aServices, ForecastOptions aOptions)
  : options_(aOptions)
  , services_(aServices, DemandForecast(aOptions))
  , successors_(aServices)
{
}

void FleetForecast::RecordReport(size_t aService, const DemandReport& aReport)
{
  DemandForecast& service = services_[aService];
  const std::optional<Millis> before = service.PeakStart();
  service.RecordReport(aReport);
  if (service.PeakStart() != before) {
    RecordPeakStart(aService, *service.PeakStart());
  }
}

void FleetForecast::RecordPeakStart(size_t aService, Millis aPeakStart)
{
  if (lastService_ != kNoService && lastService_ != aService) {
    Successor& successor = successors_[lastService_];
    const bool isSame = successor.service_ == aService;
    successor.confirmations_ = isSame ? successor.confirmations_ + 1 : 0;
    successor.service_ = aService;
    startInterval_.Add(aPeakStart - lastPeakStart_);
  }
  lastService_ = aService;
  lastPeakStart_ = aPeakStart;
}

std::vector<PeakWindow> FleetForecast::PeakWindowsOf(size_t aService,
                                                     Millis aUntil) const
{
  std::vector<PeakWindow> windows;
  if (lastService_ == kNoService ||
      !startInterval_.IsRegular(options_.maxRelativeDeviation_)) {
    return windows;
  }
  const Millis mean(static_cast<int64_t>(startInterval_.meanMs_));
  const double deviation = startInterval_.deviationMs_ * kMarginDeviations;
  size_t service = lastService_;
  Millis start = lastPeakStart_;
  for (uint32_t step = 0; step < kForecastPeaks; ++step) {
    // The errors of the intervals in between add up.
    const Millis margin(
      static_cast<int64_t>(deviation * std::sqrt(std::max(1U, step))));
    const bool hasEnded = step == 0 && !services_[service].InPeak();
    if (service == aService && !hasEnded) {
      windows.push_back({ start - margin, start + mean });
    }
    if (start - margin > aUntil || successors_[service].confirmations_ == 0) {
      break;
    }
    service = successors_[service].service_;
    start = start + mean;
  }
  return windows;
}

bool FleetForecast::HasPredecessor(size_t aService) const
{
  return startInterval_.IsRegular(options_.maxRelativeDeviation_) &&
         std::any_of(successors_.begin(),
                     successors_.end(),
                     [&](const Successor& aSuccessor) {
                       return aSuccessor.service_ == aService &&
                              aSuccessor.confirmations_ > 0;
                     });
}

DemandOutlook FleetForecast::Outlook(size_t aService,
                                     Millis aNow,
                                     Millis aHorizon,
                                     Millis aWindow) const
{
  const auto windows = PeakWindowsOf(aService, aNow + aHorizon);
  const DemandForecast& service = services_[aService];
  DemandOutlook outlook = service.Outlook(aNow, aHorizon, aWindow, windows);
  const bool isForecast =
    !windows.empty() || service.IsRegular() || HasPredecessor(aService);
  const bool isNew = service.Age() < options_.learningSpan_;
  if (!isForecast && (isNew || service.PeakStart())) {
    // The next peak cannot be predicted, so capacity is reserved for it.
    outlook.ahead_ += options_.unforecastMargin_;
    outlook.recent_ += options_.unforecastMargin_;
    outlook.now_ += outlook.inPeak_ ? options_.unforecastMargin_ : 0;
  }
  return outlook;
}

} // namespace vanillahatch
