#include "vanillahatch/core/jobs/demand.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// A few large jobs look like a steep rise; demand is not foretold to grow by
// more than this until a machine joins.
constexpr double kMostGrowth = 2.5;

} // namespace

void Demand::Advance(Millis aNow)
{
  const int64_t slot = aNow.Count() / kBucket.Count();
  const auto size = static_cast<int64_t>(kBuckets);
  for (int64_t i = std::max(newest_ + 1, slot - size + 1); i <= slot; ++i) {
    work_[static_cast<size_t>(i % size)] = 0;
  }
  newest_ = std::max(newest_, slot);
}

double Demand::At(int64_t aSlot) const
{
  const auto size = static_cast<int64_t>(kBuckets);
  const bool isHeld = aSlot <= newest_ && aSlot > newest_ - size && aSlot >= 0;
  return isHeld ? work_[static_cast<size_t>(aSlot % size)] : 0;
}

void Demand::Add(Millis aNow, double aCoreMillis)
{
  Advance(aNow);
  work_[static_cast<size_t>(newest_ % static_cast<int64_t>(kBuckets))] +=
    aCoreMillis;
}

double Demand::MeanCores(Millis aNow) const
{
  const int64_t slot = aNow.Count() / kBucket.Count();
  double sum = 0;
  for (int64_t i = 1; i < static_cast<int64_t>(kBuckets); ++i) {
    sum += At(slot - i);
  }
  return sum / (static_cast<double>(kBuckets - 1) * kBucket.Count());
}

double Demand::ForecastCores(Millis aNow, Millis aAhead) const
{
  // Least squares over the whole buckets, the newest at x = 0.
  const int64_t slot = aNow.Count() / kBucket.Count();
  const auto count = static_cast<double>(kBuckets - 1);
  double sumX = 0;
  double sumY = 0;
  double sumXX = 0;
  double sumXY = 0;
  for (int64_t i = 1; i < static_cast<int64_t>(kBuckets); ++i) {
    const auto x = static_cast<double>(1 - i);
    const double y = At(slot - i) / kBucket.Count();
    sumX += x;
    sumY += y;
    sumXX += x * x;
    sumXY += x * y;
  }
  const double slope =
    (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
  const double level = (sumY - slope * sumX) / count;
  const double ahead = static_cast<double>(aAhead.Count()) / kBucket.Count();
  const double foretold = level + slope * ahead;
  return std::clamp(foretold, 0.0, std::max(0.0, level * kMostGrowth));
}

} // namespace vanillahatch
