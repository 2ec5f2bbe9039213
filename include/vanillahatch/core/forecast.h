// Forecast of one service's demand, in slots, from reports that may lag.
//
// Demand alternates between peaks of a multiple of the mean and troughs. The
// forecast estimates the level of both phases, detects a peak from its first
// report, and predicts the next peak once the intervals between peaks are
// regular. Declared run times are only a prior; the run times of finished jobs
// replace them.
//
//   DemandForecast forecast;
//   forecast.RecordReport(report);
//   DemandOutlook outlook = forecast.Outlook(now, Seconds(8), Seconds(4));
#pragma once

#include "vanillahatch/core/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>

namespace vanillahatch {

// Demand for one service over a sample interval, at one entry or summed over
// all entries.
struct DemandReport
{
  Millis sampledAt_; // end of the interval; the report may arrive much later
  double arrivalsPerSecond_ = 0;
  uint32_t queued_ = 0; // jobs waiting at the end of the interval
  Millis declaredRun_;  // mean declared run time of the arrivals
  uint32_t finished_ = 0;
  Millis finishedRun_; // sum of the finished jobs' run times
};

// All levels in slots.
struct DemandOutlook
{
  double now_ = 0;    // current demand
  double ahead_ = 0;  // maximum until the horizon
  double recent_ = 0; // maximum in the past window
  bool inPeak_ = false;
};

struct ForecastOptions
{
  double peakRatio_ = 3;             // minimum ratio of peak to trough
  double minPeak_ = 8;               // slots; a lower load is never a peak
  Millis maxReportAge_ = Seconds(5); // older reports do not show current demand
  Millis backlogSpan_ = Seconds(5);  // time to work off a queue
  uint32_t priorJobs_ = 20; // finished jobs that replace the declared time
  // Slots added for a service whose peaks cannot be predicted (yet).
  double unforecastMargin_ = 32;
  Millis learningSpan_ = Seconds(300); // for a service without peaks
  double maxRelativeDeviation_ =
    0.2; // of regular spans, as a share of the mean
};

// An interval in which a peak is expected, margins included.
struct PeakWindow
{
  Millis from_;
  Millis until_;
};

// Exponentially smoothed mean and mean deviation of a time span.
struct SpanEstimate
{
  double meanMs_ = 0;
  double deviationMs_ = 0;
  uint32_t count_ = 0;

  void Add(Millis aSpan);
  // Whether the mean deviation is below this share of the mean.
  bool IsRegular(double aShare) const;
};

class DemandForecast
{
public:
  explicit DemandForecast(ForecastOptions aOptions = {});

  // Updates the estimates; a report not newer than the last one is ignored.
  void RecordReport(const DemandReport& aReport);

  // `aPeaks`: peaks of this service predicted from other services' peaks; if
  // empty, the service's own past peaks are used.
  DemandOutlook Outlook(Millis aNow,
                        Millis aHorizon,
                        Millis aWindow,
                        std::span<const PeakWindow> aPeaks = {}) const;

  // Start of the last observed peak.
  std::optional<Millis> PeakStart() const { return peakStart_; }
  bool InPeak() const { return inPeak_; }
  // From the first to the last report.
  Millis Age() const { return lastSample_ - firstSample_; }

  // Estimated mean run time of a job.
  Millis MeanRun() const;
  // Whether past peaks are regular, so that the next one can be predicted.
  bool IsRegular() const;

private:
  struct Sample
  {
    Millis at_;
    double level_ = 0;
  };
  void UpdateMeanRun(const DemandReport& aReport);
  void UpdatePhase(Millis aAt, double aLoad);
  void BeginPeak(Millis aAt, double aLoad);
  void EndPeak(Millis aAt);
  double ForecastPeakLevel(Millis aFrom,
                           Millis aUntil,
                           std::span<const PeakWindow> aPeaks) const;
  bool IsOwnPeakForecast(Millis aFrom, Millis aUntil) const;

  ForecastOptions options_;
  Millis lastSample_ = Millis(INT64_MIN / 2);
  Millis firstSample_ = Millis(INT64_MIN / 2);
  Millis declaredRun_;
  double finishedRunMs_ = 0; // sum over finished jobs, decayed
  double finishedJobs_ = 0;  // decayed count
  double load_ = 0;          // smoothed within a phase
  double backlog_ = 0;
  uint32_t phaseWeight_ = 0; // reports in this phase, plus a prior
  bool inPeak_ = false;
  double peak_ = 0;
  double trough_ = -1;
  std::optional<Millis> peakStart_;
  SpanEstimate peakInterval_;
  SpanEstimate peakLength_;
  std::deque<Sample> recent_;
};

} // namespace vanillahatch
