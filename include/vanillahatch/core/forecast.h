// Forecast of one service's demand, in slots, from reports that may lag.
//
// Demand goes round by turns: a service asks for a multiple of its mean while
// its turn lasts and for little in between. The forecast learns the level of
// both phases, recognises the start of a turn from the first report of it, and
// once turns prove regular foretells the next one. Declared run times are only
// a prior; the run times of finished jobs replace them.
//
//   DemandForecast forecast;
//   forecast.Take(report);
//   DemandOutlook outlook = forecast.Outlook(now, Seconds(8), Seconds(4));
#pragma once

#include "vanillahatch/core/clock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>

namespace vanillahatch {

// One entry's or all entries' sum for one service over a sample interval.
struct DemandReport
{
  Millis sampledAt_; // end of the interval; may lie well before its arrival
  double arrivalsPerSecond_ = 0;
  uint32_t queued_ = 0; // jobs waiting at the end of the interval
  Millis declaredRun_;  // mean declared run time of the arrivals
  uint32_t finished_ = 0;
  Millis finishedRun_; // sum of the finished jobs' run times
};

// All levels in slots.
struct DemandOutlook
{
  double now_ = 0;    // wanted at once
  double ahead_ = 0;  // the most wanted until the horizon
  double recent_ = 0; // the most wanted in the past window
  bool inPeak_ = false;
};

struct ForecastOptions
{
  double peakRatio_ = 3;            // a peak is this many times the trough
  double leastPeak_ = 8;            // slots; a lower load is never a peak
  Millis freshSpan_ = Seconds(5);   // an older report does not tell the present
  Millis backlogSpan_ = Seconds(5); // in which a queue shall be worked off
  uint32_t priorJobs_ = 20; // finished jobs that outweigh the declared time
  // Of a service whose peaks cannot be foretold, or not yet, in slots.
  double unlearnedMargin_ = 32;
  Millis learningSpan_ = Seconds(300); // of a service without peaks
  double regularity_ = 0.2; // deviation, as a share of it, of a regular turn
};

// A span in which a peak is expected, margins included.
struct TurnWindow
{
  Millis from_;
  Millis until_;
};

// Fading mean and mean deviation of a span of time.
struct LearnedSpan
{
  double meanMs_ = 0;
  double deviationMs_ = 0;
  uint32_t count_ = 0;

  void Add(Millis aSpan);
  // Whether it repeats within this share of its mean.
  bool IsRegular(double aShare) const;
};

class DemandForecast
{
public:
  explicit DemandForecast(ForecastOptions aOptions = {});

  // Takes a report in; one that is not newer than the last is ignored.
  void Take(const DemandReport& aReport);

  // `aTurns`: peaks of this service foretold from the other services' turns;
  // without any, its own past peaks tell.
  DemandOutlook Outlook(Millis aNow,
                        Millis aHorizon,
                        Millis aWindow,
                        std::span<const TurnWindow> aTurns = {}) const;

  // Start of the last peak seen.
  std::optional<Millis> Onset() const { return onset_; }
  bool InPeak() const { return inPeak_; }
  // From the first to the last report.
  Millis Age() const { return lastSample_ - firstSample_; }

  // Learned mean run time of a job.
  Millis MeanRun() const;
  // Whether turns have proven regular, so that the next one is foretold.
  bool IsRegular() const;

private:
  struct Sample
  {
    Millis at_;
    double level_ = 0;
  };
  void LearnRun(const DemandReport& aReport);
  void LearnPhase(Millis aAt, double aLoad);
  void BeginPeak(Millis aAt, double aLoad);
  void EndPeak(Millis aAt);
  double ForetoldLevel(Millis aFrom,
                       Millis aUntil,
                       std::span<const TurnWindow> aTurns) const;
  bool IsOwnTurnForetold(Millis aFrom, Millis aUntil) const;

  ForecastOptions options_;
  Millis lastSample_ = Millis(INT64_MIN / 2);
  Millis firstSample_ = Millis(INT64_MIN / 2);
  Millis declaredRun_;
  double runMs_ = 0; // of finished jobs, fading
  double runJobs_ = 0;
  double load_ = 0; // smoothed within a phase
  double backlog_ = 0;
  uint32_t phaseReports_ = 0; // of this phase, or what the known level counts
  bool inPeak_ = false;
  double peak_ = 0;
  double trough_ = -1;
  std::optional<Millis> onset_;
  LearnedSpan interval_;
  LearnedSpan length_;
  std::deque<Sample> recent_;
};

} // namespace vanillahatch
