#include "vanillahatch/core/jobs/demand_forecaster.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Bounds the forecast, as a multiple of the present rate: a few large jobs look
// like a steep rise.
constexpr double kMaxGrowth = 2.5;

} // namespace

void DemandForecaster::AdvanceWindow(Millis aNow)
{
  const int64_t bucket = aNow.Count() / kBucketWidth.Count();
  const auto size = static_cast<int64_t>(kBuckets);
  for (int64_t i = std::max(newestBucket_ + 1, bucket - size + 1); i <= bucket;
       ++i) {
    work_[static_cast<size_t>(i % size)] = 0;
  }
  newestBucket_ = std::max(newestBucket_, bucket);
}

double DemandForecaster::WorkIn(int64_t aBucket) const
{
  const auto size = static_cast<int64_t>(kBuckets);
  const bool isInWindow =
    aBucket <= newestBucket_ && aBucket > newestBucket_ - size && aBucket >= 0;
  return isInWindow ? work_[static_cast<size_t>(aBucket % size)] : 0;
}

void DemandForecaster::RecordArrival(Millis aNow, double aCoreMillis)
{
  AdvanceWindow(aNow);
  work_[static_cast<size_t>(newestBucket_ % static_cast<int64_t>(kBuckets))] +=
    aCoreMillis;
}

double DemandForecaster::MeanCores(Millis aNow) const
{
  const int64_t bucket = aNow.Count() / kBucketWidth.Count();
  double sum = 0;
  for (int64_t i = 1; i < static_cast<int64_t>(kBuckets); ++i) {
    sum += WorkIn(bucket - i);
  }
  return sum / (static_cast<double>(kBuckets - 1) * kBucketWidth.Count());
}

double DemandForecaster::ForecastCores(Millis aNow, Millis aAhead) const
{
  // Least squares over the complete buckets; the newest is at x = 0.
  const int64_t bucket = aNow.Count() / kBucketWidth.Count();
  const auto count = static_cast<double>(kBuckets - 1);
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (int64_t i = 1; i < static_cast<int64_t>(kBuckets); ++i) {
    const auto x = static_cast<double>(1 - i);
    const double y = WorkIn(bucket - i) / kBucketWidth.Count();
    sumX += x;
    sumY += y;
    sumXX += x * x;
    sumXY += x * y;
  }
  const double slope =
    (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
  const double level = (sumY - slope * sumX) / count;
  const double ahead =
    static_cast<double>(aAhead.Count()) / kBucketWidth.Count();
  const double forecast = level + slope * ahead;
  return std::clamp(forecast, 0.0, std::max(0.0, level * kMaxGrowth));
}

} // namespace vanillahatch
