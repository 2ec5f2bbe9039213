#include "vanillahatch/core/forecast.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

namespace {

constexpr double kSmoothing = 0.3;
constexpr double kSpanSmoothing = 0.25;
constexpr double kRunFading = 0.98;
constexpr uint32_t kRegularTurns = 2;
constexpr Millis kRecentSpan = Seconds(120);
constexpr double kMillisPerSecond = 1000;

// Share of the learned peak below which a peak has ended.
constexpr double kPeakEnd = 0.35;

// Without a report of another peak, turns are foretold for this many intervals.
constexpr int64_t kForetoldTurns = 3;

double Smooth(double aOld, double aNew, double aWeight)
{
  return aOld + aWeight * (aNew - aOld);
}

} // namespace

void DemandForecast::LearnedSpan::Add(Millis aSpan)
{
  const auto span = static_cast<double>(aSpan.Count());
  if (count_ == 0) {
    meanMs_ = span;
  } else {
    deviationMs_ =
      Smooth(deviationMs_, std::abs(span - meanMs_), kSpanSmoothing);
    meanMs_ = Smooth(meanMs_, span, kSpanSmoothing);
  }
  ++count_;
}

DemandForecast::DemandForecast(ForecastOptions aOptions)
  : options_(aOptions)
{
}

void DemandForecast::Take(const DemandReport& aReport)
{
  if (aReport.sampledAt_ <= lastSample_) {
    return;
  }
  lastSample_ = aReport.sampledAt_;
  LearnRun(aReport);
  const auto runMs = static_cast<double>(MeanRun().Count());
  const double load = aReport.arrivalsPerSecond_ * runMs / kMillisPerSecond;
  const auto spanMs = static_cast<double>(options_.backlogSpan_.Count());
  backlog_ = aReport.queued_ * runMs / spanMs;
  LearnPhase(aReport.sampledAt_, load);
  recent_.push_back({ aReport.sampledAt_, load_ + backlog_ });
  while (recent_.front().at_ < aReport.sampledAt_ - kRecentSpan) {
    recent_.pop_front();
  }
}

void DemandForecast::LearnRun(const DemandReport& aReport)
{
  if (aReport.declaredRun_ > Millis(0)) {
    declaredRun_ = aReport.declaredRun_;
  }
  if (aReport.finished_ == 0) {
    return;
  }
  runMs_ =
    runMs_ * kRunFading + static_cast<double>(aReport.finishedRun_.Count());
  runJobs_ = runJobs_ * kRunFading + aReport.finished_;
}

Millis DemandForecast::MeanRun() const
{
  const double prior = options_.priorJobs_;
  const double sum = static_cast<double>(declaredRun_.Count()) * prior + runMs_;
  // The prior fades out once enough jobs have finished.
  if (runJobs_ >= prior) {
    return Millis(std::llround(runMs_ / runJobs_));
  }
  return Millis(std::llround(sum / (prior + runJobs_)));
}

void DemandForecast::LearnPhase(Millis aAt, double aLoad)
{
  const bool first = trough_ < 0;
  if (first) {
    load_ = aLoad;
    peak_ = aLoad;
    trough_ = aLoad;
    return;
  }
  const bool isHigh = aLoad > std::max(1.0, trough_) * options_.peakRatio_;
  if (!inPeak_ && isHigh) {
    BeginPeak(aAt, aLoad);
    return;
  }
  if (inPeak_ && aLoad < peak_ * kPeakEnd) {
    EndPeak(aAt);
    load_ = aLoad;
    return;
  }
  load_ = Smooth(load_, aLoad, kSmoothing);
  if (!inPeak_ && aLoad < trough_ / options_.peakRatio_) {
    trough_ = aLoad; // The first reports came from a peak.
  }
  double& level = inPeak_ ? peak_ : trough_;
  level = Smooth(level, load_, kSmoothing);
}

void DemandForecast::BeginPeak(Millis aAt, double aLoad)
{
  inPeak_ = true;
  if (onset_) {
    interval_.Add(aAt - *onset_);
  }
  onset_ = aAt;
  // The first report of a peak covers only a part of it, so the level learned
  // from earlier peaks counts as well.
  peak_ = std::max(peak_, aLoad);
  load_ = peak_;
}

void DemandForecast::EndPeak(Millis aAt)
{
  inPeak_ = false;
  length_.Add(aAt - *onset_);
}

bool DemandForecast::IsRegular() const
{
  return interval_.count_ >= kRegularTurns && length_.count_ >= 1 &&
         interval_.deviationMs_ < options_.regularity_ * interval_.meanMs_;
}

double DemandForecast::ForetoldLevel(Millis aFrom, Millis aUntil) const
{
  if (!IsRegular()) {
    return 0;
  }
  const auto interval = static_cast<int64_t>(interval_.meanMs_);
  const Millis margin(static_cast<int64_t>(interval_.deviationMs_));
  const Millis length(
    static_cast<int64_t>(length_.meanMs_ + length_.deviationMs_));
  // Walk the foretold turns from the last one seen.
  for (int64_t turn = 0; turn <= kForetoldTurns; ++turn) {
    const Millis start = *onset_ + Millis(interval) * turn;
    if (start - margin > aUntil) {
      break;
    }
    const bool hasEnded = turn == 0 && !inPeak_;
    if (!hasEnded && start + length + margin > aFrom) {
      return peak_;
    }
  }
  return 0;
}

DemandOutlook DemandForecast::Outlook(Millis aNow,
                                      Millis aHorizon,
                                      Millis aWindow) const
{
  DemandOutlook outlook;
  const double seen = load_ + backlog_;
  const bool isFresh = aNow - lastSample_ <= options_.freshSpan_;
  if (isFresh || !IsRegular()) {
    outlook.now_ = seen;
    outlook.inPeak_ = inPeak_;
  } else {
    const double foretold = ForetoldLevel(aNow, aNow);
    outlook.now_ = std::max(foretold, trough_) + backlog_;
    outlook.inPeak_ = foretold > 0;
  }
  outlook.ahead_ = std::max(outlook.now_, ForetoldLevel(aNow, aNow + aHorizon));
  outlook.recent_ = outlook.ahead_;
  if (isFresh || !IsRegular()) {
    for (const Sample& sample : recent_) {
      if (sample.at_ >= aNow - aWindow) {
        outlook.recent_ = std::max(outlook.recent_, sample.level_);
      }
    }
  }
  return outlook;
}

} // namespace vanillahatch
