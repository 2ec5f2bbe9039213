#include "vanillahatch/core/forecast.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

namespace {

// Weights of a new report: within random variation, and beyond it. The limit
// is kChangeDeviations standard deviations of random arrivals.
constexpr double kSmoothing = 0.1;
constexpr double kChangeSmoothing = 0.4;
constexpr double kChangeDeviations = 2.5;

constexpr double kSpanSmoothing = 0.25;
constexpr double kInitialDeviation = 0.25; // share of the first span
constexpr double kRunDecay = 0.98;
constexpr uint32_t kMinRegularSpans = 2;
constexpr Millis kRecentSpan = Seconds(120);
constexpr double kMillisPerSecond = 1000;

// Weight of a previously estimated level, in reports.
constexpr uint32_t kPriorReports = 9;

// A peak ends when the load falls below this share of its level.
constexpr double kPeakEnd = 0.35;

// Standard deviations by which a load must exceed the trough to be a peak.
constexpr double kNoiseDeviations = 6;

// Peaks predicted after the last observed one; without a report of another
// peak, prediction stops.
constexpr int64_t kForecastPeaks = 3;

double Smooth(double aOld, double aNew, double aWeight)
{
  return aOld + aWeight * (aNew - aOld);
}

} // namespace

void SpanEstimate::Add(Millis aSpan)
{
  const auto span = static_cast<double>(aSpan.Count());
  if (count_ == 0) {
    meanMs_ = span;
    deviationMs_ = span * kInitialDeviation;
  } else {
    deviationMs_ =
      Smooth(deviationMs_, std::abs(span - meanMs_), kSpanSmoothing);
    meanMs_ = Smooth(meanMs_, span, kSpanSmoothing);
  }
  ++count_;
}

bool SpanEstimate::IsRegular(double aShare) const
{
  return count_ >= kMinRegularSpans && deviationMs_ < aShare * meanMs_;
}

DemandForecast::DemandForecast(ForecastOptions aOptions)
  : options_(aOptions)
{
}

void DemandForecast::RecordReport(const DemandReport& aReport)
{
  if (aReport.sampledAt_ <= lastSample_) {
    return;
  }
  if (recent_.empty()) {
    firstSample_ = aReport.sampledAt_;
  }
  lastSample_ = aReport.sampledAt_;
  UpdateMeanRun(aReport);
  const auto runMs = static_cast<double>(MeanRun().Count());
  const double load = aReport.arrivalsPerSecond_ * runMs / kMillisPerSecond;
  const auto spanMs = static_cast<double>(options_.backlogSpan_.Count());
  backlog_ = aReport.queued_ * runMs / spanMs;
  UpdatePhase(aReport.sampledAt_, load);
  recent_.push_back({ aReport.sampledAt_, load_ + backlog_ });
  while (recent_.front().at_ < aReport.sampledAt_ - kRecentSpan) {
    recent_.pop_front();
  }
}

void DemandForecast::UpdateMeanRun(const DemandReport& aReport)
{
  if (aReport.declaredRun_ > Millis(0)) {
    declaredRun_ = aReport.declaredRun_;
  }
  if (aReport.finished_ == 0) {
    return;
  }
  finishedRunMs_ = finishedRunMs_ * kRunDecay +
                   static_cast<double>(aReport.finishedRun_.Count());
  finishedJobs_ = finishedJobs_ * kRunDecay + aReport.finished_;
}

Millis DemandForecast::MeanRun() const
{
  const double prior = options_.priorJobs_;
  const double sum =
    static_cast<double>(declaredRun_.Count()) * prior + finishedRunMs_;
  // Once enough jobs have finished, the prior is ignored.
  if (finishedJobs_ >= prior) {
    return Millis(std::llround(finishedRunMs_ / finishedJobs_));
  }
  return Millis(std::llround(sum / (prior + finishedJobs_)));
}

void DemandForecast::UpdatePhase(Millis aAt, double aLoad)
{
  const bool isFirst = trough_ < 0;
  if (isFirst) {
    load_ = aLoad;
    trough_ = aLoad;
    return;
  }
  // Random variation of arrivals must not be taken for a peak.
  const double noise = kNoiseDeviations * std::sqrt(trough_);
  const double high = std::max(trough_ * options_.peakRatio_, trough_ + noise);
  if (!inPeak_ && aLoad > std::max(high, options_.minPeak_)) {
    BeginPeak(aAt, aLoad);
    return;
  }
  if (inPeak_ && aLoad < peak_ * kPeakEnd) {
    EndPeak(aAt);
    load_ = std::max(aLoad, trough_);
    return;
  }
  const bool isChange =
    std::abs(aLoad - load_) > kChangeDeviations * std::sqrt(load_);
  const double minWeight = isChange ? kChangeSmoothing : kSmoothing;
  // The first reports of a phase with an unknown level weigh most.
  load_ = Smooth(load_, aLoad, std::max(minWeight, 1.0 / ++phaseWeight_));
  if (inPeak_) {
    peak_ = load_;
  } else {
    trough_ = Smooth(trough_, load_, minWeight);
  }
}

void DemandForecast::BeginPeak(Millis aAt, double aLoad)
{
  inPeak_ = true;
  phaseWeight_ = peakStart_ ? kPriorReports : 0;
  if (peakStart_) {
    peakInterval_.Add(aAt - *peakStart_);
  }
  peakStart_ = aAt;
  // The first report covers only a part of the peak, so the level estimated
  // from earlier peaks is kept if it is higher.
  peak_ = std::max(peak_, aLoad);
  load_ = peak_;
}

void DemandForecast::EndPeak(Millis aAt)
{
  inPeak_ = false;
  phaseWeight_ = kPriorReports;
  peakLength_.Add(aAt - *peakStart_);
}

bool DemandForecast::IsRegular() const
{
  return peakLength_.count_ > 0 &&
         peakInterval_.IsRegular(options_.maxRelativeDeviation_);
}

bool DemandForecast::IsOwnPeakForecast(Millis aFrom, Millis aUntil) const
{
  if (!IsRegular()) {
    return false;
  }
  const auto interval = static_cast<int64_t>(peakInterval_.meanMs_);
  const Millis margin(static_cast<int64_t>(peakInterval_.deviationMs_));
  const Millis length(
    static_cast<int64_t>(peakLength_.meanMs_ + peakLength_.deviationMs_));
  // The last observed peak and its predicted repetitions.
  for (int64_t step = 0; step <= kForecastPeaks; ++step) {
    const Millis start = *peakStart_ + Millis(interval) * step;
    const bool hasEnded = step == 0 && !inPeak_;
    if (!hasEnded && start - margin <= aUntil &&
        start + length + margin > aFrom) {
      return true;
    }
  }
  return false;
}

double DemandForecast::ForecastPeakLevel(
  Millis aFrom,
  Millis aUntil,
  std::span<const PeakWindow> aPeaks) const
{
  bool isForecast = aPeaks.empty() && IsOwnPeakForecast(aFrom, aUntil);
  for (const PeakWindow& peak : aPeaks) {
    isForecast |= peak.from_ <= aUntil && peak.until_ > aFrom;
  }
  return isForecast ? peak_ : 0;
}

DemandOutlook DemandForecast::Outlook(Millis aNow,
                                      Millis aHorizon,
                                      Millis aWindow,
                                      std::span<const PeakWindow> aPeaks) const
{
  DemandOutlook outlook;
  const bool isRecent = aNow - lastSample_ <= options_.maxReportAge_;
  const bool isObserved = isRecent || (aPeaks.empty() && !IsRegular());
  if (isObserved) {
    outlook.now_ = load_ + backlog_;
    outlook.inPeak_ = inPeak_;
  } else {
    const double forecastLevel = ForecastPeakLevel(aNow, aNow, aPeaks);
    outlook.now_ = std::max(forecastLevel, trough_);
    outlook.inPeak_ = forecastLevel > 0;
  }
  outlook.ahead_ =
    std::max(outlook.now_, ForecastPeakLevel(aNow, aNow + aHorizon, aPeaks));
  outlook.recent_ = outlook.ahead_;
  for (const Sample& sample : recent_) {
    if (isObserved && sample.at_ >= aNow - aWindow) {
      outlook.recent_ = std::max(outlook.recent_, sample.level_);
    }
  }
  return outlook;
}

} // namespace vanillahatch
