#include "vanillahatch/core/forecast.h"

#include <algorithm>
#include <cmath>

namespace vanillahatch {

namespace {

// Weight of a new report that chance explains, and of one that it does not.
constexpr double kSmoothing = 0.1;
constexpr double kChangeSmoothing = 0.4;
constexpr double kChangeDeviations = 2.5;

constexpr double kSpanSmoothing = 0.25;
constexpr double kFirstDeviation = 0.25; // share of the first span
constexpr double kRunFading = 0.98;
constexpr uint32_t kRegularTurns = 2;
constexpr Millis kRecentSpan = Seconds(120);
constexpr double kMillisPerSecond = 1000;

// Reports that a level learned before counts for.
constexpr uint32_t kKnownReports = 9;

// Share of the learned peak below which a peak has ended.
constexpr double kPeakEnd = 0.35;

// Standard deviations by which a load must exceed the trough to be a peak.
constexpr double kChanceDeviations = 6;

// Without a report of another peak, turns are foretold for this many intervals.
constexpr int64_t kForetoldTurns = 3;

double Smooth(double aOld, double aNew, double aWeight)
{
  return aOld + aWeight * (aNew - aOld);
}

} // namespace

void LearnedSpan::Add(Millis aSpan)
{
  const auto span = static_cast<double>(aSpan.Count());
  if (count_ == 0) {
    meanMs_ = span;
    deviationMs_ = span * kFirstDeviation;
  } else {
    deviationMs_ =
      Smooth(deviationMs_, std::abs(span - meanMs_), kSpanSmoothing);
    meanMs_ = Smooth(meanMs_, span, kSpanSmoothing);
  }
  ++count_;
}

bool LearnedSpan::IsRegular(double aShare) const
{
  return count_ >= kRegularTurns && deviationMs_ < aShare * meanMs_;
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
  if (recent_.empty()) {
    firstSample_ = aReport.sampledAt_;
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
    trough_ = aLoad;
    return;
  }
  // Random arrivals must not pass for a peak.
  const double chance = kChanceDeviations * std::sqrt(trough_);
  const double high = std::max(trough_ * options_.peakRatio_, trough_ + chance);
  if (!inPeak_ && aLoad > std::max(high, options_.leastPeak_)) {
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
  const double least = isChange ? kChangeSmoothing : kSmoothing;
  // The first reports of an unknown peak count most.
  load_ = Smooth(load_, aLoad, std::max(least, 1.0 / ++phaseReports_));
  if (inPeak_) {
    peak_ = load_;
  } else {
    trough_ = Smooth(trough_, load_, least);
  }
}

void DemandForecast::BeginPeak(Millis aAt, double aLoad)
{
  inPeak_ = true;
  phaseReports_ = onset_ ? kKnownReports : 0;
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
  phaseReports_ = kKnownReports;
  length_.Add(aAt - *onset_);
}

bool DemandForecast::IsRegular() const
{
  return length_.count_ > 0 && interval_.IsRegular(options_.regularity_);
}

bool DemandForecast::IsOwnTurnForetold(Millis aFrom, Millis aUntil) const
{
  if (!IsRegular()) {
    return false;
  }
  const auto interval = static_cast<int64_t>(interval_.meanMs_);
  const Millis margin(static_cast<int64_t>(interval_.deviationMs_));
  const Millis length(
    static_cast<int64_t>(length_.meanMs_ + length_.deviationMs_));
  // Walk the foretold turns from the last one seen.
  for (int64_t turn = 0; turn <= kForetoldTurns; ++turn) {
    const Millis start = *onset_ + Millis(interval) * turn;
    const bool hasEnded = turn == 0 && !inPeak_;
    if (!hasEnded && start - margin <= aUntil &&
        start + length + margin > aFrom) {
      return true;
    }
  }
  return false;
}

double DemandForecast::ForetoldLevel(Millis aFrom,
                                     Millis aUntil,
                                     std::span<const TurnWindow> aTurns) const
{
  bool isForetold = aTurns.empty() && IsOwnTurnForetold(aFrom, aUntil);
  for (const TurnWindow& turn : aTurns) {
    isForetold |= turn.from_ <= aUntil && turn.until_ > aFrom;
  }
  return isForetold ? peak_ : 0;
}

DemandOutlook DemandForecast::Outlook(Millis aNow,
                                      Millis aHorizon,
                                      Millis aWindow,
                                      std::span<const TurnWindow> aTurns) const
{
  DemandOutlook outlook;
  const bool isFresh = aNow - lastSample_ <= options_.freshSpan_;
  const bool isSeen = isFresh || (aTurns.empty() && !IsRegular());
  if (isSeen) {
    outlook.now_ = load_ + backlog_;
    outlook.inPeak_ = inPeak_;
  } else {
    const double foretold = ForetoldLevel(aNow, aNow, aTurns);
    outlook.now_ = std::max(foretold, trough_);
    outlook.inPeak_ = foretold > 0;
  }
  outlook.ahead_ =
    std::max(outlook.now_, ForetoldLevel(aNow, aNow + aHorizon, aTurns));
  outlook.recent_ = outlook.ahead_;
  for (const Sample& sample : recent_) {
    if (isSeen && sample.at_ >= aNow - aWindow) {
      outlook.recent_ = std::max(outlook.recent_, sample.level_);
    }
  }
  return outlook;
}

} // namespace vanillahatch
