#include "vanillahatch/core/jobs/near_placement.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Longest time between two rounds of the scheduler.
constexpr Millis kRoundInterval = Millis(100);
// An average over about the last 20 waits.
constexpr double kNewestWaitWeight = 0.05;
// Even where most waits failed, a place that comes free at once is worth one.
constexpr double kMinChance = 0.2;
// No wait looks further ahead.
constexpr int64_t kMaxPlacesPerInstance = 64;

int64_t CountPlaces(const Resources& aFree, const Resources& aNeed)
{
  int64_t places = kMaxPlacesPerInstance;
  const auto limit = [&](int64_t aAmount, int64_t aPerTask) {
    if (aPerTask > 0) {
      places = std::min(places, std::max<int64_t>(aAmount, 0) / aPerTask);
    }
  };
  limit(aFree.milliCpus_, aNeed.milliCpus_);
  limit(aFree.memoryMb_, aNeed.memoryMb_);
  limit(aFree.accelerators_, aNeed.accelerators_);
  return places;
}

} // namespace

std::optional<Millis> WaitForNearPlace(const NearChoice& aChoice)
{
  const Millis saved = aChoice.farRun_ - aChoice.nearRun_;
  const Millis waitsUntil =
    aChoice.waitingSince_ + std::min(saved, kMaxNearWait);
  if (!aChoice.placeAt_ || aChoice.now_ >= waitsUntil) {
    return std::nullopt;
  }
  const Millis placeAt = std::max(*aChoice.placeAt_, aChoice.now_);
  if (placeAt > waitsUntil) {
    return std::nullopt;
  }
  const Millis farTimeToEnd = aChoice.timeToEnd_ + saved;
  const bool isFarInTime = aChoice.now_ + farTimeToEnd <= aChoice.dueAt_;
  const bool isNearInTime = placeAt + aChoice.timeToEnd_ <= aChoice.dueAt_;
  if (!isFarInTime && isNearInTime) {
    return placeAt;
  }
  if (!isFarInTime && !aChoice.isCapacityShort_) {
    return std::nullopt;
  }
  // If the near place does not come free, the job is still in time elsewhere.
  // Where capacity is short, a place there has to come free first.
  const Millis fallback =
    aChoice.isCapacityShort_ ? aChoice.nearRun_ : kRoundInterval;
  if (isFarInTime && placeAt + fallback + farTimeToEnd > aChoice.dueAt_) {
    return std::nullopt;
  }
  // Where capacity is short, others use the place elsewhere during the wait,
  // and a longer run there would delay them.
  const double chance = aChoice.isCapacityShort_ ? 1.0 : aChoice.chance_;
  const auto gain = chance * static_cast<double>(saved.Count());
  const auto cost = static_cast<double>((placeAt - aChoice.now_).Count());
  return gain > cost ? std::optional(placeAt) : std::nullopt;
}

void RackPlaces::AddInstance(Millis aNow,
                             Resources aFree,
                             std::vector<ExpectedEnd> aEnds)
{
  std::sort(aEnds.begin(),
            aEnds.end(),
            [](const ExpectedEnd& aLeft, const ExpectedEnd& aRight) {
              return aLeft.at_ < aRight.at_;
            });
  int64_t places = CountPlaces(aFree, need_);
  times_.insert(times_.end(), static_cast<size_t>(places), aNow);
  for (const ExpectedEnd& end : aEnds) {
    aFree = aFree + end.freed_;
    const int64_t more = CountPlaces(aFree, need_) - places;
    times_.insert(times_.end(), static_cast<size_t>(more), end.at_);
    places += more;
  }
  isSorted_ = false;
}

std::optional<Millis> RackPlaces::At(size_t aTasksAhead)
{
  if (!isSorted_) {
    std::sort(times_.begin(), times_.end());
    isSorted_ = true;
  }
  return aTasksAhead < times_.size() ? std::optional(times_[aTasksAhead])
                                     : std::nullopt;
}

const NearWaits::Wait* NearWaits::Find(const StepKey& aStep) const
{
  const auto it = waits_.find(aStep);
  return it != waits_.end() ? &it->second : nullptr;
}

NearWaits::Change NearWaits::Update(Millis aNow,
                                    const StepKey& aStep,
                                    const std::string& aRackName,
                                    const Round& aRound)
{
  auto it = waits_.find(aStep);
  if (it == waits_.end()) {
    if (aRound.waiting_ == 0) {
      return Change::kNone;
    }
    it = waits_.emplace(aStep, Wait{ .firstAt_ = aNow }).first;
  }
  Wait& wait = it->second;
  const uint32_t before = wait.waiting_;
  wait.lastAt_ = aRound.waiting_ > 0 ? aNow : wait.lastAt_;
  if (before == 0 && aRound.waiting_ == 0) {
    return Change::kNone;
  }
  if (before == 0) {
    wait = { .firstAt_ = wait.firstAt_,
             .since_ = aNow,
             .lastAt_ = aNow,
             .rackName_ = aRackName,
             .waiting_ = aRound.waiting_ };
    return Change::kBegun;
  }
  const uint32_t near = std::min(aRound.startedNear_, before);
  const uint32_t far = before - near - std::min(aRound.waiting_, before - near);
  RecordEnds(wait.rackName_, near, true);
  RecordEnds(wait.rackName_, far, false);
  wait.endedNear_ += near;
  wait.endedFar_ += far;
  wait.waiting_ = aRound.waiting_;
  return wait.waiting_ == 0 ? Change::kEnded : Change::kNone;
}

double NearWaits::ChanceAt(const std::string& aRackName) const
{
  const auto it = chances_.find(aRackName);
  return std::max(kMinChance,
                  it != chances_.end() ? it->second.share_ : Chance().share_);
}

void NearWaits::RecordEnds(const std::string& aRackName,
                           uint32_t aCount,
                           bool aAreNear)
{
  Chance& chance = chances_[aRackName];
  for (uint32_t i = 0; i < aCount; ++i) {
    ++chance.samples_;
    const double weight = std::max(kNewestWaitWeight, 1.0 / chance.samples_);
    chance.share_ += weight * ((aAreNear ? 1.0 : 0.0) - chance.share_);
  }
}

} // namespace vanillahatch
